package admission

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Controller manages the slots, the connections and the queue of one endpoint, and keeps answers and
// request ids to recognise late copies. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	// requests holds the queued and running requests, and the finished ones whose answers are kept.
	requests map[ident.Request]*request
	queue    queue
	// teams holds the teams with queued or running requests.
	teams       map[ident.Team]*teamCounts
	running     int
	streams     int
	leaving     bool
	serviceTime serviceEstimate
	// refusedIDs holds the ids of refused requests, fencedIDs those that a query refused.
	refusedIDs *idSet
	fencedIDs  *idSet
	// expiredIDs and expiredKeyedIDs hold the ids of requests that ran and whose answers expired:
	// expiredIDs those of idempotent requests, expiredKeyedIDs the others.
	expiredIDs      *idSet
	expiredKeyedIDs *idSet
	answers         answerCache
}

// request is a request from its admission until its answer expires.
type request struct {
	Arrival
	deadline clock.Time
	state    State
	answer   Answer
}

// teamCounts counts the requests of one team.
type teamCounts struct {
	running, queued int
}

// New returns a controller without requests.
func New(settings Settings) *Controller {
	settings = settings.withDefaults()
	return &Controller{
		settings:    settings,
		requests:    map[ident.Request]*request{},
		teams:       map[ident.Team]*teamCounts{},
		serviceTime: newServiceEstimate(settings.PriorService),
		refusedIDs:  newIDSet(settings.RefusedRetention, settings.RefusedIDs),
		fencedIDs:   newIDSet(settings.FencedRetention, settings.RefusedIDs),
		expiredIDs:  newIDSet(settings.RefusedRetention, settings.RefusedIDs),
		// A claim row can be kept for any length of time, so a query for its request can come at any
		// time. If the request ran, the reply must never be Denied.
		expiredKeyedIDs: newIDSet(noExpiry, settings.RefusedIDs),
		answers:         answerCache{bytesLimit: settings.AnswerBytes},
	}
}

// Arrive handles a request that arrived: it is run, queued or refused. A copy of a queued or running
// request waits for the same answer, and a copy of a finished one gets the kept answer. The actions
// include refusals of queued requests that were shed for this one.
func (controller *Controller) Arrive(now clock.Time, arrival Arrival) []Action {
	controller.expireAnswers(now)
	if request, ok := controller.requests[arrival.Request]; ok {
		if request.state == Finished {
			return []Action{{Kind: Deliver, Request: arrival.Request, Answer: request.answer}}
		}
		return []Action{{Kind: Wait, Request: arrival.Request}}
	}
	if controller.answerExpired(arrival.Request) {
		return []Action{{Kind: Refuse, Request: arrival.Request, Reason: AnswerExpired}}
	}
	if controller.denied(arrival.Request) {
		return controller.refuse(nil, now, arrival.Request, Refused, 0)
	}
	if controller.leaving {
		return controller.refuse(nil, now, arrival.Request, Leaving, 0)
	}
	request := &request{Arrival: arrival, deadline: now.Add(arrival.Patience)}
	if arrival.Patience <= 0 {
		return controller.refuse(nil, now, arrival.Request, Patience, controller.serviceTime.roundedMean())
	}
	if controller.hasFreeSlot() && controller.queue.len() == 0 {
		controller.requests[arrival.Request] = request
		return []Action{controller.start(request)}
	}
	actions, reason, retryAfter := controller.makeRoom(now, request)
	if reason != "" {
		return controller.refuse(actions, now, arrival.Request, reason, retryAfter)
	}
	controller.enqueue(request)
	actions = append(actions, Action{Kind: Wait, Request: arrival.Request})
	return controller.fillSlots(now, actions)
}

// Finish records the answer of a running request and starts queued ones. An answer with the outcome
// NotRun means that the request could not be sent to the endpoint; it is refused.
func (controller *Controller) Finish(now clock.Time, id ident.Request, answer Answer) []Action {
	controller.expireAnswers(now)
	request, ok := controller.requests[id]
	if !ok || request.state != Running {
		panic(ErrInvariant{Rule: "a request finishes once, after it was started", Request: id})
	}
	controller.running--
	controller.countsOf(request.Team).running--
	controller.removeIdleTeam(request.Team)
	if answer.Outcome == outcome.NotRun {
		delete(controller.requests, id)
		return controller.fillSlots(now, controller.refuse(nil, now, id, EndpointDown, controller.serviceTime.roundedMean()))
	}
	if answer.Outcome == outcome.Ran {
		controller.serviceTime.observe(answer.ServiceTime)
	}
	request.state = Finished
	request.answer = answer
	expiresAt := now.Add(controller.settings.KeyedRetention)
	if request.Idempotent {
		expiresAt = now.Add(controller.settings.AnswerRetention)
	}
	actions := []Action{{Kind: Deliver, Request: id, Answer: answer}}
	controller.answers.add(request, expiresAt)
	return controller.fillSlots(now, actions)
}

// Cancel refuses a queued request that no caller waits for any more. A running request goes on, and its
// answer can be queried.
func (controller *Controller) Cancel(now clock.Time, id ident.Request) []Action {
	request, ok := controller.requests[id]
	if !ok || request.state != Queued {
		return nil
	}
	controller.dequeue(request)
	return controller.refuse(nil, now, id, Cancelled, 0)
}

// Tick refuses queued requests that would finish too late, and removes expired answers and ids.
func (controller *Controller) Tick(now clock.Time) []Action {
	controller.expireAnswers(now)
	return controller.fillSlots(now, controller.refuseLate(now, nil))
}

// Query returns the status of a request. With refuseIfAbsent, a request that did not arrive yet is
// refused from now on, and its state is Denied. The state stays Absent if the id can't be stored, or
// if ids of requests that ran were removed for lack of room: this request may be one of them.
func (controller *Controller) Query(now clock.Time, id ident.Request, refuseIfAbsent bool) Status {
	controller.expireAnswers(now)
	if request, ok := controller.requests[id]; ok {
		return Status{State: request.state, Answer: request.answer}
	}
	if controller.answerExpired(id) {
		return Status{State: Finished, Answer: Answer{BodyRemoved: true, Reason: AnswerExpired}}
	}
	if refuseIfAbsent && !controller.expiredKeyedIDs.lossy && controller.fencedIDs.add(now, id) {
		return Status{State: Denied}
	}
	if controller.denied(id) {
		return Status{State: Denied}
	}
	return Status{State: Absent}
}

// OpenStream takes a connection for a stream and reports whether one was free. As many connections as
// there are slots are reserved for requests.
func (controller *Controller) OpenStream() bool {
	if controller.leaving || controller.streams >= controller.settings.Connections-controller.settings.Slots {
		return false
	}
	controller.streams++
	controller.checkLimits("")
	return true
}

// CloseStream releases the connection of a stream.
func (controller *Controller) CloseStream() {
	controller.streams--
	controller.checkLimits("")
}

// Leave refuses all queued and new requests. Running requests and streams go on.
func (controller *Controller) Leave(now clock.Time) []Action {
	controller.leaving = true
	var actions []Action
	for controller.queue.len() > 0 {
		request := controller.queue.requests[0]
		controller.dequeue(request)
		actions = controller.refuse(actions, now, request.Request, Leaving, 0)
	}
	return actions
}

// Idle reports whether there are no running or queued requests and no open streams.
func (controller *Controller) Idle() bool {
	return controller.running == 0 && controller.queue.len() == 0 && controller.streams == 0
}

// Load returns the current load.
func (controller *Controller) Load() Load {
	return Load{
		Slots:           controller.settings.Slots,
		Connections:     controller.settings.Connections,
		SlotsUsed:       controller.running,
		ConnectionsUsed: controller.running + controller.streams,
		Queue:           controller.queue.len(),
		ServiceTime:     controller.serviceTime.roundedMean(),
		Leaving:         controller.leaving,
	}
}

// hasFreeSlot reports whether a slot and a connection are free.
func (controller *Controller) hasFreeSlot() bool {
	return controller.running < controller.settings.Slots &&
		controller.running+controller.streams < controller.settings.Connections
}

func (controller *Controller) start(request *request) Action {
	if controller.denied(request.Request) {
		panic(ErrInvariant{Rule: "a refused request never runs", Request: request.Request})
	}
	if controller.leaving {
		panic(ErrInvariant{Rule: "a leaving endpoint starts no request", Request: request.Request})
	}
	if request.state == Running || request.state == Finished || controller.answerExpired(request.Request) {
		panic(ErrInvariant{Rule: "a request runs at most once", Request: request.Request})
	}
	request.state = Running
	controller.running++
	controller.countsOf(request.Team).running++
	controller.checkLimits(request.Request)
	return Action{Kind: Run, Request: request.Request}
}

// checkLimits panics with ErrInvariant if a limit is exceeded. It is called after every change that
// could exceed one.
func (controller *Controller) checkLimits(id ident.Request) {
	switch {
	case controller.running > controller.settings.Slots:
		panic(ErrInvariant{Rule: "running requests fit in the slots", Request: id})
	case controller.running+controller.streams > controller.settings.Connections:
		panic(ErrInvariant{Rule: "requests and streams fit in the connections", Request: id})
	case controller.queue.len() > controller.settings.Queue:
		panic(ErrInvariant{Rule: "the queue is bounded", Request: id})
	case controller.queue.bytes < 0 || controller.queue.bytes > controller.settings.QueueBytes:
		panic(ErrInvariant{Rule: "the bodies in the queue are bounded", Request: id})
	case controller.running < 0 || controller.streams < 0:
		panic(ErrInvariant{Rule: "counts are never negative", Request: id})
	}
}

// denied reports whether the request was refused and its id is still kept.
func (controller *Controller) denied(id ident.Request) bool {
	return controller.refusedIDs.has(id) || controller.fencedIDs.has(id)
}

// answerExpired reports whether the request ran and its answer is no longer kept.
func (controller *Controller) answerExpired(id ident.Request) bool {
	return controller.expiredIDs.has(id) || controller.expiredKeyedIDs.has(id)
}

// refuse stores the id of the request and appends the refusal to the actions.
func (controller *Controller) refuse(actions []Action, now clock.Time, id ident.Request, reason Reason, retryAfter clock.Millis) []Action {
	result := outcome.NotRun
	// An id that is stored already is added again to restart its retention.
	if !controller.refusedIDs.add(now, id) && !controller.denied(id) {
		result = outcome.Unknown
	}
	return append(actions, Action{Kind: Refuse, Request: id, Reason: reason, RetryAfter: retryAfter, Outcome: result})
}

// expireAnswers removes expired answers and ids. The ids of the removed answers are stored, so that the
// requests don't run again.
func (controller *Controller) expireAnswers(now clock.Time) {
	controller.refusedIDs.rotate(now)
	controller.fencedIDs.rotate(now)
	controller.expiredIDs.rotate(now)
	for _, request := range controller.answers.expire(now) {
		delete(controller.requests, request.Request)
		if request.Idempotent {
			controller.expiredIDs.addEvicting(now, request.Request)
		} else {
			controller.expiredKeyedIDs.addEvicting(now, request.Request)
		}
	}
}
