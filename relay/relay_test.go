package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// way is a store whose calls fail with an error or succeed.
type way struct {
	err   atomic.Pointer[error]
	calls atomic.Int64
}

func (path *way) fail(err error) { path.err.Store(&err) }

func (path *way) call() error {
	path.calls.Add(1)
	if err := path.err.Load(); err != nil {
		return *err
	}
	return nil
}

func (path *way) Commit(context.Context, store.Tx) (store.Version, error) { return 7, path.call() }

func (path *way) List(context.Context, store.Table, string, string) (store.Rows, error) {
	return store.Rows{Version: 7}, path.call()
}

func (path *way) Changes(context.Context, store.Table, store.Version, clock.Millis) (store.Rows, error) {
	return store.Rows{Version: 7}, path.call()
}

func (path *way) Now() clock.Time { return 1 }

// entry serves only calls to the store.
type entry struct {
	session.Handler
	own store.Store
}

func (peer entry) Relay(ctx context.Context, request *session.RelayRequest) (*session.RelayReply, error) {
	return Serve(ctx, peer.own, request), nil
}

// newRelay returns a Store with its own way and that of one other entry.
func newRelay(t *testing.T) (relayed *Store, own, other *way) {
	t.Helper()
	own, other = &way{}, &way{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := session.NewServer(entry{own: other})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	relayed = New(own, clock.NewSystem(), "self", []string{"self", listener.Addr().String()})
	t.Cleanup(relayed.Close)
	return relayed, own, other
}

var (
	errRefused = store.ErrUnavailable{Reason: "503"}
	errOpen    = store.ErrUnknown{Reason: "reset"}
)

// Guards against an entry that cannot store although another one can: the store turned a third of the
// machines away for 9 s and served the others.
func TestCommitByWayOfAnother(t *testing.T) {
	t.Parallel()
	relayed, own, other := newRelay(t)
	own.fail(errRefused)
	version, err := relayed.Commit(t.Context(), store.Tx{})
	if err != nil || version != 7 {
		t.Errorf("got %d, %v; want 7", version, err)
	}
	if _, err := relayed.List(t.Context(), "table", "", ""); err != nil {
		t.Errorf("list: %v", err)
	}
	if got := own.calls.Load(); got != 1 {
		t.Errorf("own way was tried %d times, want 1", got)
	}
	if got := other.calls.Load(); got != 2 {
		t.Errorf("other way was tried %d times, want 2", got)
	}
}

// Guards against an open outcome that is hidden by another entry's refusal, so that a caller is told
// that nothing was stored.
func TestOpenOutcomeIsTold(t *testing.T) {
	t.Parallel()
	relayed, own, other := newRelay(t)
	own.fail(errOpen)
	other.fail(errRefused)
	if _, err := relayed.Commit(t.Context(), store.Tx{}); !store.IsErrUnknown(err) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	own.fail(errRefused)
	if _, err := relayed.Commit(t.Context(), store.Tx{}); !store.IsErrUnavailable(err) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	other.fail(errOpen)
	if _, err := relayed.Commit(t.Context(), store.Tx{}); !store.IsErrUnknown(err) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	if _, err := relayed.List(t.Context(), "table", "", ""); !store.IsErrUnavailable(err) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// Guards against errors that change their meaning on the way between entries.
func TestErrorsOfTheStore(t *testing.T) {
	t.Parallel()
	relayed, own, other := newRelay(t)
	own.fail(errRefused)
	other.fail(store.ErrHistoryGone{After: 3})
	if _, err := relayed.Changes(t.Context(), "table", 3, 0); !store.IsErrHistoryGone(err) {
		t.Errorf("got %v, want ErrHistoryGone", err)
	}
	ref := store.Ref{Table: "table", Key: "key"}
	other.fail(store.ErrConflict{Rows: []store.Row{{Ref: ref, Value: []byte("value"), Version: 5}}})
	_, err := relayed.Commit(t.Context(), store.Tx{})
	conflict, ok := err.(store.ErrConflict)
	if !ok || conflict.Row(ref).Version != 5 || string(conflict.Row(ref).Value) != "value" {
		t.Errorf("got %v, want the conflict with its row", err)
	}
}
