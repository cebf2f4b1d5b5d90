package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const (
	staleTask = "0123456789abcdef.0.0.0"
	// staleLease is the lease of the worker of the tests of stale orders.
	staleLease = 3 * clock.Second
	// staleStep is the step in which they advance the clock while the agent is at work.
	staleStep = 10 * clock.Millisecond
)

// leasedWorker is a worker whose lease and clock follow the fake clock.
type leasedWorker struct {
	clock *clock.Fake
	mu    sync.Mutex
	// unresponsive leaves all calls unanswered and without effect.
	unresponsive bool
	// heldStart receives the next start instead of the worker, if it is not nil. The start gets no answer.
	heldStart chan StartCall
	leaseEnd  WorkerTime
	running   map[runKey]bool
	stopped   map[runKey]bool
	ends      []Ended
	// onStart is called when a start takes effect, if it is not nil.
	onStart func(call StartCall)
	// onListing is called once before the next listing is answered, if it is not nil, and answerDelay is how long that answer
	// takes.
	onListing   func()
	answerDelay clock.Millis
	// started holds the times of the starts that took effect.
	started []clock.Time
	// hasLapsed reports that the lease has lapsed, and acknowledged is the number of the last end that was acknowledged.
	hasLapsed    bool
	acknowledged int64
}

func (worker *leasedWorker) now() WorkerTime { return WorkerTime(worker.clock.Now()) }

func (worker *leasedWorker) Start(_ context.Context, call StartCall) error {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.heldStart != nil {
		worker.heldStart <- call
		worker.heldStart = nil
		return errNoAnswer
	}
	return worker.start(call)
}

// start carries out a start. The caller must hold the lock.
func (worker *leasedWorker) start(call StartCall) error {
	key := runKey{call.Task, call.Run}
	switch {
	case worker.unresponsive:
		return errNoAnswer
	case call.Deadline <= worker.now():
		return ErrRefused{Refusal: RefusedLate}
	case worker.running[key]:
		return nil
	case worker.stopped[key]:
		return ErrRefused{Refusal: RefusedOutdated}
	}
	worker.leaseEnd = max(worker.leaseEnd, call.Deadline)
	worker.running[key] = true
	if worker.onStart != nil {
		worker.onStart(call)
	}
	worker.started = append(worker.started, worker.clock.Now())
	return nil
}

func (worker *leasedWorker) Stop(_ context.Context, call StopCall) error {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.unresponsive {
		return errNoAnswer
	}
	key := runKey{call.Task, call.Run}
	worker.stopped[key] = true
	worker.end(key, "stopped")
	return nil
}

// end ends a run if it is active. The caller must hold the lock.
func (worker *leasedWorker) end(key runKey, reason string) {
	if worker.running[key] {
		delete(worker.running, key)
		worker.stopped[key] = true
		worker.ends = append(worker.ends, Ended{
			Number: int64(len(worker.ends) + 1), Task: key.task, Run: key.number, Cause: workflow.Interrupted, Reason: reason,
		})
	}
}

func (worker *leasedWorker) Pace(context.Context, PaceCall) error { return nil }

func (worker *leasedWorker) Renew(_ context.Context, call RenewCall) (Listing, error) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.unresponsive {
		return Listing{}, errNoAnswer
	}
	for key := range worker.running {
		if worker.leaseEnd <= worker.now() {
			worker.end(key, "lapsed")
		}
	}
	worker.hasLapsed = worker.hasLapsed || worker.leaseEnd != 0 && worker.leaseEnd <= worker.now()
	worker.acknowledged = max(worker.acknowledged, call.RecordedEnd)
	worker.leaseEnd = max(worker.leaseEnd, call.Deadline)
	if worker.onListing != nil {
		worker.onListing()
		worker.onListing = nil
	}
	listing := Listing{Clock: worker.now(), StartedAt: call.Incarnation.StartedAt, Ended: worker.ends}
	for key := range worker.running {
		listing.Active = append(listing.Active, Active{Task: key.task, Run: key.number})
	}
	worker.clock.Advance(worker.answerDelay)
	worker.answerDelay = 0
	return listing, nil
}

func (worker *leasedWorker) update(change func()) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	change()
}

// suspendedClock is a clock that includes the time during which its machine is suspended. The clock that it is based on does
// not.
type suspendedClock struct {
	*clock.Fake
	suspended atomic.Int64
}

func (source *suspendedClock) Now() clock.Time {
	return source.Fake.Now().Add(clock.Millis(source.suspended.Load()))
}

// staleFixture plays the leader and the worker of a supervisor on a fake clock.
type staleFixture struct {
	t          *testing.T
	clock      *clock.Fake
	boot       *suspendedClock
	clocks     Clocks
	worker     *leasedWorker
	supervisor *Supervisor
	term       int64
	rejections []session.Rejection
	// received is the number of the newest report that the leader has.
	received uint64
}

func newStaleFixture(t *testing.T) *staleFixture {
	t.Helper()
	source := clock.NewFake(clock.Time(clock.Minute))
	worker := &leasedWorker{clock: source, running: map[runKey]bool{}, stopped: map[runKey]bool{}}
	boot := &suspendedClock{Fake: source}
	fixture := &staleFixture{t: t, clock: source, boot: boot, clocks: Clocks{Boot: boot, Steady: source}, worker: worker, term: 1}
	fixture.startSupervisor()
	fixture.passUntil("a listing", func() bool { return fixture.supervisor.worker.clockReadAt != 0 })
	fixture.grant(fixture.report())
	return fixture
}

// startSupervisor starts the agent and announces its worker.
func (fixture *staleFixture) startSupervisor() {
	fixture.supervisor = New(fixture.clocks, fixture.worker, "node", testBounds(staleLease))
	fixture.t.Cleanup(fixture.supervisor.Close)
	fixture.supervisor.loop.Call(fixture.supervisor.beginSession)
	fixture.supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}})
}

// pass lets the agent work for a time.
func (fixture *staleFixture) pass(millis clock.Millis) {
	for passed := clock.Millis(0); passed < millis; passed += staleStep {
		fixture.clock.Advance(staleStep)
		time.Sleep(time.Millisecond) // Calls of the agent are made in the background.
	}
}

// suspend suspends the machine of the agent and the worker for a time.
func (fixture *staleFixture) suspend(millis clock.Millis) { fixture.boot.suspended.Add(int64(millis)) }

// passUntil lets the agent work until the condition holds on the control loop.
func (fixture *staleFixture) passUntil(event string, condition func() bool) {
	fixture.t.Helper()
	for range 100 {
		holds := false
		fixture.supervisor.loop.Call(func() { holds = condition() })
		if holds {
			return
		}
		fixture.pass(staleStep)
	}
	fixture.t.Fatalf("%s did not happen", event)
}

// report returns the sequence number of a report of the agent.
func (fixture *staleFixture) report() uint64 {
	var report *session.Report
	fixture.supervisor.loop.Call(func() { report = fixture.supervisor.nextReport() })
	fixture.rejections = append(fixture.rejections, report.Rejections...)
	return report.Sequence
}

// receive passes orders of the leader to the agent.
func (fixture *staleFixture) receive(orders *session.Orders) {
	fixture.t.Helper()
	orders.Term, orders.Sequence = fixture.term, fixture.received
	fixture.supervisor.loop.Call(func() {
		if !fixture.supervisor.acceptOrders(orders) {
			fixture.t.Errorf("orders of term %d refused", orders.Term)
		}
	})
}

// grant grants the lease on the report with the sequence number.
func (fixture *staleFixture) grant(sequence uint64) {
	fixture.t.Helper()
	fixture.received = sequence
	fixture.receive(&session.Orders{Lease: staleLease})
}

// order orders run 1 of the task.
func (fixture *staleFixture) order() {
	fixture.t.Helper()
	fixture.receive(startOrders(staleTask, 3000))
}

// startOrders returns orders to start run 1 of a task.
func startOrders(task string, cpu unit.MilliCPU) *session.Orders {
	return &session.Orders{Starts: []session.Start{{
		Incarnation: "i-1@10@node", Task: task, Run: 1, Reserved: unit.Resources{CPU: cpu, Memory: 10},
	}}}
}

// changeSession ends the session and begins one with the leader of a term.
func (fixture *staleFixture) changeSession(term int64) {
	fixture.term, fixture.received = term, 0
	fixture.supervisor.loop.Call(fixture.supervisor.beginSession)
}

// setUnresponsive makes the worker leave calls unanswered until the agent has noticed, or answer again.
func (fixture *staleFixture) setUnresponsive(unresponsive bool) {
	fixture.worker.update(func() { fixture.worker.unresponsive = unresponsive })
	fixture.passUntil("a change of the worker's answers", func() bool {
		return unresponsive == (fixture.supervisor.worker.unansweredListings >= unresponsiveListings)
	})
}

// lapseWorker makes the worker leave calls unanswered until the agent has noticed its lapse. It calls before half a second
// earlier. The leader's grants go on all the while.
func (fixture *staleFixture) lapseWorker(before func()) {
	fixture.t.Helper()
	fixture.setUnresponsive(true)
	called := false
	for range 100 {
		lapsed, left := false, clock.Millis(0)
		fixture.supervisor.loop.Call(func() {
			lapsed = fixture.supervisor.worker.lapsed
			left = lapse() - fixture.clock.Now().Sub(fixture.supervisor.worker.leaseSentAt)
		})
		if lapsed {
			return
		}
		if left < 500 && !called {
			called = true
			before()
		}
		fixture.grant(fixture.report())
		fixture.pass(100)
	}
	fixture.t.Fatal("the worker did not lapse")
}

// check fails the test unless the run has started or, if it must not start, has been rejected for the reason and is
// refused by the worker from then on.
func (fixture *staleFixture) check(wantStart bool, wantReason string) {
	fixture.t.Helper()
	fixture.passUntil("a start or a rejection", func() bool {
		fixture.worker.mu.Lock()
		defer fixture.worker.mu.Unlock()
		return len(fixture.rejections)+len(fixture.supervisor.rejections)+len(fixture.worker.started) > 0
	})
	fixture.report()
	if wantReason == "" && len(fixture.rejections) > 0 || wantReason != "" && (len(fixture.rejections) != 1 || fixture.rejections[0].Reason != wantReason) {
		fixture.t.Errorf("got rejections %+v, want reason %q", fixture.rejections, wantReason)
	}
	fixture.worker.update(func() {
		if got := len(fixture.worker.started) == 1; got != wantStart {
			fixture.t.Errorf("started at %v, want a start: %v", fixture.worker.started, wantStart)
		}
		call := StartCall{Task: staleTask, Run: 1, Deadline: fixture.worker.now() + WorkerTime(staleLease)}
		if err := fixture.worker.start(call); !wantStart && !IsErrRefused(err) {
			fixture.t.Errorf("got %v for a late start, want a refusal", err)
		}
	})
}

// lapse is the time after which the leader declares the lapse of the worker.
func lapse() clock.Millis { return election.WorkerStoppedAfter(staleLease) }

// TestStartOrderedBeforeLapseIsRefused guards against a second run of a task: an agent that was paused came back after
// the leader had declared the lapse of its worker's lease and had placed the tasks elsewhere, got a new grant and
// carried out the start that had queued before.
func TestStartOrderedBeforeLapseIsRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		play       func(fixture *staleFixture)
		wantStart  bool
		wantReason string
	}{
		"agent was paused, then the order and a new grant": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(lapse())
			fixture.order()
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"report and grant cross the lapse": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(lapse() - 50)
			sequence := fixture.report()
			fixture.order()
			fixture.pass(100)
			fixture.grant(sequence)
		}, wantReason: reasonLeaseEnded},
		"order waits for a lease until a later grant": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(staleLease - 10)
			fixture.setUnresponsive(true)
			fixture.order()
			fixture.pass(400)
			fixture.setUnresponsive(false)
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"order waits for the worker from before the lapse": {play: func(fixture *staleFixture) {
			fixture.pass(1800)
			fixture.setUnresponsive(true)
			fixture.order()
			fixture.clock.Advance(1200)
			fixture.grant(fixture.report())
			fixture.setUnresponsive(false)
		}, wantReason: reasonLeaseEnded},
		"link was silent and a new session has no such order": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(lapse())
			fixture.order()
			fixture.changeSession(1)
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"new session without a lapse repeats the order": {play: func(fixture *staleFixture) {
			fixture.setUnresponsive(true)
			fixture.order()
			fixture.changeSession(1)
			fixture.grant(fixture.report())
			fixture.order()
			fixture.setUnresponsive(false)
		}, wantStart: true},
		"new leader after the lapse": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(lapse())
			fixture.order()
			fixture.changeSession(2)
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"new leader without a lapse": {play: func(fixture *staleFixture) {
			fixture.setUnresponsive(true)
			fixture.order()
			fixture.changeSession(2)
			fixture.grant(fixture.report())
			fixture.setUnresponsive(false)
		}, wantStart: true},
		"start in flight when the lease ends": {play: func(fixture *staleFixture) {
			held := make(chan StartCall, 1)
			fixture.worker.update(func() { fixture.worker.heldStart = held })
			fixture.order()
			call := <-held
			fixture.worker.update(func() { fixture.worker.unresponsive = true })
			fixture.clock.Advance(lapse())
			fixture.worker.update(func() {
				fixture.worker.unresponsive = false
				if err := fixture.worker.start(call); !IsErrRefused(err) {
					fixture.t.Errorf("got %v for a start after the lease, want a refusal", err)
				}
			})
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"leases are granted without a gap": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(staleLease - 600)
			fixture.order()
			fixture.grant(fixture.report())
		}, wantStart: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newStaleFixture(t)
			test.play(fixture)
			fixture.check(test.wantStart, test.wantReason)
		})
	}
}

// TestStartBeforeReportedLapseIsRefused guards against a second run of a task: the agent reports that its worker has
// lapsed, whereupon the leader places the worker's tasks elsewhere, and the worker answers again and gets a start that was
// ordered before the leader had that report.
func TestStartBeforeReportedLapseIsRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		orderWaits bool
		play       func(fixture *staleFixture)
		wantStart  bool
		wantReason string
	}{
		"order waits when the lapse is reported": {orderWaits: true, play: func(fixture *staleFixture) {
			fixture.grant(fixture.report())
		}, wantReason: reasonLeaseEnded},
		"order crosses the report": {play: func(fixture *staleFixture) {
			sequence := fixture.report()
			fixture.order()
			fixture.grant(sequence)
		}, wantReason: reasonLeaseEnded},
		"order follows the report": {play: func(fixture *staleFixture) {
			fixture.grant(fixture.report())
			fixture.order()
		}, wantStart: true},
		"new session": {play: func(fixture *staleFixture) {
			fixture.report()
			fixture.changeSession(1)
			fixture.grant(fixture.report())
			fixture.order()
		}, wantStart: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newStaleFixture(t)
			fixture.lapseWorker(func() {
				if test.orderWaits {
					fixture.order()
				}
			})
			test.play(fixture)
			fixture.setUnresponsive(false)
			fixture.check(test.wantStart, test.wantReason)
		})
	}
}

// TestRefusedStartNeverRuns guards against a rejection of a run that starts later: an earlier process of the agent had made
// the start call, which the worker carries out seconds later, and the present one has refused the start meanwhile.
func TestRefusedStartNeverRuns(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		draining   bool
		otherRun   bool
		wantReason string
	}{
		"worker drains": {draining: true, wantReason: "Draining"},
		"no room":       {otherRun: true, wantReason: "Room"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newStaleFixture(t)
			held := make(chan StartCall, 1)
			fixture.worker.update(func() { fixture.worker.heldStart = held })
			fixture.order()
			call := <-held
			fixture.supervisor.Close()
			fixture.startSupervisor()
			fixture.supervisor.Announce(Announcement{
				Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 2, Capacity: unit.Resources{CPU: 4000, Memory: 4000}, Draining: test.draining,
			})
			fixture.passUntil("a listing", func() bool { return fixture.supervisor.worker.clockReadAt != 0 })
			fixture.grant(fixture.report())
			if test.otherRun {
				fixture.receive(&session.Orders{Starts: []session.Start{{
					Incarnation: "i-1@10@node", Task: "0123456789abcdef.0.0.1", Run: 1, Reserved: unit.Resources{CPU: 3000, Memory: 10},
				}}})
				fixture.passUntil("the other start", func() bool {
					fixture.worker.mu.Lock()
					defer fixture.worker.mu.Unlock()
					return len(fixture.worker.started) == 1
				})
			}
			fixture.order()
			fixture.passUntil("a rejection", func() bool { return len(fixture.supervisor.rejections) > 0 })
			fixture.report()
			if len(fixture.rejections) != 1 || fixture.rejections[0].Reason != test.wantReason {
				t.Errorf("got rejections %+v, want one for %q", fixture.rejections, test.wantReason)
			}
			fixture.worker.update(func() {
				if err := fixture.worker.start(call); !IsErrRefused(err) {
					t.Errorf("got %v for the late start of a rejected run, want a refusal", err)
				}
			})
		})
	}
}
