package admission

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Reason is why a request was refused. It is sent on the wire and written to logs.
type Reason string

// Reasons for a refusal.
const (
	// Patience means that the request would not finish before its deadline.
	Patience Reason = "ErrPatience"
	// Overload means that the queue has no room for the request, and that none is shed for it.
	Overload Reason = "ErrOverload"
	// Shed means that the request was removed from the queue in favour of one with a higher priority or
	// of a team with fewer queued requests.
	Shed Reason = "ErrShed"
	// Leaving means that the endpoint takes no new work.
	Leaving Reason = "ErrLeaving"
	// Refused means that the same request id was refused before.
	Refused Reason = "ErrRefused"
	// Cancelled means that all callers cancelled the request while it was queued.
	Cancelled Reason = "ErrCancelled"
	// AnswerExpired means that the request ran earlier and its answer is no longer kept.
	AnswerExpired Reason = "ErrForgotten"
	// EndpointDown means that the endpoint could not be reached, so the request was not sent.
	EndpointDown Reason = "ErrEndpointDown"
)

// Kind is the kind of an Action.
type Kind int

// Kinds of actions.
const (
	// Run means that the request must be sent to the endpoint now.
	Run Kind = iota + 1
	// Refuse means that the callers must get a refusal.
	Refuse
	// Deliver means that all callers of the request must get the answer.
	Deliver
	// Wait means that the request is queued, or is a copy of one that is queued or running. Nothing is
	// to be done.
	Wait
)

// Answer is the answer of an endpoint, or the reason why there is none.
type Answer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	// ServiceTime is the measured service time.
	ServiceTime clock.Millis
	// BodyRemoved is set if the body was removed to save memory.
	BodyRemoved bool
	// Reason is why Outcome is not Ran.
	Reason Reason
}

// Action is something that the agent must do for a request.
type Action struct {
	Kind    Kind
	Request ident.Request
	// Reason and RetryAfter are set for Refuse.
	Reason     Reason
	RetryAfter clock.Millis
	// Outcome is set for Refuse: NotRun if the request will never run here, Unknown if it ran before or
	// if its id can't be stored, so that a late copy might run.
	Outcome outcome.Outcome
	// Answer is set for Deliver.
	Answer Answer
}

// Arrival is a request that arrived at the agent.
type Arrival struct {
	Request    ident.Request
	Team       ident.Team
	Priority   Priority
	Idempotent bool
	// Patience is how long the caller can still wait for the answer.
	Patience clock.Millis
	// Bytes is the length of the body.
	Bytes int
}

// Priority is the importance of a request. Under overload the lowest priority is shed first.
type Priority int

// Priorities.
const (
	Low    Priority = 0
	Normal Priority = 1
	High   Priority = 2
)

// State is the state of a request.
type State int

// States of a request.
const (
	// Absent means that the request did not arrive, or that its id is no longer kept.
	Absent State = iota
	// Queued means that the request waits for a slot.
	Queued
	// Running means that the request was sent to the endpoint.
	Running
	// Finished means that the attempt at the endpoint is over, with or without an answer.
	Finished
	// Denied means that the request was refused and will never run.
	Denied
)

// Status is the reply to a query. Answer is set if State is Finished.
type Status struct {
	State  State
	Answer Answer
}

// Load is the load of an endpoint, as announced to entries.
type Load struct {
	Slots, Connections, SlotsUsed, ConnectionsUsed, Queue int
	// ServiceTime is the mean service time of recent requests.
	ServiceTime clock.Millis
	Leaving     bool
}
