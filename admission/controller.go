package admission

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Controller holds the slots, connections, queue and remembered request ids of one endpoint.
// It is not safe for concurrent use.
type Controller struct {
	settings Settings
	requests map[ident.Request]*item
	queue    queue
	teams    map[ident.Team]*share
	running  int
	streams  int
	leaving  bool
	service  estimate
	refused  *memory
	fenced   *memory
	// ended and endedOnce hold ids of requests that ran and whose answers were forgotten;
	// endedOnce those that are not idempotent.
	ended     *memory
	endedOnce *memory
	kept      retention
}

// item is one request from its admission until its answer is forgotten.
type item struct {
	Arrival
	deadline clock.Time
	state    State
	answer   Answer
}

// share counts the requests of one team.
type share struct {
	running, queued int
}

// New returns a controller with no requests.
func New(settings Settings) *Controller {
	settings = settings.withDefaults()
	return &Controller{
		settings: settings,
		requests: map[ident.Request]*item{},
		teams:    map[ident.Team]*share{},
		service:  newEstimate(settings.PriorService),
		refused:  newMemory(settings.RefusedRetention, settings.RefusedIDs),
		fenced:   newMemory(settings.FencedRetention, settings.RefusedIDs),
		ended:    newMemory(settings.RefusedRetention, settings.RefusedIDs),
		// A claim row may outlive any fixed time, and a query for it must not be taken as not run.
		endedOnce: newMemory(forever, settings.RefusedIDs),
		kept:      retention{bytesLimit: settings.AnswerBytes},
	}
}

// Arrive handles a request: it is run, queued, joined to an earlier copy, answered from memory or
// refused. Requests that are shed in its favour are refused in the same actions.
func (controller *Controller) Arrive(now clock.Time, arrival Arrival) []Action {
	controller.forget(now)
	if known, ok := controller.requests[arrival.Request]; ok {
		if known.state == Finished {
			return []Action{{Kind: Deliver, Request: arrival.Request, Answer: known.answer}}
		}
		return []Action{{Kind: Wait, Request: arrival.Request}}
	}
	if controller.forgotten(arrival.Request) {
		return []Action{{Kind: Refuse, Request: arrival.Request, Reason: Forgotten}}
	}
	if controller.denied(arrival.Request) {
		return controller.refuse(nil, now, arrival.Request, Refused, 0)
	}
	if controller.leaving {
		return controller.refuse(nil, now, arrival.Request, Leaving, 0)
	}
	entrant := &item{Arrival: arrival, deadline: now.Add(arrival.Patience)}
	if arrival.Patience <= 0 {
		return controller.refuse(nil, now, arrival.Request, Patience, controller.service.whole())
	}
	if controller.room() && controller.queue.len() == 0 {
		controller.requests[arrival.Request] = entrant
		return []Action{controller.start(entrant)}
	}
	actions, reason, after := controller.makeRoom(now, entrant)
	if reason != "" {
		return controller.refuse(actions, now, arrival.Request, reason, after)
	}
	controller.enqueue(entrant)
	actions = append(actions, Action{Kind: Wait, Request: arrival.Request})
	return controller.fillSlots(now, actions)
}

// Finish records the result of a request that was run and starts the next. An answer whose outcome
// is NotRun means that the request was never sent to the endpoint; its id is then refused.
func (controller *Controller) Finish(now clock.Time, request ident.Request, answer Answer) []Action {
	controller.forget(now)
	done, ok := controller.requests[request]
	if !ok || done.state != Running {
		panic(ErrInvariant{Rule: "a request finishes once, after it was started", Request: request})
	}
	controller.running--
	controller.share(done.Team).running--
	controller.dropShare(done.Team)
	if answer.Outcome == outcome.NotRun {
		delete(controller.requests, request)
		return controller.fillSlots(now, controller.refuse(nil, now, request, EndpointDown, controller.service.whole()))
	}
	if answer.Outcome == outcome.Ran {
		controller.service.observe(answer.Service)
	}
	done.state = Finished
	done.answer = answer
	expiry := now.Add(controller.settings.KeyedRetention)
	if done.Idempotent {
		expiry = now.Add(controller.settings.AnswerRetention)
	}
	actions := []Action{{Kind: Deliver, Request: request, Answer: answer}}
	controller.kept.keep(done, expiry)
	return controller.fillSlots(now, actions)
}

// Cancel withdraws a queued request whose callers have gone away. A running request goes on, so
// that its answer can still be queried.
func (controller *Controller) Cancel(now clock.Time, request ident.Request) []Action {
	known, ok := controller.requests[request]
	if !ok || known.state != Queued {
		return nil
	}
	controller.dequeue(known)
	return controller.refuse(nil, now, request, Cancelled, 0)
}

// Tick refuses queued requests that can no longer be answered in time and forgets old ids.
func (controller *Controller) Tick(now clock.Time) []Action {
	controller.forget(now)
	return controller.fillSlots(now, controller.expire(now, nil))
}

// Query tells what became of a request. With refuseIfAbsent an unseen request is refused from now
// on; the state is then Denied, or Absent if the refusal cannot be remembered or so many requests
// ran that this one may have been forgotten.
func (controller *Controller) Query(now clock.Time, request ident.Request, refuseIfAbsent bool) Status {
	controller.forget(now)
	if known, ok := controller.requests[request]; ok {
		return Status{State: known.state, Answer: known.answer}
	}
	if controller.forgotten(request) {
		return Status{State: Finished, Answer: Answer{Dropped: true, Reason: Forgotten}}
	}
	if refuseIfAbsent && !controller.endedOnce.lossy && controller.fenced.add(now, request) {
		return Status{State: Denied}
	}
	if controller.denied(request) {
		return Status{State: Denied}
	}
	return Status{State: Absent}
}

// OpenStream takes a connection for a stream and reports whether there was one. As many
// connections as there are slots stay reserved for requests.
func (controller *Controller) OpenStream() bool {
	if controller.leaving || controller.streams >= controller.settings.Connections-controller.settings.Slots {
		return false
	}
	controller.streams++
	controller.check("")
	return true
}

// CloseStream returns the connection of a stream.
func (controller *Controller) CloseStream() {
	controller.streams--
	controller.check("")
}

// Leave refuses all queued and new requests. Running requests and streams go on.
func (controller *Controller) Leave(now clock.Time) []Action {
	controller.leaving = true
	var actions []Action
	for controller.queue.len() > 0 {
		waiting := controller.queue.items[0]
		controller.dequeue(waiting)
		actions = controller.refuse(actions, now, waiting.Request, Leaving, 0)
	}
	return actions
}

// Idle reports whether nothing runs, waits or streams.
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
		Service:         controller.service.whole(),
		Leaving:         controller.leaving,
	}
}

func (controller *Controller) room() bool {
	return controller.running < controller.settings.Slots &&
		controller.running+controller.streams < controller.settings.Connections
}

func (controller *Controller) start(next *item) Action {
	if controller.denied(next.Request) {
		panic(ErrInvariant{Rule: "a refused request never runs", Request: next.Request})
	}
	if controller.leaving {
		panic(ErrInvariant{Rule: "a leaving endpoint starts no request", Request: next.Request})
	}
	if next.state == Running || next.state == Finished || controller.forgotten(next.Request) {
		panic(ErrInvariant{Rule: "a request runs at most once", Request: next.Request})
	}
	next.state = Running
	controller.running++
	controller.share(next.Team).running++
	controller.check(next.Request)
	return Action{Kind: Run, Request: next.Request}
}

// check asserts the limits after every change that could break them.
func (controller *Controller) check(request ident.Request) {
	switch {
	case controller.running > controller.settings.Slots:
		panic(ErrInvariant{Rule: "running requests fit in the slots", Request: request})
	case controller.running+controller.streams > controller.settings.Connections:
		panic(ErrInvariant{Rule: "requests and streams fit in the connections", Request: request})
	case controller.queue.len() > controller.settings.Queue:
		panic(ErrInvariant{Rule: "the queue is bounded", Request: request})
	case controller.queue.bytes < 0 || controller.queue.bytes > controller.settings.QueueBytes:
		panic(ErrInvariant{Rule: "the bodies in the queue are bounded", Request: request})
	case controller.running < 0 || controller.streams < 0:
		panic(ErrInvariant{Rule: "counts are never negative", Request: request})
	}
}

func (controller *Controller) denied(request ident.Request) bool {
	return controller.refused.has(request) || controller.fenced.has(request)
}

// forgotten reports whether the request ran and its answer is no longer kept.
func (controller *Controller) forgotten(request ident.Request) bool {
	return controller.ended.has(request) || controller.endedOnce.has(request)
}

// refuse remembers the id and appends the refusal.
func (controller *Controller) refuse(actions []Action, now clock.Time, request ident.Request, reason Reason, after clock.Millis) []Action {
	known := outcome.NotRun
	// A remembered id is added again, so that its retention starts anew.
	if !controller.refused.add(now, request) && !controller.denied(request) {
		known = outcome.Unknown
	}
	return append(actions, Action{Kind: Refuse, Request: request, Reason: reason, RetryAfter: after, Outcome: known})
}

func (controller *Controller) forget(now clock.Time) {
	controller.refused.rotate(now)
	controller.fenced.rotate(now)
	controller.ended.rotate(now)
	for _, expired := range controller.kept.expire(now) {
		delete(controller.requests, expired.Request)
		if expired.Idempotent {
			controller.ended.push(now, expired.Request)
		} else {
			controller.endedOnce.push(now, expired.Request)
		}
	}
}
