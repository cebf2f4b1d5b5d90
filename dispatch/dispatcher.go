package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
	"hyssopjunction/table"
)

// Settings of a Dispatcher.
type Settings struct {
	// Silence is the time without an answer after which the agent is asked over a new connection.
	// Four times the endpoint's mean service time counts if that is longer.
	Silence clock.Millis
	// QueryTrust is the age of an attempt of an idempotent request up to which the agent still
	// remembers that it ran. It must stay below the retentions of package admission together.
	QueryTrust clock.Millis
	// QueryTimeout bounds one query.
	QueryTimeout clock.Millis
	// Attempts bounds the attempts of one request, besides the retry budget.
	Attempts int
	// Hop is the time kept back from the patience for the way to the agent and back.
	Hop clock.Millis
	// RetryAfter is told to callers when nothing better is known.
	RetryAfter clock.Millis
	// TableTimeout bounds one use of the table.
	TableTimeout clock.Millis
	// LogSampling is the number of routing decisions of which one is logged; 0 and 1 log all.
	LogSampling uint64
}

// Defaults returns the settings of the current deployments.
func Defaults() Settings {
	return Settings{
		Silence:      500 * clock.Millisecond,
		QueryTrust:   2 * clock.Minute,
		QueryTimeout: 500 * clock.Millisecond,
		Attempts:     3,
		Hop:          2 * clock.Millisecond,
		RetryAfter:   clock.Second,
		TableTimeout: 2 * clock.Second,
	}
}

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	settings   Settings
	clock      clock.Clock
	agents     Agents
	view       View
	ledger     *dedup.Ledger
	budget     *retry.Budget
	limiter    *admission.Limiter
	requests   func() ident.Request
	unrecorded unrecorded
	responses  latencyBook
	// decisions counts the routing decisions, for sampling.
	decisions atomic.Uint64

	mu       sync.Mutex
	stopping bool
	inFlight int
	idle     chan struct{}
	// stopped is closed by Stop and ends the streams.
	stopped chan struct{}
}

// New returns a dispatcher. The function requests returns a new request id with each call; it names
// the attempts of a keyed submission after the first.
func New(time clock.Clock, agents Agents, view View, ledger *dedup.Ledger, budget *retry.Budget,
	limiter *admission.Limiter, requests func() ident.Request, settings Settings,
) *Dispatcher {
	return &Dispatcher{
		settings: settings, clock: time, agents: agents, view: view, ledger: ledger, budget: budget,
		limiter: limiter, requests: requests, stopped: make(chan struct{}),
		responses: latencyBook{services: map[ident.Service]*latency{}},
	}
}

var (
	outcomeCounters = map[outcome.Outcome]*metrics.Counter{
		outcome.Ran:     metrics.NewCounter(`hyssopjunction_dispatch_requests_total{outcome="Ran"}`),
		outcome.NotRun:  metrics.NewCounter(`hyssopjunction_dispatch_requests_total{outcome="NotRun"}`),
		outcome.Unknown: metrics.NewCounter(`hyssopjunction_dispatch_requests_total{outcome="Unknown"}`),
	}
	attemptCounter    = metrics.NewCounter(`hyssopjunction_dispatch_attempts_total`)
	unloggedDecisions = metrics.NewCounter(`hyssopjunction_dispatch_unlogged_decisions_total`)
	latencies         = metrics.NewHistogram(`hyssopjunction_dispatch_millis`)
)

// flow is the state of one request on its way.
type flow struct {
	Request
	service    Service
	candidates *routing.View
	started    clock.Time
	deadline   clock.Time
	attempts   int
	// excluded lists endpoints that must not be tried again.
	excluded []ident.Endpoint
}

// Dispatch sends the request and returns the complete answer to it. Errors are ErrNotRun,
// ErrUnknown and ErrRanUnkept; Answer.Outcome always tells what is known.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request Request) (Answer, error) {
	started := dispatcher.clock.Now()
	answer, err := dispatcher.admit(ctx, request, started)
	var refused ErrNotRun
	if errors.As(err, &refused) && refused.unread {
		answer, err = dispatcher.settleKey(ctx, request, refused)
	}
	answer.Request = request.ID
	answer.Outcome = outcomeOf(err)
	outcomeCounters[answer.Outcome].Inc()
	countReason(err)
	now := dispatcher.clock.Now()
	latencies.Update(float64(now.Sub(started)))
	if answer.Outcome != outcome.NotRun {
		dispatcher.responses.record(request.Service, now.Sub(started), now)
	}
	if err != nil && klog.V(1).Enabled() {
		klog.InfoS("Request without answer", "Request", request.ID, "Service", request.Service, "Team", request.Team,
			"Outcome", answer.Outcome, "Reason", err.Error())
	}
	return answer, err
}

// countReason counts requests without an answer by reason.
func countReason(err error) {
	var notRun ErrNotRun
	var unknown ErrUnknown
	reason := NotKept
	switch {
	case err == nil:
		return
	case errors.As(err, &notRun):
		reason = notRun.Reason
	case errors.As(err, &unknown):
		reason = unknown.Reason
	}
	metrics.GetOrCreateCounter(`hyssopjunction_dispatch_unanswered_total{reason="` + string(reason) + `"}`).Inc()
}

func outcomeOf(err error) outcome.Outcome {
	switch {
	case err == nil, IsErrRanUnkept(err):
		return outcome.Ran
	case IsErrNotRun(err):
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

func (dispatcher *Dispatcher) admit(ctx context.Context, request Request, started clock.Time) (Answer, error) {
	refuse := func(reason Reason, after clock.Millis) (Answer, error) {
		unread := request.Key != "" && (reason == Stopping || reason == Overload)
		return Answer{}, ErrNotRun{Request: request.ID, Reason: reason, RetryAfter: after, unread: unread}
	}
	service, candidates, ok := dispatcher.view.Service(request.Service)
	switch {
	case !ok:
		return refuse(UnknownService, 0)
	case !service.Idempotent && request.Key == "":
		return refuse(MissingKey, 0)
	case service.BodyBytes > 0 && int64(len(request.Body)) > service.BodyBytes:
		return refuse(TooLarge, 0)
	case !dispatcher.enter():
		return refuse(Stopping, dispatcher.settings.RetryAfter)
	}
	defer dispatcher.leave()
	if after, ok := dispatcher.limiter.Acquire(request.Priority); !ok {
		return refuse(Overload, after)
	}
	defer dispatcher.limiter.Release()
	if request.Patience <= 0 {
		request.Patience = service.Patience
	}
	dispatcher.budget.Earn()
	flow := &flow{
		Request: request, service: service, candidates: candidates,
		started: started, deadline: started.Add(request.Patience),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if service.Idempotent {
		return dispatcher.plain(ctx, flow)
	}
	return dispatcher.keyed(ctx, flow)
}

// Stop refuses new requests and waits until those in flight have ended, or ctx ends. Streams, which
// may stay open for a day, are ended at once; callers resume them at another entry.
func (dispatcher *Dispatcher) Stop(ctx context.Context) error {
	dispatcher.mu.Lock()
	if !dispatcher.stopping {
		dispatcher.stopping = true
		close(dispatcher.stopped)
	}
	if dispatcher.idle == nil {
		dispatcher.idle = make(chan struct{})
		if dispatcher.inFlight == 0 {
			close(dispatcher.idle)
		}
	}
	idle := dispatcher.idle
	dispatcher.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (dispatcher *Dispatcher) enter() bool {
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if dispatcher.stopping {
		return false
	}
	dispatcher.inFlight++
	return true
}

func (dispatcher *Dispatcher) leave() {
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	dispatcher.inFlight--
	if dispatcher.stopping && dispatcher.inFlight == 0 {
		close(dispatcher.idle)
	}
}

// longestTimer bounds the timers of a request. Timers of package clock cannot be stopped, so those of
// a request with a patience of an hour would outlive it by that time.
const longestTimer = clock.Second

// alarm fires at the deadline or after longestTimer, whichever is first.
func (dispatcher *Dispatcher) alarm(deadline clock.Time) <-chan clock.Time {
	return dispatcher.clock.After(min(longestTimer, deadline.Sub(dispatcher.clock.Now())))
}

// passed reports whether the deadline has been reached.
func (dispatcher *Dispatcher) passed(deadline clock.Time) bool {
	return !dispatcher.clock.Now().Before(deadline)
}

// choose draws an endpoint and logs the decision.
func (dispatcher *Dispatcher) choose(flow *flow) (routing.Decision, error) {
	decision, err := flow.candidates.Choose(dispatcher.clock.Now(), flow.excluded)
	if err != nil {
		klog.InfoS("No endpoint", "Request", flow.ID, "Service", flow.Service, "Reason", err.Error())
		return decision, err
	}
	if !dispatcher.sampled() {
		return decision, nil
	}
	klog.InfoS("Endpoint chosen", "Request", flow.ID, "Service", flow.Service, "Endpoint", decision.Endpoint,
		"Why", decision.Why, "Candidates", decision.String(), "Attempt", flow.attempts+1)
	return decision, nil
}

// sampled reports whether the next routing decision is logged.
func (dispatcher *Dispatcher) sampled() bool {
	if every := dispatcher.settings.LogSampling; every > 1 && dispatcher.decisions.Add(1)%every != 1 {
		unloggedDecisions.Inc()
		return false
	}
	return true
}

func targetOf(decision *routing.Decision) dedup.Target {
	return dedup.Target{
		Endpoint: decision.Endpoint, Worker: decision.Worker,
		Address: decision.Address, Incarnation: decision.Incarnation,
	}
}

// tableRetryAfter is what the table asked for, or fallback.
func tableRetryAfter(err error, fallback clock.Millis) clock.Millis {
	var unavailable table.ErrUnavailable
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		return unavailable.RetryAfter
	}
	return fallback
}
