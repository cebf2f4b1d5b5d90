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

// pushRecorder records the version from which each push to an agent starts.
type pushRecorder struct {
	noConnections
	mu           sync.Mutex
	fromVersions map[string]uint64
}

// recordingAgent is a client of one agent.
type recordingAgent struct {
	controlpb.AgentClient
	recorder *pushRecorder
	address  string
}

func (recorder *pushRecorder) Agent(address string) (controlpb.AgentClient, error) {
	return recordingAgent{recorder: recorder, address: address}, nil
}

func (agent recordingAgent) Configure(_ context.Context, request *controlpb.ConfigureRequest, _ ...grpc.CallOption) (*controlpb.ConfigureReply, error) {
	agent.recorder.mu.Lock()
	defer agent.recorder.mu.Unlock()
	agent.recorder.fromVersions[agent.address] = request.Config.FromVersion
	return &controlpb.ConfigureReply{ConfigVersion: request.Config.ToVersion}, nil
}

// TestPushStartsFromAgentVersion guards against an agent that misses a push and then refuses all
// later ones until its next heartbeat, because they do not follow its version.
func TestPushStartsFromAgentVersion(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		recorder := &pushRecorder{fromVersions: map[string]uint64{}}
		fixture.announce("behind", 1, 0, 0)
		fixture.announce("current", 1, 0, 0)
		fixture.entry.control.Call(func() {
			fixture.entry.connections = recorder
			fixture.entry.versions.recordAgent("behind", 1, 1)
			fixture.entry.versions.recordAgent("current", 1, ident.Version(7))
			view, err := config.NewPublisher().Current().Apply(&controlpb.ConfigDelta{ToVersion: 8})
			if err != nil {
				t.Fatal(err)
			}
			fixture.entry.pushConfig(5, view)
		})
		fixture.advance(time.Second)
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		if recorder.fromVersions["behind"] != 1 || recorder.fromVersions["current"] != 5 {
			t.Fatalf("pushes start from %v, want 1 for the agent behind and 5 for the other", recorder.fromVersions)
		}
	})
}
