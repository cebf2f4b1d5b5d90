package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

// configuredAgents record the version that each push to an agent starts from.
type configuredAgents struct {
	noConnections
	mu   sync.Mutex
	from map[string]uint64
}

type configuredAgent struct {
	controlpb.AgentClient
	agents  *configuredAgents
	address string
}

func (agents *configuredAgents) Agent(address string) (controlpb.AgentClient, error) {
	return configuredAgent{agents: agents, address: address}, nil
}

func (agent configuredAgent) Configure(_ context.Context, request *controlpb.ConfigureRequest, _ ...grpc.CallOption) (*controlpb.ConfigureReply, error) {
	agent.agents.mu.Lock()
	defer agent.agents.mu.Unlock()
	agent.agents.from[agent.address] = request.Config.FromVersion
	return &controlpb.ConfigureReply{ConfigVersion: request.Config.ToVersion}, nil
}

// Guards against an agent that missed a push and refuses all later ones until its next heartbeat, because
// they do not follow its version.
func TestPushStartsFromTheAgentsVersion(t *testing.T) {
	inWorld(t, func(world *world) {
		agents := &configuredAgents{from: map[string]uint64{}}
		world.announce("behind", 1, 0, 0)
		world.announce("current", 1, 0, 0)
		world.entry.control.Call(func() {
			world.entry.connections = agents
			world.entry.inForce.agentApplied("behind", 1, 1)
			world.entry.inForce.agentApplied("current", 1, ident.Version(7))
			view, err := config.NewPublisher().Current().Apply(&controlpb.ConfigDelta{ToVersion: 8})
			if err != nil {
				t.Fatal(err)
			}
			world.entry.pushConfig(5, view)
		})
		world.pass(time.Second)
		agents.mu.Lock()
		defer agents.mu.Unlock()
		if agents.from["behind"] != 1 || agents.from["current"] != 5 {
			t.Fatalf("pushes start from %v, want 1 for the agent behind and 5 for the other", agents.from)
		}
	})
}
