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
)

// traffic is a group of entries with agents whose loads change, on a simulated clock.
type traffic struct {
	nodes  []*node
	agents []*controlpb.WorkerState
	homes  []int
	random *rand.Rand
	now    clock.Time
}

// newTraffic has one entry for 50 agents, at least 3.
func newTraffic(agents int) *traffic {
	traffic := &traffic{random: newRandom(1), now: 1000}
	for index := range max(3, agents/50) {
		traffic.nodes = append(traffic.nodes, newNode(ident.Entry(fmt.Sprintf("entry-%d", index))))
	}
	for index := range agents {
		traffic.agents = append(traffic.agents, state(fmt.Sprintf("worker-%d", index), 1, 1, false))
		traffic.homes = append(traffic.homes, index%len(traffic.nodes))
	}
	return traffic
}

// second runs one second: half of the agents announce themselves, and exchanges are made when they
// are due. It returns the messages and bytes sent by all entries, replies included, and the bytes
// that they would have sent with all own workers in each exchange.
func (traffic *traffic) second() (messages, bytes, full int) {
	for index, state := range traffic.agents {
		if (index+int(traffic.now/1000))%2 == 0 {
			continue
		}
		state.Sequence++
		state.Used.CpuMilli = walk(traffic.random, state.Used.CpuMilli, 200, state.Capacity.CpuMilli)
		state.Used.MemoryMib = walk(traffic.random, state.Used.MemoryMib, 300, state.Capacity.MemoryMib)
		endpoint := state.Endpoint
		endpoint.SlotsUsed = int32(walk(traffic.random, int64(endpoint.SlotsUsed), 1, 8))
		endpoint.ConnectionsUsed = int32(walk(traffic.random, int64(endpoint.ConnectionsUsed), 3, 64))
		endpoint.LatencyMillis = walk(traffic.random, endpoint.LatencyMillis, 1, 200)
		traffic.nodes[traffic.homes[index]].workers.Announce(state, traffic.now)
	}
	for _, sender := range traffic.nodes {
		for _, receiver := range traffic.nodes {
			if sender == receiver || !sender.workers.Due(receiver.id, traffic.now) {
				continue
			}
			request := sender.workers.Delta(receiver.id, traffic.now)
			request.Sender = entryState(sender.id)
			reply := receiver.workers.Exchange(request, traffic.now)
			reply.Receiver = entryState(receiver.id)
			sender.workers.Acknowledge(receiver.id, ident.Sequence(request.GetSequence()), reply, traffic.now)
			messages += 2
			bytes += proto.Size(request) + proto.Size(reply)
			all := &controlpb.ExchangeRequest{Sender: request.GetSender(), Sequence: request.GetSequence(), Full: true}
			for _, worker := range sender.workers.Own() {
				held, _ := sender.workers.Get(worker)
				all.Workers = append(all.Workers, held)
			}
			full += proto.Size(all) + proto.Size(reply)
		}
	}
	traffic.now = traffic.now.Add(clock.Second)
	return messages, bytes, full
}

func entryState(id ident.Entry) *controlpb.EntryState {
	return membership.Entry{
		ID: id, State: membership.Live, Incarnation: 1, ControlAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:8000",
		Region: "flanders", DataCentre: "gent", ConfigVersion: 1000,
	}.Message()
}

// walk moves a value by up to step to either side.
func walk(random *rand.Rand, value, step, limit int64) int64 {
	return min(max(value+random.Int64N(2*step+1)-step, 0), limit)
}

// BenchmarkExchange measures the messages and bytes a second that each entry sends to the others in
// exchanges and replies, without the framing of gRPC. The baseline carries all own workers in each
// exchange. Each iteration is one simulated second; the first full exchanges are not counted.
func BenchmarkExchange(b *testing.B) {
	for _, agents := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			traffic := newTraffic(agents)
			for range 4 {
				traffic.second()
			}
			messages, bytes, full := 0, 0, 0
			for b.Loop() {
				more, size, fullSize := traffic.second()
				messages, bytes, full = messages+more, bytes+size, full+fullSize
			}
			each := float64(b.N) * float64(len(traffic.nodes))
			b.ReportMetric(float64(messages)/each, "messages/s/entry")
			b.ReportMetric(float64(bytes)/each, "B/s/entry")
			b.ReportMetric(float64(bytes)/float64(full), "bytes/baseline")
		})
	}
}
