package session

import (
	"context"
	"errors"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// failingHandler fails queries with an error.
type failingHandler struct {
	Handler
	err error
}

func (handler failingHandler) State(context.Context, *StateRequest) (*StateReply, error) {
	return nil, handler.err
}

// queryError returns the error that a client gets if the handler of a query fails with err.
func queryError(t *testing.T, err error) error {
	t.Helper()
	listener, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	server := NewServer(failingHandler{err: err})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, dialErr := Dial(listener.Addr().String())
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	t.Cleanup(func() { _ = client.Close() })
	_, got := client.State(t.Context(), &StateRequest{ID: "0123456789abcdef"})
	return got
}

// TestNotLeadingKeepsAddress guards against a query that has to search for the leader although the entry that was asked
// knows its address, and against the text of an earlier version that is taken for an address.
func TestNotLeadingKeepsAddress(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		err  error
		want string
	}{
		"address":         {ErrNotLeading{Leader: "10.0.0.7:7720"}, "10.0.0.7:7720"},
		"unknown":         {ErrNotLeading{}, ""},
		"earlier version": {status.Error(codes.FailedPrecondition, `not leading; leader is "10.0.0.7:7720"`), ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var notLeading ErrNotLeading
			if err := queryError(t, test.err); !errors.As(err, &notLeading) || notLeading.Leader != test.want {
				t.Errorf("got %#v, want ErrNotLeading with the address %q", err, test.want)
			}
		})
	}
}

// endHandler stores all ends of workers.
type endHandler struct {
	Handler
}

func (endHandler) EndWorker(context.Context, *WorkerEnd) (*WorkerEndReply, error) {
	return &WorkerEndReply{Stored: true}, nil
}

// TestEarlierVersionRefusesLapse guards against an entry of an earlier version that takes the lapse of a worker for the end
// of its incarnation, because it does not know the field that tells them apart: a late copy then ends runs that are active.
func TestEarlierVersionRefusesLapse(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.ForceServerCodec(codec{}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName, HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{{MethodName: endMethod, Handler: unary(Handler.EndWorker)}},
	}, endHandler{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if _, err := client.EndWorker(t.Context(), &WorkerEnd{Node: "node", Incarnation: "i-1"}); err != nil {
		t.Errorf("got %v for an end, want none", err)
	}
	if reply, err := client.EndWorker(t.Context(), &WorkerEnd{Node: "node", Incarnation: "i-1", Lapsed: true}); err == nil {
		t.Errorf("got %+v for a lapse, want an error", reply)
	}
}

// panickingHandler fails on each message of a peer.
type panickingHandler struct {
	Handler
}

func (panickingHandler) State(context.Context, *StateRequest) (*StateReply, error) {
	panic("malformed request")
}

func (panickingHandler) Attend(Stream) error { panic("malformed report") }

// TestMessageDoesNotEndProcess guards against a message of one peer that ends the process that serves them all, and then the
// next one that gets it.
func TestMessageDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(panickingHandler{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, err := Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	for range 2 {
		if _, err := client.State(t.Context(), &StateRequest{}); status.Code(errors.Unwrap(err)) != codes.Internal && status.Code(err) != codes.Internal {
			t.Errorf("got %v from a query, want an Internal status", err)
		}
		stream, err := client.Attend(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Receive(); err == nil {
			t.Error("got no error from a session, want one")
		}
	}
}
