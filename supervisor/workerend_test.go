package supervisor

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// fakeDirectory is a directory without a leader whose entries store or only keep the ends of workers.
type fakeDirectory struct {
	stores  atomic.Bool
	reports atomic.Int64
	// latest is the report that arrived last.
	latest atomic.Pointer[session.WorkerEnd]
}

func (*fakeDirectory) NextEntry(context.Context, string) (string, error) {
	return "", errors.New("no leader")
}

func (*fakeDirectory) LeaderAfter(context.Context, int64) (string, bool) { return "", false }

func (fake *fakeDirectory) EndWorker(_ context.Context, _ string, end *session.WorkerEnd) (bool, error) {
	fake.reports.Add(1)
	fake.latest.Store(end)
	return fake.stores.Load(), nil
}

// shutDown starts a shutdown and returns a channel that is closed when it is complete.
func shutDown(t *testing.T, supervisor *Supervisor) <-chan struct{} {
	t.Helper()
	done := make(chan struct{})
	go func() {
		supervisor.Shutdown(t.Context())
		close(done)
	}()
	return done
}

func assertStopped(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(eventTimeout):
		t.Error("the supervisor does not stop")
	}
}

// TestShutdownWaitsUntilWorkerEndIsStored guards against an agent that stops although nobody else knows for certain that
// its worker has ended: the worker's tasks then wait until a lease has lapsed.
func TestShutdownWaitsUntilWorkerEndIsStored(t *testing.T) {
	for name, goneFirst := range map[string]bool{"worker is gone": true, "worker shuts down and is gone later": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, directory := newRuntime(), &fakeDirectory{}
			supervisor := newSupervisor(t, fake)
			supervisor.Follow(directory)
			if goneFirst {
				fake.update(func() { fake.refusedListings = -1 })
				await(t, supervisor, "the report", func() bool { return directory.reports.Load() > 0 })
			} else {
				supervisor.Leave("i-1")
			}
			done := shutDown(t, supervisor)
			time.Sleep((2 * goneTimeout).Duration())
			select {
			case <-done:
				t.Fatal("the supervisor stopped before the end of its worker was stored")
			default:
			}
			fake.update(func() { fake.refusedListings = -1 })
			directory.stores.Store(true)
			assertStopped(t, done)
			if directory.reports.Load() == 0 {
				t.Error("the end of the worker was not reported")
			}
		})
	}
}

// TestShutdownLeavesLiveWorker guards against an agent that waits, although its worker works on and its next process
// takes over.
func TestShutdownLeavesLiveWorker(t *testing.T) {
	directory := &fakeDirectory{}
	supervisor := newSupervisor(t, newRuntime())
	supervisor.Follow(directory)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	assertStopped(t, shutDown(t, supervisor))
	if got := directory.reports.Load(); got != 0 {
		t.Errorf("got %d reports of the end of a live worker", got)
	}
}

// TestWorkerThatAnswersAgainIsNotReported guards against reporting the end of a worker whose process only did not accept
// connections for a while.
func TestWorkerThatAnswersAgainIsNotReported(t *testing.T) {
	fake, directory := newRuntime(), &fakeDirectory{}
	supervisor := newSupervisor(t, fake)
	supervisor.Follow(directory)
	fake.update(func() { fake.refusedListings = -1 })
	await(t, supervisor, "the report", func() bool { return directory.reports.Load() > 0 })
	fake.update(func() { fake.refusedListings = 0 })
	await(t, supervisor, "the end of the reports", func() bool { return supervisor.worker.endReport == endNotReported })
	reports := directory.reports.Load()
	time.Sleep((3 * endRetryInterval).Duration())
	if got := directory.reports.Load(); got != reports {
		t.Errorf("got %d more reports of a worker that answers", got-reports)
	}
}

// TestShutdownWaitsForWorkerThatStopsListening guards against an agent that stops in the moment between the end of its
// worker and the time when that is certain: nobody reports the end then.
func TestShutdownWaitsForWorkerThatStopsListening(t *testing.T) {
	fake, directory := newRuntime(), &fakeDirectory{}
	directory.stores.Store(true)
	supervisor := newSupervisor(t, fake)
	supervisor.Follow(directory)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	fake.update(func() { fake.refusedListings = -1 })
	await(t, supervisor, "a refused listing", func() bool { return supervisor.worker.notListeningSince != 0 })
	assertStopped(t, shutDown(t, supervisor))
	if directory.reports.Load() == 0 {
		t.Error("the end of the worker was not reported")
	}
}

// TestEndOfReplacedWorkerIsReported guards against ends of runs that are forgotten because the next worker of the node
// is announced before the end of the last one was noticed.
func TestEndOfReplacedWorkerIsReported(t *testing.T) {
	directory := &fakeDirectory{}
	supervisor := newSupervisor(t, newRuntime())
	supervisor.Follow(directory)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-2", StartedAt: 11}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}})
	await(t, supervisor, "the report", func() bool { return directory.reports.Load() > 0 })
	done := shutDown(t, supervisor)
	select {
	case <-done:
		t.Fatal("the supervisor stopped before the end of its earlier worker was stored")
	case <-supervisor.clocks.Boot.After(2 * endRetryInterval):
	}
	directory.stores.Store(true)
	assertStopped(t, done)
}

// TestWorkerEndHasCheckpoints guards against work that is done again: a new leader does not know the checkpoints that
// were reported to the last one only, and the worker that has them is gone.
func TestWorkerEndHasCheckpoints(t *testing.T) {
	supervisor := newSupervisor(t, newRuntime())
	worker := &workerState{incarnation: "i-1@10@node", lapsed: true, ended: true, recordedEnd: 1, listing: Listing{
		Active: []Active{{Task: "0123456789abcdef.0.0.0", Run: 2, Saved: "c2"}, {Task: "0123456789abcdef.0.0.1", Run: 1}},
		Ended:  []Ended{{Number: 1, Task: "0123456789abcdef.0.0.2", Run: 1, Cause: workflow.Finished}},
	}}
	var end *session.WorkerEnd
	supervisor.loop.Call(func() { end = supervisor.newWorkerEnd(worker) })
	if len(end.Ends) != 1 || end.Ends[0].Run != 2 || end.Ends[0].Cause != workflow.Interrupted || end.Ends[0].Saved != "c2" {
		t.Errorf("got %+v, want the interrupted run with its checkpoint", end.Ends)
	}
}

// TestGrantAfterManyReportsCounts guards against a worker that loses its lease for the rest of a session: its agent kept
// the times of the first 32 reports without a grant only, and ignored each grant for a later one.
func TestGrantAfterManyReportsCounts(t *testing.T) {
	for name, answered := range map[string]bool{"leader may not grant leases for a while": true, "burst of ends": false} {
		t.Run(name, func(t *testing.T) {
			supervisor := newSupervisor(t, newRuntime())
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			supervisor.loop.Call(func() {
				supervisor.beginSession()
				supervisor.grant.until = supervisor.clocks.Boot.Now()
				for range 40 {
					report := supervisor.nextReport()
					if answered {
						supervisor.acceptOrders(&session.Orders{Term: 1, Sequence: report.Sequence, LeaderLeaseEnded: true})
					}
				}
				supervisor.acceptOrders(&session.Orders{Term: 1, Sequence: supervisor.session.sequence, Lease: clock.Minute})
				if left := supervisor.grant.until.Sub(supervisor.clocks.Boot.Now()); left <= 0 {
					t.Errorf("got a lease that ends in %s after a grant of %s", left, clock.Minute)
				}
				if got := len(supervisor.session.sentAt); got != 1 {
					t.Errorf("the times of %d reports are kept after all were answered, want that of the last", got)
				}
			})
		})
	}
}

// TestNoReportBeginsDuringClose guards against a goroutine that outlives Close: an announcement that arrives meanwhile
// ends the earlier worker, whose report would begin while Close waits for all others.
func TestNoReportBeginsDuringClose(t *testing.T) {
	supervisor := newSupervisor(t, newRuntime())
	supervisor.cancel()
	supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-2", StartedAt: 11}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}})
	supervisor.loop.Call(func() {
		if supervisor.pendingEnds != 0 {
			t.Errorf("got %d pending reports, want none", supervisor.pendingEnds)
		}
	})
}

// TestShutdownWaitsUntilLapseIsStored guards against an agent that stops although nobody else knows that its worker's
// lease has lapsed: after a change of leaders the worker's tasks wait for a lease that was granted for nothing.
func TestShutdownWaitsUntilLapseIsStored(t *testing.T) {
	fake, directory := newRuntime(), &fakeDirectory{}
	supervisor := newSupervisor(t, fake)
	supervisor.Follow(directory)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	fake.update(func() { fake.unresponsive = true })
	await(t, supervisor, "the lapse", func() bool { return supervisor.worker.lapsed })
	done := shutDown(t, supervisor)
	select {
	case <-done:
		t.Errorf("stopped after %d reports, before the lapse was stored", directory.reports.Load())
	case <-supervisor.clocks.Boot.After(2 * endRetryInterval):
	}
}

// TestLapseNamesRuns guards against a report of a lapse whose late copy ends runs that were placed after the worker's
// return: it names the runs that have ended. It must not name a run that may not have started, because the leader may order
// it again and a later process of the agent then starts it.
func TestLapseNamesRuns(t *testing.T) {
	fake, directory := newRuntime(), &fakeDirectory{}
	supervisor := newSupervisor(t, fake)
	supervisor.Follow(directory)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.sendOrder(1, false)
	await(t, supervisor, "a start", func() bool { return len(supervisor.worker.listing.Active) == 1 })
	fake.update(func() { fake.unresponsive = true })
	supervisor.loop.Call(func() {
		supervisor.applyOrders(&session.Orders{Term: 1, Starts: []session.Start{{
			Incarnation: supervisor.worker.incarnation, Task: "0123456789abcdef.0.0.1", Run: 4, Reserved: unit.Resources{CPU: 100, Memory: 10},
		}}})
	})
	await(t, supervisor, "the report", func() bool { return directory.latest.Load() != nil })
	end := directory.latest.Load()
	if !end.Lapsed || len(end.Ends) != 1 || end.Ends[0].Task != "0123456789abcdef.0.0.0" || end.Ends[0].Run != 1 || end.Ends[0].Cause != workflow.Interrupted {
		t.Errorf("got %+v, want a lapse with the end of the run that was active", end)
	}
}

// TestEndAfterLapseIsReported guards against an agent that has the lapse of its worker stored and stops, although the
// worker's process has ended since: its runs that the lapse does not name then wait for a lease.
func TestEndAfterLapseIsReported(t *testing.T) {
	for name, stored := range map[string]bool{"lapse is stored": true, "lapse is not stored yet": false} {
		t.Run(name, func(t *testing.T) {
			fake, directory := newRuntime(), &fakeDirectory{}
			directory.stores.Store(stored)
			supervisor := newSupervisor(t, fake)
			supervisor.Follow(directory)
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			fake.update(func() { fake.unresponsive = true })
			await(t, supervisor, "the lapse", func() bool {
				end := directory.latest.Load()
				return end != nil && end.Lapsed && (supervisor.worker.endReport == endStored) == stored
			})
			fake.update(func() { fake.refusedListings = -1 })
			await(t, supervisor, "the report of the end", func() bool { return !directory.latest.Load().Lapsed })
			directory.stores.Store(true)
			assertStopped(t, shutDown(t, supervisor))
			if directory.latest.Load().Lapsed {
				t.Error("the last report is that of the lapse, want the end")
			}
		})
	}
}

// TestHungWorkerOfRestartedAgentLapses guards against tasks that wait for ever: an agent that was restarted has sent its
// worker no call that extends the lease, and the worker never answers it, or only its first listing.
func TestHungWorkerOfRestartedAgentLapses(t *testing.T) {
	for name, answersOnce := range map[string]bool{"worker never answers": false, "worker answers one listing": true} {
		t.Run(name, func(t *testing.T) {
			fake, directory := newRuntime(), &fakeDirectory{}
			fake.unresponsive = !answersOnce
			supervisor := New(testClocks(clock.NewSystem()), fake, "node", testBounds(testLease))
			t.Cleanup(supervisor.Close)
			supervisor.Follow(directory)
			startedAt := time.Now()
			supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}})
			if answersOnce {
				await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
				fake.update(func() { fake.unresponsive = true })
			}
			await(t, supervisor, "the lapse", func() bool { return supervisor.worker.lapsed })
			if got, want := time.Since(startedAt), election.WorkerStoppedAfter(testLease).Duration(); got < want {
				t.Errorf("the worker lapsed after %s, want %s or more: an earlier process may have extended its lease", got, want)
			}
			await(t, supervisor, "the report", func() bool { return directory.reports.Load() > 0 })
		})
	}
}

// TestProfileFollowsEnd guards against a late copy of the end of a worker that has answered again: the leader tells it from
// a true one by a profile that was reported later.
func TestProfileFollowsEnd(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.loop.Call(func() {
		supervisor.beginSession()
		supervisor.nextReport()
	})
	fake.update(func() { fake.refusedListings = -1 })
	await(t, supervisor, "the end", func() bool { return supervisor.worker.ended })
	var end *session.WorkerEnd
	supervisor.loop.Call(func() { end = supervisor.newWorkerEnd(supervisor.worker) })
	fake.update(func() { fake.refusedListings = 0 })
	await(t, supervisor, "the return", func() bool { return !supervisor.worker.lapsed })
	supervisor.loop.Call(func() {
		report := supervisor.nextReport()
		if report.Worker == nil || report.Worker.Lapsed || report.At <= end.At || end.At == 0 {
			t.Errorf("got the profile %+v at %d after an end at %d, want one that is later", report.Worker, report.At, end.At)
		}
	})
}
