package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/coordinator"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/intake"
	"hyssopjunction/leadership"
	"hyssopjunction/session"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// The load of a deployment of 80 workers on a busy day: short jobs, filling jobs of two wide steps, and standing jobs
// that serve. Tasks end as soon as they have worked for their estimate.
const (
	benchWorkers        = 80
	benchServingJobs    = 40
	benchServingTasks   = 12
	benchImages         = 30
	benchQuickPerSecond = 12
	benchFillingPerSec  = 3
	benchWarmUp         = 2 * time.Second
	benchDuration       = 6 * time.Second
)

// memoryStore is a store in memory that answers after some milliseconds.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[store.Ref]store.Row
	history []store.Row
	version store.Version
	changed chan struct{}
}

const memoryStoreDelay = 5 * time.Millisecond

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[store.Ref]store.Row{}, changed: make(chan struct{})}
}

func (memory *memoryStore) Commit(_ context.Context, tx store.Tx) (store.Version, error) {
	time.Sleep(memoryStoreDelay)
	memory.mu.Lock()
	defer memory.mu.Unlock()
	var conflict store.ErrConflict
	failed := false
	for _, condition := range tx.Conditions {
		row := memory.rows[condition.Ref]
		failed = failed || row.Version != condition.Version
		if row.Version != 0 {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if failed {
		return 0, conflict
	}
	memory.version++
	for _, put := range tx.Puts {
		row := store.Row{Ref: put.Ref, Value: put.Value, Version: memory.version}
		memory.rows[put.Ref] = row
		memory.history = append(memory.history, row)
	}
	for _, ref := range tx.Removes {
		delete(memory.rows, ref)
		memory.history = append(memory.history, store.Row{Ref: ref, Version: memory.version, Deleted: true})
	}
	close(memory.changed)
	memory.changed = make(chan struct{})
	return memory.version, nil
}

func (memory *memoryStore) List(_ context.Context, table store.Table, from, to string) (store.Rows, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	rows := store.Rows{Version: memory.version}
	for ref, row := range memory.rows {
		if ref.Table == table && ref.Key >= from && (to == "" || ref.Key < to) {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, nil
}

func (memory *memoryStore) Changes(ctx context.Context, table store.Table, after store.Version, wait clock.Millis) (store.Rows, error) {
	deadline := time.After(wait.Duration())
	for {
		memory.mu.Lock()
		rows := store.Rows{Version: memory.version}
		for _, row := range memory.history {
			if row.Table == table && row.Version > after {
				rows.Rows = append(rows.Rows, row)
			}
		}
		changed := memory.changed
		memory.mu.Unlock()
		if len(rows.Rows) > 0 {
			return rows, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return rows, nil
		case <-ctx.Done():
			return store.Rows{}, store.ErrUnavailable{Reason: ctx.Err().Error()}
		}
	}
}

func (memory *memoryStore) Partition(ref store.Ref) string { return string(ref.Table) }

func (memory *memoryStore) Now() clock.Time { return clock.Time(time.Now().UnixMilli()) }

// benchAgent is an agent whose worker carries out all orders.
type benchAgent struct {
	number  int
	mu      sync.Mutex
	runs    map[string]session.Start
	ends    []session.End
	lastEnd int64
	wake    chan struct{}
	starts  int
}

func (agent *benchAgent) incarnation() string {
	return fmt.Sprintf("i-%d@1@side-%d", agent.number, agent.number)
}

// apply carries out orders.
func (agent *benchAgent) apply(orders *session.Orders) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, start := range orders.Starts {
		if _, ok := agent.runs[start.Task]; ok {
			continue
		}
		agent.runs[start.Task] = start
		agent.starts++
		if start.Target == 0 {
			time.AfterFunc(time.Second, func() { agent.end(start, workflow.Finished) })
		}
	}
	for _, stop := range orders.Stops {
		if start, ok := agent.runs[stop.Task]; ok && start.Run == stop.Run {
			agent.recordEnd(start, workflow.Interrupted)
		}
	}
}

func (agent *benchAgent) end(start session.Start, cause workflow.Cause) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if run, ok := agent.runs[start.Task]; ok && run.Run == start.Run {
		agent.recordEnd(start, cause)
	}
}

func (agent *benchAgent) recordEnd(start session.Start, cause workflow.Cause) {
	delete(agent.runs, start.Task)
	agent.lastEnd++
	agent.ends = append(agent.ends, session.End{Number: agent.lastEnd, Task: start.Task, Run: start.Run, Cause: cause})
	select {
	case agent.wake <- struct{}{}:
	default:
	}
}

func (agent *benchAgent) report(sequence uint64, listed bool) *session.Report {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	report := &session.Report{Sequence: sequence, Node: fmt.Sprintf("side-%d", agent.number), Ends: agent.ends, Listed: listed}
	agent.ends = nil
	if sequence == 1 {
		report.Worker = &session.Worker{
			Incarnation: agent.incarnation(), Service: "desk", DataCentre: ident.DataCentre(fmt.Sprint("zone-", agent.number%5)), Labels: []string{fmt.Sprint("r", agent.number/8)},
			Capacity: unit.Resources{CPU: 32000, Memory: 125000}, Responsive: true,
		}
	}
	for task, start := range agent.runs {
		if !listed {
			break
		}
		progress := session.Progress{Task: task, Run: start.Run, Sample: 2000}
		if start.Target > 0 {
			progress.Sample = 50 + rand.Int64N(20)
		}
		report.Progress = append(report.Progress, progress)
	}
	return report
}

// attend keeps a session with the leader until ctx ends.
func (agent *benchAgent) attend(ctx context.Context, address string) error {
	client, err := session.Dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	stream, err := client.Attend(ctx)
	if err != nil {
		return err
	}
	go func() {
		for {
			orders, err := stream.Receive()
			if err != nil {
				return
			}
			agent.apply(orders)
		}
	}()
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	listedAt := time.Time{}
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		listed := time.Since(listedAt) >= 500*time.Millisecond
		if listed {
			listedAt = time.Now()
		}
		if err := stream.Send(agent.report(sequence, listed)); err != nil {
			return err
		}
		select {
		case <-agent.wake:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// attendHandler serves sessions with a coordinator.
type attendHandler struct {
	leadership.Handler
	leader *coordinator.Coordinator
}

func (handler attendHandler) Attend(stream session.Stream) error {
	return handler.leader.Attend(stream)
}

func submitBenchJob(b *testing.B, jobs *intake.Intake, id int, steps ...workflow.Step) {
	b.Helper()
	err := jobs.Submit(b.Context(), workflow.Spec{
		ID: workflow.ID(fmt.Sprintf("%016x", id)), Queue: "queue", Service: "desk", Payload: "text",
		Policy: workflow.Policy{MaxAttempts: 2, Slack: 1.5, Latency: 250}, Steps: steps,
	})
	if err != nil {
		b.Error(err)
	}
}

// processorTime returns the processor time of the process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// noQueries answers no queries.
type noQueries struct{}

func (noQueries) State(context.Context, workflow.ID) (workflow.State, bool, error) {
	return "", false, errors.New("no leader")
}

func (noQueries) Backlog() backlog.Refusal { return backlog.Refusal{} }

func (noQueries) Pending(context.Context, workflow.Queue) (int, error) {
	return 0, errors.New("no leader")
}

// BenchmarkLeader measures the processor time of a leader and the sessions of its agents, both ends included.
func BenchmarkLeader(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for range b.N {
		benchmarkLeader(b)
	}
}

func benchmarkLeader(b *testing.B) {
	b.Helper()
	memory, source := newMemoryStore(), clock.NewBoot()
	leader, err := coordinator.Start(b.Context(), coordinator.Dependencies{
		Store: memory, Clock: source, TimeOfDay: func() int64 { return time.Now().UnixMilli() }, Retention: coordinator.DefaultRetention(),
		Out: func() (set.Set[ident.DataCentre], bool) { return set.New[ident.DataCentre](), true },
	}, coordinator.Leadership{Term: election.Term{Number: 1}, Sent: source.Now()}, 6*clock.Second)
	if err != nil {
		b.Fatal(err)
	}
	defer leader.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := session.NewServer(attendHandler{leader: leader})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	agents := make([]*benchAgent, benchWorkers)
	for number := range agents {
		agents[number] = &benchAgent{number: number, runs: map[string]session.Start{}, wake: make(chan struct{}, 1)}
		group.Go(func() { _ = agents[number].attend(ctx, listener.Addr().String()) })
	}
	jobs := intake.New(memory, source, noQueries{})
	defer jobs.Close()
	id := 1
	for range benchServingJobs {
		submitBenchJob(b, jobs, id, workflow.Step{
			Count: benchServingTasks, Need: unit.Resources{CPU: 4000, Memory: 4000}, Standing: true, Target: 150, Image: fmt.Sprint("serving-", id%13),
		})
		id++
	}
	startCount := func() int {
		count := 0
		for _, agent := range agents {
			agent.mu.Lock()
			count += agent.starts
			agent.mu.Unlock()
		}
		return count
	}
	var used time.Duration
	var starts int
	begin := time.Now()
	measured := false
	for second := 0; time.Since(begin) < benchWarmUp+benchDuration; second++ {
		if !measured && time.Since(begin) >= benchWarmUp {
			measured, used, starts = true, processorTime(b), startCount()
		}
		for number := range benchQuickPerSecond {
			time.Sleep(time.Second / benchQuickPerSecond)
			submitBenchJob(b, jobs, id, workflow.Step{Count: 8, Need: unit.Resources{CPU: 1000, Memory: 500}, Estimate: clock.Second})
			id++
			if number%(benchQuickPerSecond/benchFillingPerSec) == 0 {
				step := workflow.Step{Count: 27, Need: unit.Resources{CPU: 3500, Memory: 500}, Estimate: clock.Second, Fills: true, Checkpoints: true, Image: fmt.Sprint("filling-", id%benchImages)}
				second := step
				second.After = []int{0}
				submitBenchJob(b, jobs, id, step, second)
				id++
			}
		}
	}
	used, starts = processorTime(b)-used, startCount()-starts
	b.ReportMetric(float64(used.Milliseconds())/benchDuration.Seconds(), "cpu-ms/s")
	b.ReportMetric(float64(starts)/benchDuration.Seconds(), "starts/s")
	b.ReportMetric(float64(used.Microseconds())/float64(max(1, starts)), "cpu-us/start")
}
