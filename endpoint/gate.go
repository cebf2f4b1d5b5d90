package endpoint

import (
	"context"
	"sync"
	"sync/atomic"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Doer is the part of Client that a Gate uses.
type Doer interface {
	Do(ctx context.Context, call Call) (Reply, error)
	Stream(ctx context.Context, call StreamCall, pass func(offset int64, data []byte) error) (int64, error)
	Probe(ctx context.Context) error
}

// GateSettings are the settings of a Gate.
type GateSettings struct {
	Endpoint    ident.Endpoint
	Service     ident.Service
	Incarnation ident.Incarnation
	Admission   admission.Settings
	// Tick is the interval at which the deadlines of queued requests are checked.
	Tick clock.Millis
	// UnhealthyAfter is the number of consecutive failures after which the endpoint is announced
	// as unhealthy.
	UnhealthyAfter int
	// ProbeInterval is the interval of the probes of an unhealthy endpoint.
	ProbeInterval clock.Millis
}

// GateDefaults returns the settings used in production, without the names and the incarnation.
func GateDefaults() GateSettings {
	return GateSettings{Admission: admission.Defaults(), Tick: 20 * clock.Millisecond, UnhealthyAfter: 3, ProbeInterval: clock.Second}
}

// Gate admits requests to one endpoint. A control goroutine owns the admission controller, and each
// running request has a traffic goroutine. It is safe for concurrent use.
type Gate struct {
	settings GateSettings
	clock    clock.Clock
	doer     Doer

	// The fields below belong to the control goroutine.
	controller  *admission.Controller
	calls       map[ident.Request]*call
	waiters     map[ident.Request][]chan *controlpb.ServeReply
	failures    int
	probedAt    clock.Time
	idleWaiters []chan struct{}

	// incarnation is that of the agent; it increases when the agent is fenced.
	incarnation atomic.Uint64

	commands chan func()
	state    atomic.Pointer[controlpb.EndpointState]
	slowdown atomic.Int32
	ctx      context.Context
	cancel   context.CancelFunc
	// streams is cancelled when the endpoint leaves.
	streams     context.Context
	endStreams  context.CancelFunc
	controlDone chan struct{}
	goroutines  sync.WaitGroup
}

// call is a queued or running request.
type call struct {
	Call
	arrived clock.Time
}

// noSlowdownPercent is the slowdown of an endpoint without interference.
const noSlowdownPercent = 100

// NewGate returns a gate and starts its control goroutine, which Close stops.
func NewGate(time clock.Clock, doer Doer, settings GateSettings) *Gate {
	ctx, cancel := context.WithCancel(context.Background())
	streams, endStreams := context.WithCancel(ctx)
	gate := &Gate{
		settings: settings, clock: time, doer: doer,
		controller: admission.New(settings.Admission),
		calls:      map[ident.Request]*call{},
		waiters:    map[ident.Request][]chan *controlpb.ServeReply{},
		commands:   make(chan func()),
		ctx:        ctx, cancel: cancel, streams: streams, endStreams: endStreams,
		controlDone: make(chan struct{}),
	}
	gate.SetIncarnation(settings.Incarnation)
	gate.slowdown.Store(noSlowdownPercent)
	gate.publish()
	go func() {
		defer close(gate.controlDone)
		tick, idle := time.After(settings.Tick), false
		for {
			select {
			case command := <-gate.commands:
				command()
			case <-tick:
				gate.execute(gate.controller.Tick(time.Now()))
				gate.probe(time.Now())
				idle = len(gate.calls) == 0
				tick = time.After(gate.tickInterval(idle))
			case <-ctx.Done():
				return
			}
			if idle && len(gate.calls) > 0 {
				idle = false
				tick = time.After(settings.Tick)
			}
			gate.publish()
		}
	}()
	return gate
}

// run executes command on the control goroutine. It returns false, without executing it, if the
// gate is closed.
func (gate *Gate) run(command func()) bool {
	done := make(chan struct{})
	select {
	case gate.commands <- func() { defer close(done); command() }:
		<-done
		return true
	case <-gate.ctx.Done():
		return false
	}
}

// Serve passes an admitted request to the endpoint and returns the answer, or the refusal of the
// request. If ctx ends first, the outcome is NotRun if the request was still queued and Unknown
// otherwise.
func (gate *Gate) Serve(ctx context.Context, request *controlpb.ServeRequest) *controlpb.ServeReply {
	if refusal := gate.targetRefusal(request); refusal != "" {
		return gate.reply(request.GetRequest(), outcome.NotRun, refusal)
	}
	id := ident.Request(request.GetRequest())
	waiter := make(chan *controlpb.ServeReply, 1)
	if !gate.run(func() { gate.enqueue(id, request, waiter) }) {
		return gate.reply(request.GetRequest(), outcome.NotRun, "ErrClosed")
	}
	select {
	case answer := <-waiter:
		return answer
	case <-ctx.Done():
	case <-gate.ctx.Done():
		return gate.reply(request.GetRequest(), outcome.Unknown, "ErrClosed")
	}
	if gate.run(func() { gate.abandon(id, waiter) }) {
		select {
		case answer := <-waiter:
			return answer
		default:
		}
	}
	pending := gate.reply(request.GetRequest(), outcome.Unknown, "ErrPending")
	pending.Pending = true
	return pending
}

// idleTickInterval is the tick interval while no request is queued or running. At 20 ms, an idle
// gate would take more than 1% of a core.
const idleTickInterval = 500 * clock.Millisecond

// tickInterval returns the time to the next tick.
func (gate *Gate) tickInterval(idle bool) clock.Millis {
	if idle {
		return max(idleTickInterval, gate.settings.Tick)
	}
	return gate.settings.Tick
}

// targetRefusal returns the refusal of a request for another endpoint, service or incarnation, or
// "". A request sent to an earlier incarnation never runs in this one.
func (gate *Gate) targetRefusal(request *controlpb.ServeRequest) string {
	switch {
	case request.GetIncarnation() != gate.incarnation.Load():
		return "ErrIncarnation"
	case ident.Endpoint(request.GetEndpoint()) != gate.settings.Endpoint,
		ident.Service(request.GetService()) != gate.settings.Service:
		return "ErrWrongEndpoint"
	default:
		return ""
	}
}

// SetIncarnation makes the gate refuse requests to earlier incarnations of the agent.
func (gate *Gate) SetIncarnation(incarnation ident.Incarnation) {
	gate.incarnation.Store(uint64(incarnation))
}

// Query returns the state of a request. The outcome of requests to another incarnation is reported as
// unknown, and Known is false for requests that the gate has no record of.
func (gate *Gate) Query(_ context.Context, request *controlpb.QueryRequest) *controlpb.QueryReply {
	if request.GetIncarnation() != gate.incarnation.Load() {
		return &controlpb.QueryReply{Reply: gate.reply(request.GetRequest(), outcome.Unknown, "ErrIncarnation")}
	}
	var status admission.Status
	if !gate.run(func() {
		status = gate.controller.Query(gate.clock.Now(), ident.Request(request.GetRequest()), request.GetRefuseIfAbsent())
	}) {
		return &controlpb.QueryReply{Reply: gate.reply(request.GetRequest(), outcome.Unknown, "ErrClosed")}
	}
	reply := &controlpb.QueryReply{Known: status.State != admission.Absent}
	switch status.State {
	case admission.Finished:
		reply.Reply = gate.answer(request.GetRequest(), status.Answer)
	case admission.Denied:
		reply.Reply = gate.reply(request.GetRequest(), outcome.NotRun, string(admission.Refused))
	case admission.Queued, admission.Running:
		reply.Reply = gate.reply(request.GetRequest(), outcome.Unknown, "")
		reply.Reply.Pending = true
	default:
		reply.Reply = gate.reply(request.GetRequest(), outcome.Unknown, "ErrAbsent")
	}
	return reply
}

// State returns the current load of the endpoint, which the agent announces. The message must not
// be changed.
func (gate *Gate) State() *controlpb.EndpointState {
	return gate.state.Load()
}

// SetSlowdown sets the slowdown of the endpoint by tasks on the same worker, in percent of its
// latency without them; 100 is no slowdown.
func (gate *Gate) SetSlowdown(percent int32) {
	gate.slowdown.Store(percent)
	// The control goroutine publishes the state after each command.
	gate.run(func() {})
}

// Leave refuses new and queued requests as not run, while running requests continue. Streams, which
// may stay open for a day, end with the refusal ErrLeaving so that entries resume them at another
// endpoint.
func (gate *Gate) Leave() {
	gate.endStreams()
	gate.run(func() { gate.execute(gate.controller.Leave(gate.clock.Now())) })
}

// Drain does the same as Leave and waits until no request runs and no stream is open. It returns
// the error of ctx if that ends first.
func (gate *Gate) Drain(ctx context.Context) error {
	gate.endStreams()
	idle := make(chan struct{})
	gate.run(func() {
		gate.execute(gate.controller.Leave(gate.clock.Now()))
		gate.idleWaiters = append(gate.idleWaiters, idle)
		gate.signalIdle()
	})
	select {
	case <-idle:
		return nil
	case <-gate.ctx.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the control goroutine, cancels running requests and waits for their goroutines. Call
// Drain first to let requests finish.
func (gate *Gate) Close() {
	gate.cancel()
	<-gate.controlDone
	gate.goroutines.Wait()
}

func (gate *Gate) signalIdle() {
	if !gate.controller.Idle() {
		return
	}
	for _, waiter := range gate.idleWaiters {
		close(waiter)
	}
	gate.idleWaiters = nil
}

func (gate *Gate) publish() {
	load := gate.controller.Load()
	gate.state.Store(&controlpb.EndpointState{
		Endpoint: string(gate.settings.Endpoint), Service: string(gate.settings.Service),
		Leaving: load.Leaving, Healthy: gate.failures < gate.settings.UnhealthyAfter,
		Slots: int32(load.Slots), Connections: int32(load.Connections),
		SlotsUsed: int32(load.SlotsUsed), ConnectionsUsed: int32(load.ConnectionsUsed),
		Queue: int32(load.Queue), LatencyMillis: int64(load.ServiceTime), SlowdownPercent: gate.slowdown.Load(),
	})
}
