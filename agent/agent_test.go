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

// TestStopOfFinishedTaskReportsFinished guards against a finished task that is recorded as stopped
// and runs again because a stop arrives before the end is reported.
func TestStopOfFinishedTaskReportsFinished(t *testing.T) {
	for name, wait := range map[string]time.Duration{"end unknown to the agent": 0, "end known": time.Second} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(fixture *fixture) {
				fixture.launch(1)
				fixture.runtime.setState(testTask, worker.Finished)
				fixture.sleep(wait)
				fixture.wantNone(fixture.stop(1))
				fixture.sleep(2 * time.Second)
				if state := fixture.entry.reportedState(testTask); state != worker.Finished {
					fixture.Fatalf("reported as %q, want Finished", state)
				}
			})
		})
	}
}

// TestFencedAgentStopsTasks guards against a fenced incarnation whose tasks continue under the next
// one although they may be placed elsewhere. The worker does not confirm the stop, or the
// checkpoint hangs.
func TestFencedAgentStopsTasks(t *testing.T) {
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
			withFixture(t, func(fixture *fixture) {
				fixture.launch(1)
				fixture.entry.setAnswer(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
					if request.State.Incarnation == 1 {
						return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: 1}, nil
					}
					if request.State.Tasks > 0 {
						fixture.Errorf("incarnation %d announced a task of an ended one", request.State.Incarnation)
					}
					return grantReply(2), nil
				})
				fixture.runtime.setFaults(fault, nil)
				fixture.sleep(10 * time.Second)
				if fixture.agent.Incarnation() == 1 {
					fixture.wantRefusal(fixture.reserve(2).Results, "ErrNoLease")
				}
				fixture.runtime.setFaults(nil, nil)
				fixture.sleep(10 * time.Second)
				fixture.wantState(worker.Stopped)
				if incarnation := fixture.agent.Incarnation(); incarnation != 2 {
					fixture.Fatalf("incarnation is %d, want 2", incarnation)
				}
			})
		})
	}
}

// TestFencedLeavingAgentStaysDraining guards against a leaving agent that accepts new work after it
// was fenced.
func TestFencedLeavingAgentStaysDraining(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.agent.control.Call(func() {
			fixture.agent.leaving = true
			fixture.agent.ledger.Drain(true)
		})
		fixture.entry.setAnswer(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if request.State.Incarnation == 1 {
				return &controlpb.AnnounceReply{Fenced: true, HighestIncarnation: 1}, nil
			}
			return grantReply(2), nil
		})
		fixture.sleep(10 * time.Second)
		fixture.wantRefusal(fixture.reserve(1).Results, "ErrDraining")
	})
}

// TestVanishedTaskEnds guards against a task that stays in the ledger forever because the worker
// lost its record of it, and against a loss that looks like a stop, so that nobody counts it.
func TestVanishedTaskEnds(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.launch(1)
		fixture.sleep(time.Second)
		fixture.runtime.mu.Lock()
		delete(fixture.runtime.tasks, testTask)
		fixture.runtime.mu.Unlock()
		fixture.sleep(3 * time.Second)
		if state := fixture.entry.reportedState(testTask); state != worker.Stopped {
			fixture.Fatalf("reported as %q, want Stopped", state)
		}
		if status := fixture.entry.reportedStatus(testTask); status.End != worker.Lost || status.Ran <= 0 {
			fixture.Errorf("got end %q after %d ms, want %q after a while", status.End, status.Ran, worker.Lost)
		}
		if entries := fixture.ledgerEntries(); len(entries) > 0 {
			fixture.Fatalf("ledger still has %v", entries)
		}
	})
}

// TestStartWithoutAnswer guards against a second run or a false failure when the reply to a start
// is lost, or when the lease lapses before the call reaches the worker.
func TestStartWithoutAnswer(t *testing.T) {
	for name, fault := range map[string]error{
		"unavailable": worker.ErrUnavailable{Reason: "test"}, "lapsed": worker.ErrLeaseLapsed{},
	} {
		for _, effective := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				withFixture(t, func(fixture *fixture) {
					failStart := func(call string) error {
						if call == "Start" {
							return fault
						}
						return nil
					}
					if effective {
						fixture.runtime.setFaults(nil, failStart)
					} else {
						fixture.runtime.setFaults(func(_ context.Context, call string) error { return failStart(call) }, nil)
					}
					fixture.launch(1)
					fixture.wantOK(fixture.start(1, 1).Results)
					fixture.runtime.setFaults(nil, nil)
					fixture.sleep(2 * time.Second)
					fixture.wantState(worker.Running)
					if state := fixture.entry.reportedState(testTask); state != "" || fixture.runtime.starts != 1 {
						fixture.Fatalf("reported as %q after %d starts, want no report and one start", state, fixture.runtime.starts)
					}
				})
			})
		}
	}
}

// TestStartRefused guards against a start with an expired reservation, without a lease, for another
// incarnation, or of an epoch that was stopped or refused before.
func TestStartRefused(t *testing.T) {
	t.Run("reservation expired", func(t *testing.T) {
		withFixture(t, func(fixture *fixture) {
			fixture.wantOK(fixture.reserve(1).Results)
			fixture.sleep(2 * time.Second)
			fixture.wantRefusal(fixture.start(1, 1).Results, "ErrNoReservation")
			fixture.wantRefusal(fixture.reserve(1).Results, "ErrStaleEpoch")
		})
	})
	t.Run("paused past the lease", func(t *testing.T) {
		withFixture(t, func(fixture *fixture) {
			fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
				return nil, worker.ErrUnavailable{Reason: "test"}
			})
			fixture.sleep(14 * time.Second)
			fixture.wantOK(fixture.reserve(1).Results)
			fixture.sleep(1900 * time.Millisecond)
			fixture.wantRefusal(fixture.start(1, 1).Results, "ErrNoLease")
			fixture.wantState("")
		})
	})
	t.Run("other incarnation", func(t *testing.T) {
		withFixture(t, func(fixture *fixture) {
			fixture.wantOK(fixture.reserve(1).Results)
			fixture.wantNone(fixture.start(2, 1).Results)
			fixture.wantOK(fixture.start(1, 1).Results)
		})
	})
	t.Run("stopped before", func(t *testing.T) {
		withFixture(t, func(fixture *fixture) {
			fixture.wantOK(fixture.reserve(1).Results)
			fixture.wantRefusal(fixture.stop(1), refusalAbsent)
			fixture.wantRefusal(fixture.start(1, 1).Results, "ErrStaleEpoch")
		})
	})
	t.Run("worker not read", func(t *testing.T) {
		withFixture(t, func(fixture *fixture) {
			fixture.agent.Close()
			fixture.runtime.setFaults(unavailable("List"), nil)
			fixture.startAgent(2)
			fixture.wantNone(fixture.start(2, 1).Results)
			fixture.wantNone(fixture.stop(1))
		})
	})
}

// TestRestartAdoptsTasks guards against a lost end or a second run when the agent restarts while
// tasks run or have ended.
func TestRestartAdoptsTasks(t *testing.T) {
	for _, state := range []worker.State{worker.Running, worker.Finished} {
		t.Run(string(state), func(t *testing.T) {
			withFixture(t, func(fixture *fixture) {
				fixture.launch(1)
				fixture.agent.Close()
				fixture.runtime.setState(testTask, state)
				fixture.startAgent(2)
				fixture.sleep(2 * time.Second)
				fixture.wantOK(fixture.start(2, 1).Results)
				if fixture.runtime.starts != 1 {
					fixture.Fatalf("worker started the task %d times", fixture.runtime.starts)
				}
				if state == worker.Finished {
					if got := fixture.entry.reportedState(testTask); got != worker.Finished {
						fixture.Fatalf("reported as %q", got)
					}
				} else if entries := fixture.ledgerEntries(); len(entries) != 1 || !entries[0].Running {
					fixture.Fatalf("ledger has %v", entries)
				}
			})
		})
	}
}

// TestLeaseLapseStopsTasks guards against tasks that continue after the lease lapsed, and against
// ends that are removed before they are recorded.
func TestLeaseLapseStopsTasks(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.launch(1)
		fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			return nil, worker.ErrUnavailable{Reason: "test"}
		})
		fixture.sleep(20 * time.Second)
		fixture.wantState(worker.Stopped)
		if fixture.runtime.expiry > worker.Instant(clock.Time(61_000).Add(20*clock.Second)) {
			fixture.Fatalf("worker's lease was extended to %d", fixture.runtime.expiry)
		}
		fixture.entry.setAnswer(nil)
		fixture.sleep(5 * time.Second)
		fixture.entry.mu.Lock()
		fixture.entry.recordEnds = true
		fixture.entry.mu.Unlock()
		fixture.sleep(5 * time.Second)
		if state := fixture.entry.reportedState(testTask); state != worker.Stopped || fixture.runtime.state(testTask) != "" {
			fixture.Fatalf("reported as %q, worker has %q", state, fixture.runtime.state(testTask))
		}
	})
}

// TestOldGrantIsIgnored guards against accepting a lease from an earlier granter after one from a
// newer granter.
func TestOldGrantIsIgnored(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		revision := uint64(7)
		fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) { return grantReply(revision), nil })
		fixture.sleep(5 * time.Second)
		fixture.entry.mu.Lock()
		revision = 5
		fixture.entry.mu.Unlock()
		fixture.sleep(21 * time.Second)
		if fixture.agent.Ready() {
			fixture.Fatal("agent took a lease of a former granter")
		}
	})
}

// TestRedirectsArePaced guards against a loop of announcements while no entry accepts them: entries
// redirect to each other, or a leaving entry names no home.
func TestRedirectsArePaced(t *testing.T) {
	for name, home := range map[string]func(count int) string{
		"disagreeing entries": func(count int) string { return []string{"e1", "e2"}[count%2] },
		"no home":             func(int) string { return "" },
		"the same entry":      func(int) string { return "balancer" },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(fixture *fixture) {
				before := len(fixture.entry.heartbeats)
				fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
					if len(fixture.entry.heartbeats) > 1000 {
						return grantReply(1), nil
					}
					return &controlpb.AnnounceReply{Home: &controlpb.EntryState{ControlAddress: home(len(fixture.entry.heartbeats))}}, nil
				})
				fixture.sleep(40 * time.Second)
				if sent := len(fixture.entry.heartbeats) - before; sent > 10+maxRedirects {
					fixture.Fatalf("%d announcements in 10 heartbeats", sent)
				}
			})
		})
	}
}

// TestFindsHome guards against a redirected agent that waits for the next heartbeat, and against an
// agent that stays with an unresponsive entry.
func TestFindsHome(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.agent.Close()
		fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			switch fixture.entry.addresses[len(fixture.entry.addresses)-1] {
			case "balancer":
				return &controlpb.AnnounceReply{Home: &controlpb.EntryState{ControlAddress: "e2"}}, nil
			case "e2":
				return nil, worker.ErrUnavailable{Reason: "test"}
			}
			return grantReply(1), nil
		})
		fixture.startAgent(2)
		fixture.agent.control.Call(func() {
			fixture.agent.finder.entries = []*controlpb.EntryState{{ControlAddress: "e1"}, {ControlAddress: "e2"}}
		})
		fixture.sleep(16 * time.Second)
		if !fixture.agent.Ready() {
			fixture.Fatalf("agent has no lease after announcements to %v", fixture.entry.addresses)
		}
	})
}

// TestHangingStartsDoNotDelayRenewal guards against a lapse of the lease on the worker because
// hanging starts of other tasks run into their timeouts one after the other.
func TestHangingStartsDoNotDelayRenewal(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.launch(1)
		fixture.runtime.setFaults(func(ctx context.Context, call string) error {
			if call == "Start" {
				<-ctx.Done()
				return worker.ErrUnavailable{Reason: "test"}
			}
			return nil
		}, nil)
		fixture.agent.control.Call(func() {
			for index := range 20 {
				name := ident.Task{Job: "hanging", Index: index}
				_ = fixture.agent.ledger.Reserve("r", name, 1, unit.Resources{CPU: 1}, 0, fixture.runtime.time.Now())
				_, _ = fixture.agent.ledger.Start("r", name, 1, fixture.runtime.time.Now())
				fixture.agent.tasks[name] = &task{spec: worker.Spec{Task: name, Epoch: 1}}
			}
		})
		for range 60 {
			fixture.sleep(time.Second)
			fixture.runtime.mu.Lock()
			expiry, now := fixture.runtime.expiry, worker.Instant(fixture.runtime.time.Now())
			fixture.runtime.mu.Unlock()
			if expiry <= now {
				fixture.Fatalf("lease on the worker ended at %d, now %d", expiry, now)
			}
		}
	})
}

// TestHangingForgetDoesNotDelayReports guards against unreported ends while the worker hangs on
// removing other tasks.
func TestHangingForgetDoesNotDelayReports(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.entry.recordEnds = true
		fixture.runtime.setFaults(func(ctx context.Context, call string) error {
			if call == "Forget" {
				<-ctx.Done()
				return worker.ErrUnavailable{Reason: "test"}
			}
			return nil
		}, nil)
		fixture.runtime.mu.Lock()
		for index := range 50 {
			name := ident.Task{Job: "old", Index: index}
			fixture.runtime.tasks[name] = worker.Status{Task: name, Epoch: 1, State: worker.Finished}
		}
		fixture.runtime.mu.Unlock()
		fixture.agent.Close()
		fixture.startAgent(2)
		fixture.sleep(4 * time.Second)
		fixture.launch(1)
		fixture.runtime.setState(testTask, worker.Finished)
		fixture.sleep(4 * clock.Second.Duration())
		if state := fixture.entry.reportedState(testTask); state != worker.Finished {
			fixture.Fatalf("reported as %q, want Finished", state)
		}
	})
}

// TestShutdown guards against a graceful shutdown that returns while tasks run because a stop was
// not confirmed, and against goroutines that start after Close.
func TestShutdown(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.launch(1)
		fixture.runtime.setFaults(unavailable("Stop"), nil)
		fixture.entry.recordEnds = true
		time.AfterFunc(3*time.Second, func() { fixture.runtime.setFaults(nil, nil) })
		if err := fixture.agent.Shutdown(fixture.Context()); err != nil {
			fixture.Fatal(err)
		}
		if state := fixture.entry.reportedState(testTask); state != worker.Stopped {
			fixture.Fatalf("reported as %q, want Stopped", state)
		}
		fixture.agent.spawn(func() { fixture.Error("goroutine started after Close") })
		fixture.wantNone(fixture.start(ident.Incarnation(1), 2).Results)
	})
}
