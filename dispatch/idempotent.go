package dispatch

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/outcome"
	"hyssopjunction/retry"

	"hyssopjunction/admission"
)

// dispatchIdempotent dispatches an idempotent request, which may be retried after any failure and
// hedged, within the retry budget.
func (dispatcher *Dispatcher) dispatchIdempotent(ctx context.Context, state *requestState) (Answer, error) {
	results := make(chan endedAttempt, dispatcher.settings.Attempts)
	if err := dispatcher.startAttempt(ctx, state, results); err != nil {
		return Answer{}, ErrNotRun{Request: state.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter}
	}
	running := 1
	allNotRun := true
	var last attemptResult
	var hedgeTimer <-chan clock.Time
	if state.service.Hedge > 0 && retry.MayHedge(state.service.Idempotent) {
		hedgeTimer = dispatcher.clock.After(state.service.Hedge)
	}
	deadlineTimer := dispatcher.deadlineTimer(state.deadline)
	for running > 0 {
		startAnother := false
		select {
		case ended := <-results:
			running--
			last = ended.attemptResult
			if last.outcome == outcome.Ran {
				return dispatcher.newAnswer(state, ended), nil
			}
			if last.endpointLost {
				state.lost++
			}
			allNotRun = allNotRun && last.outcome == outcome.NotRun
			startAnother = retry.MayRetry(state.service.Idempotent, last.outcome) && dispatcher.mayAttempt(state, last)
		case <-hedgeTimer:
			hedgeTimer = nil
			startAnother = dispatcher.mayAttempt(state, attemptResult{})
		case <-deadlineTimer:
			if !dispatcher.deadlineReached(state.deadline) {
				deadlineTimer = dispatcher.deadlineTimer(state.deadline)
				continue
			}
			return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: Patience, RetryAfter: dispatcher.settings.RetryAfter}
		case <-ctx.Done():
			return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: Cancelled}
		}
		if startAnother && dispatcher.startAttempt(ctx, state, results) == nil {
			running++
		}
	}
	if allNotRun {
		return Answer{Attempts: state.attempts}, dispatcher.notRunError(state, last)
	}
	return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: Lost, RetryAfter: dispatcher.settings.RetryAfter}
}

// endedAttempt is the result of an attempt and its endpoint.
type endedAttempt struct {
	attemptResult
	endpoint string
}

// startAttempt starts an attempt at an endpoint that was not tried yet.
func (dispatcher *Dispatcher) startAttempt(ctx context.Context, state *requestState, results chan<- endedAttempt) error {
	decision, err := dispatcher.chooseEndpoint(state)
	if err != nil {
		return err
	}
	state.excluded = append(state.excluded, decision.Endpoint)
	state.attempts++
	attemptCounter.Inc()
	number := state.attempts
	go func() {
		results <- endedAttempt{attemptResult: dispatcher.attempt(ctx, state, decision, state.ID, number), endpoint: string(decision.Endpoint)}
	}()
	return nil
}

// mayAttempt reports whether another attempt is within the limit of attempts, the deadline and the retry
// budget. An attempt after the refusal of a leaving endpoint is not charged to the budget: the router
// stops choosing the endpoint at once, so there are no more of these than requests in flight.
func (dispatcher *Dispatcher) mayAttempt(state *requestState, last attemptResult) bool {
	if state.attempts >= dispatcher.settings.Attempts || state.lost >= maxLostEndpoints {
		return false
	}
	if _, refused := dispatcher.refusedAfterLosses(state); refused {
		return false
	}
	if state.deadline.Sub(dispatcher.clock.Now()) <= dispatcher.settings.Hop {
		return false
	}
	return last.leaving() || dispatcher.budget.Spend()
}

// notRunError returns the error for a request whose last attempt was not run.
func (dispatcher *Dispatcher) notRunError(state *requestState, last attemptResult) ErrNotRun {
	notRun := ErrNotRun{Request: state.ID, Reason: Outage, RetryAfter: last.retryAfter}
	switch admission.Reason(last.refusal) {
	case admission.Patience:
		notRun.Reason = Patience
	case admission.Overload, admission.Shed:
		notRun.Reason = Overload
	case admission.Leaving:
		notRun.Reason = NoEndpoint
	}
	if notRun.RetryAfter <= 0 {
		notRun.RetryAfter = dispatcher.settings.RetryAfter
	}
	klog.InfoS("Request refused", "Request", state.ID, "Reason", notRun.Reason, "Refusal", last.refusal)
	return notRun
}
