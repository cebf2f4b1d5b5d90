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

// usableEndpoints returns the workers whose endpoints the baseline may choose, in ascending order
// of worker.
func (entry *entry) usableEndpoints(excluded []ident.Endpoint) []announcement {
	view := entry.publisher.Current()
	var endpoints []announcement
	for _, name := range set.SortedKeys(entry.announcements) {
		state := entry.announcements[name]
		centre, _ := view.DataCentre(state.centre)
		if centre.Open && !state.leaving && !entry.unresponsiveWorkers[name] && !slices.Contains(excluded, state.endpoint) {
			endpoints = append(endpoints, state)
		}
	}
	return endpoints
}

// claimAndDispatch claims the key of a submission and dispatches it.
func (entry *entry) claimAndDispatch(call *call) {
	attempt := entry.chooseEndpoint(call)
	if attempt == nil {
		return
	}
	deployment := entry.deployment
	deployment.after(deployment.networkRandom.millis(2, 6), func() {
		if call.abandoned() {
			return
		}
		ticket, answer, err := entry.claims.Claim(background, dedup.Claim{
			Service: deployment.session.Traffic.Keyed, Key: call.request.key, Request: attempt.id,
			Digest: fmt.Sprintf("body-%s", call.request.key), Target: attempt.target,
		})
		switch {
		case err == nil && answer == nil:
			attempt.ticket = &ticket
			entry.dispatch(attempt)
			return
		case attempt.decision != nil:
			attempt.decision.Cancel()
		}
		attempt.done = true
		var running dedup.ErrStillRunning
		switch {
		case err == nil:
			call.answer(outcome.Ran, "")
		case errors.As(err, &running):
			entry.queryClaim(call, running.Ticket)
		case dedup.IsErrUnavailable(err):
			// Nothing was dispatched under this ID. If the claim exists nevertheless, a later claim
			// of the key is resolved by a query to the agent.
			call.answer(outcome.NotRun, "ErrUnavailable")
		default:
			call.uncertain = true
			call.answer(outcome.Unknown, "ErrUnknownOutcome")
		}
	})
}

// queryClaim queries the agent that an earlier claim names for the state of its request.
func (entry *entry) queryClaim(call *call, ticket dedup.Ticket) {
	deployment := entry.deployment
	target := deployment.agent(ticket.Record.Target.Worker)
	conn := deployment.freshConnection(connectionKey{entry: entry.id, agent: target.name})
	conn.send(func() {
		target.receive(func() {
			if !target.alive {
				return
			}
			if target.incarnation != ticket.Record.Target.Incarnation {
				conn.reply(func() { entry.loseClaim(call, ticket) })
				return
			}
			status := target.controller.Query(deployment.now(), ticket.Record.Request, true)
			conn.reply(func() { entry.claimResolved(call, ticket, status) })
		})
	})
}

// claimResolved handles an agent's reply about an earlier claim.
func (entry *entry) claimResolved(call *call, ticket dedup.Ticket, status admission.Status) {
	if call.abandoned() {
		return
	}
	switch {
	case status.State == admission.Finished && status.Answer.Outcome == outcome.Ran:
		entry.completeClaim(ticket, nil)
		call.answer(outcome.Ran, "")
	case status.State == admission.Denied:
		entry.deployment.checks.attemptDenied(ticket.Record.Request)
		entry.releaseClaim(ticket)
		call.answer(outcome.NotRun, "ErrReleased")
	default:
		call.uncertain = true
		call.answer(outcome.Unknown, "ErrStillRunning")
	}
}

func (entry *entry) loseClaim(call *call, ticket dedup.Ticket) {
	if call.abandoned() {
		return
	}
	if err := entry.claims.MarkLost(background, ticket); err != nil && !dedup.IsErrUnavailable(err) && !dedup.IsErrSuperseded(err) {
		entry.deployment.checks.fail("claim of %s: %v", ticket.Key, err)
	}
	call.uncertain = true
	call.answer(outcome.Unknown, "ErrUnknownOutcome")
}

// completeClaim records the answer, and retries every second while the table is unavailable.
func (entry *entry) completeClaim(ticket dedup.Ticket, from *attempt) {
	err := entry.claims.Complete(background, ticket, dedup.Answer{Outcome: outcome.Ran, Status: 200, Body: []byte("{}")})
	switch {
	case err == nil:
	case dedup.IsErrUnavailable(err):
		incarnation := entry.incarnation
		entry.deployment.after(clock.Second, func() {
			if entry.alive && entry.incarnation == incarnation {
				entry.completeClaim(ticket, from)
			}
		})
	case !dedup.IsErrSuperseded(err):
		entry.deployment.checks.fail("answer of %s: %v", ticket.Key, err)
	}
}

// releaseClaim releases a claim whose request was confirmed as not run. If the table is
// unavailable, the next submission of the key resolves the claim by a query to the agent.
func (entry *entry) releaseClaim(ticket dedup.Ticket) {
	err := entry.claims.Release(background, ticket, outcome.NotRun)
	if err != nil && !dedup.IsErrUnavailable(err) && !dedup.IsErrSuperseded(err) {
		entry.deployment.checks.fail("claim of %s: %v", ticket.Key, err)
	}
}
