package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}

// state returns the announcement of a worker with an endpoint.
func state(worker string, incarnation, sequence uint64, leaving bool) *controlpb.WorkerState {
	return &controlpb.WorkerState{
		Worker: worker, AgentAddress: "10.0.0.1:7100", Incarnation: incarnation, Sequence: sequence,
		Region: "flanders", DataCentre: "gent", Rack: "r1",
		Capacity: &controlpb.Resources{CpuMilli: 16000, MemoryMib: 60000},
		Used:     &controlpb.Resources{CpuMilli: int64(sequence%40) * 100, MemoryMib: 20000},
		Endpoint: &controlpb.EndpointState{
			Endpoint: worker + "-e", Service: "checks", Leaving: leaving, Healthy: true, Slots: 8, Connections: 64,
			SlotsUsed: int32(sequence % 5), ConnectionsUsed: int32(sequence % 30), LatencyMillis: 20, SlowdownPercent: 100,
		},
	}
}

// node is one entry of a group whose messages can be lost.
type node struct {
	id      ident.Entry
	workers *membership.Workers
}

func newNode(id ident.Entry) *node {
	return &node{id: id, workers: membership.NewWorkers(id, membership.DefaultSettings())}
}

// send makes one exchange. lost is 0 if it is delivered, 1 if the request is lost and 2 if the
// reply is lost.
func (sender *node) send(receiver *node, now clock.Time, lost int) *controlpb.ExchangeRequest {
	request := sender.workers.NextExchange(receiver.id, now)
	request.Sender = &controlpb.EntryState{Entry: string(sender.id), Incarnation: 1}
	sequence := ident.Sequence(request.GetSequence())
	if lost == 1 {
		sender.workers.RecordExchangeFailure(receiver.id, sequence)
		return request
	}
	reply := receiver.workers.ApplyExchange(proto.CloneOf(request), now)
	reply.Receiver = &controlpb.EntryState{Entry: string(receiver.id), Incarnation: 1}
	if lost == 2 {
		sender.workers.RecordExchangeFailure(receiver.id, sequence)
		return request
	}
	sender.workers.Acknowledge(receiver.id, sequence, reply, now)
	return request
}

// endpoint returns the only endpoint of a worker in the node's view.
func (sender *node) endpoint(worker string, now clock.Time) (membership.Endpoint, bool) {
	for _, endpoint := range sender.workers.Snapshot(nil, now).Endpoints["checks"] {
		if endpoint.Worker == ident.Worker(worker) {
			return endpoint, true
		}
	}
	return membership.Endpoint{}, false
}

// TestOldAnnouncementsAreIgnored guards against an old message that replaces a newer state, also
// after the worker was removed.
func TestOldAnnouncementsAreIgnored(t *testing.T) {
	home := newNode("e1")
	expect := func(name string, got, want membership.Freshness) {
		t.Helper()
		if got != want {
			t.Fatalf("%s: %v, not %v", name, got, want)
		}
	}
	expect("first", home.workers.Announce(state("w1", 2, 5, false), 1000), membership.Restarted)
	expect("same", home.workers.Announce(state("w1", 2, 5, false), 1000), membership.Stale)
	expect("older", home.workers.Announce(state("w1", 2, 4, false), 1000), membership.Stale)
	expect("old incarnation", home.workers.Announce(state("w1", 1, 9, false), 1000), membership.Stale)
	expect("newer", home.workers.Announce(state("w1", 2, 6, false), 1000), membership.Newer)
	if expired := home.workers.Expire(1000 + 10_000); len(expired) != 1 {
		t.Fatalf("expired: %v", expired)
	}
	expect("late after expiry", home.workers.Announce(state("w1", 2, 5, false), 12_000), membership.Stale)
	expect("back", home.workers.Announce(state("w1", 2, 7, false), 12_000), membership.Newer)
	home.workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 2, Endpoint: "w1-e", AgentGone: true}, 12_000)
	expect("after gone", home.workers.Announce(state("w1", 2, 9, false), 12_000), membership.Stale)
	expect("restarted", home.workers.Announce(state("w1", 3, 1, false), 12_000), membership.Restarted)
}

// TestLeavingMarkIsKept guards against a leaving endpoint that becomes available again within its
// incarnation, whatever announcements follow.
func TestLeavingMarkIsKept(t *testing.T) {
	home := newNode("e1")
	home.workers.Announce(state("w1", 1, 1, false), 1000)
	if home.workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 9, Endpoint: "w1-e"}, 1000) {
		t.Fatal("a Leave of another incarnation was applied")
	}
	home.workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 1, Endpoint: "w1-e"}, 1000)
	for sequence := range uint64(5) {
		home.workers.Announce(state("w1", 1, 2+sequence, false), 1100)
		if endpoint, ok := home.endpoint("w1", 1100); !ok || !endpoint.Leaving {
			t.Fatal("the leaving mark was lost")
		}
	}
	home.workers.Announce(state("w1", 2, 1, false), 1200)
	if endpoint, _ := home.endpoint("w1", 1200); endpoint.Leaving {
		t.Fatal("the mark outlived the incarnation")
	}
}

// TestLeavingReachesAllEntries guards against an entry that still offers a leaving endpoint for new
// work 3 s later, although each peer loses the first message or the first reply that marks it as
// leaving.
func TestLeavingReachesAllEntries(t *testing.T) {
	for _, lost := range []int{0, 1, 2, 3, 4, 5} {
		count := []int{4, 24}[lost/3]
		lost %= 3
		for offset := range clock.Millis(60) {
			var nodes []*node
			for index := range count {
				nodes = append(nodes, newNode(ident.Entry(fmt.Sprint("e", index))))
			}
			nodes[0].workers.Announce(state("w1", 1, 1, false), 1000)
			leftAt, sent := clock.Time(10_000).Add(100*offset), map[ident.Entry]bool{}
			for now := clock.Time(1000); !now.After(leftAt.Add(3 * clock.Second)); now = now.Add(100) {
				if now == leftAt {
					nodes[0].workers.Leave(&controlpb.LeaveRequest{Worker: "w1", Incarnation: 1, Endpoint: "w1-e"}, now)
				}
				for _, peer := range nodes[1:] {
					if nodes[0].workers.Due(peer.id, now) {
						fault := 0
						if !now.Before(leftAt) && !sent[peer.id] {
							fault, sent[peer.id] = lost, true
						}
						nodes[0].send(peer, now, fault)
					}
				}
			}
			for _, peer := range nodes[1:] {
				if endpoint, ok := peer.endpoint("w1", leftAt.Add(3000)); !ok || !endpoint.Leaving {
					t.Fatalf("lost %d, offset %d: %s offers the endpoint (%v)", lost, offset, peer.id, ok)
				}
			}
		}
	}
}

// TestExchangesConverge guards against views that return to older states, lose a leaving mark or
// never match the actual state, while messages are lost and workers restart, move, leave and end.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := newRandom(rapid.Uint64().Draw(rt, "seed"))
		loss := rapid.IntRange(0, 70).Draw(rt, "lossPercent")
		if failure := converge(random, loss); failure != "" {
			rt.Fatal(failure)
		}
	})
}

type agent struct {
	incarnation, sequence uint64
	home                  int
	leaving, gone         bool
}

func converge(random *rand.Rand, loss int) string {
	nodes := []*node{newNode("e0"), newNode("e1"), newNode("e2")}
	agents := make([]agent, 6)
	for index := range agents {
		agents[index] = agent{incarnation: 1, home: random.IntN(3)}
	}
	now := clock.Time(1000)
	runRound := func(faulty bool) {
		for index := range agents {
			agent := &agents[index]
			if faulty && random.IntN(10) == 0 {
				switch random.IntN(4) {
				case 0:
					agent.home = random.IntN(3)
				case 1:
					agent.incarnation, agent.sequence, agent.leaving, agent.gone = agent.incarnation+1, 0, false, false
				case 2:
					agent.leaving = true
				case 3:
					agent.gone = true
					nodes[agent.home].workers.Leave(&controlpb.LeaveRequest{
						Worker: fmt.Sprint("w", index), Incarnation: agent.incarnation, AgentGone: true,
					}, now)
				}
			}
			if !agent.gone && (!faulty || random.IntN(100) >= loss) {
				agent.sequence++
				nodes[agent.home].workers.Announce(state(fmt.Sprint("w", index), agent.incarnation, agent.sequence, agent.leaving), now)
			}
		}
		for _, sender := range nodes {
			for _, receiver := range nodes {
				if sender != receiver && sender.workers.Due(receiver.id, now) {
					lost := 0
					if faulty && random.IntN(100) < loss {
						lost = 1 + random.IntN(2)
					}
					sender.send(receiver, now, lost)
				}
			}
			sender.workers.Expire(now)
		}
		now = now.Add(500)
	}
	type position struct{ incarnation, sequence uint64 }
	positions, leaving := make(map[string]position), make(map[string]bool)
	for range 120 {
		runRound(true)
		for _, node := range nodes {
			for _, worker := range node.workers.Snapshot(nil, now).Workers {
				key := string(node.id) + "/" + string(worker.ID)
				next := position{uint64(worker.Incarnation), uint64(worker.Sequence)}
				if previous := positions[key]; next.incarnation < previous.incarnation ||
					next.incarnation == previous.incarnation && next.sequence < previous.sequence {
					return fmt.Sprintf("%s went from %v to %v", key, previous, next)
				}
				positions[key] = next
				endpoint, _ := node.endpoint(string(worker.ID), now)
				mark := fmt.Sprint(key, "/", worker.Incarnation)
				if leaving[mark] && !endpoint.Leaving {
					return mark + " lost its leaving mark"
				}
				leaving[mark] = endpoint.Leaving
			}
		}
	}
	for range 80 {
		runRound(false)
	}
	for _, node := range nodes {
		for index, agent := range agents {
			name := fmt.Sprint("w", index)
			endpoint, ok := node.endpoint(name, now)
			if ok == agent.gone {
				return fmt.Sprintf("%s has %s: %v, agent %+v", node.id, name, ok, agent)
			}
			if ok && (endpoint.Incarnation != ident.Incarnation(agent.incarnation) || endpoint.Leaving != agent.leaving) {
				return fmt.Sprintf("%s has %s as %+v, agent is %+v", node.id, name, endpoint, agent)
			}
		}
	}
	return ""
}

// TestRestartedHomeKeepsWorkers guards against workers that vanish from other views while their
// home restarts.
func TestRestartedHomeKeepsWorkers(t *testing.T) {
	peer := newNode("e2")
	exchange := func(incarnation uint64, full bool, now clock.Time, states ...*controlpb.WorkerState) {
		peer.workers.ApplyExchange(&controlpb.ExchangeRequest{
			Sender: &controlpb.EntryState{Entry: "e1", Incarnation: incarnation}, Sequence: 1, Full: full, Workers: states,
		}, now)
	}
	exchange(1, true, 1000, state("w1", 1, 1, false))
	exchange(2, true, 2000)
	if _, ok := peer.workers.Get("w1"); !ok {
		t.Fatal("the worker vanished when its home restarted")
	}
	if expired := peer.workers.Expire(16_000); len(expired) != 1 {
		t.Fatal("the restarted home confirms a worker that it does not know")
	}
}

// TestAgesAreConverted guards against ages that are not converted to the clock of the receiver.
func TestAgesAreConverted(t *testing.T) {
	home, peer := newNode("e1"), newNode("e2")
	announced := state("w1", 1, 1, false)
	announced.AgeMillis, announced.Endpoint.AgeMillis = 100, 30
	home.workers.Announce(announced, 1000)
	home.send(peer, 1500, 0)
	// Both nodes use the same clock here, so their times agree.
	if endpoint, ok := peer.endpoint("w1", 1500); !ok || endpoint.SeenAt != 870 {
		t.Fatalf("endpoint was seen at %d, not 870", endpoint.SeenAt)
	}
}

// TestWorkersReturnAfterUnresponsiveHome guards against workers that stay lost after their home was
// unresponsive for long, because the home assumes that the peer still stores them.
func TestWorkersReturnAfterUnresponsiveHome(t *testing.T) {
	home, peer := newNode("e1"), newNode("e2")
	home.workers.Announce(state("w1", 1, 1, false), 1000)
	home.send(peer, 1000, 0)
	if expired := peer.workers.Expire(20_000); len(expired) != 1 {
		t.Fatalf("expired: %v", expired)
	}
	home.send(peer, 20_000, 0)
	home.send(peer, 20_100, 0)
	if _, ok := peer.workers.Get("w1"); !ok {
		t.Fatal("the worker is still missing after a further exchange")
	}
}
