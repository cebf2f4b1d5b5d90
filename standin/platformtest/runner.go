package platformtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// expectedHeader names the life that a call is meant for.
const expectedHeader = "Hyssopjunction-Expected-Instance"

// runnerTask is a run on a Runner.
type runnerTask struct {
	run     int
	started time.Time
	length  time.Duration
	fails   bool
}

// Run is a record of a start.
type Run struct {
	Task    string
	Run     int
	Runner  string
	Started time.Time
	// Ended is zero while it runs.
	Ended time.Time
	How   string
	// Noted reports that the end was taken note of.
	Noted bool
}

// Log records the runs of all runners. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns a copy of the records.
func (log *Log) Runs() []Run {
	log.mu.Lock()
	defer log.mu.Unlock()
	copies := make([]Run, 0, len(log.runs))
	for _, record := range log.runs {
		copies = append(copies, *record)
	}
	return copies
}

// Runner is a runner of the platform. It implements http.Handler and is safe for concurrent use.
type Runner struct {
	id   string
	born int64
	log  *Log
	// length decides how long a task runs and whether it fails; 0 means for ever.
	length func(task string) (time.Duration, bool)

	mu       sync.Mutex
	began    time.Time
	token    int64
	deadline time.Duration
	tasks    map[string]*runnerTask
	records  map[string]*Run
	highest  map[string]int
	ended    [][]any
	// listed holds the records of the ends that are not taken note of.
	listed map[int64]*Run
	number int64
	fault  func(request *http.Request) Fault
}

// NewRunner returns a runner that runs nothing.
func NewRunner(id string, born int64, log *Log, length func(task string) (time.Duration, bool)) *Runner {
	return &Runner{
		id: id, born: born, log: log, length: length, began: time.Now(),
		tasks: map[string]*runnerTask{}, records: map[string]*Run{}, highest: map[string]int{}, listed: map[int64]*Run{},
	}
}

// SetFault decides how calls fail from now on; nil means that none does.
func (runner *Runner) SetFault(fault func(request *http.Request) Fault) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.fault = fault
}

// ServeHTTP implements http.Handler.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	runner.mu.Lock()
	fault := None
	if runner.fault != nil {
		fault = runner.fault(request)
	}
	runner.mu.Unlock()
	if fault.prevents(writer, request) {
		return
	}
	if expected := request.Header.Get(expectedHeader); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := runner.answer(request)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	reply(writer, status, body)
}

// callForm holds the fields of all calls.
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
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	if form.FencingToken < runner.token {
		return runner.refuse("fence")
	}
	runner.token = form.FencingToken
	switch request.URL.Path {
	case "/api/run-start":
		return runner.start(form)
	case "/api/run-stop":
		runner.highest[form.Task] = max(runner.highest[form.Task], form.RunID)
		if active, ok := runner.tasks[form.Task]; ok && active.run == form.RunID {
			runner.finish(form.Task, "stopped", time.Now())
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

// awaitEnd waits until there is an end that the caller has not seen.
func (runner *Runner) awaitEnd(request *http.Request, form callForm) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); waited < time.Duration(form.WaitMs)*time.Millisecond; waited += step {
		runner.mu.Lock()
		runner.advance()
		news := runner.number > form.LastSeen
		runner.mu.Unlock()
		if news || request.Context().Err() != nil {
			return
		}
		time.Sleep(step)
	}
}

func (runner *Runner) newAnswer() runnerAnswer {
	return runnerAnswer{ClockMs: time.Since(runner.began).Milliseconds(), Born: runner.born}
}

func (runner *Runner) refuse(reason string) (int, any) {
	answer := runner.newAnswer()
	answer.Reason = reason
	return http.StatusConflict, answer
}

func (runner *Runner) extend(deadline int64) {
	runner.deadline = max(runner.deadline, time.Duration(deadline)*time.Millisecond)
}

func (runner *Runner) start(form callForm) (int, any) {
	if time.Duration(form.DeadlineMs)*time.Millisecond <= time.Since(runner.began) {
		return runner.refuse("late")
	}
	runner.extend(form.DeadlineMs)
	if active, ok := runner.tasks[form.Task]; ok && active.run == form.RunID {
		return http.StatusOK, runner.newAnswer()
	}
	if form.RunID <= runner.highest[form.Task] {
		return runner.refuse("old")
	}
	length, fails := runner.length(form.Task)
	runner.highest[form.Task] = form.RunID
	runner.tasks[form.Task] = &runnerTask{run: form.RunID, started: time.Now(), length: length, fails: fails}
	record := &Run{Task: form.Task, Run: form.RunID, Runner: runner.id, Started: time.Now()}
	runner.records[form.Task] = record
	runner.log.mu.Lock()
	runner.log.runs = append(runner.log.runs, record)
	runner.log.mu.Unlock()
	return http.StatusOK, runner.newAnswer()
}

func (runner *Runner) hold(form callForm) (int, any) {
	runner.extend(form.DeadlineMs)
	kept := runner.ended[:0]
	for _, row := range runner.ended {
		number, ok := row[0].(int64)
		if ok && number > form.LastSeen {
			kept = append(kept, row)
			continue
		}
		runner.log.mu.Lock()
		runner.listed[number].Noted = true
		runner.log.mu.Unlock()
		delete(runner.listed, number)
	}
	runner.ended = kept
	answer := runner.newAnswer()
	answer.Finished = append(answer.Finished, kept...)
	for task, active := range runner.tasks {
		percent := 100
		if active.length > 0 {
			percent = int(100 * time.Since(active.started) / active.length)
		}
		answer.Running = append(answer.Running, []any{task, active.run, "", percent, 0})
	}
	return http.StatusOK, answer
}

// advance ends what is over, at the time at which it was. It is called with the lock held.
func (runner *Runner) advance() {
	lapse := runner.began.Add(runner.deadline)
	for task, active := range runner.tasks {
		due := active.started.Add(active.length)
		lapses := active.length == 0 || lapse.Before(due)
		switch now := time.Now(); {
		case lapses && lapse.Before(now):
			runner.finish(task, "lapsed", lapse)
		case lapses || now.Before(due):
		case active.fails:
			runner.finish(task, "failed", due)
		default:
			runner.finish(task, "done", due)
		}
	}
}

func (runner *Runner) finish(task, how string, at time.Time) {
	active := runner.tasks[task]
	delete(runner.tasks, task)
	runner.number++
	runner.ended = append(runner.ended, []any{runner.number, task, active.run, how, ""})
	record := runner.records[task]
	runner.listed[runner.number] = record
	runner.log.mu.Lock()
	defer runner.log.mu.Unlock()
	record.Ended, record.How = at, how
}

// Crash ends everything without a word, as the loss of the runner does.
func (runner *Runner) Crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	for task := range runner.tasks {
		runner.log.mu.Lock()
		runner.records[task].Ended, runner.records[task].How = time.Now(), "crashed"
		runner.log.mu.Unlock()
		delete(runner.tasks, task)
	}
	runner.id = fmt.Sprintf("crashed-%s", runner.id)
}

// Advance ends what is over, so that the log is up to date.
func (runner *Runner) Advance() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
}
