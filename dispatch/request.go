// Package dispatch is the entry's request flow: it limits, routes, claims and sends requests, and
// resolves lost answers, so that each request ends with a typed outcome.
package dispatch

import (
	"context"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

// Request is one caller request.
type Request struct {
	// ID is unique to this request; a caller's repetition of a key is another request.
	ID       ident.Request
	Service  ident.Service
	Team     ident.Team
	Priority admission.Priority
	// Key is the caller's idempotency key. Services that are not idempotent require it.
	Key ident.Key
	// Patience is the time in which the answer is useful; 0 stands for the service's default.
	Patience    clock.Millis
	ContentType string
	Body        []byte
}

// Answer is the endpoint's complete answer to the request.
type Answer struct {
	Request     ident.Request
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	Endpoint    ident.Endpoint
	// Attempts counts how often the request was sent.
	Attempts int
	// Replayed marks the first answer to a repeated key.
	Replayed bool
}

// Service is how requests of one service are handled.
type Service struct {
	Idempotent bool
	// Patience is the default deadline.
	Patience clock.Millis
	// Hedge is the time after which a second attempt of an idempotent request starts; 0 disables.
	Hedge clock.Millis
	// BodyBytes bounds a request's body; 0 leaves the bound to the caller API.
	BodyBytes int64
	// Method and Path are those of the endpoint; if empty, the agent uses POST and /requests.
	Method string
	Path   string
}

// View gives the current settings and candidates. Its methods are called by traffic goroutines and
// must not block.
type View interface {
	// Service returns the settings and candidates of a service, or false if there is none.
	Service(name ident.Service) (Service, *routing.View, bool)
}

// Agents reaches agents by address. An error other than ErrNotSent leaves it open whether the
// agent received the call. After a suspicion of silence, Query must use a new connection.
type Agents interface {
	Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error)
	Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error)
	// Follow passes on chunks until the stream ends, ctx ends or pass returns an error.
	Follow(ctx context.Context, address string, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error
}
