package entry

import (
	"testing"
	"time"

	"hyssopjunction/controlpb"
	"hyssopjunction/membership"
)

// exchangeFrom takes an exchange of a peer that knows this entry in the given incarnation.
func (world *world) exchangeFrom(sender *controlpb.EntryState, full bool, known uint64) *controlpb.ExchangeReply {
	world.sequence++
	reply, err := world.entry.Exchange(world.Context(), &controlpb.ExchangeRequest{
		Sender: sender, Sequence: world.sequence, Full: full, ReceiverIncarnation: known,
	})
	if err != nil {
		world.Fatal(err)
	}
	return reply
}

// Guards against an entry that is lost, or known without its addresses, because one side leaves them out
// that the other does not know: after a lost message or a restart of either side, and with an entry of
// the previous version, which names no incarnation.
func TestExchangesLeaveOutOnlyWhatIsKnown(t *testing.T) {
	inWorld(t, func(world *world) {
		own := uint64(world.entry.incarnation)
		whole := &controlpb.EntryState{Entry: "e2", ControlAddress: "a2", CallerAddress: "c2", Incarnation: 5, Region: "north", DataCentre: "dc2"}
		part := &controlpb.EntryState{Entry: "e2", Incarnation: 5}
		if reply := world.exchangeFrom(part, true, 0); reply.SenderIncarnation != 0 {
			t.Error("an unknown sender without addresses is told that it is known")
		}
		for known, address := range map[uint64]string{0: "e1", own - 1: "e1", own: ""} {
			reply := world.exchangeFrom(whole, true, known)
			if reply.Receiver.ControlAddress != address || reply.SenderIncarnation != 5 {
				t.Errorf("known as %d: got %v, want the address %q", known, reply, address)
			}
		}
		for range 10 {
			world.pass(2 * time.Second)
			world.exchangeFrom(part, false, own)
		}
		world.entry.control.Call(func() {
			peers := world.entry.entries.Peers(world.entry.time.Now())
			if len(peers) != 1 || peers[0].ControlAddress != "a2" || peers[0].DataCentre != "dc2" || peers[0].State != membership.Live {
				t.Errorf("have peers %v, want e2 with its address and place", peers)
			}
			if _, kept := world.entry.knownBy["e2"]; kept {
				t.Error("an exchange without answer left the peer known")
			}
			world.entry.knownBy["e2"] = world.entry.incarnation
			if message := world.entry.selfMessageFor(true, world.entry.knownBy["e2"]); message.ControlAddress == "" {
				t.Error("a full exchange lacks the address")
			}
		})
		restarted := &controlpb.EntryState{Entry: "e2", Incarnation: 6}
		if reply := world.exchangeFrom(restarted, true, own); reply.SenderIncarnation != 0 {
			t.Error("a restarted sender without addresses is told that it is known")
		}
	})
}
