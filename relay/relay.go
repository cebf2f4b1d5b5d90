// Package relay reaches the store by way of other entries while this one cannot reach it itself.
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

// Bounds of asking other entries.
const (
	// memory is how long after a failure other entries are asked first. Then the own way is tried again.
	memory = clock.Second
	// answerTime bounds a call by way of another entry beyond its own waiting: the store's longest time for
	// an answer on slow days and the way between the entries.
	answerTime = 900 * clock.Millisecond
	// dropDelay outlasts the calls on a connection that is replaced: a feed waits for 2 s.
	dropDelay = 3 * clock.Second
)

// Store is a store.Store that prefers its own way and else asks other entries. It is safe for
// concurrent use.
type Store struct {
	own       store.Store
	clock     clock.Clock
	addresses []string
	// failedAt is when the own way last failed, or 0 if it worked since.
	failedAt atomic.Int64
	// first is the position of the entry that is asked first, the one after the last that failed.
	first atomic.Int64

	mu      sync.Mutex
	clients map[string]*session.Client
}

// New returns a Store. Entries are asked at their session addresses, except at the own one.
func New(own store.Store, source clock.Clock, self string, addresses []string) *Store {
	relayed := &Store{own: own, clock: source, clients: map[string]*session.Client{}}
	for _, address := range addresses {
		if address != self {
			relayed.addresses = append(relayed.addresses, address)
		}
	}
	return relayed
}

// Now implements store.Store.
func (relayed *Store) Now() clock.Time { return relayed.own.Now() }

// Commit implements store.Store.
func (relayed *Store) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	reply, err := relayed.call(ctx, &session.RelayRequest{Commit: &tx}, func() (*session.RelayReply, error) {
		version, err := relayed.own.Commit(ctx, tx)
		return &session.RelayReply{Rows: store.Rows{Version: version}}, err
	})
	if err != nil {
		return 0, err
	}
	return reply.Rows.Version, nil
}

// List implements store.Store.
func (relayed *Store) List(ctx context.Context, table store.Table, from, to string) (store.Rows, error) {
	return relayed.read(ctx, &session.RelayRequest{List: &session.RelayList{Table: table, From: from, To: to}},
		func() (store.Rows, error) { return relayed.own.List(ctx, table, from, to) })
}

// Changes implements store.Store.
func (relayed *Store) Changes(ctx context.Context, table store.Table, after store.Version, wait clock.Millis) (store.Rows, error) {
	return relayed.read(ctx, &session.RelayRequest{Changes: &session.RelayChanges{Table: table, After: after, Wait: wait}},
		func() (store.Rows, error) { return relayed.own.Changes(ctx, table, after, wait) })
}

// read makes a call without effect, so that an open outcome is none.
func (relayed *Store) read(ctx context.Context, request *session.RelayRequest, own func() (store.Rows, error)) (store.Rows, error) {
	reply, err := relayed.call(ctx, request, func() (*session.RelayReply, error) {
		rows, err := own()
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

// call tries the own way unless it failed a moment ago, and then the other entries. An open outcome is
// returned at once: the caller decides whether to repeat the call, and the next one goes another way.
func (relayed *Store) call(ctx context.Context, request *session.RelayRequest, own func() (*session.RelayReply, error)) (*session.RelayReply, error) {
	var last error = store.ErrUnavailable{Reason: "the store did not answer a moment ago"}
	if !relayed.isCutOff() {
		reply, err := own()
		if !store.IsErrUnavailable(err) && !store.IsErrUnknown(err) {
			relayed.mark(0)
			return reply, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		relayed.mark(relayed.clock.Now())
		if store.IsErrUnknown(err) {
			return nil, err
		}
		last = err
	}
	first := int(relayed.first.Load())
	for offset := range relayed.addresses {
		position := (first + offset) % len(relayed.addresses)
		reply, err := relayed.ask(ctx, relayed.addresses[position], request)
		if err != nil && (store.IsErrUnavailable(err) || store.IsErrUnknown(err)) {
			relayed.first.Store(int64(position + 1))
		}
		if !store.IsErrUnavailable(err) {
			return reply, err
		}
		last = err
	}
	return nil, last
}

func (relayed *Store) isCutOff() bool {
	failed := clock.Time(relayed.failedAt.Load())
	return failed != 0 && len(relayed.addresses) > 0 && relayed.clock.Now().Sub(failed) < memory
}

// mark records whether the own way works, and logs when that changes.
func (relayed *Store) mark(failed clock.Time) {
	previous := relayed.failedAt.Swap(int64(failed))
	switch {
	case previous == 0 && failed != 0:
		klog.InfoS("Store asked by way of other entries", "Entries", relayed.addresses)
	case previous != 0 && failed == 0:
		klog.InfoS("Store asked directly again")
	}
}

// ask makes the call by way of the entry at the address.
func (relayed *Store) ask(ctx context.Context, address string, request *session.RelayRequest) (*session.RelayReply, error) {
	client, err := relayed.client(address)
	if err != nil {
		return nil, store.ErrUnavailable{Reason: err.Error()}
	}
	limit := answerTime
	if request.Changes != nil {
		limit += request.Changes.Wait
	}
	bounded, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	reply, err := client.Relay(bounded, request)
	if err != nil {
		relayed.drop(address, client)
		return nil, store.ErrUnknown{Reason: err.Error()}
	}
	return reply, reply.Err()
}

func (relayed *Store) client(address string) (*session.Client, error) {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	if client, ok := relayed.clients[address]; ok {
		return client, nil
	}
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	relayed.clients[address] = client
	return client, nil
}

// drop replaces a connection that failed, because it may have gone silent. It is closed after the time that
// other calls on it may still take.
func (relayed *Store) drop(address string, failed *session.Client) {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	if relayed.clients[address] == failed {
		delete(relayed.clients, address)
		go func() {
			<-relayed.clock.After(dropDelay)
			_ = failed.Close()
		}()
	}
}

// Close closes the connections to other entries.
func (relayed *Store) Close() {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	for _, client := range relayed.clients {
		_ = client.Close()
	}
	clear(relayed.clients)
}

// Serve makes a call for another entry on the own way only.
func Serve(ctx context.Context, own store.Store, request *session.RelayRequest) *session.RelayReply {
	reply := &session.RelayReply{}
	var err error
	switch {
	case request.Commit != nil:
		reply.Rows.Version, err = own.Commit(ctx, *request.Commit)
	case request.List != nil:
		reply.Rows, err = own.List(ctx, request.List.Table, request.List.From, request.List.To)
	case request.Changes != nil:
		reply.Rows, err = own.Changes(ctx, request.Changes.Table, request.Changes.After, request.Changes.Wait)
	default:
		err = store.ErrUnavailable{Reason: "the request names no call"}
	}
	reply.SetErr(err)
	return reply
}
