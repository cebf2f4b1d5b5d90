package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/dispatch"
	"hyssopjunction/endpoint"
	"hyssopjunction/ident"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
	"hyssopjunction/table"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// fixture holds agents with real gates and a table, and injects faults into the calls to them. It runs
// in a synctest bubble, so time is fake and runs differ only in the order of simultaneous events.
type fixture struct {
	mu     sync.Mutex
	random *rand.Rand
	clock  clock.Clock
	agents []*agent
	rows   map[table.Key]table.Row
	// runs counts the runs of each request body at all endpoints.
	runs map[string]int
	// agentFaultPercent and tableFaultPercent are the percentages of calls to agents and to the table
	// that fail.
	agentFaultPercent int
	tableFaultPercent atomic.Int32
	attempts          int
	serviceTime       time.Duration
	idempotent        bool
	lastID            int
	// crashing is the body of requests under which the endpoint breaks off; empty means none.
	crashing string
}

type agent struct {
	*fixture
	index       int
	incarnation ident.Incarnation
	gate        *endpoint.Gate
	// silent is set if the current connection is silent: Serve gets no reply, while queries use a new
	// connection.
	silent bool
	down   bool
	slots  int
}

func newFixture(t *testing.T, agents, slots int) *fixture {
	t.Helper()
	fixture := &fixture{
		random: rand.New(rand.NewPCG(3, 5)), clock: clock.NewSystem(),
		rows: map[table.Key]table.Row{}, runs: map[string]int{}, serviceTime: 20 * time.Millisecond,
	}
	for index := range agents {
		agent := &agent{fixture: fixture, index: index, slots: slots}
		agent.restart()
		fixture.agents = append(fixture.agents, agent)
	}
	t.Cleanup(func() {
		for _, agent := range fixture.agents {
			agent.gate.Close()
		}
	})
	return fixture
}

func (agent *agent) restart() {
	if agent.gate != nil {
		agent.gate.Close()
	}
	settings := endpoint.GateDefaults()
	settings.Admission.Slots = agent.slots
	settings.Endpoint, settings.Service = ident.Endpoint(fmt.Sprint("e", agent.index)), "s"
	gate := func(incarnation ident.Incarnation) *endpoint.Gate {
		settings.Incarnation = incarnation
		return endpoint.NewGate(agent.clock, agent, settings)
	}(agent.incarnation + 1)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.incarnation++
	agent.gate = gate
}

func (fixture *fixture) draw(limit int) int {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.random.IntN(limit)
}

// Do implements the endpoint: it counts the run and answers after the service time.
func (agent *agent) Do(ctx context.Context, call endpoint.Call) (endpoint.Reply, error) {
	agent.mu.Lock()
	agent.runs[string(call.Body)]++
	breaksOff := agent.crashing != "" && string(call.Body) == agent.crashing
	agent.mu.Unlock()
	if breaksOff {
		return endpoint.Reply{}, endpoint.ErrLost{Request: call.Request, Cause: io.ErrUnexpectedEOF}
	}
	select {
	case <-time.After(agent.serviceTime):
		return endpoint.Reply{Status: 200, Body: []byte("answer to " + string(call.Body))}, nil
	case <-ctx.Done():
		return endpoint.Reply{}, endpoint.ErrLost{Request: call.Request, Cause: ctx.Err()}
	}
}

// Probe always succeeds.
func (*agent) Probe(context.Context) error { return nil }

// Stream sends 100 bytes and is interrupted at random.
func (agent *agent) Stream(ctx context.Context, call endpoint.StreamCall, onData func(int64, []byte) error) (int64, error) {
	for offset := call.Offset; offset < 100; offset++ {
		if err := onData(offset, []byte{byte(offset)}); err != nil {
			return offset, err
		}
		time.Sleep(time.Millisecond)
		if ctx.Err() != nil || agent.draw(100) < agent.agentFaultPercent {
			return offset + 1, endpoint.ErrSilent{Request: call.Request}
		}
	}
	return 100, nil
}

// network carries calls from an entry to the agents and the table.
type network struct{ *fixture }

func (network network) deliver(ctx context.Context, address string) (*agent, *endpoint.Gate, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return nil, nil, err
	}
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	agent := network.agents[index]
	if agent.down {
		return nil, nil, dispatch.ErrNotSent{Address: address, Cause: io.ErrClosedPipe}
	}
	return agent, agent.gate, nil
}

// Serve loses or delays requests and replies, mixes up replies, or does not respond.
func (network network) Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	network.mu.Lock()
	network.attempts++
	network.mu.Unlock()
	agent, gate, err := network.deliver(ctx, address)
	if err != nil {
		return nil, err
	}
	fault := 100
	if network.agentFaultPercent > 0 {
		fault = network.draw(100) * 100 / network.agentFaultPercent
	}
	network.mu.Lock()
	silent := agent.silent
	network.mu.Unlock()
	switch {
	case silent || fault < 20:
		<-ctx.Done()
		return nil, ctx.Err()
	case fault < 40:
		// The request arrives long after its entry stopped waiting for it.
		time.Sleep(time.Duration(network.draw(2000)) * time.Millisecond)
		return gate.Serve(context.WithoutCancel(ctx), request), io.ErrUnexpectedEOF
	case fault < 60:
		return nil, dispatch.ErrNotSent{Address: address, Cause: io.ErrClosedPipe}
	case fault < 80:
		gate.Serve(ctx, request)
		return nil, io.ErrUnexpectedEOF
	case fault < 100:
		reply := gate.Serve(ctx, request)
		return &controlpb.ServeReply{Request: reply.GetRequest() + "x", Outcome: 1, Body: []byte("crossed"), BodyLength: 7}, nil
	}
	return gate.Serve(ctx, request), nil
}

func (network network) Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	_, gate, err := network.deliver(ctx, address)
	if err != nil {
		return nil, err
	}
	if network.draw(200) < network.agentFaultPercent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return gate.Query(ctx, request), nil
}

func (network network) Follow(ctx context.Context, address string, request *controlpb.FollowRequest, onChunk func(*controlpb.FollowChunk) error) error {
	_, gate, err := network.deliver(ctx, address)
	if err != nil {
		return err
	}
	return gate.Follow(ctx, request, onChunk)
}

func (network network) Get(_ context.Context, key table.Key) (table.Row, error) {
	if network.draw(100) < int(network.tableFaultPercent.Load()) {
		return table.Row{}, table.ErrUnavailable{Reason: "fault", RetryAfter: 700}
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	row := network.rows[key]
	row.Key = key
	return row, nil
}

func (network network) Range(context.Context, table.Key, table.Key, int) ([]table.Row, error) {
	return nil, nil
}

func (network network) Commit(_ context.Context, transaction table.Transaction) (table.Result, error) {
	fault, faultPercent := network.draw(100), int(network.tableFaultPercent.Load())
	if fault < faultPercent/2 {
		return table.Result{}, table.ErrUnavailable{Reason: "fault", RetryAfter: 700}
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	key := transaction.Operations[0].Key
	row := network.rows[key]
	if row.Revision != transaction.Conditions[0].Revision {
		return table.Result{}, table.ErrConflict{Key: key, Have: row.Revision, Winner: row.Write}
	}
	network.rows[key] = table.Row{Key: key, Value: transaction.Operations[0].Value, Revision: row.Revision + 1, Write: transaction.Write}
	if fault < faultPercent {
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write}
	}
	return table.Result{}, nil
}

// entry is the dispatcher of an entry daemon with its own router.
type entry struct {
	*dispatch.Dispatcher
	*fixture
	router *routing.Router
}

func (fixture *fixture) entry(seed uint64, settings dispatch.Settings) *entry {
	routerSettings := routing.Defaults()
	routerSettings.Seed = seed
	entry := &entry{fixture: fixture, router: routing.New(routerSettings)}
	writes := func() ident.Write { return ident.Write(fixture.id("w")) }
	ledger := dedup.New(network{fixture}, writes, dedup.Defaults())
	entry.Dispatcher = dispatch.New(fixture.clock, network{fixture}, entry, ledger, retry.NewBudget(retry.Defaults()),
		admission.NewLimiter(1000, 10), func() ident.Request { return ident.Request(fixture.id("a")) }, settings)
	return entry
}

func (fixture *fixture) id(prefix string) string {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.lastID++
	return fmt.Sprint(prefix, fixture.lastID)
}

// Service implements dispatch.View.
func (entry *entry) Service(name ident.Service) (dispatch.Service, *routing.View, bool) {
	if name != "s" {
		return dispatch.Service{}, nil, false
	}
	entry.mu.Lock()
	candidates := make([]routing.Candidate, 0, len(entry.agents))
	for _, agent := range entry.agents {
		candidates = append(candidates, routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", agent.index)), Address: fmt.Sprint(agent.index), Incarnation: agent.incarnation,
			Report: routing.Report{Slots: agent.slots, Connections: 64, ServiceTime: clock.FromDuration(entry.serviceTime)},
		})
	}
	idempotent := entry.idempotent
	entry.mu.Unlock()
	view := entry.router.NewView(entry.clock.Now(), "s", candidates)
	return dispatch.Service{Idempotent: idempotent, Patience: 3000}, view, true
}

func (entry *entry) send(ctx context.Context, key string) (dispatch.Answer, error) {
	return entry.Dispatch(ctx, dispatch.Request{
		ID: ident.Request(entry.id("r")), Service: "s", Team: "t", Priority: admission.Normal, Key: ident.Key(key), Body: []byte(key),
	})
}

// sendBody sends the request that crashes endpoints, with a key of its own.
func (entry *entry) sendBody(t *testing.T, key string, number int) (dispatch.Answer, error) {
	t.Helper()
	return entry.Dispatch(t.Context(), dispatch.Request{
		ID: ident.Request(entry.id("r")), Service: "s", Team: "t", Priority: admission.Normal, Key: ident.Key(fmt.Sprint(key, number)), Body: []byte("bad"),
	})
}

func assertAnswer(t *testing.T, answer dispatch.Answer, err error, key string) {
	t.Helper()
	if err != nil || string(answer.Body) != "answer to "+key {
		t.Errorf("%s is answered with %q, %v", key, answer.Body, err)
	}
}
