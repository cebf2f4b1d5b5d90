package session

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Times of connecting. They are short because another entry can be tried when one does not answer.
const (
	connectTimeout = time.Second
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// maxMessageBytes limits a received message. The inbox of a deployment, as a relayed call returns it, may have tens of MB.
const maxMessageBytes = 64 << 20

// Client is a connection to one entry. It is safe for concurrent use.
type Client struct {
	connection *grpc.ClientConn
}

// Dial returns a client of the entry at the address (host:port). The first call makes the connection.
func Dial(address string) (*Client, error) {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("dialling entry %s: %w", address, err)
	}
	return &Client{connection: connection}, nil
}

// Close ends the connection.
func (client *Client) Close() error { return client.connection.Close() }

// Connect waits until the connection is established. Errors: ErrNotConnected.
func (client *Client) Connect(ctx context.Context) error {
	for {
		state := client.connection.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			client.connection.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return ErrNotConnected{Address: client.connection.Target(), State: state.String()}
		case connectivity.Connecting:
		}
		if !client.connection.WaitForStateChange(ctx, state) {
			return ErrNotConnected{Address: client.connection.Target(), State: state.String()}
		}
	}
}

// ErrNotConnected reports a connection that could not be established.
type ErrNotConnected struct {
	Address string
	State   string
}

// Error returns a message with the address and the state of the connection.
func (err ErrNotConnected) Error() string {
	return fmt.Sprintf("not connected to %s: state %s", err.Address, err.State)
}

// IsErrNotConnected reports whether err is or wraps an ErrNotConnected.
func IsErrNotConnected(err error) bool { return errors.As(err, new(ErrNotConnected)) }

// AgentStream is the agent's side of its session with the leader.
type AgentStream struct {
	stream grpc.ClientStream
}

// Attend opens an agent's session, which lasts until ctx ends.
func (client *Client) Attend(ctx context.Context) (*AgentStream, error) {
	stream, err := client.connection.NewStream(ctx,
		&grpc.StreamDesc{StreamName: attendMethod, ServerStreams: true, ClientStreams: true}, method(attendMethod))
	if err != nil {
		return nil, fmt.Errorf("opening a session: %w", err)
	}
	return &AgentStream{stream: stream}, nil
}

// Send sends a report.
func (agent *AgentStream) Send(report *Report) error { return agent.stream.SendMsg(report) }

// Receive returns the next orders, or an error when the session ends.
func (agent *AgentStream) Receive() (*Orders, error) {
	orders := new(Orders)
	if err := agent.stream.RecvMsg(orders); err != nil {
		return nil, err
	}
	return orders, nil
}

// State requests the state of a job. Errors: ErrNotLeading, or the error of the connection.
func (client *Client) State(ctx context.Context, request *StateRequest) (*StateReply, error) {
	return invoke[StateReply](ctx, client, stateMethod, request)
}

// Pending requests the number of jobs of a queue that have not started. Errors: ErrNotLeading, or the error of
// the connection.
func (client *Client) Pending(ctx context.Context, request *PendingRequest) (*PendingReply, error) {
	return invoke[PendingReply](ctx, client, pendingMethod, request)
}

// ExplainJob requests the explanation of a job's state. Errors: ErrNotLeading, or the error of the connection.
func (client *Client) ExplainJob(ctx context.Context, request *ExplainRequest) (*ExplainReply, error) {
	return invoke[ExplainReply](ctx, client, explainMethod, request)
}

// Leader requests the newest term that the entry has seen and the address of its leader. Error: that of the
// connection.
func (client *Client) Leader(ctx context.Context) (*LeaderReply, error) {
	return invoke[LeaderReply](ctx, client, leaderMethod, &LeaderRequest{})
}

// EndWorker reports the end of a worker's incarnation or lease. Error: that of the connection. An entry of an earlier
// version would take a lapse for the end of the incarnation, so lapses have a method of their own, which it refuses.
func (client *Client) EndWorker(ctx context.Context, end *WorkerEnd) (*WorkerEndReply, error) {
	name := endMethod
	if end.Lapsed {
		name = lapseMethod
	}
	return invoke[WorkerEndReply](ctx, client, name, end)
}

// Relay requests the entry to make a call to the store. It returns errors of the connection; an error of the
// store is in the reply.
func (client *Client) Relay(ctx context.Context, request *RelayRequest) (*RelayReply, error) {
	return invoke[RelayReply](ctx, client, relayMethod, request)
}

// invoke makes a unary call. Errors: ErrNotLeading, or the error of the connection.
func invoke[Reply any](ctx context.Context, client *Client, name string, request any) (*Reply, error) {
	reply := new(Reply)
	err := client.connection.Invoke(ctx, method(name), request, reply)
	if status.Code(err) == codes.FailedPrecondition {
		leader := status.Convert(err).Message()
		if _, err := netip.ParseAddrPort(leader); err != nil {
			leader = "" // Not known, or the text of an entry of an earlier version.
		}
		return nil, ErrNotLeading{Leader: leader}
	}
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", name, err)
	}
	return reply, nil
}

// method returns the full gRPC name of a method.
func method(name string) string { return "/" + serviceName + "/" + name }
