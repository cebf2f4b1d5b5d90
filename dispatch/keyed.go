package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

var incompleteClaims = metrics.NewCounter(`hyssopjunction_dispatch_incomplete_claims_total`)

// keyed dispatches a submission that must run at most once. It is claimed before it is sent and
// moved to another endpoint only after a confirmed not run.
func (dispatcher *Dispatcher) keyed(ctx context.Context, flow *flow) (Answer, error) {
	decision, err := dispatcher.choose(flow)
	if err != nil {
		return dispatcher.replayOnly(ctx, flow)
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	ticket, answer, err := dispatcher.ledger.Claim(tableCtx, dedup.Claim{
		Service: flow.Service, Key: flow.Key, Request: flow.ID, Digest: digest(flow), Target: targetOf(&decision),
	})
	cancel()
	if err == nil && answer == nil {
		return dispatcher.run(ctx, flow, ticket, decision)
	}
	decision.Cancel()
	if answer != nil {
		return dispatcher.replay(ctx, flow, answer)
	}
	return dispatcher.claimed(ctx, flow, err)
}

// claimed handles a claim that was not granted.
func (dispatcher *Dispatcher) claimed(ctx context.Context, flow *flow, err error) (Answer, error) {
	var running dedup.ErrStillRunning
	switch {
	case errors.As(err, &running):
		return dispatcher.takeOver(ctx, flow, running.Ticket)
	case dedup.IsErrUnknownOutcome(err):
		return Answer{}, ErrUnknown{Request: flow.ID, Reason: Lost}
	case dedup.IsErrKeyReused(err):
		return Answer{}, ErrNotRun{Request: flow.ID, Reason: KeyReused}
	default:
		klog.InfoS("Submission refused", "Request", flow.ID, "Service", flow.Service, "Reason", err.Error())
		return Answer{}, ErrNotRun{
			Request: flow.ID, Reason: Outage, RetryAfter: tableRetryAfter(err, dispatcher.settings.RetryAfter), unread: true,
		}
	}
}

// settleKey decides what may be said of a keyed submission that was refused before its key's state
// was read. An earlier request with the key may have run, so "not run" is said only if the table
// shows that none did. Otherwise the caller is told to come back with the same key, which is safe.
func (dispatcher *Dispatcher) settleKey(ctx context.Context, request Request, refused ErrNotRun) (Answer, error) {
	refused.unread = false
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	ticket, ok, err := dispatcher.ledger.Read(tableCtx, request.Service, request.Key)
	switch {
	case err != nil:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	case !ok || ticket.Record.State == dedup.Released:
		return Answer{}, refused
	case ticket.Record.Digest != digest(&flow{Request: request}):
		refused.Reason = KeyReused
		return Answer{}, refused
	case ticket.Record.State == dedup.Completed:
		return dispatcher.replay(ctx, &flow{Request: request}, ticket.Record.Answer)
	case ticket.Record.State == dedup.Lost:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: Lost}
	default:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: StillRunning, RetryAfter: refused.RetryAfter}
	}
}

// replayOnly answers a repeated key while no endpoint can be chosen.
func (dispatcher *Dispatcher) replayOnly(ctx context.Context, flow *flow) (Answer, error) {
	return dispatcher.settleKey(ctx, flow.Request, ErrNotRun{
		Request: flow.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter,
	})
}

// run sends the request of a claim that this dispatcher holds, and reassigns it after refusals.
func (dispatcher *Dispatcher) run(ctx context.Context, flow *flow, ticket dedup.Ticket, decision routing.Decision) (Answer, error) {
	for {
		flow.excluded = append(flow.excluded, decision.Endpoint)
		flow.attempts++
		attemptCounter.Inc()
		ended := dispatcher.attempt(ctx, flow, decision, ticket.Record.Request, flow.attempts)
		switch ended.outcome {
		case outcome.Ran:
			dispatcher.complete(ctx, ticket, ended)
			return dispatcher.answer(flow, attempted{result: ended, endpoint: string(decision.Endpoint)}), nil
		case outcome.Unknown:
			return dispatcher.unresolved(ctx, flow, ticket, ended)
		case outcome.NotRun:
		}
		next, moved, err := dispatcher.reassign(ctx, flow, ticket, ended)
		if err != nil {
			return dispatcher.moveFailed(ctx, flow, err)
		}
		ticket, decision = moved, next
	}
}

// reassign moves the claim to an endpoint that was not tried, or releases it with ErrNotRun.
func (dispatcher *Dispatcher) reassign(ctx context.Context, flow *flow, ticket dedup.Ticket, ended result) (routing.Decision, dedup.Ticket, error) {
	var decision routing.Decision
	err := error(dispatcher.notRun(flow, ended))
	if dispatcher.mayTry(flow, ended) {
		chosen, chooseErr := dispatcher.choose(flow)
		if chooseErr == nil {
			decision, err = chosen, nil
		}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	if err != nil {
		var superseded dedup.ErrSuperseded
		if released := dispatcher.ledger.Release(tableCtx, ticket, ended.outcome); errors.As(released, &superseded) {
			// Another request with the same key took the claim over and may be running.
			err = superseded
		}
		return decision, ticket, err
	}
	moved, err := dispatcher.ledger.Reassign(tableCtx, ticket, ended.outcome, dispatcher.requests(), targetOf(&decision))
	if err != nil {
		decision.Cancel()
	}
	return decision, moved, err
}

// moveFailed ends a request whose last attempt was confirmed as not run and that was not moved.
func (dispatcher *Dispatcher) moveFailed(ctx context.Context, flow *flow, err error) (Answer, error) {
	var superseded dedup.ErrSuperseded
	switch {
	case IsErrNotRun(err):
		return Answer{Attempts: flow.attempts}, err
	case errors.As(err, &superseded):
		return dispatcher.takeOverCurrent(ctx, flow)
	default:
		return Answer{Attempts: flow.attempts}, ErrNotRun{
			Request: flow.ID, Reason: Outage, RetryAfter: tableRetryAfter(err, dispatcher.settings.RetryAfter),
		}
	}
}

// unresolved ends a request that may have run. If the outcome can never be known, the claim says
// so, and repetitions of the key need not ask the agent.
func (dispatcher *Dispatcher) unresolved(ctx context.Context, flow *flow, ticket dedup.Ticket, ended result) (Answer, error) {
	if !ended.final {
		return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	if err := dispatcher.ledger.Lose(tableCtx, ticket); err != nil {
		klog.InfoS("Lost claim not recorded", "Request", flow.ID, "Reason", err.Error())
	}
	return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: Lost}
}

// complete records the answer. If the table cannot be used, the answer is kept for Flush; until
// then a repetition of the key gets it from the agent.
func (dispatcher *Dispatcher) complete(ctx context.Context, ticket dedup.Ticket, ended result) {
	answer := dedup.Answer{
		Outcome: outcome.Ran, Status: int(ended.reply.GetStatus()),
		ContentType: ended.reply.GetContentType(), Body: ended.reply.GetBody(),
	}
	tableCtx, cancel := dispatcher.tableContext(context.WithoutCancel(ctx))
	defer cancel()
	err := dispatcher.ledger.Complete(tableCtx, ticket, answer)
	if err == nil {
		return
	}
	incompleteClaims.Inc()
	klog.InfoS("Answer not recorded", "Request", ticket.Record.Request, "Service", ticket.Service, "Reason", err.Error())
	if !dedup.IsErrSuperseded(err) {
		dispatcher.unrecorded.add(ticket, answer)
	}
}

func (dispatcher *Dispatcher) tableContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, dispatcher.settings.TableTimeout.Duration())
}

func (dispatcher *Dispatcher) answer(flow *flow, ended attempted) Answer {
	return Answer{
		Status: int(ended.reply.GetStatus()), ContentType: ended.reply.GetContentType(), Body: ended.reply.GetBody(),
		Endpoint: ident.Endpoint(ended.endpoint), Attempts: flow.attempts,
	}
}

// replay returns the first answer of a repeated key. The request ran, whether or not its answer can
// be read now.
func (dispatcher *Dispatcher) replay(ctx context.Context, flow *flow, answer *dedup.Answer) (Answer, error) {
	if answer.Omitted {
		return Answer{Replayed: true}, ErrRanUnkept{Request: flow.ID, Bytes: answer.Bytes}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	kept, err := dispatcher.ledger.Load(tableCtx, *answer)
	if err != nil {
		klog.InfoS("Kept answer not available", "Request", flow.ID, "Service", flow.Service, "Reason", err.Error())
		return Answer{Replayed: true}, ErrRanUnkept{Request: flow.ID, Bytes: answer.Bytes, RetryAfter: dispatcher.settings.RetryAfter}
	}
	return Answer{Status: kept.Status, ContentType: kept.ContentType, Body: kept.Body, Replayed: true}, nil
}

// digest identifies team and body, so that a team never gets the answer to another team's key.
func digest(flow *flow) string {
	sum := sha256.Sum256(append([]byte(flow.Team+"\x00"), flow.Body...))
	return hex.EncodeToString(sum[:16])
}

// pollInterval is the time between two queries for the answer to another request's claim.
const pollInterval = 50 * clock.Millisecond
