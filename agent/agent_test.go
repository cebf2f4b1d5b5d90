package agent

import (
	"context"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Guards against a finished run that is recorded as stopped and runs again, because the stop came
// after the end and before its report.
func TestStopOfFinishedTaskIsNoStop(t *testing.T) {
	for name, wait := range map[string]time.Duration{"end unknown to the agent": 0, "end known": time.Second} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(world *world) {
				world.launch(1)
				world.runtime.finish(run, worker.Finished)
				world.pass(wait)
				world.wantNone(world.stop(1))
				world.pass(2 * time.Second)
				if state := world.entry.reported(run); state != worker.Finished {
					world.Fatalf("reported as %q, want Finished", state)
				}
			})
		})
	}
}

// Guards against a fenced incarnation whose tasks go on under the next one: they may have been placed
// elsewhere. The stop is refused for a while, or the checkpoint hangs.
func TestFencedAgentKeepsNoTask(t *testing.T) {
	for name, fault := range map[string]func(context.Context, string) error{
		"stop unavailable": unavailable("Stop"),
		"checkpoint hangs": func(ctx context.Context, call string) error {
			if call == "Checkpoint" {
				<-ctx.Done()
				return worker.ErrUnavailable{Reason: "test"}
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(world *world) {
				world.launch(1)
				world.entry.decide(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
					if request.State.Incarnation == 1 {
						return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: 1}, nil
					}
					if request.State.Tasks > 0 {
						world.Errorf("incarnation %d announced a task of an ended one", request.State.Incarnation)
					}
					return granted(2), nil
				})
				world.runtime.faults(fault, nil)
				world.pass(10 * time.Second)
				if world.agent.Incarnation() == 1 {
					world.wantRefusal(world.reserve(2).Results, "ErrNoLease")
				}
				world.runtime.faults(nil, nil)
				world.pass(10 * time.Second)
				world.wantState(worker.Stopped)
				if have := world.agent.Incarnation(); have != 2 {
					world.Fatalf("incarnation is %d, want 2", have)
				}
			})
		})
	}
}

// Guards against an agent that leaves and, fenced meanwhile, takes new work.
func TestLeavingSurvivesFence(t *testing.T) {
	inWorld(t, func(world *world) {
		world.agent.control.Call(func() {
			world.agent.leaving = true
			world.agent.ledger.Drain(true)
		})
		world.entry.decide(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if request.State.Incarnation == 1 {
				return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: 1}, nil
			}
			return granted(2), nil
		})
		world.pass(10 * time.Second)
		world.wantRefusal(world.reserve(1).Results, "ErrDraining")
	})
}

// Guards against a task that stays in the ledger for ever because the worker lost its record.
func TestVanishedTaskEnds(t *testing.T) {
	inWorld(t, func(world *world) {
		world.launch(1)
		world.pass(time.Second)
		world.runtime.mu.Lock()
		delete(world.runtime.tasks, run)
		world.runtime.mu.Unlock()
		world.pass(3 * time.Second)
		if state := world.entry.reported(run); state != worker.Stopped {
			world.Fatalf("reported as %q, want Stopped", state)
		}
		if entries := world.held(); len(entries) > 0 {
			world.Fatalf("ledger still has %v", entries)
		}
	})
}

// Guards against a second run or a false failure when the answer to a start is lost, or the lease
// lapses on the way to the worker.
func TestStartWithoutAnswer(t *testing.T) {
	for name, fault := range map[string]error{
		"unavailable": worker.ErrUnavailable{Reason: "test"}, "lapsed": worker.ErrLeaseLapsed{},
	} {
		for _, effective := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				inWorld(t, func(world *world) {
					lose := func(call string) error {
						if call == "Start" {
							return fault
						}
						return nil
					}
					if effective {
						world.runtime.faults(nil, lose)
					} else {
						world.runtime.faults(func(_ context.Context, call string) error { return lose(call) }, nil)
					}
					world.launch(1)
					world.wantOK(world.start(1, 1).Results)
					world.runtime.faults(nil, nil)
					world.pass(2 * time.Second)
					world.wantState(worker.Running)
					if state := world.entry.reported(run); state != "" || world.runtime.starts != 1 {
						world.Fatalf("reported as %q after %d starts, want no report and one start", state, world.runtime.starts)
					}
				})
			})
		}
	}
}

// Guards against a start after the reservation, after the lease, of another incarnation, or of an
// epoch that was stopped or refused before.
func TestStartRefused(t *testing.T) {
	t.Run("reservation expired", func(t *testing.T) {
		inWorld(t, func(world *world) {
			world.wantOK(world.reserve(1).Results)
			world.pass(2 * time.Second)
			world.wantRefusal(world.start(1, 1).Results, "ErrNoReservation")
			world.wantRefusal(world.reserve(1).Results, "ErrStaleEpoch")
		})
	})
	t.Run("paused past the lease", func(t *testing.T) {
		inWorld(t, func(world *world) {
			world.entry.decide(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
				return nil, worker.ErrUnavailable{Reason: "test"}
			})
			world.pass(14 * time.Second)
			world.wantOK(world.reserve(1).Results)
			world.pass(1900 * time.Millisecond)
			world.wantRefusal(world.start(1, 1).Results, "ErrNoLease")
			world.wantState("")
		})
	})
	t.Run("other incarnation", func(t *testing.T) {
		inWorld(t, func(world *world) {
			world.wantOK(world.reserve(1).Results)
			world.wantNone(world.start(2, 1).Results)
			world.wantOK(world.start(1, 1).Results)
		})
	})
	t.Run("stopped before", func(t *testing.T) {
		inWorld(t, func(world *world) {
			world.wantOK(world.reserve(1).Results)
			world.wantRefusal(world.stop(1), refusalAbsent)
			world.wantRefusal(world.start(1, 1).Results, "ErrStaleEpoch")
		})
	})
	t.Run("worker not read", func(t *testing.T) {
		inWorld(t, func(world *world) {
			world.agent.Close()
			world.runtime.faults(unavailable("List"), nil)
			world.begin(2)
			world.wantNone(world.start(2, 1).Results)
			world.wantNone(world.stop(1))
		})
	})
}

// Guards against a lost end or a second run when the agent restarts beside running and ended tasks.
func TestRestartTakesOver(t *testing.T) {
	for _, state := range []worker.State{worker.Running, worker.Finished} {
		t.Run(string(state), func(t *testing.T) {
			inWorld(t, func(world *world) {
				world.launch(1)
				world.agent.Close()
				world.runtime.finish(run, state)
				world.begin(2)
				world.pass(2 * time.Second)
				world.wantOK(world.start(2, 1).Results)
				if world.runtime.starts != 1 {
					world.Fatalf("worker started the task %d times", world.runtime.starts)
				}
				if state == worker.Finished {
					if got := world.entry.reported(run); got != worker.Finished {
						world.Fatalf("reported as %q", got)
					}
				} else if entries := world.held(); len(entries) != 1 || !entries[0].Running {
					world.Fatalf("ledger has %v", entries)
				}
			})
		})
	}
}

// Guards against tasks that go on when the lease lapses, and against an end that is forgotten before
// it is recorded.
func TestLapseStopsTasks(t *testing.T) {
	inWorld(t, func(world *world) {
		world.launch(1)
		world.entry.decide(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			return nil, worker.ErrUnavailable{Reason: "test"}
		})
		world.pass(20 * time.Second)
		world.wantState(worker.Stopped)
		if world.runtime.expiry > worker.Instant(clock.Time(61_000).Add(20*clock.Second)) {
			world.Fatalf("worker's lease was extended to %d", world.runtime.expiry)
		}
		world.entry.decide(nil)
		world.pass(5 * time.Second)
		world.entry.mu.Lock()
		world.entry.record = true
		world.entry.mu.Unlock()
		world.pass(5 * time.Second)
		if state := world.entry.reported(run); state != worker.Stopped || world.runtime.state(run) != "" {
			world.Fatalf("reported as %q, worker has %q", state, world.runtime.state(run))
		}
	})
}

// Guards against the lease of a former granter after a newer one.
func TestOldGrantAfterNewer(t *testing.T) {
	inWorld(t, func(world *world) {
		revision := uint64(7)
		world.entry.decide(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) { return granted(revision), nil })
		world.pass(5 * time.Second)
		world.entry.mu.Lock()
		revision = 5
		world.entry.mu.Unlock()
		world.pass(21 * time.Second)
		if world.agent.Ready() {
			world.Fatal("agent took a lease of a former granter")
		}
	})
}

// Guards against announcements without pause while no entry accepts them: entries that name each
// other as home, or a leaving entry that knows no other.
func TestRedirectsArePaced(t *testing.T) {
	for name, home := range map[string]func(count int) string{
		"disagreeing entries": func(count int) string { return []string{"e1", "e2"}[count%2] },
		"no home":             func(int) string { return "" },
		"the same entry":      func(int) string { return "balancer" },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(world *world) {
				before := len(world.entry.heartbeats)
				world.entry.decide(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
					if len(world.entry.heartbeats) > 1000 {
						return granted(1), nil
					}
					return &controlpb.AnnounceReply{Home: &controlpb.EntryState{ControlAddress: home(len(world.entry.heartbeats))}}, nil
				})
				world.pass(40 * time.Second)
				if sent := len(world.entry.heartbeats) - before; sent > 10+maxRedirects {
					world.Fatalf("%d announcements in 10 heartbeats", sent)
				}
			})
		})
	}
}

// Guards against a heartbeat to a wrong home that waits for the next interval, and against an agent
// that stays with an entry which does not answer.
func TestFindsHome(t *testing.T) {
	inWorld(t, func(world *world) {
		world.agent.Close()
		world.entry.decide(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			switch world.entry.targets[len(world.entry.targets)-1] {
			case "balancer":
				return &controlpb.AnnounceReply{Home: &controlpb.EntryState{ControlAddress: "e2"}}, nil
			case "e2":
				return nil, worker.ErrUnavailable{Reason: "test"}
			}
			return granted(1), nil
		})
		world.begin(2)
		world.agent.control.Call(func() {
			world.agent.finder.entries = []*controlpb.EntryState{{ControlAddress: "e1"}, {ControlAddress: "e2"}}
		})
		world.pass(16 * time.Second)
		if !world.agent.Ready() {
			world.Fatalf("agent has no lease after announcements to %v", world.entry.targets)
		}
	})
}

// Guards against tasks whose lease on the worker lapses because other starts hang, one timeout after
// the other.
func TestHangingStartsDelayNoRenewal(t *testing.T) {
	inWorld(t, func(world *world) {
		world.launch(1)
		world.runtime.faults(func(ctx context.Context, call string) error {
			if call == "Start" {
				<-ctx.Done()
				return worker.ErrUnavailable{Reason: "test"}
			}
			return nil
		}, nil)
		world.agent.control.Call(func() {
			for index := range 20 {
				name := ident.Task{Job: "hanging", Index: index}
				_ = world.agent.ledger.Reserve("r", name, 1, unit.Resources{CPU: 1}, 0, world.runtime.time.Now())
				_, _ = world.agent.ledger.Start("r", name, 1, world.runtime.time.Now())
				world.agent.tasks[name] = &task{spec: worker.Spec{Task: name, Epoch: 1}}
			}
		})
		for range 60 {
			world.pass(time.Second)
			world.runtime.mu.Lock()
			expiry, now := world.runtime.expiry, worker.Instant(world.runtime.time.Now())
			world.runtime.mu.Unlock()
			if expiry <= now {
				world.Fatalf("lease on the worker ended at %d, now %d", expiry, now)
			}
		}
	})
}

// Guards against ends that are not reported while the worker hangs on forgetting others.
func TestHangingForgetDelaysNoReport(t *testing.T) {
	inWorld(t, func(world *world) {
		world.entry.record = true
		world.runtime.faults(func(ctx context.Context, call string) error {
			if call == "Forget" {
				<-ctx.Done()
				return worker.ErrUnavailable{Reason: "test"}
			}
			return nil
		}, nil)
		world.runtime.mu.Lock()
		for index := range 50 {
			name := ident.Task{Job: "old", Index: index}
			world.runtime.tasks[name] = worker.Status{Task: name, Epoch: 1, State: worker.Finished}
		}
		world.runtime.mu.Unlock()
		world.agent.Close()
		world.begin(2)
		world.pass(4 * time.Second)
		world.launch(1)
		world.runtime.finish(run, worker.Finished)
		world.pass(4 * clock.Second.Duration())
		if state := world.entry.reported(run); state != worker.Finished {
			world.Fatalf("reported as %q, want Finished", state)
		}
	})
}

// Guards against a graceful shutdown that ends while tasks run because a stop was not confirmed, and
// against a goroutine that starts after Close.
func TestShutdown(t *testing.T) {
	inWorld(t, func(world *world) {
		world.launch(1)
		world.runtime.faults(unavailable("Stop"), nil)
		world.entry.record = true
		time.AfterFunc(3*time.Second, func() { world.runtime.faults(nil, nil) })
		if err := world.agent.Shutdown(world.Context()); err != nil {
			world.Fatal(err)
		}
		if state := world.entry.reported(run); state != worker.Stopped {
			world.Fatalf("reported as %q, want Stopped", state)
		}
		world.agent.spawn(func() { world.Error("goroutine started after Close") })
		world.wantNone(world.start(ident.Incarnation(1), 2).Results)
	})
}
