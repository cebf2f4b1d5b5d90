package dispatch

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/outcome"
	"hyssopjunction/retry"

	"hyssopjunction/admission"
)

// plain dispatches an idempotent request: it may be retried after any failure and hedged, within
// the retry budget.
func (dispatcher *Dispatcher) plain(ctx context.Context, flow *flow) (Answer, error) {
	results := make(chan attempted, dispatcher.settings.Attempts)
	if err := dispatcher.launch(ctx, flow, results); err != nil {
		return Answer{}, ErrNotRun{Request: flow.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter}
	}
	open := 1
	certain := true
	var last result
	var hedge <-chan clock.Time
	if flow.service.Hedge > 0 && retry.MayHedge(flow.service.Idempotent) {
		hedge = dispatcher.clock.After(flow.service.Hedge)
	}
	deadline := dispatcher.alarm(flow.deadline)
	for open > 0 {
		again := false
		select {
		case ended := <-results:
			open--
			last = ended.result
			if last.outcome == outcome.Ran {
				return dispatcher.answer(flow, ended), nil
			}
			certain = certain && last.outcome == outcome.NotRun
			again = retry.MayRetry(flow.service.Idempotent, last.outcome) && dispatcher.mayTry(flow, last)
		case <-hedge:
			hedge = nil
			again = dispatcher.mayTry(flow, result{})
		case <-deadline:
			if !dispatcher.passed(flow.deadline) {
				deadline = dispatcher.alarm(flow.deadline)
				continue
			}
			return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: Patience, RetryAfter: dispatcher.settings.RetryAfter}
		case <-ctx.Done():
			return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: Cancelled}
		}
		if again && dispatcher.launch(ctx, flow, results) == nil {
			open++
		}
	}
	if certain {
		return Answer{Attempts: flow.attempts}, dispatcher.notRun(flow, last)
	}
	return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: Lost, RetryAfter: dispatcher.settings.RetryAfter}
}

// attempted is an ended attempt with the endpoint it went to.
type attempted struct {
	result
	endpoint string
}

// launch starts an attempt at an endpoint that was not tried yet.
func (dispatcher *Dispatcher) launch(ctx context.Context, flow *flow, results chan<- attempted) error {
	decision, err := dispatcher.choose(flow)
	if err != nil {
		return err
	}
	flow.excluded = append(flow.excluded, decision.Endpoint)
	flow.attempts++
	attemptCounter.Inc()
	number := flow.attempts
	go func() {
		results <- attempted{result: dispatcher.attempt(ctx, flow, decision, flow.ID, number), endpoint: string(decision.Endpoint)}
	}()
	return nil
}

// mayTry reports whether another attempt fits in the limits, the patience and the budget. A
// redirect by a leaving endpoint is free: the router stops choosing the endpoint at once, so there
// are only as many as requests in flight.
func (dispatcher *Dispatcher) mayTry(flow *flow, last result) bool {
	if flow.attempts >= dispatcher.settings.Attempts {
		return false
	}
	if flow.deadline.Sub(dispatcher.clock.Now()) <= dispatcher.settings.Hop {
		return false
	}
	return last.leaving() || dispatcher.budget.Spend()
}

// notRun turns the agent's refusal into the final error.
func (dispatcher *Dispatcher) notRun(flow *flow, last result) ErrNotRun {
	refused := ErrNotRun{Request: flow.ID, Reason: Outage, RetryAfter: last.retryAfter}
	switch admission.Reason(last.refusal) {
	case admission.Patience:
		refused.Reason = Patience
	case admission.Overload, admission.Shed:
		refused.Reason = Overload
	case admission.Leaving:
		refused.Reason = NoEndpoint
	}
	if refused.RetryAfter <= 0 {
		refused.RetryAfter = dispatcher.settings.RetryAfter
	}
	klog.InfoS("Request refused", "Request", flow.ID, "Reason", refused.Reason, "Refusal", last.refusal)
	return refused
}
