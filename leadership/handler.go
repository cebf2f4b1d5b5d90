package leadership

import (
	"context"

	"hyssopjunction/relay"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// Handler serves sessions, and relays calls of other entries to the store.
type Handler struct {
	*Elector
	directStore store.Store
}

// NewHandler returns the handler of an entry. directStore accesses the store without a relay.
func NewHandler(elector *Elector, directStore store.Store) Handler {
	return Handler{Elector: elector, directStore: directStore}
}

// Relay makes a call to the store for another entry.
func (handler Handler) Relay(ctx context.Context, request *session.RelayRequest) (*session.RelayReply, error) {
	return relay.Serve(ctx, handler.directStore, request), nil
}
