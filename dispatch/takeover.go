package dispatch

import (
	"context"
	"errors"
	"sync"

	"hyssopjunction/dedup"
	"hyssopjunction/outcome"
)

// takeOver resolves a claim that another request holds: it asks the agent, which from the second
// query on refuses the other request if it has not arrived. Refusing at once would let two
// dispatchers refuse each other's requests in turn while these are on their way. The first answer is recorded and returned; after a confirmed not
// run this request takes the claim.
func (dispatcher *Dispatcher) takeOver(ctx context.Context, flow *flow, ticket dedup.Ticket) (Answer, error) {
	if ticket.Record.Digest != digest(flow) {
		return Answer{}, ErrNotRun{Request: flow.ID, Reason: KeyReused}
	}
	stillRunning := ErrUnknown{Request: flow.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	for refuse := false; ; refuse = true {
		// A query ends within QueryTimeout.
		queried := <-dispatcher.query(ctx, ticket.Record.Target, ticket.Record.Request, refuse)
		known := dispatcher.interpretQuery(ticket.Record.Request, queried)
		if known.outcome == outcome.Unknown && !known.pending {
			// An agent on a replaced machine cannot be reached at its old address any more.
			current, ok := flow.candidates.Find(ticket.Record.Target.Endpoint)
			known.final = known.final || (ok && current.Incarnation > ticket.Record.Target.Incarnation)
		}
		switch {
		case known.outcome == outcome.Ran:
			dispatcher.complete(ctx, ticket, known)
			return Answer{
				Status: int(known.reply.GetStatus()), ContentType: known.reply.GetContentType(),
				Body: known.reply.GetBody(), Endpoint: ticket.Record.Target.Endpoint, Replayed: true,
			}, nil
		case known.outcome == outcome.NotRun:
			return dispatcher.claimReleased(ctx, flow, ticket)
		case known.final:
			return dispatcher.unresolved(ctx, flow, ticket, known)
		}
		if dispatcher.passed(flow.deadline.Add(-pollInterval)) {
			return Answer{}, stillRunning
		}
		select {
		case <-dispatcher.clock.After(pollInterval):
		case <-ctx.Done():
			return Answer{}, ErrUnknown{Request: flow.ID, Reason: Cancelled}
		}
	}
}

// claimReleased moves a claim whose request was confirmed as not run to this request.
func (dispatcher *Dispatcher) claimReleased(ctx context.Context, flow *flow, ticket dedup.Ticket) (Answer, error) {
	flow.excluded = append(flow.excluded, ticket.Record.Target.Endpoint)
	decision, err := dispatcher.choose(flow)
	if err != nil {
		// The only endpoint left refuses the other request's id, not this one's.
		flow.excluded = flow.excluded[:len(flow.excluded)-1]
		if decision, err = dispatcher.choose(flow); err != nil {
			return Answer{}, ErrNotRun{Request: flow.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter}
		}
	}
	id := flow.ID
	if flow.attempts > 0 {
		id = dispatcher.requests()
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	moved, err := dispatcher.ledger.Reassign(tableCtx, ticket, outcome.NotRun, id, targetOf(&decision))
	cancel()
	if err != nil {
		decision.Cancel()
		return dispatcher.moveFailed(ctx, flow, err)
	}
	return dispatcher.run(ctx, flow, moved, decision)
}

// takeOverCurrent starts again from the claim as it is now.
func (dispatcher *Dispatcher) takeOverCurrent(ctx context.Context, flow *flow) (Answer, error) {
	if !dispatcher.clock.Now().Before(flow.deadline) {
		return Answer{Attempts: flow.attempts}, ErrUnknown{Request: flow.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	ticket, ok, err := dispatcher.ledger.Read(tableCtx, flow.Service, flow.Key)
	unknown := ErrUnknown{Request: flow.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	switch {
	case err != nil || !ok:
		return Answer{Attempts: flow.attempts}, unknown
	case ticket.Record.Digest != digest(flow):
		return Answer{Attempts: flow.attempts}, ErrNotRun{Request: flow.ID, Reason: KeyReused}
	case ticket.Record.State == dedup.Completed:
		return dispatcher.replay(ctx, flow, ticket.Record.Answer)
	case ticket.Record.State == dedup.Lost:
		unknown.Reason = Lost
		return Answer{Attempts: flow.attempts}, unknown
	case ticket.Record.State == dedup.Released:
		return Answer{Attempts: flow.attempts}, ErrNotRun{Request: flow.ID, Reason: Overload, RetryAfter: dispatcher.settings.RetryAfter}
	default:
		return dispatcher.takeOver(ctx, flow, ticket)
	}
}

// Answers that wait for the table or the object store are bounded in number and in bytes. One that
// finds no room is still kept by its agent for the retention of package admission.
const (
	unrecordedLimit = 1024
	unrecordedBytes = 16 << 20
)

// unrecorded holds answers that could not be recorded during a table outage.
type unrecorded struct {
	mu      sync.Mutex
	answers []unrecordedAnswer
	bytes   int
}

type unrecordedAnswer struct {
	ticket dedup.Ticket
	answer dedup.Answer
}

func (unrecorded *unrecorded) add(ticket dedup.Ticket, answer dedup.Answer) {
	unrecorded.mu.Lock()
	defer unrecorded.mu.Unlock()
	if len(unrecorded.answers) < unrecordedLimit && unrecorded.bytes+len(answer.Body) <= unrecordedBytes {
		unrecorded.bytes += len(answer.Body)
		unrecorded.answers = append(unrecorded.answers, unrecordedAnswer{ticket: ticket, answer: answer})
	}
}

func (unrecorded *unrecorded) take() []unrecordedAnswer {
	unrecorded.mu.Lock()
	defer unrecorded.mu.Unlock()
	answers := unrecorded.answers
	unrecorded.answers, unrecorded.bytes = nil, 0
	return answers
}

// Flush records the answers that could not be recorded earlier and returns how many still wait.
// The entry calls it now and then, and before it exits.
func (dispatcher *Dispatcher) Flush(ctx context.Context) int {
	waiting := 0
	for _, kept := range dispatcher.unrecorded.take() {
		err := dispatcher.ledger.Complete(ctx, kept.ticket, kept.answer)
		if err != nil && !errors.As(err, new(dedup.ErrSuperseded)) {
			dispatcher.unrecorded.add(kept.ticket, kept.answer)
			waiting++
		}
	}
	return waiting
}
