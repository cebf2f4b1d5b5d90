package membership_test

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
)

// TestFormerHomeReportsMovedWorker guards against a worker that stays in a view forever: a peer
// that missed the exchange of the new home takes exchanges of the former home as confirmations of
// the worker. The former home must report that the worker is gone, also after the new home has
// reported the worker to it again.
func TestFormerHomeReportsMovedWorker(t *testing.T) {
	newHome, formerHome, peer := newNode("e0"), newNode("e1"), newNode("e2")
	now := clock.Time(clock.Minute)
	exchange := func(sender, receiver *node, lost int) {
		now = now.Add(5 * clock.Second)
		sender.send(receiver, now, lost)
	}
	formerHome.workers.Announce(state("w1", 1, 1, false), now)
	exchange(formerHome, peer, 0)
	newHome.workers.Announce(state("w1", 1, 2, false), now)
	exchange(newHome, formerHome, 0)
	exchange(newHome, peer, 1)
	newHome.workers.Announce(state("w1", 1, 3, true), now)
	exchange(newHome, formerHome, 0)
	newHome.workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 1, AgentGone: true}, now)
	exchange(newHome, peer, 0)
	exchange(formerHome, peer, 0)
	if _, ok := peer.endpoint("w1", now); ok {
		t.Fatal("the peer still has the worker")
	}
}
