package recorded

import (
	"errors"
	"fmt"
	"slices"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/set"
)

// usable returns the endpoints that the baseline may choose, in ascending order of worker.
func (entry *entry) usable(excluded []ident.Endpoint) []announcement {
	view := entry.publisher.Current()
	var usable []announcement
	for _, name := range set.SortedKeys(entry.known) {
		state := entry.known[name]
		centre, _ := view.DataCentre(state.centre)
		if centre.Open && !state.leaving && !entry.silent[name] && !slices.Contains(excluded, state.endpoint) {
			usable = append(usable, state)
		}
	}
	return usable
}

// keyed claims the key of a submission and dispatches it.
func (entry *entry) keyed(sent *try) {
	next := entry.choose(sent)
	if next == nil {
		return
	}
	deployment := entry.deployment
	deployment.after(deployment.network.millis(2, 6), func() {
		if sent.dead() {
			return
		}
		ticket, known, err := entry.claims.Claim(background, dedup.Claim{
			Service: deployment.session.Traffic.Keyed, Key: sent.request.key, Request: next.id,
			Digest: fmt.Sprintf("body-%s", sent.request.key), Target: next.target,
		})
		switch {
		case err == nil && known == nil:
			next.ticket = &ticket
			entry.dispatch(next)
			return
		case next.decision != nil:
			next.decision.Cancel()
		}
		next.over = true
		var running dedup.ErrStillRunning
		switch {
		case err == nil:
			sent.answer(outcome.Ran, "")
		case errors.As(err, &running):
			entry.resolve(sent, running.Ticket)
		case dedup.IsErrUnavailable(err):
			// Nothing was dispatched under this id, and a later claim by it is resolved with the agent.
			sent.answer(outcome.NotRun, "ErrUnavailable")
		default:
			sent.doubt = true
			sent.answer(outcome.Unknown, "ErrUnknownOutcome")
		}
	})
}

// resolve asks the target of an earlier claim what became of it.
func (entry *entry) resolve(sent *try, ticket dedup.Ticket) {
	deployment := entry.deployment
	target := deployment.agent(ticket.Record.Target.Worker)
	open := deployment.fresh(ends{entry: entry.id, agent: target.name})
	open.send(func() {
		target.receive(func() {
			if !target.alive {
				return
			}
			if target.incarnation != ticket.Record.Target.Incarnation {
				open.reply(func() { entry.lose(sent, ticket) })
				return
			}
			status := target.controller.Query(deployment.now(), ticket.Record.Request, true)
			open.reply(func() { entry.resolved(sent, ticket, status) })
		})
	})
}

// resolved takes what the target of an earlier claim answered.
func (entry *entry) resolved(sent *try, ticket dedup.Ticket, status admission.Status) {
	if sent.dead() {
		return
	}
	switch {
	case status.State == admission.Finished && status.Answer.Outcome == outcome.Ran:
		entry.complete(ticket, nil)
		sent.answer(outcome.Ran, "")
	case status.State == admission.Denied:
		entry.deployment.checks.denied(ticket.Record.Request)
		entry.release(ticket)
		sent.answer(outcome.NotRun, "ErrReleased")
	default:
		sent.doubt = true
		sent.answer(outcome.Unknown, "ErrStillRunning")
	}
}

func (entry *entry) lose(sent *try, ticket dedup.Ticket) {
	if sent.dead() {
		return
	}
	if err := entry.claims.Lose(background, ticket); err != nil && !dedup.IsErrUnavailable(err) && !dedup.IsErrSuperseded(err) {
		entry.deployment.checks.broken("claim of %s: %v", ticket.Key, err)
	}
	sent.doubt = true
	sent.answer(outcome.Unknown, "ErrUnknownOutcome")
}

// complete records the answer, and again later while the table does not answer.
func (entry *entry) complete(ticket dedup.Ticket, from *attempt) {
	err := entry.claims.Complete(background, ticket, dedup.Answer{Outcome: outcome.Ran, Status: 200, Body: []byte("{}")})
	switch {
	case err == nil:
	case dedup.IsErrUnavailable(err):
		process := entry.incarnation
		entry.deployment.after(clock.Second, func() {
			if entry.alive && entry.incarnation == process {
				entry.complete(ticket, from)
			}
		})
	case !dedup.IsErrSuperseded(err):
		entry.deployment.checks.broken("answer of %s: %v", ticket.Key, err)
	}
}

// release gives up a claim that was confirmed as not run. If the table does not answer, the next
// submission of the key resolves it with the agent.
func (entry *entry) release(ticket dedup.Ticket) {
	err := entry.claims.Release(background, ticket, outcome.NotRun)
	if err != nil && !dedup.IsErrUnavailable(err) && !dedup.IsErrSuperseded(err) {
		entry.deployment.checks.broken("claim of %s: %v", ticket.Key, err)
	}
}
