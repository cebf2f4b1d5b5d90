package leadership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/coordinator"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/intake"
	"hyssopjunction/session"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const (
	testLease      = 10 * clock.Second
	reportInterval = 600 * time.Millisecond
	testTask       = "0123456789abcdef.0.0.0"
)

// memoryStore is a store in memory, shared by the entries of a test.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[store.Ref]store.Row
	version store.Version
	// late holds transactions that are applied later.
	late []store.Tx
}

// entryStore is an entry's access to a memoryStore.
type entryStore struct {
	*memoryStore
	// fault decides how a commit of the entry fails; nil means that none does. It is guarded by memoryStore.mu.
	fault commitFault
}

// commitFault is how commits fail.
type commitFault int

const (
	works commitFault = iota
	// cutOff refuses all calls.
	cutOff
	// lateAndUnanswered applies a commit after a second, without an answer.
	lateAndUnanswered
)

func (entry *entryStore) setFault(fault commitFault) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.fault = fault
}

func (entry *entryStore) currentFault() commitFault {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.fault
}

func (entry *entryStore) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	switch entry.currentFault() {
	case cutOff:
		return 0, store.ErrUnavailable{Reason: "cut off"}
	case lateAndUnanswered:
		entry.mu.Lock()
		entry.late = append(entry.late, tx)
		entry.mu.Unlock()
		time.AfterFunc(time.Second, func() {
			_, _ = entry.apply(tx)
			entry.mu.Lock()
			defer entry.mu.Unlock()
			entry.late = entry.late[1:]
		})
		return 0, store.ErrUnknown{Reason: "no answer"}
	case works:
	}
	if err := sleep(ctx, 5*time.Millisecond); err != nil {
		return 0, store.ErrUnknown{Reason: err.Error()}
	}
	return entry.apply(tx)
}

func (memory *memoryStore) apply(tx store.Tx) (store.Version, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if !memory.holds(tx) {
		var conflict store.ErrConflict
		for _, condition := range tx.Conditions {
			if row, ok := memory.rows[condition.Ref]; ok {
				conflict.Rows = append(conflict.Rows, row)
			}
		}
		return 0, conflict
	}
	memory.version++
	for _, put := range tx.Puts {
		memory.rows[put.Ref] = store.Row{Ref: put.Ref, Value: put.Value, Version: memory.version}
	}
	for _, ref := range tx.Removes {
		delete(memory.rows, ref)
	}
	return memory.version, nil
}

// holds reports whether the conditions of the transaction hold.
func (memory *memoryStore) holds(tx store.Tx) bool {
	return !slices.ContainsFunc(tx.Conditions, func(condition store.Condition) bool {
		return memory.rows[condition.Ref].Version != condition.Version
	})
}

func (entry *entryStore) List(ctx context.Context, table store.Table, _, _ string) (store.Rows, error) {
	return entry.Changes(ctx, table, 0, 0)
}

func (entry *entryStore) Changes(ctx context.Context, table store.Table, after store.Version, wait clock.Millis) (store.Rows, error) {
	if entry.currentFault() != works {
		return store.Rows{}, store.ErrUnavailable{Reason: "cut off"}
	}
	if err := sleep(ctx, min(wait.Duration(), 50*time.Millisecond)); err != nil {
		return store.Rows{}, store.ErrUnavailable{Reason: err.Error()}
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	rows := store.Rows{Version: entry.version}
	for _, row := range entry.rows {
		if row.Table == table && row.Version > after {
			rows.Rows = append(rows.Rows, row)
		}
	}
	slices.SortFunc(rows.Rows, func(left, right store.Row) int { return strings.Compare(left.Key, right.Key) })
	return rows, nil
}

func (*entryStore) Partition(store.Ref) string { return "" }

func (*entryStore) Now() clock.Time { return clock.Time(time.Now().UnixMilli()) }

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cluster runs electors and agents in a bubble with one standing task.
type cluster struct {
	t       *testing.T
	memory  *memoryStore
	stores  []*entryStore
	entries []atomic.Pointer[Elector]
	agents  []*testAgent
	// ctx ends the agents.
	ctx context.Context
}

// runCluster runs a test with entries and agents in a bubble.
func runCluster(t *testing.T, entries, agents int, test func(cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := &cluster{t: t, memory: &memoryStore{rows: map[store.Ref]store.Row{}}, entries: make([]atomic.Pointer[Elector], entries), ctx: ctx}
		for number := range entries {
			cluster.stores = append(cluster.stores, &entryStore{memoryStore: cluster.memory})
			cluster.startEntry(number)
		}
		defer func() {
			cancel()
			for number := range cluster.entries {
				cluster.entries[number].Load().Close()
			}
			time.Sleep(time.Minute) // Timers and goroutines of the sessions end.
		}()
		for number := range agents {
			cluster.agents = append(cluster.agents, &testAgent{cluster: cluster, node: fmt.Sprintf("side-%d", number)})
		}
		for _, agent := range cluster.agents {
			go agent.run()
		}
		job := workflow.Spec{
			ID: "0123456789abcdef", Queue: "queue", Service: "desk", Policy: workflow.Policy{MaxAttempts: 2, Slack: 1.5},
			Steps: []workflow.Step{{Count: 1, Standing: true, Need: unit.Resources{CPU: 100, Memory: 64}, Estimate: clock.Second}},
		}
		jobs := intake.New(cluster.stores[0], clock.NewSystem(), cluster.entries[0].Load().Queries())
		err := jobs.Submit(ctx, job)
		jobs.Close()
		if err != nil {
			t.Fatal(err)
		}
		test(cluster)
	})
}

func (cluster *cluster) startEntry(number int) {
	source := clock.NewSystem()
	name := fmt.Sprintf("edge-%d", number)
	cluster.entries[number].Store(New(coordinator.Dependencies{
		Store: cluster.stores[number], Clock: source, TimeOfDay: func() int64 { return time.Now().UnixMilli() },
		Out:       func() (set.Set[ident.DataCentre], bool) { return set.New[ident.DataCentre](), true },
		Retention: coordinator.DefaultRetention(),
	}, name, name, testLease))
}

// leader returns the number of the entry with the newest term that leads, or -1.
func (cluster *cluster) leader() int {
	leader, newest := -1, int64(0)
	for number := range cluster.entries {
		entry := cluster.entries[number].Load()
		if reply, err := entry.Leader(cluster.ctx, nil); err == nil && entry.Leading() && reply.Term > newest {
			leader, newest = number, reply.Term
		}
	}
	return leader
}

// holder waits until the task runs on another agent than the former one, and returns that agent.
func (cluster *cluster) holder(former *testAgent) *testAgent {
	cluster.t.Helper()
	for range 3000 {
		for _, agent := range cluster.agents {
			if agent != former && agent.hasRun() {
				return agent
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	cluster.t.Fatal("the task did not start within 30 s")
	return nil
}

// testAgent is an agent with a worker. It attaches to the entry that leads and reports while it is not silent.
type testAgent struct {
	cluster *cluster
	node    string

	mu        sync.Mutex
	silent    bool
	runNumber workflow.Run
	// grantUntil is the end of the granted lease; until then the worker runs its tasks.
	grantUntil time.Time
	sentAt     map[uint64]time.Time
	sequence   uint64
}

func (agent *testAgent) setSilent(silent bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.silent = silent
}

func (agent *testAgent) isSilent() bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.silent
}

// hasRun reports whether the worker runs the task.
func (agent *testAgent) hasRun() bool {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.runNumber > 0 && time.Now().Before(agent.grantUntil)
}

// lapse ends the worker's lease and returns the number of the run that ended with it.
func (agent *testAgent) lapse() workflow.Run {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	number := agent.runNumber
	agent.runNumber, agent.grantUntil = 0, time.Time{}
	return number
}

func (agent *testAgent) leaseEnd() time.Time {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	return agent.grantUntil
}

func (agent *testAgent) run() {
	for agent.cluster.ctx.Err() == nil {
		if leader := agent.cluster.leader(); leader >= 0 && !agent.isSilent() {
			agent.mu.Lock()
			agent.sentAt, agent.sequence = map[uint64]time.Time{}, 0
			agent.mu.Unlock()
			ctx, cancel := context.WithCancel(agent.cluster.ctx)
			_ = agent.cluster.entries[leader].Load().Attend(&agentStream{testAgent: agent, leader: leader, ctx: ctx, cancel: cancel})
			cancel()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// agentStream is one session of a testAgent.
type agentStream struct {
	*testAgent
	leader int
	ctx    context.Context
	cancel func()
}

func (stream *agentStream) Context() context.Context { return stream.ctx }

func (stream *agentStream) Receive() (*session.Report, error) {
	stream.mu.Lock()
	first := stream.sequence == 0
	stream.mu.Unlock()
	if !first {
		if err := sleep(stream.ctx, reportInterval); err != nil {
			return nil, io.EOF
		}
	}
	if stream.isSilent() || stream.cluster.leader() != stream.leader {
		stream.cancel()
		return nil, io.EOF
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.sequence++
	stream.sentAt[stream.sequence] = time.Now()
	report := &session.Report{Sequence: stream.sequence, Node: stream.node, Listed: true}
	if first {
		report.Worker = &session.Worker{
			Incarnation: "i@1@" + stream.node, Service: "desk", DataCentre: "zone-a", Capacity: unit.Resources{CPU: 4000, Memory: 8000}, Responsive: true,
		}
	}
	if stream.runNumber > 0 && time.Now().Before(stream.grantUntil) {
		report.Progress = []session.Progress{{Task: testTask, Run: stream.runNumber, Percent: 100}}
	}
	return report, nil
}

func (stream *agentStream) Send(orders *session.Orders) error {
	if stream.isSilent() {
		return nil
	}
	if orders.Lease > 0 {
		stream.cluster.checkGrant(stream.node)
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if sentAt, ok := stream.sentAt[orders.Sequence]; ok && orders.Lease > 0 {
		if until := sentAt.Add(orders.Lease.Duration()); until.After(stream.grantUntil) {
			stream.grantUntil = until
		}
	}
	for _, start := range orders.Starts {
		for _, other := range stream.cluster.agents {
			if other != stream.testAgent && other.hasRun() {
				stream.cluster.t.Errorf("run %d starts on %s while %s has a run", start.Run, stream.node, other.node)
			}
		}
		stream.runNumber = start.Run
	}
	return nil
}

// checkGrant fails if a heartbeat that is stored or may be stored later lists a node that is granted a lease.
func (cluster *cluster) checkGrant(node string) {
	cluster.memory.mu.Lock()
	defer cluster.memory.mu.Unlock()
	values := [][]byte{cluster.memory.rows[election.HeartbeatRef()].Value}
	for _, tx := range cluster.memory.late {
		for _, put := range tx.Puts {
			if put.Ref == election.HeartbeatRef() && cluster.memory.holds(tx) {
				values = append(values, put.Value)
			}
		}
	}
	for _, value := range values {
		var heartbeat election.Heartbeat
		if err := json.Unmarshal(value, &heartbeat); err != nil {
			cluster.t.Error(err)
		}
		if heartbeat.Grants == nil {
			continue
		}
		if age, ok := heartbeat.Grants.Silent[node]; ok {
			cluster.t.Errorf("%s is granted a lease while a heartbeat lists it as silent for %s", node, age)
		}
	}
}
