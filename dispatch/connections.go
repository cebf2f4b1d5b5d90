package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/set"
)

// maxReplyAge is the age of a connection's last reply up to which the connection is used for a query.
const maxReplyAge = clock.Second

// maxReplyBytes is the size limit of a reply. Package endpoint accepts bodies of up to 8 MiB.
const maxReplyBytes = 9 << 20

var replacedConnections = metrics.NewCounter(`hyssopjunction_dispatch_replaced_connections_total`)

// Connections implements Agents over gRPC with one connection per agent. A query dials a new connection
// if the current one may be silent; the new one then replaces it for later calls.
type Connections struct {
	clock   clock.Clock
	options []grpc.DialOption

	mu         sync.Mutex
	agentConns map[string]*agentConn
}

// agentConn is a connection to an agent.
type agentConn struct {
	*grpc.ClientConn
	dialledAt clock.Time
	// lastReplyAt is the clock.Time at which the last reply arrived, 0 before the first.
	lastReplyAt atomic.Int64
	// activeCalls and retired are guarded by Connections.mu. A retired connection is closed when its
	// last call ends.
	activeCalls int
	retired     bool
}

// NewConnections returns Connections that dial on demand. The options must contain the transport
// credentials.
func NewConnections(time clock.Clock, options ...grpc.DialOption) *Connections {
	options = append([]grpc.DialOption{
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
	}, options...)
	return &Connections{clock: time, options: options, agentConns: map[string]*agentConn{}}
}

// Serve implements Agents. The error is ErrNotSent if the request was not handed to the transport.
func (connections *Connections) Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	return call(ctx, connections, address, false, func(ctx context.Context, agent controlpb.AgentClient) (*controlpb.ServeReply, error) {
		return agent.Serve(ctx, request)
	})
}

// Query implements Agents. It uses a new connection unless the current one was dialled or carried a
// reply within maxReplyAge.
func (connections *Connections) Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	return call(ctx, connections, address, true, func(ctx context.Context, agent controlpb.AgentClient) (*controlpb.QueryReply, error) {
		return agent.Query(ctx, request)
	})
}

// Follow implements Agents.
func (connections *Connections) Follow(ctx context.Context, address string, request *controlpb.FollowRequest, onChunk func(*controlpb.FollowChunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, err := call(ctx, connections, address, false, func(ctx context.Context, agent controlpb.AgentClient) (struct{}, error) {
		stream, err := agent.Follow(ctx, request)
		if err != nil {
			return struct{}{}, err
		}
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				return struct{}{}, nil
			}
			if err != nil {
				return struct{}{}, err
			}
			if err := onChunk(chunk); err != nil {
				return struct{}{}, err
			}
		}
	})
	return err
}

// KeepOnly closes the connections to all agents but those in addresses, once their calls have ended.
func (connections *Connections) KeepOnly(addresses set.Set[string]) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	for address, conn := range connections.agentConns {
		if !addresses.Has(address) {
			delete(connections.agentConns, address)
			connections.retire(address, conn)
		}
	}
}

// Close closes all connections once their calls have ended.
func (connections *Connections) Close() {
	connections.KeepOnly(nil)
}

// call runs do with a client of the agent. With mayBeSilent, it replaces a connection that was not
// active recently.
func call[Reply any](ctx context.Context, connections *Connections, address string, mayBeSilent bool,
	do func(ctx context.Context, agent controlpb.AgentClient) (Reply, error),
) (Reply, error) {
	var zero Reply
	conn, err := connections.acquire(address, mayBeSilent)
	if err != nil {
		return zero, ErrNotSent{Address: address, Cause: err}
	}
	defer connections.release(address, conn)
	sent := &atomic.Bool{}
	reply, err := do(context.WithValue(ctx, sentKey{}, sent), controlpb.NewAgentClient(conn))
	if err == nil {
		conn.lastReplyAt.Store(int64(connections.clock.Now()))
		return reply, nil
	}
	if !sent.Load() {
		return zero, ErrNotSent{Address: address, Cause: err}
	}
	return zero, err
}

func (connections *Connections) acquire(address string, mayBeSilent bool) (*agentConn, error) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	now := connections.clock.Now()
	current, ok := connections.agentConns[address]
	if ok && (!mayBeSilent || current.recentlyActive(now)) {
		current.activeCalls++
		return current, nil
	}
	clientConn, err := grpc.NewClient(address, connections.options...)
	if err != nil {
		return nil, err
	}
	if ok {
		replacedConnections.Inc()
		klog.InfoS("Connection replaced", "Address", address)
		connections.retire(address, current)
	}
	conn := &agentConn{ClientConn: clientConn, dialledAt: now, activeCalls: 1}
	connections.agentConns[address] = conn
	return conn, nil
}

// recentlyActive reports whether the connection carried a reply, or was dialled, within maxReplyAge.
func (conn *agentConn) recentlyActive(now clock.Time) bool {
	return now.Sub(max(conn.dialledAt, clock.Time(conn.lastReplyAt.Load()))) < maxReplyAge
}

func (connections *Connections) release(address string, conn *agentConn) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	conn.activeCalls--
	if conn.retired && conn.activeCalls == 0 {
		closeAgentConn(address, conn)
	}
}

func (connections *Connections) retire(address string, conn *agentConn) {
	conn.retired = true
	if conn.activeCalls == 0 {
		closeAgentConn(address, conn)
	}
}

func closeAgentConn(address string, conn *agentConn) {
	if err := conn.Close(); err != nil {
		klog.InfoS("Connection not closed", "Address", address, "Reason", err.Error())
	}
}

// sentKey is the context key of a flag that is set once a call's header was handed to the transport.
type sentKey struct{}

// sentHandler sets the flag, because the status code does not show whether a call was sent.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
