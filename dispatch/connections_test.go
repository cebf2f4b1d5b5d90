package dispatch_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
)

// server answers queries; it never answers a request named "lost".
type server struct {
	controlpb.UnimplementedAgentServer
	arrived chan string
}

func (server *server) Serve(ctx context.Context, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	server.arrived <- request.GetRequest()
	if request.GetRequest() == "lost" {
		<-ctx.Done()
	}
	return &controlpb.ServeReply{Request: request.GetRequest()}, ctx.Err()
}

func (server *server) Query(context.Context, *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	return &controlpb.QueryReply{Known: true}, nil
}

// silencer is a connection whose bytes are lost in both directions once silent is set.
type silencer struct {
	net.Conn
	silent *atomic.Bool
}

func (silencer silencer) Write(data []byte) (int, error) {
	if silencer.silent.Load() {
		return len(data), nil
	}
	return silencer.Conn.Write(data)
}

// Guards against a call that is reported as not sent although it may have arrived, and against a
// query that is lost on the silent connection it asks about.
func TestConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent, served := &server{arrived: make(chan string, 10)}, grpc.NewServer()
	controlpb.RegisterAgentServer(served, agent)
	go func() { _ = served.Serve(listener) }()
	defer served.Stop()
	address, dials := listener.Addr().String(), []*atomic.Bool{}
	fake := clock.NewFake(1)
	connections := dispatch.NewConnections(fake, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			dials = append(dials, &atomic.Bool{})
			return silencer{Conn: connection, silent: dials[len(dials)-1]}, err
		}))
	defer connections.Close()
	serve := func(ctx context.Context, id string) error {
		_, err := connections.Serve(ctx, address, &controlpb.ServeRequest{Request: id})
		return err
	}
	if err := serve(t.Context(), "r1"); err != nil {
		t.Fatal(err)
	}
	<-agent.arrived
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-agent.arrived; cancel() }()
	if err := serve(ctx, "lost"); err == nil || dispatch.IsErrNotSent(err) {
		t.Fatalf("a request that arrived: %v", err)
	}
	dials[0].Store(true)
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := serve(ctx, "silent"); err == nil || dispatch.IsErrNotSent(err) {
		t.Fatalf("a request on a silent connection: %v", err)
	}
	fake.Advance(2 * clock.Second)
	if reply, err := connections.Query(t.Context(), address, &controlpb.QueryRequest{Request: "silent"}); err != nil || !reply.GetKnown() {
		t.Fatalf("query: %v", err)
	}
	if err := serve(t.Context(), "r2"); err != nil || len(dials) != 2 {
		t.Fatalf("%d connections, %v", len(dials), err)
	}
	served.Stop()
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for !dispatch.IsErrNotSent(serve(ctx, "r3")) && ctx.Err() == nil {
		// The connection may fail only with the first call after the stop.
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Fatal("an unreachable agent is never reported as not sent")
	}
}
