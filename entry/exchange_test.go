package entry

import (
	"testing"
	"time"

	"hyssopjunction/controlpb"
	"hyssopjunction/membership"
)

// exchangeFrom receives an exchange of a peer that has this entry's addresses of the given
// incarnation.
func (fixture *fixture) exchangeFrom(sender *controlpb.EntryState, full bool, knownIncarnation uint64) *controlpb.ExchangeReply {
	fixture.sequence++
	reply, err := fixture.entry.Exchange(fixture.Context(), &controlpb.ExchangeRequest{
		Sender: sender, Sequence: fixture.sequence, Full: full, ReceiverIncarnation: knownIncarnation,
	})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

// TestExchangeOmitsOnlyKnownAddresses guards against an entry that is unknown or has no addresses
// at a peer, because its messages leave out addresses that the peer does not have. This could
// happen after a lost message, after a restart of either side, and with an entry of the previous
// version, which sends no incarnation.
func TestExchangeOmitsOnlyKnownAddresses(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		incarnation := uint64(fixture.entry.incarnation)
		full := &controlpb.EntryState{Entry: "e2", ControlAddress: "a2", CallerAddress: "c2", Incarnation: 5, Region: "north", DataCentre: "dc2"}
		partial := &controlpb.EntryState{Entry: "e2", Incarnation: 5}
		if reply := fixture.exchangeFrom(partial, true, 0); reply.SenderIncarnation != 0 {
			t.Error("the reply to an unknown sender without addresses says that it is known")
		}
		for knownIncarnation, address := range map[uint64]string{0: "e1", incarnation - 1: "e1", incarnation: ""} {
			reply := fixture.exchangeFrom(full, true, knownIncarnation)
			if reply.Receiver.ControlAddress != address || reply.SenderIncarnation != 5 {
				t.Errorf("known as %d: got %v, want the address %q", knownIncarnation, reply, address)
			}
		}
		for range 10 {
			fixture.advance(2 * time.Second)
			fixture.exchangeFrom(partial, false, incarnation)
		}
		fixture.entry.control.Call(func() {
			peers := fixture.entry.entries.Peers(fixture.entry.time.Now())
			if len(peers) != 1 || peers[0].ControlAddress != "a2" || peers[0].DataCentre != "dc2" || peers[0].State != membership.Live {
				t.Errorf("have peers %v, want e2 with its address and place", peers)
			}
			if _, exists := fixture.entry.knownByPeer["e2"]; exists {
				t.Error("an unanswered exchange did not remove the incarnation that the peer has")
			}
			fixture.entry.knownByPeer["e2"] = fixture.entry.incarnation
			if message := fixture.entry.ownStateFor(true, fixture.entry.knownByPeer["e2"]); message.ControlAddress == "" {
				t.Error("a full exchange lacks the address")
			}
		})
		restarted := &controlpb.EntryState{Entry: "e2", Incarnation: 6}
		if reply := fixture.exchangeFrom(restarted, true, incarnation); reply.SenderIncarnation != 0 {
			t.Error("the reply to a restarted sender without addresses says that it is known")
		}
	})
}
