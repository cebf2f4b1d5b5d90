package leadership

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/session"
)

// Peers are the other entries that the settings name, with a connection to each.
type Peers struct {
	addresses []string

	mu      sync.Mutex
	clients map[string]*session.Client
}

// NewPeers returns the entries at the session addresses other than the own one.
func NewPeers(own string, addresses []string) *Peers {
	peers := &Peers{clients: map[string]*session.Client{}}
	for _, address := range addresses {
		if address != own {
			peers.addresses = append(peers.addresses, address)
		}
	}
	return peers
}

// Store asks the entries in turn until one decides. The outcome is session.Undecided if one of them may
// have stored it, and session.Refused if none did.
func (peers *Peers) Store(ctx context.Context, request *session.StoreRequest) session.StoreReply {
	last := session.StoreReply{Outcome: session.Refused, Reason: "no other entry is known"}
	undecided := false
	for _, address := range peers.addresses {
		reply, err := peers.ask(ctx, address, request)
		if err != nil {
			klog.InfoS("Entry did not store for this one", "Address", address, "Job", request.ID, "Reason", err.Error())
			reply = &session.StoreReply{Outcome: session.Undecided, Reason: err.Error()}
		}
		last = *reply
		switch reply.Outcome {
		case session.Stored, session.Missing:
			return last
		case session.Undecided:
			undecided = true
		case session.Refused:
		}
	}
	if undecided {
		last.Outcome = session.Undecided
	}
	return last
}

func (peers *Peers) ask(ctx context.Context, address string, request *session.StoreRequest) (*session.StoreReply, error) {
	client, err := peers.client(address)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reply, err := client.Store(bounded, request)
	if err != nil {
		peers.drop(address, client)
	}
	return reply, err
}

func (peers *Peers) client(address string) (*session.Client, error) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if client, ok := peers.clients[address]; ok {
		return client, nil
	}
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	peers.clients[address] = client
	return client, nil
}

// drop closes a connection that failed, because it may have gone silent.
func (peers *Peers) drop(address string, failed *session.Client) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.clients[address] == failed {
		delete(peers.clients, address)
		_ = failed.Close()
	}
}

// Close closes the connections.
func (peers *Peers) Close() {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, client := range peers.clients {
		_ = client.Close()
	}
	clear(peers.clients)
}

// Handler serves sessions and what other entries ask for.
type Handler struct {
	*Keeper
	storing func(ctx context.Context, request *session.StoreRequest) session.StoreReply
}

// NewHandler returns the handler of an entry. Storing stores what another entry asks for.
func NewHandler(keeper *Keeper, storing func(ctx context.Context, request *session.StoreRequest) session.StoreReply) Handler {
	return Handler{Keeper: keeper, storing: storing}
}

// Store serves another entry.
func (handler Handler) Store(ctx context.Context, request *session.StoreRequest) (*session.StoreReply, error) {
	reply := handler.storing(ctx, request)
	return &reply, nil
}
