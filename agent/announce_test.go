package agent

import (
	"testing"

	"hyssopjunction/controlpb"
)

// sharedGate returns one message, as a gate does until its load changes.
type sharedGate struct {
	Gate
	state *controlpb.EndpointState
}

func (gate sharedGate) State() *controlpb.EndpointState { return gate.state }

// Guards against an announcement that changes the gate's message while the reply to a request is sent
// from it.
func TestAnnouncementLeavesGateStateAlone(t *testing.T) {
	inWorld(t, func(world *world) {
		shared := sharedGate{state: &controlpb.EndpointState{Endpoint: "e1"}}
		world.agent.control.Call(func() {
			world.agent.gate, world.agent.leaving = shared, true
			if sent := world.agent.announcement().GetState().GetEndpoint(); !sent.GetLeaving() || shared.state.GetLeaving() {
				world.Errorf("announced leaving %t, the gate's message says %t", sent.GetLeaving(), shared.state.GetLeaving())
			}
			world.agent.gate = nil
		})
	})
}
