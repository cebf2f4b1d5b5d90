package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const (
	testLease = 600 * clock.Millisecond
	// eventTimeout limits how long await waits for an event.
	eventTimeout = 5 * time.Second
)

// fakeRuntime is a worker that keeps its runs in memory.
type fakeRuntime struct {
	mu           sync.Mutex
	startedAt    time.Time
	unresponsive bool
	// lostStartAnswers is how many of the next starts take effect but fail with errNoAnswer.
	lostStartAnswers int
	// ignoresFirstStart leaves the first start of each run unanswered until its timeout.
	ignoresFirstStart bool
	startAttempted    map[runKey]bool
	// refusedListings is how many of the next listings fail with ErrNotListening; -1 means all.
	refusedListings int
	// ignoredListings is how many of the next listings are left unanswered until their timeout.
	ignoredListings int
	runs            map[runKey]bool
	ends            []Ended
	stoppedRuns     map[runKey]bool
	starts          int
	paces           map[string]int
	// listedEnds is how many ends a listing has at most, or 0 for no limit.
	listedEnds int
	// id and startedAtMillis identify the process if id is not empty. Otherwise it answers as any incarnation.
	id              string
	startedAtMillis int64
	// laterStartedAt is the start of the process that answers, or 0 if it is that of the call.
	laterStartedAt int64
	// samples holds the listed samples by task, and onPace is called before a pace is set, if it is not nil.
	samples map[string]int64
	onPace  func(call PaceCall)
}

func newRuntime() *fakeRuntime {
	return &fakeRuntime{startedAt: time.Now(), runs: map[runKey]bool{}, stoppedRuns: map[runKey]bool{}, startAttempted: map[runKey]bool{}, paces: map[string]int{}}
}

var errNoAnswer = errors.New("no answer")

func (fake *fakeRuntime) Start(ctx context.Context, call StartCall) error {
	if fake.ignoreStart(runKey{call.Task, call.Run}) {
		<-ctx.Done()
		return ctx.Err()
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.unresponsive {
		return errNoAnswer
	}
	key := runKey{call.Task, call.Run}
	if fake.stoppedRuns[key] {
		return ErrRefused{Refusal: RefusedOutdated}
	}
	if !fake.runs[key] {
		fake.starts++
	}
	fake.runs[key] = true
	if fake.lostStartAnswers > 0 {
		fake.lostStartAnswers--
		return errNoAnswer
	}
	return nil
}

func (fake *fakeRuntime) ignoreStart(key runKey) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	first := !fake.startAttempted[key]
	fake.startAttempted[key] = true
	return fake.ignoresFirstStart && first
}

func (fake *fakeRuntime) Stop(_ context.Context, call StopCall) error {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	key := runKey{call.Task, call.Run}
	fake.stoppedRuns[key] = true
	if fake.runs[key] {
		delete(fake.runs, key)
		fake.ends = append(fake.ends, Ended{Number: int64(len(fake.ends) + 1), Task: call.Task, Run: call.Run, Cause: workflow.Interrupted, Reason: "stopped"})
	}
	return nil
}

func (fake *fakeRuntime) Pace(_ context.Context, call PaceCall) error {
	fake.mu.Lock()
	onPace := fake.onPace
	fake.mu.Unlock()
	if onPace != nil {
		onPace(call)
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.paces[call.Task] = call.Percent
	return nil
}

func (fake *fakeRuntime) ignoreListing() bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.ignoredListings--
	return fake.ignoredListings >= 0
}

func (fake *fakeRuntime) Renew(ctx context.Context, call RenewCall) (Listing, error) {
	if fake.ignoreListing() {
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	select {
	case <-time.After((call.Wait / 10).Duration()):
	case <-ctx.Done():
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.refusedListings != 0 {
		fake.refusedListings = max(-1, fake.refusedListings-1)
		return Listing{}, ErrNotListening{Reason: "connection refused"}
	}
	if fake.unresponsive {
		return Listing{}, errNoAnswer
	}
	if fake.id != "" && call.Incarnation.ID != fake.id {
		return Listing{}, ErrOtherIncarnation{Incarnation: call.Incarnation}
	}
	listing := Listing{Clock: WorkerTime(time.Since(fake.startedAt).Milliseconds()), StartedAt: call.Incarnation.StartedAt}
	if fake.id != "" {
		listing.StartedAt = fake.startedAtMillis
	}
	if fake.laterStartedAt != 0 {
		listing.StartedAt = fake.laterStartedAt
	}
	for key := range fake.runs {
		listing.Active = append(listing.Active, Active{Task: key.task, Run: key.number, Sample: fake.samples[key.task]})
	}
	for _, end := range fake.ends {
		if end.Number > call.RecordedEnd {
			listing.Ended = append(listing.Ended, end)
		}
	}
	if fake.listedEnds > 0 && len(listing.Ended) >= fake.listedEnds {
		listing.Ended, listing.MoreEnds = listing.Ended[:fake.listedEnds], true
	}
	return listing, nil
}

// count returns the number of starts that took effect.
func (fake *fakeRuntime) count() int {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.starts
}

// finish ends a run with success. The caller must hold the lock.
func (fake *fakeRuntime) finish(key runKey) {
	delete(fake.runs, key)
	fake.stoppedRuns[key] = true
	fake.ends = append(fake.ends, Ended{Number: int64(len(fake.ends) + 1), Task: key.task, Run: key.number, Cause: workflow.Finished, Reason: "done"})
}

func (fake *fakeRuntime) update(change func()) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	change()
}

// testClocks returns the clocks of a machine that is never suspended.
func testClocks(source clock.Clock) Clocks { return Clocks{Boot: source, Steady: source} }

func testBounds(lease clock.Millis) Bounds {
	return Bounds{Lease: lease, StopTimeout: 200 * clock.Millisecond, MaxOverTarget: 4 * clock.Second}
}

// newSupervisor returns a supervisor with an announced worker and a lease that is granted for an hour.
func newSupervisor(t *testing.T, fake *fakeRuntime) *Supervisor {
	t.Helper()
	supervisor := New(testClocks(clock.NewSystem()), fake, "node", testBounds(testLease))
	t.Cleanup(supervisor.Close)
	supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 1, Capacity: unit.Resources{CPU: 4000, Memory: 4000}})
	supervisor.loop.Call(func() {
		supervisor.grant = grant{term: 1, until: supervisor.clocks.Boot.Now().Add(clock.Hour)}
	})
	return supervisor
}

func (supervisor *Supervisor) sendOrder(run workflow.Run, stop bool) {
	supervisor.loop.Call(func() {
		orders := &session.Orders{Term: 1, Starts: []session.Start{{
			Incarnation: supervisor.worker.incarnation, Task: "0123456789abcdef.0.0.0", Run: run, Reserved: unit.Resources{CPU: 3000, Memory: 10},
		}}}
		if stop {
			orders.Starts = nil
			orders.Stops = []session.Stop{{Incarnation: supervisor.worker.incarnation, Task: "0123456789abcdef.0.0.0", Run: run}}
		}
		supervisor.applyOrders(orders)
	})
}

// await waits until the condition holds on the control loop.
func await(t *testing.T, supervisor *Supervisor, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		holds := false
		supervisor.loop.Call(func() { holds = condition() })
		if holds {
			return
		}
	}
	t.Fatalf("%s did not happen within %s", event, eventTimeout)
}

// TestUnresponsiveWorkerLapses guards against an unresponsive worker that never counts as lapsed, because each
// unanswered call may have extended its lease. Its standing tasks then had no run for 30 s.
func TestUnresponsiveWorkerLapses(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.sendOrder(1, false)
	await(t, supervisor, "a start", func() bool { return len(supervisor.worker.listing.Active) == 1 })
	fake.update(func() { fake.unresponsive = true })
	supervisor.sendOrder(2, false)
	await(t, supervisor, "the lapse", func() bool { return supervisor.worker.lapsed })
	fake.update(func() { fake.unresponsive = false })
	await(t, supervisor, "the return", func() bool { return !supervisor.worker.lapsed })
}

// TestStartIsRepeatedAfterLostAnswer guards against a run that is started twice or rejected because the answer
// to its start was lost.
func TestStartIsRepeatedAfterLostAnswer(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	fake.update(func() { fake.lostStartAnswers = 2 })
	supervisor.sendOrder(1, false)
	await(t, supervisor, "a start", func() bool { return len(supervisor.worker.listing.Active) == 1 })
	fake.update(func() {
		if fake.starts != 1 {
			t.Errorf("got %d starts, want 1", fake.starts)
		}
	})
	supervisor.loop.Call(func() {
		if len(supervisor.rejections) != 0 {
			t.Errorf("got rejections %v", supervisor.rejections)
		}
	})
}

// TestStopOfUnknownRun guards against a run that starts after its stop. A stop may arrive before its start:
// then the run must be reported as rejected, and the late start must be refused.
func TestStopOfUnknownRun(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.sendOrder(1, true)
	await(t, supervisor, "a rejection", func() bool { return len(supervisor.rejections) == 1 })
	if err := fake.Start(t.Context(), StartCall{Task: "0123456789abcdef.0.0.0", Run: 1}); !IsErrRefused(err) {
		t.Errorf("got %v, want a refusal", err)
	}
}

// TestStartBeyondCapacity guards against starting more runs than fit on a worker that does not check its own
// capacity.
func TestStartBeyondCapacity(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.sendOrder(1, false)
	supervisor.sendOrder(2, false)
	await(t, supervisor, "a rejection", func() bool { return len(supervisor.rejections) == 1 && supervisor.rejections[0].Run == 2 })
}

// TestPaceAfterRestartOfAgent guards against a filling run that stays paused after a restart of the agent,
// although no serving task is near its target, because its pace was set by the earlier process.
func TestPaceAfterRestartOfAgent(t *testing.T) {
	const task = "0123456789abcdef.0.0.0"
	fake := newRuntime()
	fake.runs[runKey{task, 1}] = true
	fake.paces[task] = 0
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return len(supervisor.worker.listing.Active) == 1 })
	supervisor.loop.Call(func() {
		supervisor.applyOrders(&session.Orders{Term: 1, Starts: []session.Start{{
			Incarnation: supervisor.worker.incarnation, Task: task, Run: 1, Fills: true, CPU: 1000,
		}}})
	})
	await(t, supervisor, "the full pace", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.paces[task] == 100
	})
}

// TestEarlierIncarnationIsIgnored guards against a delayed announcement of an earlier incarnation that replaces
// the current one.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	supervisor := newSupervisor(t, newRuntime())
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	if supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-0", StartedAt: 9}, Sequence: 5}) {
		t.Error("an earlier incarnation was accepted")
	}
	if !supervisor.Announce(Announcement{Incarnation: Incarnation{ID: "i-1", StartedAt: 11}, Sequence: 1}) {
		t.Error("a later incarnation with the same id was refused")
	}
}

// TestOutdatedStartIsGivenUp guards against starting a run late, after the start has waited for a lease or for
// the worker: the worker may be draining by then, or its data centre may be out.
func TestOutdatedStartIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		change     func(supervisor *Supervisor)
		wantReason string
	}{
		"worker drains": {func(supervisor *Supervisor) {
			supervisor.Announce(Announcement{
				Incarnation: Incarnation{ID: "i-1", StartedAt: 10}, Sequence: 2, Capacity: unit.Resources{CPU: 4000, Memory: 4000}, Draining: true,
			})
		}, "Draining"},
		"order is old": {func(*Supervisor) { time.Sleep((maxStartAge + 200*clock.Millisecond).Duration()) }, "Overdue"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := newRuntime()
			supervisor := newSupervisor(t, fake)
			await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
			fake.update(func() { fake.unresponsive = true })
			await(t, supervisor, "an unresponsive worker", func() bool { return supervisor.worker.unansweredListings >= unresponsiveListings })
			supervisor.sendOrder(1, false)
			test.change(supervisor)
			fake.update(func() { fake.unresponsive = false })
			await(t, supervisor, "a rejection", func() bool { return len(supervisor.rejections) == 1 })
			supervisor.loop.Call(func() {
				if got := supervisor.rejections[0].Reason; got != test.wantReason {
					t.Errorf("rejected for %q, want %q", got, test.wantReason)
				}
			})
			fake.update(func() {
				if fake.starts != 0 {
					t.Errorf("got %d starts, want none", fake.starts)
				}
			})
		})
	}
}

// maxQuickDelay is how long a quick task of 1 s may be delayed: its objective, 1.5 times 1 s plus 250 ms, minus 1 s.
const maxQuickDelay = 750 * time.Millisecond

// TestUnansweredStartsAreRepeatedSoon guards against quick tasks that miss their objective because starts are
// left unanswered. Each unanswered one occupied one of six call slots for 650 ms, and 50 of 165 quick jobs were
// late. Here a step has 12 tasks, and the worker ignores the first start of each.
func TestUnansweredStartsAreRepeatedSoon(t *testing.T) {
	fake := newRuntime()
	fake.ignoresFirstStart = true
	supervisor := newSupervisor(t, fake)
	const tasks = 12
	startedAt := time.Now()
	supervisor.loop.Call(func() {
		orders := &session.Orders{Term: 1}
		for index := range tasks {
			orders.Starts = append(orders.Starts, session.Start{
				Incarnation: supervisor.worker.incarnation, Task: workflow.Name{Job: "0123456789abcdef", Index: index}.String(), Run: 1,
				Reserved: unit.Resources{CPU: 100, Memory: 10},
			})
		}
		supervisor.applyOrders(orders)
	})
	await(t, supervisor, "start of all", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.starts == tasks
	})
	if duration := time.Since(startedAt); duration > maxQuickDelay {
		t.Errorf("started after %s, want at most %s", duration, maxQuickDelay)
	}
}

// TestUnansweredListingIsRepeatedSoon guards against ends of quick tasks that are noticed late because a
// listing was left unanswered. It took 900 ms until the listing timed out.
func TestUnansweredListingIsRepeatedSoon(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	supervisor.sendOrder(1, false)
	await(t, supervisor, "start", func() bool { return supervisor.worker.runs[runKey{"0123456789abcdef.0.0.0", 1}].phase == phaseStarted })
	fake.update(func() { fake.ignoredListings = 1 })
	await(t, supervisor, "the unanswered listing", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.ignoredListings == 0
	})
	fake.update(func() {
		fake.runs = map[runKey]bool{}
		fake.ends = append(fake.ends, Ended{Number: 1, Task: "0123456789abcdef.0.0.0", Run: 1, Cause: workflow.Finished, Reason: "done"})
	})
	endedAt := time.Now()
	await(t, supervisor, "a listing of the end", func() bool { return len(supervisor.worker.listing.Ended) == 1 })
	if duration := time.Since(endedAt); duration > maxQuickDelay {
		t.Errorf("end listed after %s, want at most %s", duration, maxQuickDelay)
	}
}

// TestGoneWorkerLapsesBeforeItsLeaseEnds guards against tasks that are placed again only when their worker's
// lease ends, after 6.5 s, although the worker's process has ended and nothing listens at its address. A single
// refused listing must not make the worker lapse.
func TestGoneWorkerLapsesBeforeItsLeaseEnds(t *testing.T) {
	cases := map[string]struct {
		refused int
		want    bool
	}{
		"gone for good": {-1, true},
		"missed once":   {1, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newRuntime()
			supervisor := newSupervisor(t, fake)
			supervisor.sendOrder(1, false)
			await(t, supervisor, "start", func() bool { return supervisor.worker.runs[runKey{"0123456789abcdef.0.0.0", 1}].phase == phaseStarted })
			fake.update(func() { fake.refusedListings = test.refused })
			// The lease would end after 918 ms.
			time.Sleep(600 * time.Millisecond)
			lapsed := false
			supervisor.loop.Call(func() { lapsed = supervisor.worker.lapsed })
			if lapsed != test.want {
				t.Errorf("lapsed %v, want %v", lapsed, test.want)
			}
		})
	}
}

// TestWorkerIsUnresponsiveToNewLeader guards against starts on an unresponsive worker after a change of leaders:
// three listings in a row had to fail before the agent said so, and the new leader placed tasks there meanwhile.
func TestWorkerIsUnresponsiveToNewLeader(t *testing.T) {
	supervisor := newSupervisor(t, newRuntime())
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.loop.Call(func() {
		worker := supervisor.worker
		report := func(answers ...error) bool {
			for _, err := range answers {
				supervisor.handleListing(worker, Listing{Clock: worker.workerClock}, supervisor.clocks.Boot.Now(), err)
			}
			supervisor.session.reportedWorker = nil
			return supervisor.nextReport().Worker.Responsive
		}
		cases := []struct {
			name       string
			newSession bool
			answers    []error
			want       bool
		}{
			{"answered before the session", true, []error{nil}, true},
			{"one failure after an answer", false, []error{errNoAnswer}, true},
			{"three failures after an answer", false, []error{errNoAnswer, errNoAnswer}, false},
			{"an answer again", false, []error{nil}, true},
			{"one failure once more", false, []error{errNoAnswer}, true},
			{"a new leader after that failure", true, nil, false},
			{"answered to the new leader", false, []error{nil}, true},
			{"a further leader", true, nil, true},
			{"the first failure in its session", false, []error{errNoAnswer}, false},
			{"answered to the further leader", false, []error{nil}, true},
			{"one failure after that", false, []error{errNoAnswer}, true},
		}
		for _, test := range cases {
			if test.newSession {
				supervisor.beginSession()
			}
			if got := report(test.answers...); got != test.want {
				t.Errorf("%s: responsive %v, want %v", test.name, got, test.want)
			}
		}
	})
}

// TestCloseDoesNotWaitForCallSlot guards against an agent that cannot shut down while all calls to its worker hang.
func TestCloseDoesNotWaitForCallSlot(t *testing.T) {
	supervisor := newSupervisor(t, newRuntime())
	for range maxConcurrentCalls {
		supervisor.callSlots <- struct{}{}
	}
	supervisor.sendOrder(1, true)
	await(t, supervisor, "a call that waits", func() bool { return supervisor.worker.runs[runKey{"0123456789abcdef.0.0.0", 1}].callPending })
	closed := make(chan struct{})
	go func() {
		supervisor.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(eventTimeout):
		t.Error("Close waits for a call slot")
		for range maxConcurrentCalls {
			<-supervisor.callSlots
		}
	}
}
