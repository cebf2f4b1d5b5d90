package session

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"
)

// Names of the gRPC service and its methods.
const (
	serviceName   = "hyssopjunction.Session"
	attendMethod  = "Attend"
	stateMethod   = "State"
	pendingMethod = "Pending"
	leaderMethod  = "Leader"
	relayMethod   = "Relay"
	endMethod     = "EndWorker"
	lapseMethod   = "LapseWorker"
	explainMethod = "ExplainJob"
)

// Stream is the leader's side of an agent's session.
type Stream interface {
	Send(orders *Orders) error
	// Receive returns the next report, or an error when the stream ends.
	Receive() (*Report, error)
	Context() context.Context
}

// Handler serves sessions.
type Handler interface {
	// Attend serves one agent's session. The stream ends when it returns.
	Attend(stream Stream) error
	// State and Pending return ErrNotLeading if the entry does not lead.
	State(ctx context.Context, request *StateRequest) (*StateReply, error)
	Pending(ctx context.Context, request *PendingRequest) (*PendingReply, error)
	// ExplainJob returns ErrNotLeading if the entry does not lead.
	ExplainJob(ctx context.Context, request *ExplainRequest) (*ExplainReply, error)
	// Leader returns the newest term that the entry has seen, or an empty reply.
	Leader(ctx context.Context, request *LeaderRequest) (*LeaderReply, error)
	// EndWorker stores the end of a worker's incarnation or lease, or keeps the report until a leader has stored it.
	EndWorker(ctx context.Context, end *WorkerEnd) (*WorkerEndReply, error)
	// Relay makes a call to the store for another entry.
	Relay(ctx context.Context, request *RelayRequest) (*RelayReply, error)
}

// ErrNotLeading reports that an entry does not lead, or no longer does.
type ErrNotLeading struct {
	// Leader is the address of the leader, if known.
	Leader string
}

// Error returns a message with the address of the leader.
func (err ErrNotLeading) Error() string { return fmt.Sprintf("not leading; leader is %q", err.Leader) }

// IsErrNotLeading reports whether err is or wraps an ErrNotLeading.
func IsErrNotLeading(err error) bool { return errors.As(err, new(ErrNotLeading)) }

// NewServer returns a gRPC server for handler. The caller must call its Serve and Stop methods.
func NewServer(handler Handler, options ...grpc.ServerOption) *grpc.Server {
	server := grpc.NewServer(append(options, grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(maxMessageBytes))...)
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: stateMethod, Handler: unary(Handler.State)},
			{MethodName: pendingMethod, Handler: unary(Handler.Pending)},
			{MethodName: explainMethod, Handler: unary(Handler.ExplainJob)},
			{MethodName: leaderMethod, Handler: unary(Handler.Leader)},
			{MethodName: relayMethod, Handler: unary(Handler.Relay)},
			{MethodName: endMethod, Handler: unary(Handler.EndWorker)},
			{MethodName: lapseMethod, Handler: unary(Handler.EndWorker)},
		},
		Streams: []grpc.StreamDesc{{
			StreamName: attendMethod, ServerStreams: true, ClientStreams: true,
			Handler: func(service any, stream grpc.ServerStream) error {
				return contain(func() error { return service.(Handler).Attend(serverStream{stream}) })
			},
		}},
	}, handler)
	return server
}

// unary adapts a method of Handler to gRPC. ErrNotLeading becomes the status FailedPrecondition, whose message is the
// address of the leader.
func unary[Request, Reply any](method func(Handler, context.Context, *Request) (*Reply, error)) grpc.MethodHandler {
	return func(service any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		var reply *Reply
		err := contain(func() (err error) {
			reply, err = method(service.(Handler), ctx, request)
			return err
		})
		var notLeading ErrNotLeading
		if errors.As(err, &notLeading) {
			return nil, status.Error(codes.FailedPrecondition, notLeading.Leader)
		}
		return reply, err
	}
}

// contain returns the error of a call, or an Internal status if it panics: a message of one peer must not end the process that
// serves them all.
func contain(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "Call of a peer failed", "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "the call failed")
		}
	}()
	return call()
}

// serverStream implements Stream.
type serverStream struct {
	grpc.ServerStream
}

func (stream serverStream) Send(orders *Orders) error { return stream.SendMsg(orders) }

func (stream serverStream) Receive() (*Report, error) {
	report := new(Report)
	if err := stream.RecvMsg(report); err != nil {
		return nil, err
	}
	return report, nil
}
