package admission

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Reason names why a request was refused. The names are used on the wire and in logs.
type Reason string

// Reasons of refusal.
const (
	// Patience means that the request could not finish before its deadline.
	Patience Reason = "ErrPatience"
	// Overload means that the queue is full of requests that are at least as important.
	Overload Reason = "ErrOverload"
	// Shed means that a more important or less served request took the place in the queue.
	Shed Reason = "ErrShed"
	// Leaving means that the endpoint takes no new work.
	Leaving Reason = "ErrLeaving"
	// Refused means that this request id was refused before.
	Refused Reason = "ErrRefused"
	// Cancelled means that the caller went away while the request was queued.
	Cancelled Reason = "ErrCancelled"
	// Forgotten means that the request ran earlier and its answer is no longer kept.
	Forgotten Reason = "ErrForgotten"
	// EndpointDown means that the endpoint could not be reached, so the request was never sent.
	EndpointDown Reason = "ErrEndpointDown"
)

// Kind tells what an Action asks for.
type Kind int

// Kinds of action.
const (
	// Run asks to send the request to the endpoint now.
	Run Kind = iota + 1
	// Refuse asks to reply that the request was not run.
	Refuse
	// Deliver asks to reply with Answer to all who wait for the request.
	Deliver
	// Wait says that the request is queued or joined one that is queued or running.
	Wait
)

// Answer is what the endpoint returned, or Unknown if the attempt had no certain result.
type Answer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Service is the measured service time.
	Service clock.Millis
	// Dropped marks a kept answer whose body was discarded to bound memory.
	Dropped bool
	// Reason tells why Outcome is not Ran.
	Reason Reason
}

// Action is one thing the caller of the controller must do.
type Action struct {
	Kind    Kind
	Request ident.Request
	// Reason and RetryAfter belong to Refuse.
	Reason     Reason
	RetryAfter clock.Millis
	// Outcome of a Refuse is NotRun, or Unknown if the refusal cannot be remembered.
	Outcome outcome.Outcome
	// Answer belongs to Deliver.
	Answer Answer
}

// Arrival is a request that reached the agent.
type Arrival struct {
	Request    ident.Request
	Team       ident.Team
	Priority   Priority
	Idempotent bool
	// Patience is the time left in which the answer is useful.
	Patience clock.Millis
	// Bytes is the length of the body.
	Bytes int
}

// Priority orders requests under overload; the lowest is shed first.
type Priority int

// Priorities.
const (
	Low    Priority = 0
	Normal Priority = 1
	High   Priority = 2
)

// State tells what the controller knows of a request.
type State int

// States of a request.
const (
	// Absent means that the request was never seen or was forgotten.
	Absent State = iota
	// Queued means that the request waits for a slot.
	Queued
	// Running means that the request was sent to the endpoint.
	Running
	// Finished means that the request has an answer.
	Finished
	// Denied means that the request was refused and will never run.
	Denied
)

// Status is the reply to a query.
type Status struct {
	State  State
	Answer Answer
}

// Load is the endpoint's load as announced to entries.
type Load struct {
	Slots, Connections, SlotsUsed, ConnectionsUsed, Queue int
	// Service is the mean service time of recent requests.
	Service clock.Millis
	Leaving bool
}
