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

// dispatchKeyed dispatches a submission that must run at most once. The submission is claimed before it
// is sent, and moved to another endpoint only after the agent confirmed that it was not run.
func (dispatcher *Dispatcher) dispatchKeyed(ctx context.Context, state *requestState) (Answer, error) {
	decision, err := dispatcher.chooseEndpoint(state)
	if err != nil {
		return dispatcher.answerWithoutEndpoint(ctx, state)
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	ticket, answer, err := dispatcher.ledger.Claim(tableCtx, dedup.Claim{
		Service: state.Service, Key: state.Key, Request: state.ID, Digest: digest(state), Target: claimTarget(&decision),
	})
	cancel()
	if err == nil && answer == nil {
		return dispatcher.runClaimed(ctx, state, ticket, decision)
	}
	decision.Cancel()
	if answer != nil {
		return dispatcher.replay(ctx, state, answer)
	}
	return dispatcher.claimNotGranted(ctx, state, err)
}

// claimNotGranted answers a request whose claim failed with err.
func (dispatcher *Dispatcher) claimNotGranted(ctx context.Context, state *requestState, err error) (Answer, error) {
	var running dedup.ErrStillRunning
	switch {
	case errors.As(err, &running):
		return dispatcher.takeOver(ctx, state, running.Ticket)
	case dedup.IsErrUnknownOutcome(err):
		return Answer{}, ErrUnknown{Request: state.ID, Reason: Lost}
	case dedup.IsErrKeyReused(err):
		return Answer{}, ErrNotRun{Request: state.ID, Reason: KeyReused}
	default:
		klog.InfoS("Submission refused", "Request", state.ID, "Service", state.Service, "Reason", err.Error())
		return Answer{}, ErrNotRun{
			Request: state.ID, Reason: Outage, RetryAfter: tableRetryAfter(err, dispatcher.settings.RetryAfter), keyUnread: true,
		}
	}
}

// resolveUnreadKey answers a keyed submission that was refused before the state of its key was read. An
// earlier request with the key may have run, so the result is ErrNotRun only if the table shows that
// none did. Otherwise it is the earlier answer, or ErrUnknown, after which the caller can safely repeat
// the key.
func (dispatcher *Dispatcher) resolveUnreadKey(ctx context.Context, request Request, refusal ErrNotRun) (Answer, error) {
	refusal.keyUnread = false
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	ticket, ok, err := dispatcher.ledger.Read(tableCtx, request.Service, request.Key)
	switch {
	case err != nil:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	case !ok || ticket.Record.State == dedup.Released:
		return Answer{}, refusal
	case ticket.Record.Digest != digest(&requestState{Request: request}):
		refusal.Reason = KeyReused
		return Answer{}, refusal
	case ticket.Record.State == dedup.Completed:
		return dispatcher.replay(ctx, &requestState{Request: request}, ticket.Record.Answer)
	case ticket.Record.State == dedup.Lost:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: Lost}
	default:
		return Answer{}, ErrUnknown{Request: request.ID, Reason: StillRunning, RetryAfter: refusal.RetryAfter}
	}
}

// answerWithoutEndpoint answers a submission while no endpoint can be chosen. A key that has an answer
// already still gets it.
func (dispatcher *Dispatcher) answerWithoutEndpoint(ctx context.Context, state *requestState) (Answer, error) {
	return dispatcher.resolveUnreadKey(ctx, state.Request, ErrNotRun{
		Request: state.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter,
	})
}

// runClaimed sends the request of a claim that belongs to this dispatcher and reassigns the claim after
// refusals.
func (dispatcher *Dispatcher) runClaimed(ctx context.Context, state *requestState, ticket dedup.Ticket, decision routing.Decision) (Answer, error) {
	for {
		state.excluded = append(state.excluded, decision.Endpoint)
		state.attempts++
		attemptCounter.Inc()
		result := dispatcher.attempt(ctx, state, decision, ticket.Record.Request, state.attempts)
		switch result.outcome {
		case outcome.Ran:
			dispatcher.recordAnswer(ctx, ticket, result)
			return dispatcher.newAnswer(state, endedAttempt{attemptResult: result, endpoint: string(decision.Endpoint)}), nil
		case outcome.Unknown:
			return dispatcher.endWithoutOutcome(ctx, state, ticket, result)
		case outcome.NotRun:
		}
		nextDecision, nextTicket, err := dispatcher.reassign(ctx, state, ticket, result)
		if err != nil {
			return dispatcher.reassignFailed(ctx, state, err)
		}
		ticket, decision = nextTicket, nextDecision
	}
}

// reassign moves the claim to an endpoint that was not tried. If there is none or the limits of retries
// are reached, it releases the claim and returns ErrNotRun.
func (dispatcher *Dispatcher) reassign(ctx context.Context, state *requestState, ticket dedup.Ticket, result attemptResult) (routing.Decision, dedup.Ticket, error) {
	var decision routing.Decision
	err := error(dispatcher.notRunError(state, result))
	if dispatcher.mayAttempt(state, result) {
		chosen, chooseErr := dispatcher.chooseEndpoint(state)
		if chooseErr == nil {
			decision, err = chosen, nil
		}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	if err != nil {
		var superseded dedup.ErrSuperseded
		if releaseErr := dispatcher.ledger.Release(tableCtx, ticket, result.outcome); errors.As(releaseErr, &superseded) {
			// Another request with the same key took over the claim and may be running.
			err = superseded
		}
		return decision, ticket, err
	}
	reassigned, err := dispatcher.ledger.Reassign(tableCtx, ticket, result.outcome, dispatcher.newRequestID(), claimTarget(&decision))
	if err != nil {
		decision.Cancel()
	}
	return decision, reassigned, err
}

// reassignFailed answers a request whose last attempt was not run and whose claim could not be moved.
func (dispatcher *Dispatcher) reassignFailed(ctx context.Context, state *requestState, err error) (Answer, error) {
	var superseded dedup.ErrSuperseded
	switch {
	case IsErrNotRun(err):
		return Answer{Attempts: state.attempts}, err
	case errors.As(err, &superseded):
		return dispatcher.takeOverCurrent(ctx, state)
	default:
		return Answer{Attempts: state.attempts}, ErrNotRun{
			Request: state.ID, Reason: Outage, RetryAfter: tableRetryAfter(err, dispatcher.settings.RetryAfter),
		}
	}
}

// endWithoutOutcome answers a request that may have run. If the outcome can never be known, it records
// the claim as lost, so that repetitions of the key need not query the agent.
func (dispatcher *Dispatcher) endWithoutOutcome(ctx context.Context, state *requestState, ticket dedup.Ticket, result attemptResult) (Answer, error) {
	if !result.final {
		return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	if err := dispatcher.ledger.MarkLost(tableCtx, ticket); err != nil {
		klog.InfoS("Lost claim not recorded", "Request", state.ID, "Reason", err.Error())
	}
	return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: Lost}
}

// recordAnswer records the answer in the claim. If that fails, the answer waits for Flush, and a
// repetition of the key gets it from the agent until then.
func (dispatcher *Dispatcher) recordAnswer(ctx context.Context, ticket dedup.Ticket, result attemptResult) {
	answer := dedup.Answer{
		Outcome: outcome.Ran, Status: int(result.reply.GetStatus()),
		ContentType: result.reply.GetContentType(), Body: result.reply.GetBody(),
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

func (dispatcher *Dispatcher) newAnswer(state *requestState, ended endedAttempt) Answer {
	return Answer{
		Status: int(ended.reply.GetStatus()), ContentType: ended.reply.GetContentType(), Body: ended.reply.GetBody(),
		Endpoint: ident.Endpoint(ended.endpoint), Attempts: state.attempts,
	}
}

// replay returns the recorded answer of a repeated key, or ErrAnswerUnavailable if it was not stored or cannot
// be read now.
func (dispatcher *Dispatcher) replay(ctx context.Context, state *requestState, answer *dedup.Answer) (Answer, error) {
	if answer.Omitted {
		return Answer{Replayed: true}, ErrAnswerUnavailable{Request: state.ID, Bytes: answer.Bytes}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	loaded, err := dispatcher.ledger.Load(tableCtx, *answer)
	if err != nil {
		klog.InfoS("Stored answer not available", "Request", state.ID, "Service", state.Service, "Reason", err.Error())
		return Answer{Replayed: true}, ErrAnswerUnavailable{Request: state.ID, Bytes: answer.Bytes, RetryAfter: dispatcher.settings.RetryAfter}
	}
	return Answer{Status: loaded.Status, ContentType: loaded.ContentType, Body: loaded.Body, Replayed: true}, nil
}

// digest returns a hash of team and body. With the team in it, a team never gets the answer to another
// team's submission with the same key.
func digest(state *requestState) string {
	sum := sha256.Sum256(append([]byte(state.Team+"\x00"), state.Body...))
	return hex.EncodeToString(sum[:16])
}

// pollInterval is the time between two queries about a claim of another request, and the first wait
// before a stream is resumed.
const pollInterval = 50 * clock.Millisecond
