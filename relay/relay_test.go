package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// stub is a store whose calls all succeed, or all fail with the error given to fail.
type stub struct {
	err   atomic.Pointer[error]
	calls atomic.Int64
}

func (fake *stub) fail(err error) { fake.err.Store(&err) }

func (fake *stub) call() error {
	fake.calls.Add(1)
	if err := fake.err.Load(); err != nil {
		return *err
	}
	return nil
}

func (fake *stub) Commit(context.Context, store.Tx) (store.Version, error) { return 7, fake.call() }

func (fake *stub) List(context.Context, store.Table, string, string) (store.Rows, error) {
	return store.Rows{Version: 7}, fake.call()
}

func (fake *stub) Changes(context.Context, store.Table, store.Version, clock.Millis) (store.Rows, error) {
	return store.Rows{Version: 7}, fake.call()
}

func (fake *stub) Partition(store.Ref) string { return "" }

func (fake *stub) Now() clock.Time { return 1 }

// relayHandler serves only relayed calls to the store.
type relayHandler struct {
	session.Handler
	direct store.Store
}

func (handler relayHandler) Relay(ctx context.Context, request *session.RelayRequest) (*session.RelayReply, error) {
	return Serve(ctx, handler.direct, request), nil
}

// newRelay returns a Store with one stub for direct calls and one that another entry serves.
func newRelay(t *testing.T) (relay *Store, direct, remote *stub) {
	t.Helper()
	direct, remote = &stub{}, &stub{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := session.NewServer(relayHandler{direct: remote})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	relay = New(direct, clock.NewSystem(), "self", []string{"self", listener.Addr().String()})
	t.Cleanup(relay.Close)
	return relay, direct, remote
}

var (
	errUnavailable = store.ErrUnavailable{Reason: "503"}
	errUnknown     = store.ErrUnknown{Reason: "reset"}
)

// TestCommitThroughAnotherEntry guards against an entry that cannot commit although another one can: the store
// rejected a third of the machines for 9 s and served the others.
func TestCommitThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	relay, direct, remote := newRelay(t)
	direct.fail(errUnavailable)
	version, err := relay.Commit(t.Context(), store.Tx{})
	if err != nil || version != 7 {
		t.Errorf("got %d, %v; want 7", version, err)
	}
	if _, err := relay.List(t.Context(), "table", "", ""); err != nil {
		t.Errorf("list: %v", err)
	}
	if got := direct.calls.Load(); got != 1 {
		t.Errorf("%d direct calls, want 1", got)
	}
	if got := remote.calls.Load(); got != 2 {
		t.Errorf("%d relayed calls, want 2", got)
	}
}

// TestUnknownOutcomeIsReturned guards against an unknown outcome that is replaced by the ErrUnavailable of
// another entry, so that the caller takes the transaction for not applied.
func TestUnknownOutcomeIsReturned(t *testing.T) {
	t.Parallel()
	relay, direct, remote := newRelay(t)
	direct.fail(errUnknown)
	remote.fail(errUnavailable)
	if _, err := relay.Commit(t.Context(), store.Tx{}); !store.IsErrUnknown(err) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	direct.fail(errUnavailable)
	if _, err := relay.Commit(t.Context(), store.Tx{}); !store.IsErrUnavailable(err) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	remote.fail(errUnknown)
	if _, err := relay.Commit(t.Context(), store.Tx{}); !store.IsErrUnknown(err) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	if _, err := relay.List(t.Context(), "table", "", ""); !store.IsErrUnavailable(err) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestRelayPreservesStoreErrors guards against errors of the store that change their type or rows when they are
// relayed.
func TestRelayPreservesStoreErrors(t *testing.T) {
	t.Parallel()
	relay, direct, remote := newRelay(t)
	direct.fail(errUnavailable)
	remote.fail(store.ErrHistoryGone{After: 3})
	if _, err := relay.Changes(t.Context(), "table", 3, 0); !store.IsErrHistoryGone(err) {
		t.Errorf("got %v, want ErrHistoryGone", err)
	}
	ref := store.Ref{Table: "table", Key: "key"}
	remote.fail(store.ErrConflict{Rows: []store.Row{{Ref: ref, Value: []byte("value"), Version: 5}}})
	_, err := relay.Commit(t.Context(), store.Tx{})
	conflict, ok := err.(store.ErrConflict)
	if !ok || conflict.Row(ref).Version != 5 || string(conflict.Row(ref).Value) != "value" {
		t.Errorf("got %v, want the conflict with its row", err)
	}
}

// TestWaitingCallIsNoTrial guards against a change feed that is silent again and again, because each of its calls tries
// whether the store answers directly, which takes as long as the call may wait for changes.
func TestWaitingCallIsNoTrial(t *testing.T) {
	t.Parallel()
	relay, direct, _ := newRelay(t)
	source := clock.NewFake(clock.Time(clock.Minute))
	relay.clock = source
	calls := func(call func() error) int64 {
		t.Helper()
		before := direct.calls.Load()
		if err := call(); err != nil {
			t.Fatal(err)
		}
		return direct.calls.Load() - before
	}
	list := func() error { _, err := relay.List(t.Context(), "table", "", ""); return err }
	changes := func() error { _, err := relay.Changes(t.Context(), "table", 3, 400); return err }
	direct.fail(errUnavailable)
	if got := calls(list); got != 1 {
		t.Fatalf("%d direct calls, want 1", got)
	}
	source.Advance(directRetryDelay + 1)
	if got := calls(changes); got != 0 {
		t.Errorf("%d direct calls that wait for changes, want none while the store does not answer directly", got)
	}
	direct.err.Store(nil)
	if got := calls(list) + calls(changes); got != 2 {
		t.Errorf("%d direct calls after the store answers directly again, want 2", got)
	}
}

// TestCloseEndsReplacedConnections guards against connections that are still open after Close, because they were
// replaced a moment before and wait for calls that may still be active.
func TestCloseEndsReplacedConnections(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	relay := New(&stub{}, clock.NewFake(1), "self", []string{"127.0.0.1:1"})
	client, err := relay.client("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	relay.discard("127.0.0.1:1", client)
	relay.Close()
	relay.Close() // A second call must not panic.
	if _, err := client.Relay(t.Context(), &session.RelayRequest{}); status.Code(errors.Unwrap(err)) != codes.Canceled {
		t.Errorf("got %v, want the error of a closed connection", err)
	}
}
