package entry

import (
	"testing"
	"time"

	"hyssopjunction/controlpb"
)

// announceLoad sends a heartbeat that carries the load alone.
func (world *world) announceLoad(name string, incarnation, revision uint64, cpu int64) *controlpb.AnnounceReply {
	world.sequence++
	reply, err := world.entry.Announce(world.Context(), &controlpb.AnnounceRequest{GrantRevision: revision, State: &controlpb.WorkerState{
		Worker: name, Incarnation: incarnation, Sequence: world.sequence, Used: &controlpb.Resources{CpuMilli: cpu},
	}})
	if err != nil {
		world.Fatal(err)
	}
	return reply
}

// Guards against a lease for a worker whose state is not known here, as after a restart of the entry or
// after the worker was silent, and against a load that replaces the state it belongs to.
func TestLoadNeedsKnownState(t *testing.T) {
	inWorld(t, func(world *world) {
		wantState := func(cause string, reply *controlpb.AnnounceReply) {
			t.Helper()
			if !reply.WantState || reply.Accepted || reply.Fenced || reply.LeaseTermMillis != 0 {
				t.Fatalf("%s: got %v, want the state", cause, reply)
			}
		}
		wantState("unknown worker", world.announceLoad("w1", 1, 0, 100))
		reply := world.announce("w1", 1, 0, 0)
		revision := world.wantGrant(reply)
		if !reply.KeepsState {
			t.Fatal("the home of an agent does not keep its state")
		}
		world.wantGrant(world.announceLoad("w1", 1, revision, 200))
		world.entry.control.Call(func() {
			if state, _ := world.entry.workers.Get("w1"); state.GetAgentAddress() != "w1" || state.GetUsed().GetCpuMilli() != 200 {
				t.Errorf("have %v, want the address and the load", state)
			}
		})
		wantState("another incarnation", world.announceLoad("w1", 2, revision, 100))
		world.pass(world.entry.settings.Membership.WorkerExpiryMillis.Duration() + time.Second)
		wantState("silent worker", world.announceLoad("w1", 1, revision, 100))
		world.wantGrant(world.announce("w1", 1, revision, 0))
	})
}
