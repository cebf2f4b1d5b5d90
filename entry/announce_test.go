package entry

import (
	"testing"
	"time"

	"hyssopjunction/controlpb"
)

// announceLoad sends a heartbeat that contains only the worker's usage.
func (fixture *fixture) announceLoad(name string, incarnation, revision uint64, cpu int64) *controlpb.AnnounceReply {
	fixture.sequence++
	reply, err := fixture.entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{GrantRevision: revision, State: &controlpb.WorkerState{
		Worker: name, Incarnation: incarnation, Sequence: fixture.sequence, Used: &controlpb.Resources{CpuMilli: cpu},
	}})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

// TestLoadNeedsReportedState guards against a lease for a worker whose state this entry does not
// have, after a restart of the entry or after the worker was unresponsive. Also guards against a
// heartbeat with usage alone that replaces the worker's whole state.
func TestLoadNeedsReportedState(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		wantStateRequest := func(cause string, reply *controlpb.AnnounceReply) {
			t.Helper()
			if !reply.WantState || reply.Accepted || reply.Fenced || reply.LeaseTermMillis != 0 {
				t.Fatalf("%s: got %v, want the state", cause, reply)
			}
		}
		wantStateRequest("unknown worker", fixture.announceLoad("w1", 1, 0, 100))
		reply := fixture.announce("w1", 1, 0, 0)
		revision := fixture.wantGrant(reply)
		if !reply.KeepsState {
			t.Fatal("the home of an agent does not keep its state")
		}
		fixture.wantGrant(fixture.announceLoad("w1", 1, revision, 200))
		fixture.entry.control.Call(func() {
			if state, _ := fixture.entry.workers.Get("w1"); state.GetAgentAddress() != "w1" || state.GetUsed().GetCpuMilli() != 200 {
				t.Errorf("have %v, want the address and the load", state)
			}
		})
		wantStateRequest("another incarnation", fixture.announceLoad("w1", 2, revision, 100))
		fixture.advance(fixture.entry.settings.Membership.WorkerExpiryMillis.Duration() + time.Second)
		wantStateRequest("unresponsive worker", fixture.announceLoad("w1", 1, revision, 100))
		fixture.wantGrant(fixture.announce("w1", 1, revision, 0))
	})
}
