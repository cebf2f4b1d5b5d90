// Package dispatch handles callers' requests at an entry: it limits, routes, claims and sends them, and
// asks the agents about lost answers, so that each request ends with a typed outcome.
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

// Request is a caller's request to a service.
type Request struct {
	// ID is unique to this request. A repeated key is a new request with a new ID.
	ID       ident.Request
	Service  ident.Service
	Team     ident.Team
	Priority admission.Priority
	// Key is the caller's idempotency key. Services that are not idempotent require it.
	Key ident.Key
	// Patience is how long the caller can wait for the answer; 0 selects the service's default.
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
	// Replayed is set if the key was used before and this is the answer to its first request.
	Replayed bool
}

// Service holds the settings for requests to one service.
type Service struct {
	Idempotent bool
	// Patience applies to requests that state none.
	Patience clock.Millis
	// Hedge is the time after which a second attempt of an idempotent request starts; 0 disables it.
	Hedge clock.Millis
	// BodyBytes is the size limit of a request's body; 0 leaves the limit to the caller API.
	BodyBytes int64
	// Method and Path are used for the call to the endpoint. If empty, the agent uses POST and /requests.
	Method string
	Path   string
}

// View returns the current settings and candidate endpoints. Its methods are called while requests are
// handled and must not block.
type View interface {
	// Service returns the settings and candidates of a service, or false if there is none.
	Service(name ident.Service) (Service, *routing.View, bool)
}

// Agents calls agents by their addresses. After an error other than ErrNotSent, the agent may or may
// not have received the call. Query must not use a connection that may be silent.
type Agents interface {
	Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error)
	Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error)
	// Follow calls onChunk with each chunk until the stream or ctx ends or onChunk returns an error.
	Follow(ctx context.Context, address string, request *controlpb.FollowRequest, onChunk func(*controlpb.FollowChunk) error) error
}
