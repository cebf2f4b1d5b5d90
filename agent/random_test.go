package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// taskRecord is what the scheduler stores of a task; epoch is the newest that was placed.
type taskRecord struct {
	epoch ident.Epoch
	// endedEpoch is the newest epoch that, according to the agent, does not run and never will.
	endedEpoch ident.Epoch
	// finished is set once the worker finished the epoch.
	finished bool
}

// scheduler drives one agent as the home entries of three tasks would, with random faults.
type scheduler struct {
	*fixture
	random      *rand.Rand
	tasks       map[ident.Task]*taskRecord
	reportsRead int
	// endedIncarnation is the newest incarnation that was declared over, leasedIncarnation the
	// newest with a lease. Both are guarded by the lock of the fake entry.
	endedIncarnation, leasedIncarnation uint64
	// lostEpochs holds the epochs that were placed when endedIncarnation was declared over.
	lostEpochs map[ident.Task]ident.Epoch
}

// applyResults applies the results of a start or a stop. Ends reported in the meantime are applied
// first, and results for an epoch that has ended are ignored.
func (scheduler *scheduler) applyResults(results []*controlpb.TaskResult, stop bool) {
	scheduler.applyReports()
	for _, result := range results {
		name, epoch := controlpb.ToTask(result.Task)
		record := scheduler.tasks[name]
		if epoch != record.epoch || epoch <= record.endedEpoch || (!stop && result.Ok) {
			continue
		}
		if record.finished {
			scheduler.Fatalf("%s epoch %d finished and was answered %v", name, epoch, result)
		}
		record.endedEpoch = epoch
	}
}

// applyReports applies the ends that the agent reported since the last call.
func (scheduler *scheduler) applyReports() {
	scheduler.entry.mu.Lock()
	messages := scheduler.entry.reports[scheduler.reportsRead:]
	scheduler.reportsRead = len(scheduler.entry.reports)
	scheduler.entry.mu.Unlock()
	for _, message := range messages {
		status := controlpb.ToStatus(message)
		record := scheduler.tasks[status.Task]
		if status.Epoch != record.epoch || status.Epoch <= record.endedEpoch {
			continue
		}
		if record.finished != (status.State == worker.Finished) {
			scheduler.Fatalf("%s epoch %d was reported as %s, finished is %t", status.Task, status.Epoch, status.State, record.finished)
		}
		record.endedEpoch = status.Epoch
	}
}

// announceReply replies to a heartbeat as the home does. It fences ended incarnations, and new ones
// that still run tasks of an ended one.
func (scheduler *scheduler) announceReply(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	incarnation := request.State.Incarnation
	if incarnation <= scheduler.endedIncarnation || (scheduler.leasedIncarnation <= scheduler.endedIncarnation && request.State.Tasks > 0) {
		return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: scheduler.endedIncarnation}, nil
	}
	scheduler.leasedIncarnation = incarnation
	return grantReply(incarnation), nil
}

// check fails if the worker runs an epoch that has ended according to the agent, or one that was
// lost with an incarnation whose successor has a lease.
func (scheduler *scheduler) check() {
	scheduler.entry.mu.Lock()
	if scheduler.leasedIncarnation > scheduler.endedIncarnation {
		for name, epoch := range scheduler.lostEpochs {
			scheduler.tasks[name].endedEpoch = max(scheduler.tasks[name].endedEpoch, epoch)
		}
		clear(scheduler.lostEpochs)
	}
	scheduler.entry.mu.Unlock()
	scheduler.runtime.mu.Lock()
	defer scheduler.runtime.mu.Unlock()
	for name, record := range scheduler.tasks {
		if status := scheduler.runtime.tasks[name]; status.State == worker.Running && status.Epoch <= record.endedEpoch {
			scheduler.Fatalf("%s runs epoch %d, which was over", name, status.Epoch)
		}
	}
}

// injectFaults makes a share of the calls to the worker fail, before or after they take effect.
func (scheduler *scheduler) injectFaults(share float64) {
	seed := scheduler.random.Uint64()
	random := rand.New(rand.NewPCG(seed, 1))
	lostAnswers := rand.New(rand.NewPCG(seed, 2))
	scheduler.runtime.setFaults(func(ctx context.Context, _ string) error {
		scheduler.runtime.mu.Lock()
		failing, hangs := random.Float64() < share, random.IntN(4) == 0
		scheduler.runtime.mu.Unlock()
		if failing && hangs {
			<-ctx.Done()
		}
		if failing {
			return worker.ErrUnavailable{Reason: "test"}
		}
		return nil
	}, func(string) error {
		if lostAnswers.Float64() < share {
			return worker.ErrUnavailable{Reason: "test"}
		}
		return nil
	})
}

func (scheduler *scheduler) step(name ident.Task) {
	record := scheduler.tasks[name]
	ctx, cancel := context.WithTimeout(scheduler.Context(), time.Duration(1+scheduler.random.IntN(4000))*time.Millisecond)
	defer cancel()
	ref := []*controlpb.TaskRef{controlpb.FromTask(name, record.epoch)}
	incarnation := uint64(scheduler.agent.Incarnation())
	reservation := fmt.Sprintf("%s-%d", name, record.epoch)
	switch scheduler.random.IntN(13) {
	case 0, 1:
		if record.endedEpoch < record.epoch {
			return
		}
		record.epoch, record.finished = record.epoch+1, false
		_, _ = scheduler.agent.Reserve(ctx, &controlpb.ReserveRequest{
			Reservation: fmt.Sprintf("%s-%d", name, record.epoch), Incarnation: incarnation, TermMillis: 2000,
			Tasks: []*controlpb.TaskSpec{{Task: controlpb.FromTask(name, record.epoch), Kind: string(worker.Batch), Resources: controlpb.FromResources(taskSize)}},
		})
	case 2, 3, 4:
		reply, err := scheduler.agent.Start(ctx, &controlpb.StartRequest{Reservation: reservation, Incarnation: incarnation, Tasks: ref})
		if err == nil && record.epoch > 0 {
			scheduler.applyResults(reply.Results, false)
		}
	case 5:
		reply, err := scheduler.agent.Stop(ctx, &controlpb.StopRequest{Incarnation: incarnation, Tasks: ref, Checkpoint: scheduler.random.IntN(2) == 0})
		if err == nil && record.epoch > 0 {
			scheduler.applyResults(reply.Results, true)
		}
	case 6, 7:
		scheduler.runtime.mu.Lock()
		if status := scheduler.runtime.tasks[name]; status.State == worker.Running && status.Epoch == record.epoch {
			status.State, record.finished = worker.Finished, true
			scheduler.runtime.tasks[name] = status
		}
		scheduler.runtime.mu.Unlock()
	case 8:
		scheduler.injectFaults([]float64{0, 0, 0.2, 0.8}[scheduler.random.IntN(4)])
	case 9:
		scheduler.entry.mu.Lock()
		scheduler.entry.recordEnds = scheduler.random.IntN(2) == 0
		scheduler.entry.mu.Unlock()
	case 10:
		unresponsive := scheduler.random.IntN(3) == 0
		scheduler.entry.setAnswer(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if unresponsive {
				return nil, worker.ErrUnavailable{Reason: "test"}
			}
			return scheduler.announceReply(request)
		})
	case 11:
		if scheduler.random.IntN(4) == 0 {
			next := scheduler.agent.Incarnation() + 1
			scheduler.agent.Close()
			scheduler.startAgent(next)
		}
	case 12:
		scheduler.entry.mu.Lock()
		defer scheduler.entry.mu.Unlock()
		if scheduler.random.IntN(4) == 0 && scheduler.leasedIncarnation > scheduler.endedIncarnation {
			scheduler.endedIncarnation = scheduler.leasedIncarnation
			for name, record := range scheduler.tasks {
				scheduler.lostEpochs[name] = record.epoch
			}
		}
	}
}

// TestRandomFaults guards against a task that runs in two places (I2) or in an old epoch (I3): an
// epoch must not run after it ended according to the agent, or after it was lost with its
// incarnation. Also guards against a finished epoch that is not reported, or is reported as stopped
// or failed. The faults are random sequences of lost replies, hanging and unavailable workers,
// lapsed leases, fenced incarnations and restarts.
func TestRandomFaults(t *testing.T) {
	finishedCount := 0
	for seed := range uint64(200) {
		withFixture(t, func(fixture *fixture) {
			scheduler := &scheduler{fixture: fixture, random: rand.New(rand.NewPCG(seed, 1)), tasks: map[ident.Task]*taskRecord{}, lostEpochs: map[ident.Task]ident.Epoch{}}
			fixture.entry.setAnswer(scheduler.announceReply)
			scheduler.leasedIncarnation = 1
			names := []ident.Task{{Job: "a"}, {Job: "b"}, {Job: "c", Index: 1}}
			for _, name := range names {
				scheduler.tasks[name] = &taskRecord{}
			}
			for range 150 {
				scheduler.step(names[scheduler.random.IntN(len(names))])
				fixture.sleep(time.Duration(scheduler.random.IntN(900)) * time.Millisecond)
				scheduler.applyReports()
				scheduler.check()
			}
			fixture.runtime.setFaults(nil, nil)
			fixture.entry.setAnswer(scheduler.announceReply)
			fixture.sleep(time.Minute)
			scheduler.applyReports()
			scheduler.check()
			for name, record := range scheduler.tasks {
				if record.finished {
					finishedCount++
					if record.endedEpoch != record.epoch {
						fixture.Fatalf("seed %d: %s epoch %d finished and was not reported", seed, name, record.epoch)
					}
				}
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	if finishedCount == 0 {
		t.Fatal("no task finished, so the test checks little")
	}
}
