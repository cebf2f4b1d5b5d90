package supervisor

import (
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

// TestStartThatWaitedForCallSlotIsDecidedAgain guards against starting a run late, because its start was decided before
// it waited for the calls of other runs: a worker that hung holds them up for seconds, and the job may be cancelled, the
// worker draining or the order given up by then.
func TestStartThatWaitedForCallSlotIsDecidedAgain(t *testing.T) {
	cases := map[string]func(supervisor *Supervisor){
		"run is stopped": func(supervisor *Supervisor) { supervisor.sendOrder(1, true) },
		"worker drains": func(supervisor *Supervisor) {
			supervisor.Announce(Announcement{
				Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 2, Capacity: unit.Resources{CPU: 4000, Memory: 4000}, Draining: true,
			})
		},
		"order is old": func(*Supervisor) { time.Sleep((maxStartAge + 200*clock.Millisecond).Duration()) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := newRuntime()
			supervisor := newSupervisor(t, fake)
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			for range maxConcurrentCalls {
				supervisor.callSlots <- struct{}{}
			}
			supervisor.sendOrder(1, false)
			// Long enough for the run to wait for a call slot.
			time.Sleep(50 * time.Millisecond)
			change(supervisor)
			for range maxConcurrentCalls {
				<-supervisor.callSlots
			}
			await(t, supervisor, "a rejection", func() bool { return len(supervisor.rejections) == 1 })
			fake.update(func() {
				if fake.starts != 0 {
					t.Errorf("got %d starts, want none", fake.starts)
				}
			})
		})
	}
}
