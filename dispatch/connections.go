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

// freshReply is how recently a connection must have carried a reply to be trusted with a query.
const freshReply = clock.Second

// replyBytes bounds a reply; package endpoint passes on bodies of up to 8 MiB.
const replyBytes = 9 << 20

var replacedLinks = metrics.NewCounter(`hyssopjunction_dispatch_replaced_connections_total`)

// Connections implements Agents over gRPC with one connection per agent. A query that follows a
// suspicion of silence dials a new connection, which then replaces the old one for later calls.
type Connections struct {
	clock   clock.Clock
	options []grpc.DialOption

	mu    sync.Mutex
	links map[string]*link
}

// link is one connection to an agent.
type link struct {
	*grpc.ClientConn
	dialled clock.Time
	// replied is when the last reply arrived, on the clock.
	replied atomic.Int64
	// calls and retired are guarded by Connections.mu; a retired link is closed with its last call.
	calls   int
	retired bool
}

// NewConnections returns an Agents implementation that dials on demand. The options must contain
// the transport credentials.
func NewConnections(time clock.Clock, options ...grpc.DialOption) *Connections {
	options = append([]grpc.DialOption{
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(replyBytes)),
	}, options...)
	return &Connections{clock: time, options: options, links: map[string]*link{}}
}

// Serve implements Agents. The error is ErrNotSent if nothing was sent to the agent.
func (connections *Connections) Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	return call(ctx, connections, address, false, func(ctx context.Context, agent controlpb.AgentClient) (*controlpb.ServeReply, error) {
		return agent.Serve(ctx, request)
	})
}

// Query implements Agents. It uses a new connection unless the old one carried a reply recently.
func (connections *Connections) Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	return call(ctx, connections, address, true, func(ctx context.Context, agent controlpb.AgentClient) (*controlpb.QueryReply, error) {
		return agent.Query(ctx, request)
	})
}

// Follow implements Agents.
func (connections *Connections) Follow(ctx context.Context, address string, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error {
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
			if err := pass(chunk); err != nil {
				return struct{}{}, err
			}
		}
	})
	return err
}

// Keep closes the connections to agents that are not in addresses.
func (connections *Connections) Keep(addresses set.Set[string]) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	for address, link := range connections.links {
		if !addresses.Has(address) {
			delete(connections.links, address)
			connections.retire(address, link)
		}
	}
}

// Close closes all connections once their calls have ended.
func (connections *Connections) Close() {
	connections.Keep(nil)
}

// call runs do on a connection to the agent.
func call[Reply any](ctx context.Context, connections *Connections, address string, suspicious bool,
	do func(ctx context.Context, agent controlpb.AgentClient) (Reply, error),
) (Reply, error) {
	var none Reply
	link, err := connections.acquire(address, suspicious)
	if err != nil {
		return none, ErrNotSent{Address: address, Cause: err}
	}
	defer connections.release(address, link)
	sent := &atomic.Bool{}
	reply, err := do(context.WithValue(ctx, sentKey{}, sent), controlpb.NewAgentClient(link))
	if err == nil {
		link.replied.Store(int64(connections.clock.Now()))
		return reply, nil
	}
	if !sent.Load() {
		return none, ErrNotSent{Address: address, Cause: err}
	}
	return none, err
}

func (connections *Connections) acquire(address string, suspicious bool) (*link, error) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	now := connections.clock.Now()
	known, ok := connections.links[address]
	if ok && (!suspicious || known.fresh(now)) {
		known.calls++
		return known, nil
	}
	connection, err := grpc.NewClient(address, connections.options...)
	if err != nil {
		return nil, err
	}
	if ok {
		replacedLinks.Inc()
		klog.InfoS("Connection replaced", "Address", address)
		connections.retire(address, known)
	}
	added := &link{ClientConn: connection, dialled: now, calls: 1}
	connections.links[address] = added
	return added, nil
}

// fresh reports whether the link carried a reply, or was dialled, within freshReply.
func (link *link) fresh(now clock.Time) bool {
	return now.Sub(max(link.dialled, clock.Time(link.replied.Load()))) < freshReply
}

func (connections *Connections) release(address string, link *link) {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	link.calls--
	if link.retired && link.calls == 0 {
		closeLink(address, link)
	}
}

func (connections *Connections) retire(address string, link *link) {
	link.retired = true
	if link.calls == 0 {
		closeLink(address, link)
	}
}

func closeLink(address string, link *link) {
	if err := link.Close(); err != nil {
		klog.InfoS("Connection not closed", "Address", address, "Reason", err.Error())
	}
}

// sentKey is the context key of the mark that a call's header was handed to the transport.
type sentKey struct{}

// sentHandler sets the mark. The status code alone does not tell whether a call was sent.
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
