package agent

import (
	"context"

	"google.golang.org/grpc"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
)

// refusalNoEndpoint is the refusal sent by an agent without an endpoint.
const refusalNoEndpoint = "NoEndpoint"

// outcomeNotRun is the wire value of outcome NotRun in ServeReply.
const outcomeNotRun = 2

// Serve passes a request to the endpoint. Requests for another incarnation are refused by the gate.
func (agent *Agent) Serve(ctx context.Context, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	if agent.gate == nil {
		return &controlpb.ServeReply{Request: request.Request, Outcome: outcomeNotRun, Refusal: refusalNoEndpoint}, nil
	}
	return agent.gate.Serve(ctx, request), nil
}

// Query returns the state of a request.
func (agent *Agent) Query(ctx context.Context, request *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	if agent.gate == nil {
		return &controlpb.QueryReply{}, nil
	}
	return agent.gate.Query(ctx, request), nil
}

// Follow forwards the data of a stream.
func (agent *Agent) Follow(request *controlpb.FollowRequest, stream grpc.ServerStreamingServer[controlpb.FollowChunk]) error {
	if agent.gate == nil {
		return stream.Send(&controlpb.FollowChunk{Request: request.Request, Refusal: refusalNoEndpoint, End: true})
	}
	return agent.gate.Follow(stream.Context(), request, stream.Send)
}

// Tasks returns the running tasks with their sizes, classes and kinds.
func (agent *Agent) Tasks(context.Context, *controlpb.TasksRequest) (*controlpb.TasksReply, error) {
	reply := &controlpb.TasksReply{}
	agent.control.Call(func() {
		reply.Incarnation = uint64(agent.incarnation)
		for _, entry := range agent.ledger.Entries() {
			if entry.Running {
				reply.Tasks = append(reply.Tasks, agent.statusMessage(entry))
			}
		}
	})
	return reply, nil
}

// Configure applies configuration that the home sends between heartbeats.
func (agent *Agent) Configure(_ context.Context, request *controlpb.ConfigureRequest) (*controlpb.ConfigureReply, error) {
	var err error
	reply := &controlpb.ConfigureReply{}
	agent.control.Call(func() {
		err = agent.config.Apply(request.Config)
		reply.ConfigVersion = uint64(agent.config.Current().Version())
	})
	return reply, err
}

// jobHome returns the control address of the home entry of the job, or "" if none is known.
func (agent *Agent) jobHome(job ident.Job) string {
	entries := make([]membership.Entry, 0, len(agent.entryStates))
	for _, message := range agent.entryStates {
		if !message.Leaving {
			entries = append(entries, membership.FromMessage(message))
		}
	}
	home, ok := membership.JobHome(job, agent.settings.Region, entries).Get()
	if !ok {
		return ""
	}
	return home.ControlAddress
}
