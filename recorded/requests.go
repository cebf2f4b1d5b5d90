package recorded

import (
	"fmt"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

const (
	// maxAttempts bounds the endpoints that a request is sent to.
	maxAttempts = 3
	// progressDeadline is how long an entry waits for an agent beyond the request's patience.
	progressDeadline = clock.Second
	// callerHop is the time between callers and entries.
	callerHop = 1 * clock.Millisecond
	// maxSends bounds how often a caller repeats a request whose outcome is unknown.
	maxSends = 8
	// callerPause is the time before a caller repeats.
	callerPause = 1500 * clock.Millisecond
)

// request is what a caller wants, over all of its attempts.
type request struct {
	number   int
	key      ident.Key
	service  int64
	patience clock.Millis
	arrived  clock.Time
	sends    int
	attempts []ident.Request
	done     bool
}

// try is one sending of a request to an entry.
type try struct {
	request  *request
	at       *entry
	process  ident.Incarnation
	excluded []ident.Endpoint
	// ids are the attempts of this try. Doubt means that one of them had no answer.
	ids   []ident.Request
	doubt bool
	ended bool
}

// attempt is one sending of a try to an endpoint.
type attempt struct {
	*try
	id       ident.Request
	decision *routing.Decision
	agent    *agent
	target   dedup.Target
	sent     clock.Time
	over     bool
	// open is the connection that carries the request and its answer.
	open   *connection
	ticket *dedup.Ticket
}

// call sends the request to an entry. The caller repeats it if no answer comes.
func (deployment *deployment) call(request *request) {
	at := deployment.balanced(deployment.traffic)
	request.sends++
	sent := &try{request: request, at: at, process: at.incarnation}
	deployment.after(callerHop, func() {
		if sent.dead() {
			return
		}
		if request.key != "" {
			at.keyed(sent)
			return
		}
		at.route(sent)
	})
	deployment.after(request.patience+maxAttempts*progressDeadline, func() { deployment.callAgain(sent, outcome.Unknown, "ErrNoAnswer") })
}

// callAgain ends a try and repeats the request if its outcome is unknown, or not run and keyed.
func (deployment *deployment) callAgain(sent *try, result outcome.Outcome, reason string) {
	if sent.ended {
		return
	}
	sent.ended = true
	request := sent.request
	if request.done {
		return
	}
	deployment.checks.reported(sent, result)
	if result == outcome.Ran {
		request.done = true
		deployment.measures.answered(request, deployment.now())
		return
	}
	deployment.log.refused(reason)
	if (result == outcome.Unknown || request.key != "") && request.sends < maxSends {
		deployment.after(callerPause, func() { deployment.call(request) })
		return
	}
	request.done = true
	deployment.measures.unanswered(request, result)
}

// dead reports whether the entry's process that had the try is gone.
func (sent *try) dead() bool { return !sent.at.alive || sent.at.incarnation != sent.process }

// answer sends the final answer of a try to the caller.
func (sent *try) answer(result outcome.Outcome, reason string) {
	deployment := sent.at.deployment
	if result == outcome.NotRun && sent.doubt {
		result = outcome.Unknown
	}
	deployment.after(callerHop, func() { deployment.callAgain(sent, result, reason) })
}

// choose picks the endpoint of the next attempt, or answers that there is none.
func (entry *entry) choose(sent *try) *attempt {
	deployment := entry.deployment
	next := &attempt{try: sent, id: ident.Request(fmt.Sprintf("r%d-%d", sent.request.number, len(sent.request.attempts)+1))}
	if deployment.policy.RandomRouting {
		if !entry.chooseAny(next) {
			sent.answer(outcome.NotRun, "ErrNoEndpoint")
			return nil
		}
	} else {
		decision, err := entry.view.Choose(deployment.now(), sent.excluded)
		if err != nil {
			sent.answer(outcome.NotRun, "ErrNoEndpoint")
			return nil
		}
		next.decision = &decision
		next.target = dedup.Target{Endpoint: decision.Endpoint, Worker: decision.Worker, Incarnation: decision.Incarnation}
		deployment.log.route(entry.id, next.id, &decision)
	}
	next.agent = deployment.agent(next.target.Worker)
	sent.request.attempts = append(sent.request.attempts, next.id)
	sent.ids = append(sent.ids, next.id)
	return next
}

// route sends the next attempt of a request without a key.
func (entry *entry) route(sent *try) {
	if next := entry.choose(sent); next != nil {
		entry.dispatch(next)
	}
}

func (entry *entry) dispatch(next *attempt) {
	deployment := entry.deployment
	next.sent = deployment.now()
	left := next.request.patience - deployment.now().Sub(next.request.arrived)
	if next.request.key != "" {
		left = next.request.patience
	}
	next.open = deployment.connection(ends{entry: entry.id, agent: next.agent.name})
	next.open.send(func() { next.agent.receive(func() { next.agent.arrive(next, left) }) })
	entry.suspect(next)
	deployment.after(max(left, 0)+progressDeadline, func() {
		if next.over || next.dead() {
			return
		}
		next.over, next.doubt = true, true
		next.record(routing.Result{Failed: true})
		entry.retry(next, outcome.Unknown, "ErrNoProgress")
	})
}

// retry sends a request to another endpoint if that cannot run it twice, and otherwise answers.
func (entry *entry) retry(last *attempt, result outcome.Outcome, reason string) {
	keyed := last.request.key != ""
	if (keyed && result != outcome.NotRun) || len(last.ids) >= maxAttempts || reason == string(admission.Patience) {
		last.answer(result, reason)
		return
	}
	last.excluded = append(last.excluded, last.target.Endpoint)
	if keyed {
		entry.keyed(last.try)
		return
	}
	entry.route(last.try)
}

// record tells the router what became of the attempt.
func (next *attempt) record(result routing.Result) {
	if next.decision != nil {
		next.decision.Done(next.at.deployment.now(), result)
	}
}

// replied takes the agent's reply to an attempt.
func (entry *entry) replied(next *attempt, action admission.Action, load routing.Report) {
	if next.over || next.dead() {
		return
	}
	next.over = true
	now := entry.deployment.now()
	if next.decision != nil {
		next.decision.Observe(load)
	}
	if action.Kind == admission.Deliver {
		next.record(routing.Result{Answered: true, Latency: now.Sub(next.sent)})
		if next.ticket != nil {
			entry.complete(*next.ticket, next)
		}
		next.answer(outcome.Ran, "")
		return
	}
	next.record(routing.Result{Leaving: action.Reason == admission.Leaving})
	if next.ticket != nil && action.Outcome == outcome.NotRun {
		entry.release(*next.ticket)
	}
	if action.Outcome != outcome.NotRun {
		next.doubt = true
	}
	entry.retry(next, action.Outcome, string(action.Reason))
}

// arrive is the arrival of an attempt at the agent.
func (agent *agent) arrive(next *attempt, left clock.Millis) {
	if !agent.alive {
		return
	}
	deployment := agent.deployment
	deployment.checks.arrived(agent)
	agent.waiting[next.id] = next
	agent.answer(agent.controller.Arrive(deployment.now(), admission.Arrival{
		Request: next.id, Team: deployment.session.Team, Priority: admission.Normal, Idempotent: next.request.key == "", Patience: left, Bytes: 200,
	}))
}

// answer carries out the controller's actions.
func (agent *agent) answer(actions []admission.Action) {
	for _, action := range actions {
		next := agent.waiting[action.Request]
		if next == nil {
			continue
		}
		switch action.Kind {
		case admission.Run:
			agent.execute(next)
		case admission.Refuse, admission.Deliver:
			delete(agent.waiting, action.Request)
			load := agent.load(agent.controller.Load())
			next.open.reply(func() { next.at.replied(next, action, load) })
		}
	}
}

// execute is the endpoint: it runs the request, slowed down by the tasks beside it.
func (agent *agent) execute(next *attempt) {
	deployment := agent.deployment
	deployment.checks.executed(agent, next)
	agent.running++
	deployment.checks.occupied(agent)
	micros := max(agent.draws.exponential(next.request.service), 1000) * int64(agent.runtime.slowdown(nil)) / 100
	took := clock.Millis(max(micros/1000, 1))
	controller := agent.controller
	deployment.after(took, func() {
		agent.running--
		agent.receive(func() {
			if agent.alive && agent.controller == controller {
				agent.answer(controller.Finish(deployment.now(), next.id, admission.Answer{Outcome: outcome.Ran, Status: 200, Service: took}))
			}
		})
	})
}

// chooseAny is the random routing of the baseline.
func (entry *entry) chooseAny(next *attempt) bool {
	usable := entry.usable(next.excluded)
	if len(usable) == 0 {
		return false
	}
	chosen := usable[entry.draws.below(len(usable))]
	next.target = dedup.Target{Endpoint: chosen.endpoint, Worker: chosen.worker, Incarnation: chosen.incarnation}
	entry.deployment.log.turn()
	entry.deployment.log.routed++
	entry.deployment.log.chosen[chosen.endpoint]++
	return true
}
