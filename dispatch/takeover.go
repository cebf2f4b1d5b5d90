package dispatch

import (
	"context"
	"errors"
	"sync"

	"hyssopjunction/dedup"
	"hyssopjunction/outcome"
)

// takeOver resolves a claim of another request by querying its agent. If the other request ran, its
// answer is recorded and returned; if the agent confirms that it was not run, this request takes over
// the claim. From the second query on, the agent refuses the other request if it has not arrived. If the
// first query did so already, two dispatchers could refuse each other's requests in turn while these are
// being sent.
func (dispatcher *Dispatcher) takeOver(ctx context.Context, state *requestState, ticket dedup.Ticket) (Answer, error) {
	if ticket.Record.Digest != digest(state) {
		return Answer{}, ErrNotRun{Request: state.ID, Reason: KeyReused}
	}
	stillRunning := ErrUnknown{Request: state.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	for refuse := false; ; refuse = true {
		// The receive blocks for at most QueryTimeout.
		response := <-dispatcher.query(ctx, ticket.Record.Target, ticket.Record.Request, refuse)
		result := dispatcher.interpretQuery(ticket.Record.Request, response)
		if result.outcome == outcome.Unknown && !result.pending {
			// The agent of a replaced machine is no longer reachable at the address in the claim.
			current, ok := state.candidates.Find(ticket.Record.Target.Endpoint)
			result.final = result.final || (ok && current.Incarnation > ticket.Record.Target.Incarnation)
		}
		switch {
		case result.outcome == outcome.Ran:
			dispatcher.recordAnswer(ctx, ticket, result)
			return Answer{
				Status: int(result.reply.GetStatus()), ContentType: result.reply.GetContentType(),
				Body: result.reply.GetBody(), Endpoint: ticket.Record.Target.Endpoint, Replayed: true,
			}, nil
		case result.outcome == outcome.NotRun:
			return dispatcher.claimAfterNotRun(ctx, state, ticket)
		case result.final:
			return dispatcher.endWithoutOutcome(ctx, state, ticket, result)
		}
		if dispatcher.deadlineReached(state.deadline.Add(-pollInterval)) {
			return Answer{}, stillRunning
		}
		select {
		case <-dispatcher.clock.After(pollInterval):
		case <-ctx.Done():
			return Answer{}, ErrUnknown{Request: state.ID, Reason: Cancelled}
		}
	}
}

// claimAfterNotRun moves a claim whose request was confirmed as not run to this request.
func (dispatcher *Dispatcher) claimAfterNotRun(ctx context.Context, state *requestState, ticket dedup.Ticket) (Answer, error) {
	state.excluded = append(state.excluded, ticket.Record.Target.Endpoint)
	decision, err := dispatcher.chooseEndpoint(state)
	if err != nil {
		// Without another endpoint the same one is used: it refuses the other request's id, not this one.
		state.excluded = state.excluded[:len(state.excluded)-1]
		if decision, err = dispatcher.chooseEndpoint(state); err != nil {
			return Answer{}, ErrNotRun{Request: state.ID, Reason: NoEndpoint, RetryAfter: dispatcher.settings.RetryAfter}
		}
	}
	id := state.ID
	if state.attempts > 0 {
		id = dispatcher.newRequestID()
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	reassigned, err := dispatcher.ledger.Reassign(tableCtx, ticket, outcome.NotRun, id, claimTarget(&decision))
	cancel()
	if err != nil {
		decision.Cancel()
		return dispatcher.reassignFailed(ctx, state, err)
	}
	return dispatcher.runClaimed(ctx, state, reassigned, decision)
}

// takeOverCurrent reads the claim again after it was changed by another request, and continues from its
// current state.
func (dispatcher *Dispatcher) takeOverCurrent(ctx context.Context, state *requestState) (Answer, error) {
	if !dispatcher.clock.Now().Before(state.deadline) {
		return Answer{Attempts: state.attempts}, ErrUnknown{Request: state.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	}
	tableCtx, cancel := dispatcher.tableContext(ctx)
	defer cancel()
	ticket, ok, err := dispatcher.ledger.Read(tableCtx, state.Service, state.Key)
	unknown := ErrUnknown{Request: state.ID, Reason: StillRunning, RetryAfter: dispatcher.settings.RetryAfter}
	switch {
	case err != nil || !ok:
		return Answer{Attempts: state.attempts}, unknown
	case ticket.Record.Digest != digest(state):
		return Answer{Attempts: state.attempts}, ErrNotRun{Request: state.ID, Reason: KeyReused}
	case ticket.Record.State == dedup.Completed:
		return dispatcher.replay(ctx, state, ticket.Record.Answer)
	case ticket.Record.State == dedup.Lost:
		unknown.Reason = Lost
		return Answer{Attempts: state.attempts}, unknown
	case ticket.Record.State == dedup.Released:
		return Answer{Attempts: state.attempts}, ErrNotRun{Request: state.ID, Reason: Overload, RetryAfter: dispatcher.settings.RetryAfter}
	default:
		return dispatcher.takeOver(ctx, state, ticket)
	}
}

// Limits of the answers that wait to be recorded. An answer above the limits is discarded here; its agent
// still has it for the retention of package admission.
const (
	maxUnrecordedAnswers = 1024
	maxUnrecordedBytes   = 16 << 20
)

// unrecordedAnswers holds answers that could not be recorded because the table or the object store was
// unavailable.
type unrecordedAnswers struct {
	mu      sync.Mutex
	answers []unrecordedAnswer
	bytes   int
}

type unrecordedAnswer struct {
	ticket dedup.Ticket
	answer dedup.Answer
}

func (queue *unrecordedAnswers) add(ticket dedup.Ticket, answer dedup.Answer) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.answers) < maxUnrecordedAnswers && queue.bytes+len(answer.Body) <= maxUnrecordedBytes {
		queue.bytes += len(answer.Body)
		queue.answers = append(queue.answers, unrecordedAnswer{ticket: ticket, answer: answer})
	}
}

func (queue *unrecordedAnswers) take() []unrecordedAnswer {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	answers := queue.answers
	queue.answers, queue.bytes = nil, 0
	return answers
}

// Flush records the answers that could not be recorded earlier and returns the number of those that
// still cannot. The entry calls it periodically and before it exits.
func (dispatcher *Dispatcher) Flush(ctx context.Context) int {
	remaining := 0
	for _, unrecorded := range dispatcher.unrecorded.take() {
		err := dispatcher.ledger.Complete(ctx, unrecorded.ticket, unrecorded.answer)
		if err != nil && !errors.As(err, new(dedup.ErrSuperseded)) {
			dispatcher.unrecorded.add(unrecorded.ticket, unrecorded.answer)
			remaining++
		}
	}
	return remaining
}
