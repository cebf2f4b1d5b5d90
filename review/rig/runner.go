package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// plan is what a task does once it has started.
type plan struct {
	// length is how long it runs; 0 means until it is stopped.
	length time.Duration
	fails  bool
}

// execution is a run on a runner.
type execution struct {
	task     string
	run      int
	at       time.Time
	stopping bool
	plan     plan
}

// runner is a stand-in of a runner of the platform: one machine, on which lifetimes follow one another. Its process is
// the goroutines behind listener; a crash closes it with all its channels.
type runner struct {
	world   *world
	name    string
	address string
	control string
	zone    string
	labels  []string
	cpu     int
	memory  int

	mu sync.Mutex
	// up tells whether a lifetime is on; the fields below belong to it.
	up        bool
	life      int
	id        string
	born      int64
	clock     time.Time
	token     int64
	deadline  time.Duration
	tasks     map[string]*execution
	refused   map[string]int
	ends      [][]any
	lastEnd   int64
	sequence  int
	server    *http.Server
	stopBeats context.CancelFunc
	// silent leaves every call without an answer.
	silent bool
}

// stopTime is how long a stop takes, below StopTimeoutMs, and startupTime how long a standing task takes until it is at work.
const (
	stopTime    = 150 * time.Millisecond
	startupTime = 400 * time.Millisecond
	beatTime    = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
)

// begin starts a new lifetime of the runner.
func (r *runner) begin() error {
	var listener net.Listener
	var err error
	for attempt := 0; attempt < 100; attempt++ {
		if listener, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.life++
	life := r.life
	r.up, r.id, r.born, r.clock = true, fmt.Sprintf("i-%s-%d", r.name, r.life), time.Now().UnixMilli(), time.Now()
	r.token, r.deadline, r.ends, r.lastEnd, r.sequence = 0, 0, nil, 0, 0
	r.tasks, r.refused = map[string]*execution{}, map[string]int{}
	r.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { r.handle(life, writer, request) })}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	server := r.server
	r.mu.Unlock()
	r.world.record("runner %s begins lifetime %s", r.name, r.id)
	go func() { _ = server.Serve(listener) }()
	go r.beat(ctx)
	go r.tick(life)
	return nil
}

// crash ends the lifetime: all that runs is gone, the port refuses, nothing is told.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.expire(time.Now())
	r.up = false
	for _, item := range r.tasks {
		r.world.ended(r, item, "crashed")
	}
	r.tasks = map[string]*execution{}
	server := r.server
	r.stopBeats()
	r.mu.Unlock()
	r.world.record("runner %s crashes", r.name)
	_ = server.Close()
}

// suspend stands still with its machine for the time: nothing runs, nothing is answered, and its steady clock doesn't count it.
func (r *runner) suspend(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	time.Sleep(length)
	r.clock = r.clock.Add(length)
	for _, item := range r.tasks {
		item.at = item.at.Add(length)
	}
}

// goDark ends the lifetime for good: all that runs is gone, and nothing answers any more, as on a machine without power.
func (r *runner) goDark() {
	r.mu.Lock()
	r.expire(time.Now())
	r.up, r.silent = false, true
	for _, item := range r.tasks {
		r.world.ended(r, item, "crashed")
	}
	r.tasks = map[string]*execution{}
	r.stopBeats()
	r.mu.Unlock()
	r.world.record("runner %s is lost for good, and silent", r.name)
}

// cut cuts the lifetime off from all machines of the system: its tasks run on, its channels are reset, new ones are refused,
// and its announcements reach nobody. heal ends the cut.
func (r *runner) cut() (heal func() error) {
	r.mu.Lock()
	life, server := r.life, r.server
	r.stopBeats()
	r.mu.Unlock()
	r.world.record("runner %s is cut off, its tasks run on", r.name)
	_ = server.Close()
	return func() error {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up || r.life != life {
			return listener.Close()
		}
		ctx, cancel := context.WithCancel(context.Background())
		r.stopBeats = cancel
		r.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { r.handle(life, writer, request) })}
		server := r.server
		go func() { _ = server.Serve(listener) }()
		go r.beat(ctx)
		r.world.record("the cut of runner %s heals", r.name)
		return nil
	}
}

// tick ends what is over, so that the record has the right times.
func (r *runner) tick(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if !r.up || r.life != life {
			r.mu.Unlock()
			return
		}
		r.expire(time.Now())
		r.mu.Unlock()
	}
}

// expire ends the runs that are over. The caller holds the lock.
func (r *runner) expire(now time.Time) {
	lease := r.clock.Add(r.deadline)
	for _, item := range r.sorted() {
		over := item.at.Add(item.plan.length)
		switch {
		case now.After(lease) && (item.plan.length == 0 || lease.Before(over)):
			r.finish(item, "lapsed")
		case item.plan.length == 0 || now.Before(over):
		case item.plan.fails:
			r.finish(item, "failed")
		default:
			r.finish(item, "done")
		}
	}
}

func (r *runner) sorted() []*execution {
	var list []*execution
	for _, item := range r.tasks {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

func (r *runner) finish(item *execution, how string) {
	delete(r.tasks, item.task)
	r.refused[item.task] = max(r.refused[item.task], item.run)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, item.task, item.run, how, ""})
	r.world.ended(r, item, how)
}

// beat announces the lifetime to the agent beside the runner.
func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		body := map[string]any{
			"Service": "desk", "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int{"Cpu": r.cpu, "MemoryLimitMb": r.memory, "Gpu": 0}, "Labels": r.labels,
			"ClockMs": time.Since(r.clock).Milliseconds(), "Sequence": r.sequence, "born": r.born,
		}
		id := r.id
		r.mu.Unlock()
		data, _ := json.Marshal(body)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/api/instances/"+id, bytes.NewReader(data))
		request.Header.Set("Content-Type", "application/json")
		pause := beatTime
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		} else {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

type call struct {
	Task         string
	RunID        int `json:"RunId"`
	DeadlineMs   int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
	Percent      int
	Checkpoint   string
}

func (r *runner) handle(life int, writer http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return
	}
	if request.URL.Path == "/healthz" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	var form call
	if json.NewDecoder(request.Body).Decode(&form) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	if expected := request.Header.Get("Hyssopjunction-Expected-Instance"); expected != "" && expected != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/api/hold" && form.WaitMs > 0 {
		until := time.Now().Add(time.Duration(min(form.WaitMs, 2000)) * time.Millisecond)
		for time.Now().Before(until) && request.Context().Err() == nil {
			r.mu.Lock()
			over := r.lastEnd > form.LastSeen || !r.up || r.life != life
			r.mu.Unlock()
			if over {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	status, body := r.carryOut(life, request.URL.Path, form)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, status, body)
}

type runnerAnswer struct {
	ClockMs  int64
	Born     int64   `json:"born"`
	Reason   string  `json:",omitempty"`
	Running  [][]any `json:",omitempty"`
	Finished [][]any `json:",omitempty"`
}

func (r *runner) carryOut(life int, path string, form call) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.life != life {
		return 0, nil
	}
	now := time.Now()
	r.expire(now)
	answer := runnerAnswer{ClockMs: now.Sub(r.clock).Milliseconds(), Born: r.born}
	if form.FencingToken < r.token {
		answer.Reason = "fence"
		return http.StatusConflict, answer
	}
	r.token = form.FencingToken
	switch path {
	case "/api/run-start":
		if form.DeadlineMs <= answer.ClockMs {
			answer.Reason = "late"
			return http.StatusConflict, answer
		}
		r.extend(form.DeadlineMs, now)
		if item, ok := r.tasks[form.Task]; ok && item.run == form.RunID {
			return http.StatusOK, answer
		}
		if _, ok := r.tasks[form.Task]; ok || form.RunID <= r.refused[form.Task] {
			answer.Reason = "old"
			return http.StatusConflict, answer
		}
		item := &execution{task: form.Task, run: form.RunID, at: now, plan: r.world.plan(form.Task)}
		r.tasks[form.Task] = item
		r.world.started(r, item)
	case "/api/run-stop":
		r.refused[form.Task] = max(r.refused[form.Task], form.RunID)
		if item, ok := r.tasks[form.Task]; ok && item.run == form.RunID && !item.stopping {
			item.stopping = true
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.up && r.life == life && r.tasks[form.Task] == item {
					r.finish(item, "stopped")
				}
			})
		}
	case "/api/hold":
		r.extend(form.DeadlineMs, now)
		var kept [][]any
		for _, end := range r.ends {
			if end[0].(int64) > form.LastSeen {
				kept = append(kept, end)
			} else {
				r.world.noted(r, end)
			}
		}
		r.ends = kept
		answer.Finished = kept[:min(len(kept), 500)]
		for _, item := range r.sorted() {
			percent := 100
			if item.plan.length > 0 {
				percent = min(99, int(100*now.Sub(item.at)/item.plan.length))
			} else if now.Sub(item.at) < startupTime {
				percent = 0
			}
			answer.Running = append(answer.Running, []any{item.task, item.run, "", percent, 5})
		}
	case "/api/pace":
	default:
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, answer
}

func (r *runner) extend(deadline int64, now time.Time) {
	until := min(time.Duration(deadline)*time.Millisecond, now.Sub(r.clock)+holdMax)
	r.deadline = max(r.deadline, until)
}
