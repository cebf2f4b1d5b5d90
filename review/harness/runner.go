package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, those of the site file bandentry-nam.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	restoreTime = 100 * time.Millisecond
	checkpointS = time.Second
	startupTime = 400 * time.Millisecond
)

// run is one run of a task, for the verdict.
type run struct {
	task, runner, how string
	number            int
	started, ended    time.Time
	// noted is when the end was taken note of: LastSeen reached it.
	noted time.Time
}

// job returns the id of the run's job.
func (item run) job() string {
	id, _, _ := strings.Cut(item.task, ".")
	return id
}

// runLog holds all runs of all runners.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

// all returns copies of the runs in the order of their starts.
func (log *runLog) all() []run {
	log.mu.Lock()
	defer log.mu.Unlock()
	var copies []run
	for _, item := range log.runs {
		copies = append(copies, *item)
	}
	return copies
}

// activeTask is a run in progress. work is what is left to do at started.
type activeTask struct {
	record  *run
	started time.Time
	work    time.Duration
	done    time.Duration
	lasts   bool
	saves   bool
	cpu     int
	fails   bool
}

// runner is a stand-in of a runner. It has one life at a time.
type runner struct {
	cluster  *cluster
	number   int
	ip, zone string
	rack     string
	address  string
	service  string

	mu         sync.Mutex
	life       int
	id         string
	born       int64
	isUp       bool
	server     *http.Server
	ctx        context.Context
	cancel     context.CancelFunc
	clockStart time.Time
	token      int64
	deadline   time.Duration
	lapsedAt   time.Time
	tasks      map[string]*activeTask
	highest    map[string]int
	ends       [][]any
	pending    map[int64]*run
	lastEnd    int64
	sequence   int64
}

// start begins a life of the runner. keepID makes it have the id of the life before. firstBeat is when its first heartbeat
// is sent.
func (runner *runner) start(keepID bool, firstBeat time.Duration) error {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.life++
	if runner.id == "" || !keepID {
		runner.id = fmt.Sprintf("i-%05x%05x", runner.number, runner.life)
	}
	runner.born, runner.clockStart = time.Now().UnixMilli(), time.Now()
	runner.token, runner.deadline, runner.lapsedAt, runner.lastEnd, runner.sequence = 0, 0, time.Time{}, 0, 0
	runner.tasks, runner.highest, runner.ends, runner.pending = map[string]*activeTask{}, map[string]int{}, nil, map[int64]*run{}
	runner.ctx, runner.cancel = context.WithCancel(context.Background())
	runner.server = &http.Server{Handler: runner}
	runner.isUp = true
	server, ctx := runner.server, runner.ctx
	go func() { _ = server.Serve(listener) }()
	go runner.beat(ctx, firstBeat)
	return nil
}

// crash ends the life of the runner at once, and all that runs on it.
func (runner *runner) crash() {
	runner.mu.Lock()
	if !runner.isUp {
		runner.mu.Unlock()
		return
	}
	runner.advance()
	runner.isUp = false
	lost := len(runner.tasks)
	for task, active := range runner.tasks {
		runner.cluster.log.mu.Lock()
		active.record.ended, active.record.how = time.Now(), "crashed"
		runner.cluster.log.mu.Unlock()
		delete(runner.tasks, task)
	}
	server := runner.server
	runner.cancel()
	runner.mu.Unlock()
	_ = server.Close()
	runner.cluster.record.printf("runner %d (%s, %s) crashes with %d runs", runner.number, runner.id, runner.rack, lost)
}

// beat sends the heartbeats of one life.
func (runner *runner) beat(ctx context.Context, first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		runner.mu.Lock()
		runner.sequence++
		body, _ := json.Marshal(map[string]any{
			"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int{"Cpu": runner.cluster.layout.runnerCPU, "MemoryLimitMb": 128000, "Gpu": 0}, "Labels": []string{"a", runner.rack},
			"ClockMs": time.Since(runner.clockStart).Milliseconds(), "Sequence": runner.sequence, "born": runner.born,
		})
		id := runner.id
		runner.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, time.Second)
		request, _ := http.NewRequestWithContext(call, http.MethodPut, "http://"+runner.ip+":8166/api/instances/"+id, bytes.NewReader(body))
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
		cancel()
		timer.Reset(heartbeat)
	}
}

type callForm struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	Checkpoint   string
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

// ServeHTTP answers the calls of the agent on the runner's machine.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	runner.mu.Lock()
	expected, isUp := request.Header.Get("Hyssopjunction-Expected-Instance"), runner.isUp
	isOther := expected != "" && expected != runner.id
	runner.mu.Unlock()
	if !isUp {
		panic(http.ErrAbortHandler)
	}
	if isOther {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var form callForm
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		reply(writer, http.StatusBadRequest, struct{}{})
		return
	}
	if request.URL.Path == "/api/hold" && form.WaitMs > 0 {
		runner.awaitEnd(request, form)
	}
	runner.carryOut(writer, request.URL.Path, form)
}

// carryOut carries out a call.
func (runner *runner) carryOut(writer http.ResponseWriter, path string, form callForm) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if !runner.isUp {
		panic(http.ErrAbortHandler)
	}
	runner.advance()
	if form.FencingToken < runner.token {
		runner.refuse(writer, "fence")
		return
	}
	runner.token = form.FencingToken
	switch path {
	case "/api/run-start":
		runner.startRun(writer, form)
	case "/api/run-stop":
		runner.highest[form.Task] = max(runner.highest[form.Task], form.RunID)
		if active, ok := runner.tasks[form.Task]; ok && active.record.number == form.RunID {
			runner.finish(form.Task, "stopped", time.Now())
		}
		reply(writer, http.StatusOK, runner.answer())
	case "/api/hold":
		runner.hold(writer, form)
	case "/api/pace":
		reply(writer, http.StatusOK, runner.answer())
	default:
		reply(writer, http.StatusNotFound, struct{}{})
	}
}

func (runner *runner) awaitEnd(request *http.Request, form callForm) {
	const step = 10 * time.Millisecond
	for waited := time.Duration(0); waited < time.Duration(form.WaitMs)*time.Millisecond; waited += step {
		runner.mu.Lock()
		runner.advance()
		isOver := runner.lastEnd > form.LastSeen || !runner.isUp
		runner.mu.Unlock()
		if isOver || request.Context().Err() != nil {
			return
		}
		time.Sleep(step)
	}
}

func (runner *runner) answer() runnerAnswer {
	return runnerAnswer{ClockMs: time.Since(runner.clockStart).Milliseconds(), Born: runner.born}
}

func (runner *runner) refuse(writer http.ResponseWriter, reason string) {
	answer := runner.answer()
	answer.Reason = reason
	reply(writer, http.StatusConflict, answer)
}

// extendLease extends the lease to a time of the runner's clock, at most by HoldMaxMs from now.
func (runner *runner) extendLease(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, time.Since(runner.clockStart)+holdMax)
	runner.deadline = max(runner.deadline, until)
}

func (runner *runner) startRun(writer http.ResponseWriter, form callForm) {
	if time.Duration(form.DeadlineMs)*time.Millisecond <= time.Since(runner.clockStart) {
		runner.refuse(writer, "late")
		return
	}
	runner.extendLease(form.DeadlineMs)
	if active, ok := runner.tasks[form.Task]; ok && active.record.number == form.RunID {
		reply(writer, http.StatusOK, runner.answer())
		return
	}
	if form.RunID <= runner.highest[form.Task] {
		runner.refuse(writer, "old")
		return
	}
	plan, ok := runner.cluster.jobs.plan(form.Task)
	if !ok || plan.payload != form.Spec {
		runner.cluster.record.printf("UNASKED: runner %d is told to start %s run %d, which no client sent or with another Spec", runner.number, form.Task, form.RunID)
		reply(writer, http.StatusBadRequest, runner.answer())
		return
	}
	now := time.Now()
	active := &activeTask{
		record:  &run{task: form.Task, runner: fmt.Sprintf("%d/%s/%d", runner.number, runner.id, runner.life), number: form.RunID, started: now},
		started: now, work: plan.work, lasts: plan.lasts, saves: plan.saves, cpu: plan.cpu,
	}
	if plan.failsFirst && form.RunID == 1 {
		active.fails, active.work = true, failAfter
	}
	if form.Checkpoint != "" {
		var millis int64
		_, _ = fmt.Sscanf(form.Checkpoint[:8], "%08x", &millis)
		active.done = time.Duration(millis) * time.Millisecond
		active.started = now.Add(restoreTime)
	}
	runner.highest[form.Task] = form.RunID
	runner.tasks[form.Task] = active
	runner.cluster.log.mu.Lock()
	runner.cluster.log.runs = append(runner.cluster.log.runs, active.record)
	runner.cluster.log.mu.Unlock()
	reply(writer, http.StatusOK, runner.answer())
}

// progress returns the work that the task has done.
func (active *activeTask) progress(now time.Time) time.Duration {
	return active.done + max(0, now.Sub(active.started))
}

// checkpoint returns the newest checkpoint of the task, 16 digits as on the pages, or an empty string.
func (active *activeTask) checkpoint(now time.Time) string {
	saved := active.progress(now) / checkpointS * checkpointS
	if !active.saves || saved == 0 {
		return ""
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(active.record.task))
	return fmt.Sprintf("%08x%08x", saved.Milliseconds(), sum.Sum32())
}

func (runner *runner) hold(writer http.ResponseWriter, form callForm) {
	runner.extendLease(form.DeadlineMs)
	runner.ends = slices.DeleteFunc(runner.ends, func(row []any) bool {
		number := row[0].(int64)
		if number > form.LastSeen {
			return false
		}
		runner.cluster.log.mu.Lock()
		if ended := runner.pending[number]; !runner.lapsedAt.After(ended.ended) {
			ended.noted = time.Now()
		}
		runner.cluster.log.mu.Unlock()
		delete(runner.pending, number)
		return true
	})
	answer := runner.answer()
	answer.Finished = append(answer.Finished, runner.ends[:min(len(runner.ends), 500)]...)
	now := time.Now()
	for task, active := range runner.tasks {
		percent, sample := 100, 10
		if !active.lasts {
			percent, sample = int(100*active.progress(now)/active.work), active.cpu
		} else if now.Sub(active.started) < startupTime {
			percent = 0
		}
		answer.Running = append(answer.Running, []any{task, active.record.number, active.checkpoint(now), percent, sample})
	}
	reply(writer, http.StatusOK, answer)
}

// advance ends the runs that are over. The caller holds the lock.
func (runner *runner) advance() {
	if !runner.isUp {
		return
	}
	now, leaseEnd := time.Now(), runner.clockStart.Add(runner.deadline)
	if leaseEnd.Before(now) {
		runner.lapsedAt = leaseEnd
	}
	for task, active := range runner.tasks {
		end := active.started.Add(active.work - active.done)
		isOver := !active.lasts && end.Before(now)
		switch {
		case leaseEnd.Before(now) && (!isOver || leaseEnd.Before(end)):
			runner.finish(task, "lapsed", leaseEnd)
		case isOver && active.fails:
			runner.finish(task, "failed", end)
		case isOver:
			runner.finish(task, "done", end)
		}
	}
}

func (runner *runner) finish(task, how string, at time.Time) {
	active := runner.tasks[task]
	delete(runner.tasks, task)
	runner.lastEnd++
	saved := ""
	if how != "done" {
		saved = active.checkpoint(at)
	}
	runner.ends = append(runner.ends, []any{runner.lastEnd, task, active.record.number, how, saved})
	runner.pending[runner.lastEnd] = active.record
	runner.cluster.log.mu.Lock()
	defer runner.cluster.log.mu.Unlock()
	active.record.ended, active.record.how = at, how
}

// usedCPU returns the processors in use, in thousandths, and whether the runner is up.
func (runner *runner) usedCPU() (int, bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	used := 0
	for _, active := range runner.tasks {
		used += active.cpu
	}
	return used, runner.isUp
}
