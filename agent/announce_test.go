package agent

import (
	"context"
	"testing"
	"time"

	"hyssopjunction/controlpb"
)

// sharedGate returns the same message on each call, as a gate does until its load changes.
type sharedGate struct {
	Gate
	state *controlpb.EndpointState
}

func (gate sharedGate) State() *controlpb.EndpointState { return gate.state }

// TestAnnouncementDoesNotChangeGateState guards against a data race: an announcement must not
// modify the message that the gate also puts into replies to requests.
func TestAnnouncementDoesNotChangeGateState(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		shared := sharedGate{state: &controlpb.EndpointState{Endpoint: "e1"}}
		fixture.agent.control.Call(func() {
			fixture.agent.gate, fixture.agent.leaving = shared, true
			if sent := fixture.agent.buildAnnouncement().GetState().GetEndpoint(); !sent.GetLeaving() || shared.state.GetLeaving() {
				fixture.Errorf("announced leaving %t, the gate's message says %t", sent.GetLeaving(), shared.state.GetLeaving())
			}
			fixture.agent.gate = nil
		})
	})
}

// TestFullStateSentUntilHomeHasIt guards against a home that lacks the addresses and place of an
// agent. The heartbeat must carry the full state at first, after a change, after an unanswered
// heartbeat, which may still arrive and replace the home's state, and when the home has lost the
// state.
func TestFullStateSentUntilHomeHasIt(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		loseReply, stateLost := false, false
		fixture.entry.setAnswer(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			if loseReply {
				loseReply = false
				return nil, context.DeadlineExceeded
			}
			if stateLost && request.State.AgentAddress == "" {
				return &controlpb.AnnounceReply{WantState: true}, nil
			}
			stateLost = false
			reply := grantReply(1)
			reply.KeepsState = true
			return reply, nil
		})
		checkNext := func(cause string, full bool) {
			t.Helper()
			fixture.entry.mu.Lock()
			count := len(fixture.entry.heartbeats)
			fixture.entry.mu.Unlock()
			for range 100 {
				fixture.sleep(100 * time.Millisecond)
				fixture.entry.mu.Lock()
				heartbeats := fixture.entry.heartbeats
				fixture.entry.mu.Unlock()
				if len(heartbeats) > count {
					if sentFull := heartbeats[count].State.AgentAddress != ""; sentFull != full {
						t.Fatalf("%s: whole state is %v, want %v", cause, sentFull, full)
					}
					return
				}
			}
			t.Fatalf("%s: no heartbeat", cause)
		}
		checkNext("before the home keeps the state", true)
		checkNext("after the home kept the state", false)
		fixture.entry.mu.Lock()
		loseReply = true
		fixture.entry.mu.Unlock()
		checkNext("heartbeat without answer", false)
		checkNext("after a heartbeat without answer", true)
		checkNext("after its answer", false)
		fixture.agent.control.Call(func() { fixture.agent.ledger.Drain(true) })
		checkNext("after a change", true)
		checkNext("after its answer", false)
		fixture.entry.mu.Lock()
		stateLost = true
		count := len(fixture.entry.heartbeats)
		fixture.entry.mu.Unlock()
		fixture.sleep(fixture.agent.settings.Heartbeat.Duration())
		fixture.entry.mu.Lock()
		defer fixture.entry.mu.Unlock()
		if heartbeats := fixture.entry.heartbeats[count:]; len(heartbeats) < 2 || heartbeats[1].State.AgentAddress == "" {
			t.Fatalf("%d heartbeats to a home that lost the state, want the whole state at once", len(heartbeats))
		}
	})
}

// TestConfigurationFromReplyIsAnnouncedAtOnce guards against a configuration that the home counts
// as pending until the next heartbeat although the agent applied it from the reply to the last one.
func TestConfigurationFromReplyIsAnnouncedAtOnce(t *testing.T) {
	withFixture(t, func(fixture *fixture) {
		fixture.entry.setAnswer(func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			reply := grantReply(1)
			if request.State.ConfigVersion < 3 {
				reply.Config = &controlpb.ConfigDelta{ToVersion: 3}
			}
			return reply, nil
		})
		fixture.sleep(fixture.agent.settings.Heartbeat.Duration())
		fixture.entry.mu.Lock()
		defer fixture.entry.mu.Unlock()
		if last := fixture.entry.heartbeats[len(fixture.entry.heartbeats)-1]; last.State.ConfigVersion != 3 {
			t.Fatalf("last announced version %d, want 3", last.State.ConfigVersion)
		}
	})
}
