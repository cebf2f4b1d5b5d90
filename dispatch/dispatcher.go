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

// Settings configures a Dispatcher.
type Settings struct {
	// Silence is the time without an answer after which the agent is queried, over a new connection
	// if the current one may be silent. Four times the endpoint's mean service time applies if that
	// is longer.
	Silence clock.Millis
	// QueryTrust is the age up to which an attempt of an idempotent request may be resolved by a
	// query. It must stay below the sum of the retentions of package admission. An agent that has
	// removed its record of a run would answer that the request was not run.
	QueryTrust clock.Millis
	// QueryTimeout is the timeout of one query.
	QueryTimeout clock.Millis
	// Attempts is the maximum number of attempts of one request. The retry budget may allow fewer.
	Attempts int
	// Hop is subtracted from the patience for the network time to the agent and back.
	Hop clock.Millis
	// RetryAfter is returned to callers if neither the agent nor the table gave a time.
	RetryAfter clock.Millis
	// TableTimeout is the timeout of one access to the table or the object store.
	TableTimeout clock.Millis
	// LogSampling logs one of this many routing decisions; 0 and 1 log all.
	LogSampling uint64
}

// Defaults returns the default settings.
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
	settings      Settings
	clock         clock.Clock
	agents        Agents
	view          View
	ledger        *dedup.Ledger
	budget        *retry.Budget
	limiter       *admission.Limiter
	newRequestID  func() ident.Request
	unrecorded    unrecordedAnswers
	responseTimes latencyRecorder
	losses        *losses
	// decisions counts the routing decisions, to log a sample of them.
	decisions atomic.Uint64

	mu       sync.Mutex
	stopping bool
	inFlight int
	idle     chan struct{}
	// stopped is closed by Stop to end the streams.
	stopped chan struct{}
}

// New returns a Dispatcher. The function newRequestID returns a new request id with each call, for the
// attempts of a keyed submission after the first.
func New(time clock.Clock, agents Agents, view View, ledger *dedup.Ledger, budget *retry.Budget,
	limiter *admission.Limiter, newRequestID func() ident.Request, settings Settings,
) *Dispatcher {
	return &Dispatcher{
		settings: settings, clock: time, agents: agents, view: view, ledger: ledger, budget: budget,
		limiter: limiter, newRequestID: newRequestID, stopped: make(chan struct{}),
		losses:        newLosses(),
		responseTimes: latencyRecorder{services: map[ident.Service]*latencyWindows{}},
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
	dispatchMillis    = metrics.NewHistogram(`hyssopjunction_dispatch_millis`)
)

// requestState is a request in progress with its service, deadline and attempts.
type requestState struct {
	Request
	service    Service
	candidates *routing.View
	started    clock.Time
	deadline   clock.Time
	attempts   int
	// excluded lists the endpoints that are not chosen again for this request.
	excluded []ident.Endpoint
	// lost counts the endpoints that were lost under this request.
	lost int
}

// Dispatch sends the request and returns its complete answer. Errors are ErrNotRun, ErrUnknown and
// ErrAnswerUnavailable; Answer.Outcome is set in any case.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request Request) (Answer, error) {
	started := dispatcher.clock.Now()
	answer, err := dispatcher.admit(ctx, request, started)
	var notRun ErrNotRun
	if errors.As(err, &notRun) && notRun.keyUnread {
		answer, err = dispatcher.resolveUnreadKey(ctx, request, notRun)
	}
	answer.Request = request.ID
	answer.Outcome = outcomeOf(err)
	outcomeCounters[answer.Outcome].Inc()
	countUnanswered(err)
	now := dispatcher.clock.Now()
	dispatchMillis.Update(float64(now.Sub(started)))
	if answer.Outcome != outcome.NotRun {
		dispatcher.responseTimes.record(request.Service, now.Sub(started), now)
	}
	if err != nil && klog.V(1).Enabled() {
		klog.InfoS("Request without answer", "Request", request.ID, "Service", request.Service, "Team", request.Team,
			"Outcome", answer.Outcome, "Reason", err.Error())
	}
	return answer, err
}

// countUnanswered counts requests without an answer by reason.
func countUnanswered(err error) {
	var notRun ErrNotRun
	var unknown ErrUnknown
	reason := AnswerUnavailable
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
	case err == nil, IsErrAnswerUnavailable(err):
		return outcome.Ran
	case IsErrNotRun(err):
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

func (dispatcher *Dispatcher) admit(ctx context.Context, request Request, started clock.Time) (Answer, error) {
	refuse := func(reason Reason, after clock.Millis) (Answer, error) {
		keyUnread := request.Key != "" && (reason == Stopping || reason == Overload || reason == EndpointsLost)
		return Answer{}, ErrNotRun{Request: request.ID, Reason: reason, RetryAfter: after, keyUnread: keyUnread}
	}
	service, candidates, ok := dispatcher.view.Service(request.Service)
	switch {
	case !ok:
		return refuse(UnknownService, 0)
	case !service.Idempotent && request.Key == "":
		return refuse(MissingKey, 0)
	case service.BodyBytes > 0 && int64(len(request.Body)) > service.BodyBytes:
		return refuse(TooLarge, 0)
	case !dispatcher.beginRequest():
		return refuse(Stopping, dispatcher.settings.RetryAfter)
	}
	defer dispatcher.endRequest()
	if after, ok := dispatcher.refusedAfterLosses(&requestState{Request: request}); ok {
		return refuse(EndpointsLost, after)
	}
	if after, ok := dispatcher.limiter.Acquire(request.Priority); !ok {
		return refuse(Overload, after)
	}
	defer dispatcher.limiter.Release()
	if request.Patience <= 0 {
		request.Patience = service.Patience
	}
	dispatcher.budget.Earn()
	state := &requestState{
		Request: request, service: service, candidates: candidates,
		started: started, deadline: started.Add(request.Patience),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if service.Idempotent {
		return dispatcher.dispatchIdempotent(ctx, state)
	}
	return dispatcher.dispatchKeyed(ctx, state)
}

// Stop refuses new requests and waits until those in flight have ended, or ctx ends. Streams are ended
// at once because they may stay open for a day; callers resume them at another entry.
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

func (dispatcher *Dispatcher) beginRequest() bool {
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if dispatcher.stopping {
		return false
	}
	dispatcher.inFlight++
	return true
}

func (dispatcher *Dispatcher) endRequest() {
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	dispatcher.inFlight--
	if dispatcher.stopping && dispatcher.inFlight == 0 {
		close(dispatcher.idle)
	}
}

// maxTimerInterval is the longest time of a request's timer. Timers of package clock cannot be stopped,
// so the timer of a request with a patience of an hour would outlive the request by up to an hour.
const maxTimerInterval = clock.Second

// deadlineTimer fires at the deadline or after maxTimerInterval, whichever is first.
func (dispatcher *Dispatcher) deadlineTimer(deadline clock.Time) <-chan clock.Time {
	return dispatcher.clock.After(min(maxTimerInterval, deadline.Sub(dispatcher.clock.Now())))
}

func (dispatcher *Dispatcher) deadlineReached(deadline clock.Time) bool {
	return !dispatcher.clock.Now().Before(deadline)
}

// chooseEndpoint returns the router's choice among the endpoints that are not excluded and logs it.
func (dispatcher *Dispatcher) chooseEndpoint(state *requestState) (routing.Decision, error) {
	decision, err := state.candidates.Choose(dispatcher.clock.Now(), state.excluded)
	if err != nil {
		klog.InfoS("No endpoint", "Request", state.ID, "Service", state.Service, "Reason", err.Error())
		return decision, err
	}
	if !dispatcher.shouldLogDecision() {
		return decision, nil
	}
	klog.InfoS("Endpoint chosen", "Request", state.ID, "Service", state.Service, "Endpoint", decision.Endpoint,
		"Why", decision.Reason, "Candidates", decision.String(), "Attempt", state.attempts+1)
	return decision, nil
}

// shouldLogDecision reports whether the next routing decision is logged.
func (dispatcher *Dispatcher) shouldLogDecision() bool {
	if every := dispatcher.settings.LogSampling; every > 1 && dispatcher.decisions.Add(1)%every != 1 {
		unloggedDecisions.Inc()
		return false
	}
	return true
}

func claimTarget(decision *routing.Decision) dedup.Target {
	return dedup.Target{
		Endpoint: decision.Endpoint, Worker: decision.Worker,
		Address: decision.Address, Incarnation: decision.Incarnation,
	}
}

// tableRetryAfter returns the time that the table asked to wait, or fallback if it gave none.
func tableRetryAfter(err error, fallback clock.Millis) clock.Millis {
	var unavailable table.ErrUnavailable
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		return unavailable.RetryAfter
	}
	return fallback
}
