// Package relay accesses the store through other entries while this entry cannot reach it directly.
package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// Times of relayed calls.
const (
	// directRetryDelay is how long after a failed direct call all calls are relayed. After it, direct calls
	// are made again.
	directRetryDelay = clock.Second
	// relayTimeout limits a relayed call, not counting the time for which the call itself waits for changes.
	// It covers the store's longest response time when it is slow and the latency between entries.
	relayTimeout = 900 * clock.Millisecond
	// connectTimeout limits the time to connect to another entry. A running one accepts within 10 ms, or some times that under
	// load; callers wait for 3 s, in which several entries that are gone may have to be tried.
	connectTimeout = 300 * clock.Millisecond
	// closeDelay is the time after which a replaced connection is closed. It exceeds the duration of the
	// calls that may still be active on it: change feeds wait for up to 0.9 s.
	closeDelay = 3 * clock.Second
)

// Store is a store.Store that calls the store directly, or through other entries if that fails. It is safe for
// concurrent use.
type Store struct {
	direct store.Store
	clock  clock.Clock
	peers  *peers
	// failedAt is when a direct call last failed, or 0 if one has succeeded since. It is a clock.Time.
	failedAt atomic.Int64

	mu      sync.Mutex
	clients map[string]*session.Client
	// closed is closed by Close, which waits for closing: the replaced connections that are still open.
	closed    chan struct{}
	closeOnce sync.Once
	closing   sync.WaitGroup
}

// New returns a Store. Addresses are the session addresses of entries; ownAddress is that of this entry, which
// is skipped.
func New(direct store.Store, timeSource clock.Clock, ownAddress string, addresses []string) *Store {
	return &Store{
		direct: direct, clock: timeSource, peers: newPeers(ownAddress, addresses), clients: map[string]*session.Client{}, closed: make(chan struct{}),
	}
}

// Partition implements store.Store.
func (relay *Store) Partition(ref store.Ref) string { return relay.direct.Partition(ref) }

// Now implements store.Store.
func (relay *Store) Now() clock.Time { return relay.direct.Now() }

// Commit implements store.Store.
func (relay *Store) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	reply, err := relay.call(ctx, &session.RelayRequest{Commit: &tx}, func() (*session.RelayReply, error) {
		version, err := relay.direct.Commit(ctx, tx)
		return &session.RelayReply{Rows: store.Rows{Version: version}}, err
	})
	if err != nil {
		return 0, err
	}
	return reply.Rows.Version, nil
}

// List implements store.Store.
func (relay *Store) List(ctx context.Context, table store.Table, from, to string) (store.Rows, error) {
	return relay.read(ctx, &session.RelayRequest{List: &session.RelayList{Table: table, From: from, To: to}},
		func() (store.Rows, error) { return relay.direct.List(ctx, table, from, to) })
}

// Changes implements store.Store.
func (relay *Store) Changes(ctx context.Context, table store.Table, after store.Version, wait clock.Millis) (store.Rows, error) {
	return relay.read(ctx, &session.RelayRequest{Changes: &session.RelayChanges{Table: table, After: after, Wait: wait}},
		func() (store.Rows, error) { return relay.direct.Changes(ctx, table, after, wait) })
}

// read makes a call that changes nothing, so that ErrUnknown becomes ErrUnavailable.
func (relay *Store) read(ctx context.Context, request *session.RelayRequest, directRead func() (store.Rows, error)) (store.Rows, error) {
	reply, err := relay.call(ctx, request, func() (*session.RelayReply, error) {
		rows, err := directRead()
		return &session.RelayReply{Rows: rows}, err
	})
	var unknown store.ErrUnknown
	if errors.As(err, &unknown) {
		return store.Rows{}, store.ErrUnavailable(unknown)
	}
	if err != nil {
		return store.Rows{}, err
	}
	return reply.Rows, nil
}

// call makes a direct call unless one failed within directRetryDelay. If the store is unavailable directly, the
// other entries are called in turn until one of them reaches it, those that reached it last first. store.ErrUnknown is
// returned at once: the caller decides whether to repeat the call, which then takes another path.
func (relay *Store) call(ctx context.Context, request *session.RelayRequest, directCall func() (*session.RelayReply, error)) (*session.RelayReply, error) {
	var lastErr error = store.ErrUnavailable{Reason: "the store did not answer a moment ago"}
	if !relay.bypassesDirect(request) {
		reply, err := directCall()
		if !store.IsErrUnavailable(err) && !store.IsErrUnknown(err) {
			relay.setDirectFailure(0)
			return reply, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		relay.setDirectFailure(relay.clock.Now())
		if store.IsErrUnknown(err) {
			return nil, err
		}
		lastErr = err
	}
	for _, address := range relay.peers.order(relay.clock.Now()) {
		reply, err := relay.callEntry(ctx, address, request)
		failed := store.IsErrUnavailable(err) || store.IsErrUnknown(err)
		if ctx.Err() == nil || !failed {
			relay.peers.record(address, !failed, relay.clock.Now())
		}
		if !store.IsErrUnavailable(err) || ctx.Err() != nil {
			return reply, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// bypassesDirect reports whether a call is relayed without a direct attempt. Other calls than those that wait for changes
// find out whether the store answers directly again: a silent store shows sooner in them.
func (relay *Store) bypassesDirect(request *session.RelayRequest) bool {
	failedAt := clock.Time(relay.failedAt.Load())
	if failedAt == 0 || len(relay.peers.list) == 0 {
		return false
	}
	return request.Changes != nil || relay.clock.Now().Sub(failedAt) < directRetryDelay
}

// setDirectFailure records the time of a failed direct call, or 0 after a successful one, and logs a change
// between the two.
func (relay *Store) setDirectFailure(failedAt clock.Time) {
	previous := relay.failedAt.Swap(int64(failedAt))
	switch {
	case previous == 0 && failedAt != 0:
		klog.InfoS("Store accessed through other entries", "Entries", relay.peers.order(failedAt))
	case previous != 0 && failedAt == 0:
		klog.InfoS("Store accessed directly again")
	}
}

// callEntry makes the call through the entry at the address.
func (relay *Store) callEntry(ctx context.Context, address string, request *session.RelayRequest) (*session.RelayReply, error) {
	client, err := relay.client(address)
	if err != nil {
		return nil, store.ErrUnavailable{Reason: err.Error()}
	}
	timeout := relayTimeout
	if request.Changes != nil {
		timeout += request.Changes.Wait
	}
	if err := relay.connect(ctx, client); err != nil {
		relay.discard(address, client)
		return nil, store.ErrUnavailable{Reason: err.Error()}
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	reply, err := client.Relay(callCtx, request)
	if err != nil {
		relay.discard(address, client)
		return nil, store.ErrUnknown{Reason: err.Error()}
	}
	return reply, reply.Err()
}

// connect waits until the connection is established. An entry that is gone or stands still is told from one that may have
// carried out the call: nothing is sent before.
func (relay *Store) connect(ctx context.Context, client *session.Client) error {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	defer cancel()
	return client.Connect(connectCtx)
}

// client returns the connection to the entry at the address.
func (relay *Store) client(address string) (*session.Client, error) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if client, ok := relay.clients[address]; ok {
		return client, nil
	}
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	relay.clients[address] = client
	return client, nil
}

// discard removes a connection on which a call failed, because it may have become a silent connection. It is
// closed after closeDelay, because other calls may still be active on it.
func (relay *Store) discard(address string, client *session.Client) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.clients[address] != client {
		return // It was replaced already, or the store is closed.
	}
	delete(relay.clients, address)
	relay.closing.Go(func() {
		select {
		case <-relay.clock.After(closeDelay):
		case <-relay.closed:
		}
		_ = client.Close()
	})
}

// Close closes the connections to other entries, also those that were replaced. It must not be called while calls are
// made; further calls of Close do nothing.
func (relay *Store) Close() {
	relay.mu.Lock()
	for _, client := range relay.clients {
		_ = client.Close()
	}
	clear(relay.clients)
	relay.mu.Unlock()
	relay.closeOnce.Do(func() { close(relay.closed) })
	relay.closing.Wait()
}

// Serve makes a call for another entry. It calls the store directly and never through a third entry.
func Serve(ctx context.Context, direct store.Store, request *session.RelayRequest) *session.RelayReply {
	reply := &session.RelayReply{}
	var err error
	switch {
	case request.Commit != nil:
		reply.Rows.Version, err = direct.Commit(ctx, *request.Commit)
	case request.List != nil:
		reply.Rows, err = direct.List(ctx, request.List.Table, request.List.From, request.List.To)
	case request.Changes != nil:
		reply.Rows, err = direct.Changes(ctx, request.Changes.Table, request.Changes.After, request.Changes.Wait)
	default:
		err = store.ErrUnavailable{Reason: "the request names no call"}
	}
	reply.SetErr(err)
	return reply
}
