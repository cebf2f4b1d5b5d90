package platformtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// expectedInstanceHeader holds the id of the incarnation that a call is meant for.
const expectedInstanceHeader = "Hyssopjunction-Expected-Instance"

// runnerTask is a run in progress on a Runner.
type runnerTask struct {
	run      int
	started  time.Time
	duration time.Duration
	fails    bool
}

// Run records one run of a task.
type Run struct {
	Task    string
	Run     int
	Runner  string
	Started time.Time
	// Ended is zero while the run is in progress.
	Ended time.Time
	// Result is how the run ended: "done", "failed", "stopped", "lapsed" or "crashed".
	Result string
	// Acknowledged reports whether the agent has acknowledged the end, and the runner's lease did not lapse between the two.
	// After a lapse the task may run elsewhere, so its end does not count.
	Acknowledged bool
	// AcknowledgedAt is when the agent acknowledged the end, or zero if Acknowledged is false.
	AcknowledgedAt time.Time
}

// Log holds the runs of all runners of a deployment. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	runs []*Run
	// overloads describes the starts that exceeded the capacity of their runner.
	overloads []string
}

// Overloads returns a line for each start that brought a runner over its capacity.
func (log *Log) Overloads() []string {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.overloads)
}

// Runs returns a copy of all runs, in the order in which they started.
func (log *Log) Runs() []Run {
	log.mu.Lock()
	defer log.mu.Unlock()
	copies := make([]Run, 0, len(log.runs))
	for _, record := range log.runs {
		copies = append(copies, *record)
	}
	return copies
}

// Runner is a stand-in of a runner of the platform. It implements http.Handler and is safe for concurrent use.
type Runner struct {
	id        string
	startedAt int64
	log       *Log
	// runPlan returns how long a task runs, where 0 means until it is stopped, and whether it fails.
	runPlan func(task string) (time.Duration, bool)

	mu sync.Mutex
	// clockStart is when the runner's clock was 0. ClockMs, DeadlineMs and deadline count from it. It is a time of now, as
	// all times of tasks.
	clockStart time.Time
	// suspended is the time for which the runner's machine was suspended, before the present suspension. resumed is closed at
	// the end of that one, and nil if there is none; suspendedAt is its beginning.
	suspended   time.Duration
	suspendedAt time.Time
	resumed     chan struct{}
	// token is the highest fencing token of all calls.
	token int64
	// deadline is the end of the lease, and lapsedAt the time at which it last lapsed.
	deadline time.Duration
	lapsedAt time.Time
	// tasks holds the runs in progress, runs the records of the last runs, and highestRun the numbers up to
	// which a start is refused, all by task.
	tasks      map[string]*runnerTask
	runs       map[string]*Run
	highestRun map[string]int
	// ends holds the rows [number, task, run, result, saved] of the ends that the agent has not acknowledged.
	ends [][]any
	// unacknowledged holds the ended runs that the agent has not acknowledged, by the number of the end.
	unacknowledged map[int64]*Run
	lastEnd        int64
	fault          func(request *http.Request) Fault
	// needs returns the processors that a task reserves, and capacities holds the capacities with the times until which a
	// start may use them, the current one last. They are not checked if needs is nil.
	needs      func(task string) int
	capacities []runnerCapacity
	// crash is called crashDelay after the start of a task for which crashes is true.
	crashes    func(task string) bool
	crashDelay time.Duration
	crash      func()
	hasCrashed bool
	// isDown reports that no process answers calls. Otherwise a crashed runner answers that it is another incarnation.
	isDown bool
}

// NewRunner returns an idle runner. startedAt is the start of its incarnation in Unix milliseconds; runPlan
// returns how long a task runs, where 0 means until it is stopped, and whether it fails.
func NewRunner(id string, startedAt int64, log *Log, runPlan func(task string) (time.Duration, bool)) *Runner {
	return &Runner{
		id: id, startedAt: startedAt, log: log, runPlan: runPlan, clockStart: time.Now(),
		tasks: map[string]*runnerTask{}, runs: map[string]*Run{}, highestRun: map[string]int{}, unacknowledged: map[int64]*Run{},
	}
}

// Suspend suspends the runner's machine until Resume: its runs and its clock stand still, and calls wait.
func (runner *Runner) Suspend() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.resumed != nil {
		return
	}
	runner.advance()
	runner.suspendedAt, runner.resumed = time.Now(), make(chan struct{})
}

// Resume ends a suspension.
func (runner *Runner) Resume() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.resumed == nil {
		return
	}
	close(runner.resumed)
	runner.suspended, runner.resumed = runner.suspended+time.Since(runner.suspendedAt), nil
}

// now returns the time of day less the time for which the machine was suspended. The caller must hold the lock.
func (runner *Runner) now() time.Time {
	if runner.resumed != nil {
		return runner.suspendedAt.Add(-runner.suspended)
	}
	return time.Now().Add(-runner.suspended)
}

// lockResumed locks the runner while it is not suspended.
func (runner *Runner) lockResumed() {
	runner.mu.Lock()
	for runner.resumed != nil {
		resumed := runner.resumed
		runner.mu.Unlock()
		<-resumed
		runner.mu.Lock()
	}
}

// SetFault makes fault decide how each call fails from now on; nil means that no call fails.
func (runner *Runner) SetFault(fault func(request *http.Request) Fault) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.fault = fault
}

// runnerCapacity is a capacity in thousandths of a processor that starts may use until a time, or without end if that is zero.
type runnerCapacity struct {
	cpu   int
	until time.Time
}

// SetCapacity replaces the capacity in thousandths of a processor. Starts may use a larger earlier one for the time grace. The
// function needs returns what a task reserves.
func (runner *Runner) SetCapacity(cpu int, grace time.Duration, needs func(task string) int) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.needs = needs
	if last := len(runner.capacities) - 1; last >= 0 {
		runner.capacities[last].until = time.Now().Add(grace)
	}
	runner.capacities = append(runner.capacities, runnerCapacity{cpu: cpu})
}

// checkCapacity records an overload if the runs in progress reserve more than the largest capacity that still counts. The
// caller must hold the lock.
func (runner *Runner) checkCapacity(started string) {
	if runner.needs == nil || len(runner.capacities) == 0 {
		return
	}
	total, allowed := 0, 0
	for task := range runner.tasks {
		total += runner.needs(task)
	}
	for _, capacity := range runner.capacities {
		if capacity.until.IsZero() || time.Now().Before(capacity.until) {
			allowed = max(allowed, capacity.cpu)
		}
	}
	if total > allowed {
		runner.log.mu.Lock()
		defer runner.log.mu.Unlock()
		runner.log.overloads = append(runner.log.overloads, fmt.Sprintf("start of %s on %s: %d of %d in use", started, runner.id, total, allowed))
	}
}

// SetCrash makes each task for which crashes returns true crash the runner the given time after its start: crash is then
// called once on a goroutine of its own, and is expected to call Crash.
func (runner *Runner) SetCrash(crashes func(task string) bool, delay time.Duration, crash func()) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	var once sync.Once
	runner.crashes, runner.crashDelay, runner.crash = crashes, delay, func() { once.Do(crash) }
}

// ServeHTTP implements http.Handler.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	runner.mu.Lock()
	fault, isDown := None, runner.isDown
	if runner.fault != nil {
		fault = runner.fault(request)
	}
	runner.mu.Unlock()
	if isDown {
		panic(http.ErrAbortHandler)
	}
	if fault.intercept(writer, request) {
		return
	}
	if expected := request.Header.Get(expectedInstanceHeader); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := runner.answer(request)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	reply(writer, status, body)
}

// callForm is the body of every call; each kind of call uses some of the fields.
type callForm struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

type runnerAnswer struct {
	ClockMs  int64
	Born     int64   `json:"born"`
	Reason   string  `json:",omitempty"`
	Running  [][]any `json:",omitempty"`
	Finished [][]any `json:",omitempty"`
}

func (runner *Runner) answer(request *http.Request) (int, any) {
	var form callForm
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	if request.URL.Path == "/api/hold" && form.WaitMs > 0 {
		runner.awaitEnd(request, form)
	}
	runner.lockResumed()
	defer runner.mu.Unlock()
	if runner.hasCrashed {
		panic(http.ErrAbortHandler) // A process that has ended carries out nothing and answers nothing.
	}
	runner.advance()
	if form.FencingToken < runner.token {
		return runner.refuse("fence")
	}
	runner.token = form.FencingToken
	switch request.URL.Path {
	case "/api/run-start":
		return runner.start(form)
	case "/api/run-stop":
		runner.highestRun[form.Task] = max(runner.highestRun[form.Task], form.RunID)
		if active, ok := runner.tasks[form.Task]; ok && active.run == form.RunID {
			runner.finish(form.Task, "stopped", runner.now())
		}
		return http.StatusOK, runner.newAnswer()
	case "/api/hold":
		return runner.hold(form)
	case "/api/pace":
		return http.StatusOK, runner.newAnswer()
	default:
		return http.StatusNotFound, struct{}{}
	}
}

// awaitEnd waits until a run has ended that the caller has not seen, at most for the call's WaitMs.
func (runner *Runner) awaitEnd(request *http.Request, form callForm) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < time.Duration(form.WaitMs)*time.Millisecond; waited += step {
		runner.mu.Lock()
		runner.advance()
		isOver := runner.lastEnd > form.LastSeen || runner.hasCrashed
		runner.mu.Unlock()
		if isOver || request.Context().Err() != nil {
			return
		}
		time.Sleep(step)
	}
}

func (runner *Runner) newAnswer() runnerAnswer {
	return runnerAnswer{ClockMs: runner.now().Sub(runner.clockStart).Milliseconds(), Born: runner.startedAt}
}

func (runner *Runner) refuse(reason string) (int, any) {
	answer := runner.newAnswer()
	answer.Reason = reason
	return http.StatusConflict, answer
}

func (runner *Runner) extendLease(deadline int64) {
	runner.deadline = max(runner.deadline, time.Duration(deadline)*time.Millisecond)
}

func (runner *Runner) start(form callForm) (int, any) {
	if time.Duration(form.DeadlineMs)*time.Millisecond <= runner.now().Sub(runner.clockStart) {
		return runner.refuse("late")
	}
	runner.extendLease(form.DeadlineMs)
	if active, ok := runner.tasks[form.Task]; ok && active.run == form.RunID {
		return http.StatusOK, runner.newAnswer()
	}
	if form.RunID <= runner.highestRun[form.Task] {
		return runner.refuse("old")
	}
	duration, fails := runner.runPlan(form.Task)
	runner.highestRun[form.Task] = form.RunID
	runner.tasks[form.Task] = &runnerTask{run: form.RunID, started: runner.now(), duration: duration, fails: fails}
	record := &Run{Task: form.Task, Run: form.RunID, Runner: runner.id, Started: time.Now()}
	runner.runs[form.Task] = record
	runner.log.mu.Lock()
	runner.log.runs = append(runner.log.runs, record)
	runner.log.mu.Unlock()
	runner.checkCapacity(form.Task)
	if runner.crashes != nil && runner.crashes(form.Task) {
		time.AfterFunc(runner.crashDelay, runner.crash)
	}
	return http.StatusOK, runner.newAnswer()
}

// maxListedEnds is how many ends an answer lists.
const maxListedEnds = 500

func (runner *Runner) hold(form callForm) (int, any) {
	runner.extendLease(form.DeadlineMs)
	remaining := runner.ends[:0]
	for _, row := range runner.ends {
		number, ok := row[0].(int64)
		if ok && number > form.LastSeen {
			remaining = append(remaining, row)
			continue
		}
		runner.log.mu.Lock()
		record := runner.unacknowledged[number]
		if !runner.lapsedAt.After(record.Ended) {
			record.Acknowledged, record.AcknowledgedAt = true, time.Now()
		}
		runner.log.mu.Unlock()
		delete(runner.unacknowledged, number)
	}
	runner.ends = remaining
	answer := runner.newAnswer()
	answer.Finished = append(answer.Finished, remaining[:min(len(remaining), maxListedEnds)]...)
	for task, active := range runner.tasks {
		percent := 100
		if active.duration > 0 {
			percent = int(100 * runner.now().Sub(active.started) / active.duration)
		}
		answer.Running = append(answer.Running, []any{task, active.run, "", percent, 0})
	}
	return http.StatusOK, answer
}

// advance ends the runs that are over, with the time at which they were. The caller must hold the lock.
func (runner *Runner) advance() {
	leaseEnd := runner.clockStart.Add(runner.deadline)
	if leaseEnd.Before(runner.now()) {
		runner.lapsedAt = leaseEnd.Add(runner.suspended)
	}
	for task, active := range runner.tasks {
		runEnd := active.started.Add(active.duration)
		lapsesFirst := active.duration == 0 || leaseEnd.Before(runEnd)
		switch now := runner.now(); {
		case lapsesFirst && leaseEnd.Before(now):
			runner.finish(task, "lapsed", leaseEnd)
		case lapsesFirst || now.Before(runEnd):
		case active.fails:
			runner.finish(task, "failed", runEnd)
		default:
			runner.finish(task, "done", runEnd)
		}
	}
}

// finish ends a run at a time of now.
func (runner *Runner) finish(task, result string, at time.Time) {
	active := runner.tasks[task]
	delete(runner.tasks, task)
	runner.lastEnd++
	runner.ends = append(runner.ends, []any{runner.lastEnd, task, active.run, result, ""})
	record := runner.runs[task]
	runner.unacknowledged[runner.lastEnd] = record
	runner.log.mu.Lock()
	defer runner.log.mu.Unlock()
	record.Ended, record.Result = at.Add(runner.suspended), result
}

// Crash ends all runs without reporting their ends, and makes the runner refuse calls for its incarnation.
func (runner *Runner) Crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	for task := range runner.tasks {
		runner.log.mu.Lock()
		runner.runs[task].Ended, runner.runs[task].Result = time.Now(), "crashed"
		runner.log.mu.Unlock()
		delete(runner.tasks, task)
	}
	runner.id, runner.hasCrashed = fmt.Sprintf("crashed-%s", runner.id), true
}

// TakeDown crashes the runner, and breaks all calls until another one takes its place.
func (runner *Runner) TakeDown() {
	runner.Crash()
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.isDown = true
}

// Advance ends the runs that are over, so that the log is up to date.
func (runner *Runner) Advance() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
}
