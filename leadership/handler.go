package leadership

import (
	"context"

	"hyssopjunction/relay"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// Handler serves sessions, and calls to the store for other entries.
type Handler struct {
	*Elector
	own store.Store
}

// NewHandler returns the handler of an entry with its own way to the store.
func NewHandler(keeper *Elector, own store.Store) Handler {
	return Handler{Elector: keeper, own: own}
}

// Relay serves another entry.
func (handler Handler) Relay(ctx context.Context, request *session.RelayRequest) (*session.RelayReply, error) {
	return relay.Serve(ctx, handler.own, request), nil
}
