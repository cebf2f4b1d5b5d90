package membership_test

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
)

// Guards against a worker that stays in a view for ever: its former home forgot that it moved when the next
// home told of it again, while the peer had missed that home's exchange and took the worker as still
// vouched for by the former one.
func TestFormerHomeTellsThatAWorkerMoved(t *testing.T) {
	next, former, peer := newNode("e0"), newNode("e1"), newNode("e2")
	now := clock.Time(clock.Minute)
	exchange := func(sender, receiver *node, lost int) {
		now = now.Add(5 * clock.Second)
		sender.send(receiver, now, lost)
	}
	former.workers.Announce(state("w1", 1, 1, false), now)
	exchange(former, peer, 0)
	next.workers.Announce(state("w1", 1, 2, false), now)
	exchange(next, former, 0)
	exchange(next, peer, 1)
	next.workers.Announce(state("w1", 1, 3, true), now)
	exchange(next, former, 0)
	next.workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 1, AgentGone: true}, now)
	exchange(next, peer, 0)
	exchange(former, peer, 0)
	if _, have := peer.endpoint("w1", now); have {
		t.Fatal("the peer still has the worker")
	}
}
