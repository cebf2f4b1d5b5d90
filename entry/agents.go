package entry

import (
	"context"
	"errors"
	"io"

	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
)

// agents reaches the agents for the request flow. Requests and questions about them use different
// connections, so that a question does not meet the silence it is asked about.
type agents struct {
	traffic Connections
	probes  Connections
}

// client returns a client over an established connection. An error means that nothing was sent.
func client(ctx context.Context, connections Connections, address string) (controlpb.AgentClient, error) {
	if err := connections.Connect(ctx, address); err != nil {
		return nil, dispatch.ErrNotSent{Address: address, Cause: err}
	}
	agent, err := connections.Agent(address)
	if err != nil {
		return nil, dispatch.ErrNotSent{Address: address, Cause: err}
	}
	return agent, nil
}

// Serve passes a request to the agent at address.
func (agents *agents) Serve(ctx context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	agent, err := client(ctx, agents.traffic, address)
	if err != nil {
		return nil, err
	}
	return agent.Serve(ctx, request)
}

// Query asks the agent at address what became of a request. A connection without an answer is given
// up, so that the next question uses a new one.
func (agents *agents) Query(ctx context.Context, address string, request *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	agent, err := client(ctx, agents.probes, address)
	if err != nil {
		return nil, err
	}
	reply, err := agent.Query(ctx, request)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		agents.probes.Discard(address)
	}
	return reply, err
}

// Follow passes on the chunks of a stream until it ends.
func (agents *agents) Follow(ctx context.Context, address string, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error {
	agent, err := client(ctx, agents.traffic, address)
	if err != nil {
		return err
	}
	stream, err := agent.Follow(ctx, request)
	if err != nil {
		return err
	}
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := pass(chunk); err != nil {
			return err
		}
	}
}
