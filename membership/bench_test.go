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

// simulation is a group of entries with agents whose loads change, on a simulated clock.
type simulation struct {
	nodes  []*node
	agents []*controlpb.WorkerState
	homes  []int
	random *rand.Rand
	now    clock.Time
}

// newSimulation returns a simulation with one entry for 50 agents, but at least 3 entries.
func newSimulation(agents int) *simulation {
	simulation := &simulation{random: newRandom(1), now: 1000}
	for index := range max(3, agents/50) {
		simulation.nodes = append(simulation.nodes, newNode(ident.Entry(fmt.Sprintf("entry-%d", index))))
	}
	for index := range agents {
		simulation.agents = append(simulation.agents, state(fmt.Sprintf("worker-%d", index), 1, 1, false))
		simulation.homes = append(simulation.homes, index%len(simulation.nodes))
	}
	return simulation
}

// runSecond simulates one second: half of the agents announce themselves, and the exchanges that
// are due are made. It returns the messages and bytes sent by all entries, replies included, and
// the bytes with all own workers in each exchange.
func (simulation *simulation) runSecond() (messages, bytes, fullBytes int) {
	for index, state := range simulation.agents {
		if (index+int(simulation.now/1000))%2 == 0 {
			continue
		}
		state.Sequence++
		state.Used.CpuMilli = walk(simulation.random, state.Used.CpuMilli, 200, state.Capacity.CpuMilli)
		state.Used.MemoryMib = walk(simulation.random, state.Used.MemoryMib, 300, state.Capacity.MemoryMib)
		endpoint := state.Endpoint
		endpoint.SlotsUsed = int32(walk(simulation.random, int64(endpoint.SlotsUsed), 1, 8))
		endpoint.ConnectionsUsed = int32(walk(simulation.random, int64(endpoint.ConnectionsUsed), 3, 64))
		endpoint.LatencyMillis = walk(simulation.random, endpoint.LatencyMillis, 1, 200)
		simulation.nodes[simulation.homes[index]].workers.Announce(state, simulation.now)
	}
	for _, sender := range simulation.nodes {
		for _, receiver := range simulation.nodes {
			if sender == receiver || !sender.workers.Due(receiver.id, simulation.now) {
				continue
			}
			request := sender.workers.NextExchange(receiver.id, simulation.now)
			request.Sender = entryState(sender.id)
			reply := receiver.workers.ApplyExchange(request, simulation.now)
			reply.Receiver = entryState(receiver.id)
			sender.workers.Acknowledge(receiver.id, ident.Sequence(request.GetSequence()), reply, simulation.now)
			messages += 2
			bytes += proto.Size(request) + proto.Size(reply)
			all := &controlpb.ExchangeRequest{Sender: request.GetSender(), Sequence: request.GetSequence(), Full: true}
			for _, worker := range sender.workers.Own() {
				announced, _ := sender.workers.Get(worker)
				all.Workers = append(all.Workers, announced)
			}
			fullBytes += proto.Size(all) + proto.Size(reply)
		}
	}
	simulation.now = simulation.now.Add(clock.Second)
	return messages, bytes, fullBytes
}

func entryState(id ident.Entry) *controlpb.EntryState {
	return membership.Entry{
		ID: id, State: membership.Live, Incarnation: 1, ControlAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:8000",
		Region: "flanders", DataCentre: "gent", ConfigVersion: 1000,
	}.Message()
}

// walk changes a value at random by up to step, within 0 and limit.
func walk(random *rand.Rand, value, step, limit int64) int64 {
	return min(max(value+random.Int64N(2*step+1)-step, 0), limit)
}

// BenchmarkExchange measures the messages and bytes a second that each entry sends in exchanges and
// replies, without the framing of gRPC. The baseline is the size of exchanges that carry all own
// workers. Each iteration is one simulated second; the first full exchanges are not counted.
func BenchmarkExchange(b *testing.B) {
	for _, agents := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			simulation := newSimulation(agents)
			for range 4 {
				simulation.runSecond()
			}
			messages, bytes, fullBytes := 0, 0, 0
			for b.Loop() {
				newMessages, newBytes, newFullBytes := simulation.runSecond()
				messages, bytes, fullBytes = messages+newMessages, bytes+newBytes, fullBytes+newFullBytes
			}
			entrySeconds := float64(b.N) * float64(len(simulation.nodes))
			b.ReportMetric(float64(messages)/entrySeconds, "messages/s/entry")
			b.ReportMetric(float64(bytes)/entrySeconds, "B/s/entry")
			b.ReportMetric(float64(bytes)/float64(fullBytes), "bytes/baseline")
		})
	}
}
