package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerEvent is a line that a runner writes to its standard output.
type runnerEvent struct {
	Event   string
	Task    string
	Run     int
	How     string
	Spec    string
	Born    int64
	Runner  string
	Detail  string
	Seen    int64
	Time    int64 // Unix nanoseconds of the machine that runs the test
	Process int
}

// activeRun is a run in progress on a runner.
type activeRun struct {
	run      int
	begun    time.Duration // on the steady clock
	duration time.Duration // 0: until it is stopped
	stopping bool
	// fails: it ends failed after failTime.
	fails bool
}

// failTime is how long a run works that fails.
const failTime = 100 * time.Millisecond

// runner is a stand-in of a runner as PROTOCOL.md describes it, in a process of its own.
type runner struct {
	id, service, zone, address, control string
	labels                              []string
	cpu, memory                         int64
	holdMax, stopTimeout, beat          time.Duration
	born                                int64
	begun                               time.Time

	mu       sync.Mutex
	token    int64
	deadline time.Duration
	active   map[string]*activeRun
	highest  map[string]int
	ends     [][]any
	lastEnd  int64
	seen     int64
	sequence int64
	out      *json.Encoder
	// grey makes all that is started fail.
	grey bool
	// suspends reports that the machine may be suspended. observed is when the clock was last read, suspended the time for which the machine was suspended, and hasLapsed whether the
	// lease was over then.
	suspends            bool
	observed, suspended time.Duration
	hasLapsed           bool
}

func runRunner(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "")
	service := flags.String("service", "", "")
	zone := flags.String("zone", "", "")
	listen := flags.String("listen", "", "")
	control := flags.String("control", "", "")
	labels := flags.String("labels", "", "")
	cpu := flags.Int64("cpu", 32000, "")
	memory := flags.Int64("memory", 128000, "")
	holdMax := flags.Int64("hold-max", 6000, "")
	stopTimeout := flags.Int64("stop-timeout", 200, "")
	beat := flags.Int64("beat", 1500, "")
	suspends := flags.Bool("suspends", false, "the machine may be suspended, so gaps don't count on the steady clock")
	clockStep := flags.Int64("clock-step", 0, "milliseconds by which the time of day differs")
	_ = flags.Parse(arguments)
	runner := &runner{
		id: *id, service: *service, zone: *zone, address: *listen, control: *control, labels: strings.Split(*labels, ","),
		cpu: *cpu, memory: *memory, holdMax: time.Duration(*holdMax) * time.Millisecond, stopTimeout: time.Duration(*stopTimeout) * time.Millisecond,
		beat: time.Duration(*beat) * time.Millisecond, begun: time.Now(), born: time.Now().UnixMilli() + *clockStep,
		active: map[string]*activeRun{}, highest: map[string]int{}, suspends: *suspends, out: json.NewEncoder(os.Stdout),
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runner.mu.Lock()
	runner.write(runnerEvent{Event: "up"})
	runner.mu.Unlock()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			runner.mu.Lock()
			runner.advance()
			runner.mu.Unlock()
		}
	}()
	go runner.register()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", runner.call(runner.start))
	mux.HandleFunc("POST /api/run-stop", runner.call(runner.stop))
	mux.HandleFunc("POST /api/pace", runner.call(func(form callForm) (int, map[string]any) { return http.StatusOK, runner.answer() }))
	mux.HandleFunc("POST /api/hold", runner.call(runner.hold))
	go func() { _ = http.Serve(listener, mux) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2)
	for received := range signals {
		if received == syscall.SIGTERM {
			os.Exit(0)
		}
		runner.mu.Lock()
		runner.grey = received == syscall.SIGUSR1
		runner.mu.Unlock()
	}
}

func (runner *runner) write(event runnerEvent) {
	event.Runner, event.Born, event.Time, event.Process = runner.id, runner.born, time.Now().UnixNano(), os.Getpid()
	_ = runner.out.Encode(event)
}

// register sends the heartbeats.
func (runner *runner) register() {
	client := &http.Client{Timeout: time.Second}
	for {
		runner.mu.Lock()
		runner.sequence++
		body, _ := json.Marshal(map[string]any{
			"Service": runner.service, "Address": runner.address, "Zone": runner.zone, "Version": "v1", "Slots": 8, "State": "ready",
			"ColdRemainingMs": 0, "Capacity": map[string]any{"Cpu": runner.cpu, "MemoryLimitMb": runner.memory, "Gpu": 0}, "Labels": runner.labels,
			"ClockMs": runner.clock(), "Sequence": runner.sequence, "born": runner.born,
		})
		runner.mu.Unlock()
		request, _ := http.NewRequest(http.MethodPut, "http://"+runner.control+"/api/instances/"+runner.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		accepted := false
		if err == nil {
			_ = response.Body.Close()
			accepted = response.StatusCode/100 == 2
			if !accepted {
				runner.mu.Lock()
				runner.write(runnerEvent{Event: "heartbeat refused", Detail: response.Status})
				runner.mu.Unlock()
			}
		}
		pause := runner.beat
		if !accepted {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

type callForm struct {
	Task         string
	RunID        int `json:"RunId"`
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
	Checkpoint   string
}

// suspension is the time between two readings of the clock, of which there are many in a second, from which on the machine was
// suspended: the steady clock doesn't count that time.
const suspension = 700 * time.Millisecond

// elapsed returns the time on the runner's steady clock. The caller holds the lock.
func (runner *runner) elapsed() time.Duration {
	now := time.Since(runner.begun)
	if gap := now - runner.observed; gap > suspension && runner.suspends {
		runner.suspended += gap
		runner.write(runnerEvent{Event: "suspended", Detail: gap.String()})
	}
	runner.observed = now
	return now - runner.suspended
}

func (runner *runner) clock() int64 { return runner.elapsed().Milliseconds() }

func (runner *runner) answer() map[string]any {
	return map[string]any{"ClockMs": runner.clock(), "born": runner.born}
}

func (runner *runner) refuse(reason string) (int, map[string]any) {
	answer := runner.answer()
	answer["Reason"] = reason
	return http.StatusConflict, answer
}

func (runner *runner) call(handle func(callForm) (int, map[string]any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if expected := request.Header.Get("Hyssopjunction-Expected-Instance"); expected != "" && expected != runner.id {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var form callForm
		if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if form.WaitMs > 0 {
			runner.await(form)
		}
		runner.mu.Lock()
		runner.advance()
		status, answer := 0, map[string]any(nil)
		if form.FencingToken < runner.token {
			status, answer = runner.refuse("fence")
		} else {
			runner.token = form.FencingToken
			status, answer = handle(form)
		}
		data, _ := json.Marshal(answer)
		runner.mu.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_, _ = writer.Write(data)
	}
}

// await waits for an end, at most for WaitMs.
func (runner *runner) await(form callForm) {
	deadline := time.Now().Add(time.Duration(min(form.WaitMs, 2000)) * time.Millisecond)
	for time.Now().Before(deadline) {
		runner.mu.Lock()
		isOver := runner.lastEnd > max(form.LastSeen, runner.seen)
		runner.mu.Unlock()
		if isOver {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (runner *runner) extend(deadline int64) {
	limit := runner.elapsed() + runner.holdMax
	runner.deadline = max(runner.deadline, min(limit, time.Duration(deadline)*time.Millisecond))
}

// specDuration returns how long a task of a spec runs: its text is the number of milliseconds, or "lasts".
func specDuration(spec string) time.Duration {
	millis, err := strconv.Atoi(strings.Fields(spec + " x")[0])
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func (runner *runner) start(form callForm) (int, map[string]any) {
	if form.DeadlineMs <= runner.clock() {
		return runner.refuse("late")
	}
	runner.extend(form.DeadlineMs)
	if current, ok := runner.active[form.Task]; ok && current.run == form.RunID {
		return http.StatusOK, runner.answer()
	}
	if form.RunID <= runner.highest[form.Task] {
		return runner.refuse("old")
	}
	runner.highest[form.Task] = form.RunID
	runner.active[form.Task] = &activeRun{run: form.RunID, begun: runner.elapsed(), duration: specDuration(form.Spec), fails: runner.grey}
	runner.write(runnerEvent{Event: "start", Task: form.Task, Run: form.RunID, Spec: form.Spec})
	return http.StatusOK, runner.answer()
}

func (runner *runner) stop(form callForm) (int, map[string]any) {
	runner.highest[form.Task] = max(runner.highest[form.Task], form.RunID)
	if current, ok := runner.active[form.Task]; ok && current.run == form.RunID && !current.stopping {
		current.stopping = true
		task := form.Task
		time.AfterFunc(runner.stopTimeout/2, func() {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			if runner.active[task] == current {
				runner.end(task, "stopped")
			}
		})
	}
	return http.StatusOK, runner.answer()
}

func (runner *runner) hold(form callForm) (int, map[string]any) {
	if form.DeadlineMs > 0 {
		runner.extend(form.DeadlineMs)
	}
	if form.LastSeen > runner.seen {
		runner.seen = form.LastSeen
		runner.write(runnerEvent{Event: "noted", Seen: form.LastSeen})
	}
	kept := [][]any{}
	for _, row := range runner.ends {
		if row[0].(int64) > form.LastSeen {
			kept = append(kept, row)
		}
	}
	runner.ends = kept
	answer := runner.answer()
	running := [][]any{}
	for task, current := range runner.active {
		percent := 100
		if current.duration > 0 {
			percent = int(100 * (runner.elapsed() - current.begun) / current.duration)
		} else if runner.elapsed()-current.begun < 200*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{task, current.run, "", min(percent, 100), 1})
	}
	answer["Running"], answer["Finished"] = running, kept[:min(len(kept), 500)]
	return http.StatusOK, answer
}

func (runner *runner) end(task, how string) {
	current := runner.active[task]
	delete(runner.active, task)
	runner.lastEnd++
	runner.ends = append(runner.ends, []any{runner.lastEnd, task, current.run, how, ""})
	runner.write(runnerEvent{Event: "end", Task: task, Run: current.run, How: how, Seen: runner.lastEnd})
}

// advance ends the runs that are over.
func (runner *runner) advance() {
	lapsed := runner.elapsed() > runner.deadline
	if lapsed && !runner.hasLapsed {
		runner.write(runnerEvent{Event: "lapse"})
	}
	runner.hasLapsed = lapsed
	for task, current := range runner.active {
		switch {
		case current.fails && runner.elapsed()-current.begun >= failTime:
			runner.end(task, "failed")
		case current.duration > 0 && runner.elapsed()-current.begun >= current.duration:
			runner.end(task, "done")
		case lapsed:
			runner.end(task, "lapsed")
		}
	}
}
