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

// placed is what a scheduler knows of the newest epoch of a task.
type placed struct {
	epoch ident.Epoch
	// over is the newest epoch that the agent said is not running and never will.
	over ident.Epoch
	// finished is set once the worker finished the epoch.
	finished bool
}

// scheduler drives one agent as the homes of three tasks would, with random faults.
type scheduler struct {
	*world
	random *rand.Rand
	tasks  map[ident.Task]*placed
	told   int
	// ended is the newest incarnation that was declared over, and granted the newest with a lease. Both
	// are guarded by the fake entry's lock.
	ended, granted uint64
	// lost are the epochs that were placed when ended was declared over.
	lost map[ident.Task]ident.Epoch
}

// results takes the answer to a start or a stop. An end that was reported meanwhile is recorded, and an
// answer about a recorded epoch means nothing.
func (scheduler *scheduler) results(results []*controlpb.TaskResult, stop bool) {
	scheduler.reports()
	for _, result := range results {
		name, epoch := controlpb.ToTask(result.Task)
		known := scheduler.tasks[name]
		if epoch != known.epoch || epoch <= known.over || (!stop && result.Ok) {
			continue
		}
		if known.finished {
			scheduler.Fatalf("%s epoch %d finished and was answered %v", name, epoch, result)
		}
		known.over = epoch
	}
}

// reports takes the ends that the agent reported since the last call.
func (scheduler *scheduler) reports() {
	scheduler.entry.mu.Lock()
	fresh := scheduler.entry.reports[scheduler.told:]
	scheduler.told = len(scheduler.entry.reports)
	scheduler.entry.mu.Unlock()
	for _, message := range fresh {
		status := controlpb.ToStatus(message)
		known := scheduler.tasks[status.Task]
		if status.Epoch != known.epoch || status.Epoch <= known.over {
			continue
		}
		if known.finished != (status.State == worker.Finished) {
			scheduler.Fatalf("%s epoch %d was reported as %s, finished is %t", status.Task, status.Epoch, status.State, known.finished)
		}
		known.over = status.Epoch
	}
}

// answer is that of the home: tasks of an incarnation that is over must not go on under a new one.
func (scheduler *scheduler) answer(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	incarnation := request.State.Incarnation
	if incarnation <= scheduler.ended || (scheduler.granted <= scheduler.ended && request.State.Tasks > 0) {
		return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: scheduler.ended}, nil
	}
	scheduler.granted = incarnation
	return granted(incarnation), nil
}

// check fails if a task runs that the agent called over, or that was lost with an incarnation whose
// successor has a lease.
func (scheduler *scheduler) check() {
	scheduler.entry.mu.Lock()
	if scheduler.granted > scheduler.ended {
		for name, epoch := range scheduler.lost {
			scheduler.tasks[name].over = max(scheduler.tasks[name].over, epoch)
		}
		clear(scheduler.lost)
	}
	scheduler.entry.mu.Unlock()
	scheduler.runtime.mu.Lock()
	defer scheduler.runtime.mu.Unlock()
	for name, known := range scheduler.tasks {
		if status := scheduler.runtime.tasks[name]; status.State == worker.Running && status.Epoch <= known.over {
			scheduler.Fatalf("%s runs epoch %d, which was over", name, status.Epoch)
		}
	}
}

// fault makes a share of the worker's calls fail, before or after they take effect.
func (scheduler *scheduler) fault(share float64) {
	seed := scheduler.random.Uint64()
	random := rand.New(rand.NewPCG(seed, 1))
	lost := rand.New(rand.NewPCG(seed, 2))
	scheduler.runtime.faults(func(ctx context.Context, _ string) error {
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
		if lost.Float64() < share {
			return worker.ErrUnavailable{Reason: "test"}
		}
		return nil
	})
}

func (scheduler *scheduler) step(name ident.Task) {
	known := scheduler.tasks[name]
	ctx, cancel := context.WithTimeout(scheduler.Context(), time.Duration(1+scheduler.random.IntN(4000))*time.Millisecond)
	defer cancel()
	ref := []*controlpb.TaskRef{controlpb.FromTask(name, known.epoch)}
	incarnation := uint64(scheduler.agent.Incarnation())
	reservation := fmt.Sprintf("%s-%d", name, known.epoch)
	switch scheduler.random.IntN(13) {
	case 0, 1:
		if known.over < known.epoch {
			return
		}
		known.epoch, known.finished = known.epoch+1, false
		_, _ = scheduler.agent.Reserve(ctx, &controlpb.ReserveRequest{
			Reservation: fmt.Sprintf("%s-%d", name, known.epoch), Incarnation: incarnation, TermMillis: 2000,
			Tasks: []*controlpb.TaskSpec{{Task: controlpb.FromTask(name, known.epoch), Kind: string(worker.Batch), Resources: controlpb.FromResources(taskSize)}},
		})
	case 2, 3, 4:
		reply, err := scheduler.agent.Start(ctx, &controlpb.StartRequest{Reservation: reservation, Incarnation: incarnation, Tasks: ref})
		if err == nil && known.epoch > 0 {
			scheduler.results(reply.Results, false)
		}
	case 5:
		reply, err := scheduler.agent.Stop(ctx, &controlpb.StopRequest{Incarnation: incarnation, Tasks: ref, Checkpoint: scheduler.random.IntN(2) == 0})
		if err == nil && known.epoch > 0 {
			scheduler.results(reply.Results, true)
		}
	case 6, 7:
		scheduler.runtime.mu.Lock()
		if status := scheduler.runtime.tasks[name]; status.State == worker.Running && status.Epoch == known.epoch {
			status.State, known.finished = worker.Finished, true
			scheduler.runtime.tasks[name] = status
		}
		scheduler.runtime.mu.Unlock()
	case 8:
		scheduler.fault([]float64{0, 0, 0.2, 0.8}[scheduler.random.IntN(4)])
	case 9:
		scheduler.entry.mu.Lock()
		scheduler.entry.record = scheduler.random.IntN(2) == 0
		scheduler.entry.mu.Unlock()
	case 10:
		silent := scheduler.random.IntN(3) == 0
		scheduler.entry.decide(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if silent {
				return nil, worker.ErrUnavailable{Reason: "test"}
			}
			return scheduler.answer(request)
		})
	case 11:
		if scheduler.random.IntN(4) == 0 {
			next := scheduler.agent.Incarnation() + 1
			scheduler.agent.Close()
			scheduler.begin(next)
		}
	case 12:
		scheduler.entry.mu.Lock()
		defer scheduler.entry.mu.Unlock()
		if scheduler.random.IntN(4) == 0 && scheduler.granted > scheduler.ended {
			scheduler.ended = scheduler.granted
			for name, known := range scheduler.tasks {
				scheduler.lost[name] = known.epoch
			}
		}
	}
}

// Guards I2, I3 and the ends of tasks against sequences of lost answers, hanging and unavailable
// workers, lapsed leases, fenced incarnations and restarts: an epoch that the agent called over does not run, a finished
// one is reported as nothing else, and at the end each finished one is reported.
func TestRandomFaults(t *testing.T) {
	finished := 0
	for seed := range uint64(200) {
		inWorld(t, func(world *world) {
			scheduler := &scheduler{world: world, random: rand.New(rand.NewPCG(seed, 1)), tasks: map[ident.Task]*placed{}, lost: map[ident.Task]ident.Epoch{}}
			world.entry.decide(scheduler.answer)
			scheduler.granted = 1
			names := []ident.Task{{Job: "a"}, {Job: "b"}, {Job: "c", Index: 1}}
			for _, name := range names {
				scheduler.tasks[name] = &placed{}
			}
			for range 150 {
				scheduler.step(names[scheduler.random.IntN(len(names))])
				world.pass(time.Duration(scheduler.random.IntN(900)) * time.Millisecond)
				scheduler.reports()
				scheduler.check()
			}
			world.runtime.faults(nil, nil)
			world.entry.decide(scheduler.answer)
			world.pass(time.Minute)
			scheduler.reports()
			scheduler.check()
			for name, known := range scheduler.tasks {
				if known.finished {
					finished++
					if known.over != known.epoch {
						world.Fatalf("seed %d: %s epoch %d finished and was not reported", seed, name, known.epoch)
					}
				}
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
	if finished == 0 {
		t.Fatal("no task finished, so the test checks little")
	}
}
