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

// server is an agent that answers all calls but requests named "lost".
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

// silenceableConn is a connection that discards what is written to it once silent is set.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (conn silenceableConn) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// TestQueryReplacesSilentConnection guards against a call that is reported as not sent although it may
// have arrived, and against a query that is sent over the silent connection and lost too.
func TestQueryReplacesSilentConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent, grpcServer := &server{arrived: make(chan string, 10)}, grpc.NewServer()
	controlpb.RegisterAgentServer(grpcServer, agent)
	go func() { _ = grpcServer.Serve(listener) }()
	defer grpcServer.Stop()
	address, silenced := listener.Addr().String(), []*atomic.Bool{}
	fake := clock.NewFake(1)
	connections := dispatch.NewConnections(fake, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			silenced = append(silenced, &atomic.Bool{})
			return silenceableConn{Conn: connection, silent: silenced[len(silenced)-1]}, err
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
	silenced[0].Store(true)
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := serve(ctx, "silent"); err == nil || dispatch.IsErrNotSent(err) {
		t.Fatalf("a request on a silent connection: %v", err)
	}
	fake.Advance(2 * clock.Second)
	if reply, err := connections.Query(t.Context(), address, &controlpb.QueryRequest{Request: "silent"}); err != nil || !reply.GetKnown() {
		t.Fatalf("query: %v", err)
	}
	if err := serve(t.Context(), "r2"); err != nil || len(silenced) != 2 {
		t.Fatalf("%d connections, %v", len(silenced), err)
	}
	grpcServer.Stop()
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for !dispatch.IsErrNotSent(serve(ctx, "r3")) && ctx.Err() == nil {
		// The first call after the stop may still be sent on the old connection.
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Fatal("an unreachable agent is never reported as not sent")
	}
}
