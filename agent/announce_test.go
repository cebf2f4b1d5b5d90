package agent

import (
	"context"
	"testing"
	"time"

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

// Guards against a home without the agent's addresses and place: the state must be whole in the first
// heartbeat, after one without answer, which may still arrive and change what the home holds, after a
// change, and for a home that has lost it.
func TestHeartbeatsAreWholeUntilKept(t *testing.T) {
	inWorld(t, func(world *world) {
		lost, unknown := false, false
		world.entry.decide(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if lost {
				lost = false
				return nil, context.DeadlineExceeded
			}
			if unknown && request.State.AgentAddress == "" {
				return &controlpb.AnnounceReply{WantState: true}, nil
			}
			unknown = false
			reply := granted(1)
			reply.KeepsState = true
			return reply, nil
		})
		next := func(cause string, whole bool) {
			t.Helper()
			world.entry.mu.Lock()
			seen := len(world.entry.heartbeats)
			world.entry.mu.Unlock()
			for range 100 {
				world.pass(100 * time.Millisecond)
				world.entry.mu.Lock()
				heartbeats := world.entry.heartbeats
				world.entry.mu.Unlock()
				if len(heartbeats) > seen {
					if have := heartbeats[seen].State.AgentAddress != ""; have != whole {
						t.Fatalf("%s: whole state is %v, want %v", cause, have, whole)
					}
					return
				}
			}
			t.Fatalf("%s: no heartbeat", cause)
		}
		next("before the home keeps the state", true)
		next("after the home kept the state", false)
		world.entry.mu.Lock()
		lost = true
		world.entry.mu.Unlock()
		next("heartbeat without answer", false)
		next("after a heartbeat without answer", true)
		next("after its answer", false)
		world.agent.control.Call(func() { world.agent.ledger.Drain(true) })
		next("after a change", true)
		next("after its answer", false)
		world.entry.mu.Lock()
		unknown = true
		seen := len(world.entry.heartbeats)
		world.entry.mu.Unlock()
		world.pass(world.agent.settings.Heartbeat.Duration())
		world.entry.mu.Lock()
		defer world.entry.mu.Unlock()
		if repeated := world.entry.heartbeats[seen:]; len(repeated) < 2 || repeated[1].State.AgentAddress == "" {
			t.Fatalf("%d heartbeats to a home that lost the state, want the whole state at once", len(repeated))
		}
	})
}

// Guards against a change that the home takes for pending until the next heartbeat although the agent
// got it with the reply to one.
func TestConfigurationFromReplyIsToldAtOnce(t *testing.T) {
	inWorld(t, func(world *world) {
		world.entry.decide(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			reply := granted(1)
			if request.State.ConfigVersion < 3 {
				reply.Config = &controlpb.ConfigDelta{ToVersion: 3}
			}
			return reply, nil
		})
		world.pass(world.agent.settings.Heartbeat.Duration())
		world.entry.mu.Lock()
		defer world.entry.mu.Unlock()
		if last := world.entry.heartbeats[len(world.entry.heartbeats)-1]; last.State.ConfigVersion != 3 {
			t.Fatalf("last told version %d, want 3", last.State.ConfigVersion)
		}
	})
}
