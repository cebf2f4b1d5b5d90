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

// world holds agents with real gates, a table and the network between them. Everything runs in a
// synctest bubble, so time is fake and reproducible up to the order of simultaneous events.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	clock  clock.Clock
	agents []*agent
	rows   map[table.Key]table.Row
	// runs counts how often the endpoints executed a body.
	runs map[string]int
	// faults and tableFault are the percentages of calls to agents and to the table that fail.
	faults     int
	tableFault atomic.Int32
	attempts   int
	service    time.Duration
	idempotent bool
	ids        int
}

type agent struct {
	*world
	index       int
	incarnation ident.Incarnation
	gate        *endpoint.Gate
	// silent calls get no reply on connections that were opened before.
	silent bool
	down   bool
	slots  int
}

func newWorld(t *testing.T, agents, slots int) *world {
	t.Helper()
	world := &world{
		random: rand.New(rand.NewPCG(3, 5)), clock: clock.NewSystem(),
		rows: map[table.Key]table.Row{}, runs: map[string]int{}, service: 20 * time.Millisecond,
	}
	for index := range agents {
		added := &agent{world: world, index: index, slots: slots}
		added.restart()
		world.agents = append(world.agents, added)
	}
	t.Cleanup(func() {
		for _, agent := range world.agents {
			agent.gate.Close()
		}
	})
	return world
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

func (world *world) draw(limit int) int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.random.IntN(limit)
}

// Do is the endpoint: it counts the run and answers after the service time.
func (agent *agent) Do(ctx context.Context, call endpoint.Call) (endpoint.Reply, error) {
	agent.mu.Lock()
	agent.runs[string(call.Body)]++
	agent.mu.Unlock()
	select {
	case <-time.After(agent.service):
		return endpoint.Reply{Status: 200, Body: []byte("answer to " + string(call.Body))}, nil
	case <-ctx.Done():
		return endpoint.Reply{}, endpoint.ErrLost{Request: call.Request, Cause: ctx.Err()}
	}
}

// Probe always succeeds.
func (*agent) Probe(context.Context) error { return nil }

// Stream has 100 bytes and breaks off at random.
func (agent *agent) Stream(ctx context.Context, call endpoint.StreamCall, pass func(int64, []byte) error) (int64, error) {
	for offset := call.Offset; offset < 100; offset++ {
		if err := pass(offset, []byte{byte(offset)}); err != nil {
			return offset, err
		}
		time.Sleep(time.Millisecond)
		if ctx.Err() != nil || agent.draw(100) < agent.faults {
			return offset + 1, endpoint.ErrSilent{Request: call.Request}
		}
	}
	return 100, nil
}

// network carries calls from one entry to the agents.
type network struct{ *world }

func (network network) reach(ctx context.Context, address string) (*agent, *endpoint.Gate, error) {
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

// Serve loses requests and replies, delays them, or goes silent.
func (network network) Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	network.mu.Lock()
	network.attempts++
	network.mu.Unlock()
	agent, gate, err := network.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	fault := 100
	if network.faults > 0 {
		fault = network.draw(100) * 100 / network.faults
	}
	network.mu.Lock()
	silent := agent.silent
	network.mu.Unlock()
	switch {
	case silent || fault < 20:
		<-ctx.Done()
		return nil, ctx.Err()
	case fault < 40:
		// A paused sender delivers the request long after its entry gave it up.
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
	_, gate, err := network.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	if network.draw(200) < network.faults {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return gate.Query(ctx, request), nil
}

func (network network) Follow(ctx context.Context, address string, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error {
	_, gate, err := network.reach(ctx, address)
	if err != nil {
		return err
	}
	return gate.Follow(ctx, request, pass)
}

func (network network) Get(_ context.Context, key table.Key) (table.Row, error) {
	if network.draw(100) < int(network.tableFault.Load()) {
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
	fault, limit := network.draw(100), int(network.tableFault.Load())
	if fault < limit/2 {
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
	if fault < limit {
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write}
	}
	return table.Result{}, nil
}

// entry is one entry daemon's dispatcher with its own router.
type entry struct {
	*dispatch.Dispatcher
	*world
	router *routing.Router
}

func (world *world) entry(seed uint64, settings dispatch.Settings) *entry {
	routes := routing.Defaults()
	routes.Seed = seed
	entry := &entry{world: world, router: routing.New(routes)}
	writes := func() ident.Write { return ident.Write(world.id("w")) }
	ledger := dedup.New(network{world}, writes, dedup.Defaults())
	entry.Dispatcher = dispatch.New(world.clock, network{world}, entry, ledger, retry.NewBudget(retry.Defaults()),
		admission.NewLimiter(1000, 10), func() ident.Request { return ident.Request(world.id("a")) }, settings)
	return entry
}

func (world *world) id(prefix string) string {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.ids++
	return fmt.Sprint(prefix, world.ids)
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
			Report: routing.Report{Slots: agent.slots, Connections: 64, Service: clock.FromDuration(entry.service)},
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

func assertAnswer(t *testing.T, answer dispatch.Answer, err error, key string) {
	t.Helper()
	if err != nil || string(answer.Body) != "answer to "+key {
		t.Errorf("%s is answered with %q, %v", key, answer.Body, err)
	}
}
