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
	// maxAttempts limits the endpoints to which one call is sent.
	maxAttempts = 3
	// replyGrace is how long an entry waits for an agent after the request's patience has passed.
	replyGrace = clock.Second
	// callerDelay is the transmission time between callers and entries.
	callerDelay = 1 * clock.Millisecond
	// maxSends limits how often a caller sends a request.
	maxSends = 8
	// callerRetryDelay is the time before a caller sends a request again.
	callerRetryDelay = 1500 * clock.Millisecond
)

// request is a caller's request with all of its calls and attempts.
type request struct {
	number        int
	key           ident.Key
	serviceMicros int64
	patience      clock.Millis
	arrivedAt     clock.Time
	sends         int
	attemptIDs    []ident.Request
	done          bool
}

// call is one transmission of a request to an entry. A caller may send the request again in another call.
type call struct {
	request     *request
	entry       *entry
	incarnation ident.Incarnation
	excluded    []ident.Endpoint
	// attemptIDs are the attempts of this call. uncertain is set if one of them may have run.
	attemptIDs []ident.Request
	uncertain  bool
	ended      bool
}

// attempt is one transmission of a call to an endpoint.
type attempt struct {
	*call
	id       ident.Request
	decision *routing.Decision
	agent    *agent
	target   dedup.Target
	sentAt   clock.Time
	done     bool
	// conn is the connection that carries the request and its answer.
	conn   *connection
	ticket *dedup.Ticket
}

// call sends the request to an entry. A call without an answer ends with an unknown outcome after the
// patience and replyGrace for each possible attempt.
func (deployment *deployment) call(request *request) {
	entry := deployment.balancedEntry(deployment.callerRandom)
	request.sends++
	call := &call{request: request, entry: entry, incarnation: entry.incarnation}
	deployment.after(callerDelay, func() {
		if call.abandoned() {
			return
		}
		if request.key != "" {
			entry.claimAndDispatch(call)
			return
		}
		entry.route(call)
	})
	deployment.after(request.patience+maxAttempts*replyGrace, func() { deployment.endCall(call, outcome.Unknown, "ErrNoAnswer") })
}

// endCall ends a call. It calls again if the outcome is unknown, or if a request with a key did not
// run.
func (deployment *deployment) endCall(call *call, result outcome.Outcome, reason string) {
	if call.ended {
		return
	}
	call.ended = true
	request := call.request
	if request.done {
		return
	}
	deployment.checks.outcomeReported(call, result)
	if result == outcome.Ran {
		request.done = true
		deployment.measures.recordAnswered(request, deployment.now())
		return
	}
	deployment.log.refusal(reason)
	if (result == outcome.Unknown || request.key != "") && request.sends < maxSends {
		deployment.after(callerRetryDelay, func() { deployment.call(request) })
		return
	}
	request.done = true
	deployment.measures.recordUnanswered(request, result)
}

// abandoned reports whether the process of the entry that handled the call has ended.
func (call *call) abandoned() bool {
	return !call.entry.alive || call.entry.incarnation != call.incarnation
}

// answer sends the final answer of a call to the caller. A call with an uncertain attempt can't be
// reported as not run.
func (call *call) answer(result outcome.Outcome, reason string) {
	deployment := call.entry.deployment
	if result == outcome.NotRun && call.uncertain {
		result = outcome.Unknown
	}
	deployment.after(callerDelay, func() { deployment.endCall(call, result, reason) })
}

// chooseEndpoint chooses the endpoint of the next attempt. If there is none, it answers the call
// and returns nil.
func (entry *entry) chooseEndpoint(call *call) *attempt {
	deployment := entry.deployment
	attempt := &attempt{call: call, id: ident.Request(fmt.Sprintf("r%d-%d", call.request.number, len(call.request.attemptIDs)+1))}
	if deployment.policy.RandomRouting {
		if !entry.chooseRandomEndpoint(attempt) {
			call.answer(outcome.NotRun, "ErrNoEndpoint")
			return nil
		}
	} else {
		decision, err := entry.view.Choose(deployment.now(), call.excluded)
		if err != nil {
			call.answer(outcome.NotRun, "ErrNoEndpoint")
			return nil
		}
		attempt.decision = &decision
		attempt.target = dedup.Target{Endpoint: decision.Endpoint, Worker: decision.Worker, Incarnation: decision.Incarnation}
		deployment.log.routing(entry.id, attempt.id, &decision)
	}
	attempt.agent = deployment.agent(attempt.target.Worker)
	call.request.attemptIDs = append(call.request.attemptIDs, attempt.id)
	call.attemptIDs = append(call.attemptIDs, attempt.id)
	return attempt
}

// route sends the next attempt of a request without a key.
func (entry *entry) route(call *call) {
	if attempt := entry.chooseEndpoint(call); attempt != nil {
		entry.dispatch(attempt)
	}
}

func (entry *entry) dispatch(attempt *attempt) {
	deployment := entry.deployment
	attempt.sentAt = deployment.now()
	patience := attempt.request.patience - deployment.now().Sub(attempt.request.arrivedAt)
	if attempt.request.key != "" {
		patience = attempt.request.patience
	}
	attempt.conn = deployment.connection(connectionKey{entry: entry.id, agent: attempt.agent.name})
	attempt.conn.send(func() { attempt.agent.receive(func() { attempt.agent.arrive(attempt, patience) }) })
	entry.scheduleQuery(attempt)
	deployment.after(max(patience, 0)+replyGrace, func() {
		if attempt.done || attempt.abandoned() {
			return
		}
		attempt.done, attempt.uncertain = true, true
		attempt.record(routing.Result{Failed: true})
		entry.retry(attempt, outcome.Unknown, "ErrNoProgress")
	})
}

// retry sends the request to another endpoint. It answers instead if the attempts or the patience are
// used up, or if a request with a key may have run, because it must not run twice.
func (entry *entry) retry(attempt *attempt, result outcome.Outcome, reason string) {
	keyed := attempt.request.key != ""
	if (keyed && result != outcome.NotRun) || len(attempt.attemptIDs) >= maxAttempts || reason == string(admission.Patience) {
		attempt.answer(result, reason)
		return
	}
	attempt.excluded = append(attempt.excluded, attempt.target.Endpoint)
	if keyed {
		entry.claimAndDispatch(attempt.call)
		return
	}
	entry.route(attempt.call)
}

// record reports the result of the attempt to the router.
func (attempt *attempt) record(result routing.Result) {
	if attempt.decision != nil {
		attempt.decision.Done(attempt.entry.deployment.now(), result)
	}
}

// replied handles the agent's reply to an attempt.
func (entry *entry) replied(attempt *attempt, action admission.Action, load routing.Report) {
	if attempt.done || attempt.abandoned() {
		return
	}
	attempt.done = true
	now := entry.deployment.now()
	if attempt.decision != nil {
		attempt.decision.Observe(load)
	}
	if action.Kind == admission.Deliver {
		attempt.record(routing.Result{Answered: true, Latency: now.Sub(attempt.sentAt)})
		if attempt.ticket != nil {
			entry.completeClaim(*attempt.ticket, attempt)
		}
		attempt.answer(outcome.Ran, "")
		return
	}
	attempt.record(routing.Result{Leaving: action.Reason == admission.Leaving})
	if attempt.ticket != nil && action.Outcome == outcome.NotRun {
		entry.releaseClaim(*attempt.ticket)
	}
	if action.Outcome != outcome.NotRun {
		attempt.uncertain = true
	}
	entry.retry(attempt, action.Outcome, string(action.Reason))
}

// arrive handles the arrival of an attempt at the agent.
func (agent *agent) arrive(attempt *attempt, patience clock.Millis) {
	if !agent.alive {
		return
	}
	deployment := agent.deployment
	deployment.checks.requestArrived(agent)
	agent.attempts[attempt.id] = attempt
	agent.perform(agent.controller.Arrive(deployment.now(), admission.Arrival{
		Request: attempt.id, Team: deployment.session.Team, Priority: admission.Normal, Idempotent: attempt.request.key == "", Patience: patience, Bytes: 200,
	}))
}

// perform performs the actions of the admission controller.
func (agent *agent) perform(actions []admission.Action) {
	for _, action := range actions {
		attempt := agent.attempts[action.Request]
		if attempt == nil {
			continue
		}
		switch action.Kind {
		case admission.Run:
			agent.execute(attempt)
		case admission.Refuse, admission.Deliver:
			delete(agent.attempts, action.Request)
			load := agent.routingReport(agent.controller.Load())
			attempt.conn.reply(func() { attempt.entry.replied(attempt, action, load) })
		}
	}
}

// execute runs a request at the endpoint. The tasks on the same worker slow it down.
func (agent *agent) execute(attempt *attempt) {
	deployment := agent.deployment
	deployment.checks.attemptExecuted(agent, attempt)
	agent.runningRequests++
	deployment.checks.checkEndpointLimits(agent)
	micros := max(agent.random.exponential(attempt.request.serviceMicros), 1000) * int64(agent.runtime.slowdown(nil)) / 100
	duration := clock.Millis(max(micros/1000, 1))
	controller := agent.controller
	deployment.after(duration, func() {
		agent.runningRequests--
		agent.receive(func() {
			if agent.alive && agent.controller == controller {
				agent.perform(controller.Finish(deployment.now(), attempt.id, admission.Answer{Outcome: outcome.Ran, Status: 200, ServiceTime: duration}))
			}
		})
	})
}

// chooseRandomEndpoint chooses a random endpoint, as the baseline does. It returns false if none is
// usable.
func (entry *entry) chooseRandomEndpoint(attempt *attempt) bool {
	endpoints := entry.usableEndpoints(attempt.excluded)
	if len(endpoints) == 0 {
		return false
	}
	chosen := endpoints[entry.random.below(len(endpoints))]
	attempt.target = dedup.Target{Endpoint: chosen.endpoint, Worker: chosen.worker, Incarnation: chosen.incarnation}
	entry.deployment.log.rollMinute()
	entry.deployment.log.routedCount++
	entry.deployment.log.endpointCounts[chosen.endpoint]++
	return true
}
