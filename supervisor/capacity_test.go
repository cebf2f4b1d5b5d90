package supervisor

import (
	"testing"
	"time"

	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// announceCapacity announces a capacity of the worker.
func (supervisor *Supervisor) announceCapacity(sequence int64, cpu unit.MilliCPU) {
	supervisor.Announce(Announcement{
		Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: sequence, Capacity: unit.Resources{CPU: cpu, Memory: 4000},
	})
}

// assertStarts fails unless so many runs have started at the worker.
func assertStarts(t *testing.T, fake *fakeRuntime, want int) {
	t.Helper()
	fake.update(func() {
		if fake.starts != want {
			t.Errorf("got %d starts, want %d", fake.starts, want)
		}
	})
}

// TestStartAfterCapacityShrinks guards against starts that overload a worker whose capacity shrank after they were ordered,
// while they waited for a call to the worker.
func TestStartAfterCapacityShrinks(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	for range maxConcurrentCalls {
		supervisor.callSlots <- struct{}{}
	}
	supervisor.sendOrder(1, false)
	// Long enough for the run to wait for a call slot.
	time.Sleep(50 * time.Millisecond)
	supervisor.announceCapacity(2, 500)
	for range maxConcurrentCalls {
		<-supervisor.callSlots
	}
	await(t, supervisor, "a rejection", func() bool { return len(supervisor.rejections) == 1 })
	assertStarts(t, fake, 0)
	supervisor.announceCapacity(3, 4000)
	supervisor.sendOrder(2, false)
	await(t, supervisor, "the start", func() bool {
		run, ok := supervisor.worker.runs[runKey{"0123456789abcdef.0.0.0", 2}]
		return ok && run.phase == phaseStarted
	})
	assertStarts(t, fake, 1)
}

// TestUnansweredStartCountsWhenCapacityShrinks guards against a start beside another one that may have taken effect although it
// was not answered.
func TestUnansweredStartCountsWhenCapacityShrinks(t *testing.T) {
	worker := &workerState{runs: map[runKey]*runState{}}
	worker.announcement.Capacity = unit.Resources{CPU: 1500, Memory: 4000}
	unanswered, waiting := &runState{phase: phaseStarting, startSentAt: 1}, &runState{phase: phaseStarting}
	for number, run := range []*runState{unanswered, waiting} {
		run.order.Reserved = unit.Resources{CPU: 1000, Memory: 10}
		worker.runs[runKey{"task", workflow.Run(number)}] = run
	}
	if !worker.hasRoomFor(unanswered) {
		t.Error("got no room for a start that was sent before, want room")
	}
	if worker.hasRoomFor(waiting) {
		t.Error("got room beside a start that may have taken effect, want none")
	}
}
