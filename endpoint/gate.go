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

// Doer is the part of Client that a Gate needs.
type Doer interface {
	Do(ctx context.Context, call Call) (Reply, error)
	Stream(ctx context.Context, call StreamCall, pass func(offset int64, data []byte) error) (int64, error)
	Probe(ctx context.Context) error
}

// GateSettings of a Gate.
type GateSettings struct {
	Endpoint    ident.Endpoint
	Service     ident.Service
	Incarnation ident.Incarnation
	Admission   admission.Settings
	// Tick is the interval at which queued requests are checked against their deadlines.
	Tick clock.Millis
	// UnhealthyAfter is the number of consecutive failures after which the endpoint is announced
	// as unhealthy.
	UnhealthyAfter int
	// ProbeInterval is the time between two probes of an unhealthy endpoint.
	ProbeInterval clock.Millis
}

// GateDefaults returns the settings of the current deployments, without names.
func GateDefaults() GateSettings {
	return GateSettings{Admission: admission.Defaults(), Tick: 20 * clock.Millisecond, UnhealthyAfter: 3, ProbeInterval: clock.Second}
}

// Gate admits requests to one endpoint. One control goroutine owns the admission controller; each
// running request has a traffic goroutine. It is safe for concurrent use.
type Gate struct {
	settings GateSettings
	clock    clock.Clock
	doer     Doer

	// The following are used by the control goroutine only.
	controller *admission.Controller
	calls      map[ident.Request]*call
	waiting    map[ident.Request][]chan *controlpb.ServeReply
	failures   int
	probed     clock.Time
	idle       []chan struct{}

	// incarnation is the agent's, which rises when the agent was fenced.
	incarnation atomic.Uint64

	commands chan func()
	state    atomic.Pointer[controlpb.EndpointState]
	slowdown atomic.Int32
	ctx      context.Context
	cancel   context.CancelFunc
	// streams ends on Leave.
	streams    context.Context
	endStreams context.CancelFunc
	control    chan struct{}
	traffic    sync.WaitGroup
}

// call is a queued or running request.
type call struct {
	Call
	arrived clock.Time
}

// undisturbed is the slowdown in percent of an endpoint without interference.
const undisturbed = 100

// NewGate returns a gate and starts its control goroutine, which Close ends.
func NewGate(time clock.Clock, doer Doer, settings GateSettings) *Gate {
	ctx, cancel := context.WithCancel(context.Background())
	streams, endStreams := context.WithCancel(ctx)
	gate := &Gate{
		settings: settings, clock: time, doer: doer,
		controller: admission.New(settings.Admission),
		calls:      map[ident.Request]*call{},
		waiting:    map[ident.Request][]chan *controlpb.ServeReply{},
		commands:   make(chan func()),
		ctx:        ctx, cancel: cancel, streams: streams, endStreams: endStreams,
		control: make(chan struct{}),
	}
	gate.SetIncarnation(settings.Incarnation)
	gate.slowdown.Store(undisturbed)
	gate.publish()
	go func() {
		defer close(gate.control)
		tick, idle := time.After(settings.Tick), false
		for {
			select {
			case command := <-gate.commands:
				command()
			case <-tick:
				gate.act(gate.controller.Tick(time.Now()))
				gate.probe(time.Now())
				idle = len(gate.calls) == 0
				tick = time.After(gate.interval(idle))
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

// run executes command on the control goroutine and reports whether it did.
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

// Serve admits the request and returns the endpoint's answer or the refusal. If ctx ends first,
// the reply has outcome Unknown, or NotRun if the request was still queued.
func (gate *Gate) Serve(ctx context.Context, request *controlpb.ServeRequest) *controlpb.ServeReply {
	if refusal := gate.misdirected(request); refusal != "" {
		return gate.reply(request.GetRequest(), outcome.NotRun, refusal)
	}
	id := ident.Request(request.GetRequest())
	waiter := make(chan *controlpb.ServeReply, 1)
	if !gate.run(func() { gate.arrive(id, request, waiter) }) {
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
	lost := gate.reply(request.GetRequest(), outcome.Unknown, "ErrPending")
	lost.Pending = true
	return lost
}

// idleTick is the tick while nothing is queued or runs. A tick of 20 ms takes more than 1% of a core.
const idleTick = 500 * clock.Millisecond

// interval returns the time to the next tick.
func (gate *Gate) interval(idle bool) clock.Millis {
	if idle {
		return max(idleTick, gate.settings.Tick)
	}
	return gate.settings.Tick
}

// misdirected returns the refusal of a request for another endpoint or incarnation. A request sent
// to an earlier incarnation never runs in this one.
func (gate *Gate) misdirected(request *controlpb.ServeRequest) string {
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

// SetIncarnation makes requests to earlier incarnations of the agent be refused.
func (gate *Gate) SetIncarnation(incarnation ident.Incarnation) {
	gate.incarnation.Store(uint64(incarnation))
}

// Query tells what became of a request. An unknown incarnation or a request that was never seen is
// not known.
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

// State returns the endpoint's current load, for the agent's announcement.
func (gate *Gate) State() *controlpb.EndpointState {
	return gate.state.Load()
}

// SetSlowdown records how much colocated tasks slow the endpoint down, in percent; 100 is
// undisturbed.
func (gate *Gate) SetSlowdown(percent int32) {
	gate.slowdown.Store(percent)
	gate.run(func() {})
}

// Leave refuses new and queued requests as not run. Running requests go on. Streams, which may stay
// open for a day, end with the refusal ErrLeaving, so that entries resume them elsewhere.
func (gate *Gate) Leave() {
	gate.endStreams()
	gate.run(func() { gate.act(gate.controller.Leave(gate.clock.Now())) })
}

// Drain calls Leave and returns once nothing runs or streams, or with ctx's error.
func (gate *Gate) Drain(ctx context.Context) error {
	gate.endStreams()
	idle := make(chan struct{})
	gate.run(func() {
		gate.act(gate.controller.Leave(gate.clock.Now()))
		gate.idle = append(gate.idle, idle)
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

// Close ends the control goroutine, cancels running requests and waits for their goroutines. To
// interrupt no request, call Drain first.
func (gate *Gate) Close() {
	gate.cancel()
	<-gate.control
	gate.traffic.Wait()
}

func (gate *Gate) signalIdle() {
	if !gate.controller.Idle() {
		return
	}
	for _, idle := range gate.idle {
		close(idle)
	}
	gate.idle = nil
}

func (gate *Gate) publish() {
	load := gate.controller.Load()
	gate.state.Store(&controlpb.EndpointState{
		Endpoint: string(gate.settings.Endpoint), Service: string(gate.settings.Service),
		Leaving: load.Leaving, Healthy: gate.failures < gate.settings.UnhealthyAfter,
		Slots: int32(load.Slots), Connections: int32(load.Connections),
		SlotsUsed: int32(load.SlotsUsed), ConnectionsUsed: int32(load.ConnectionsUsed),
		Queue: int32(load.Queue), LatencyMillis: int64(load.Service), SlowdownPercent: gate.slowdown.Load(),
	})
}
