package membership

import (
	"math/bits"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"

	"google.golang.org/protobuf/proto"
)

// usedSteps is the number of steps in which exchanges tell the used part of a worker's capacity.
// Finer steps make each small change of usage a message to all entries.
const usedSteps = 16

// summarise returns the state that exchanges carry: loads are coarse, so that small changes cause no
// message, and a leaving mark is included.
func summarise(known *record) *controlpb.WorkerState {
	summary := proto.CloneOf(known.state)
	summary.AgeMillis = 0
	// Only the home uses it.
	summary.LoadPercent = 0
	if used, capacity := summary.GetUsed(), summary.GetCapacity(); used != nil {
		used.CpuMilli = coarse(used.GetCpuMilli(), capacity.GetCpuMilli())
		used.MemoryMib = coarse(used.GetMemoryMib(), capacity.GetMemoryMib())
	}
	if endpoint := summary.GetEndpoint(); endpoint != nil {
		endpoint.AgeMillis = 0
		endpoint.Leaving = endpoint.GetLeaving() || known.leaving != "" && known.leaving == endpoint.GetEndpoint()
		endpoint.SlotsUsed = int32(coarseUp(int64(endpoint.GetSlotsUsed()), int64(endpoint.GetSlots()), 4))
		endpoint.ConnectionsUsed = int32(coarseUp(int64(endpoint.GetConnectionsUsed()), int64(endpoint.GetConnections()), 8))
		endpoint.Queue = power(endpoint.GetQueue())
		endpoint.LatencyMillis = int64(power(int32(min(endpoint.GetLatencyMillis(), 1<<30))))
		endpoint.SlowdownPercent = (endpoint.GetSlowdownPercent() + 12) / 25 * 25
	}
	return summary
}

// coarse rounds used up to the next step of capacity.
func coarse(used, capacity int64) int64 {
	return coarseUp(used, capacity, usedSteps)
}

func coarseUp(used, capacity, steps int64) int64 {
	step := max(capacity/steps, 1)
	return min((used+step-1)/step*step, max(capacity, used))
}

// power rounds up to a power of two.
func power(value int32) int32 {
	if value <= 1 {
		return max(value, 0)
	}
	return 1 << bits.Len32(uint32(value-1))
}

// sameStructure reports whether two summaries differ in nothing but the load and the sequence
// number.
func sameStructure(told, summary *controlpb.WorkerState) bool {
	return proto.Equal(withLoad(told, summary), summary)
}

// sameLoad reports whether two summaries have the same load.
func sameLoad(told, summary *controlpb.WorkerState) bool {
	left, right := loadOf(told), loadOf(summary)
	left.Sequence = right.Sequence
	return proto.Equal(left, right)
}

// SameStructure reports whether two announced states differ in nothing but the load and the sequence
// number, so that the home needs only the load of the second.
func SameStructure(held, state *controlpb.WorkerState) bool {
	return sameStructure(held, state)
}

// LoadOf returns the state without the fields that a home that holds the same structure knows.
func LoadOf(state *controlpb.WorkerState) *controlpb.WorkerState {
	return loadOf(state)
}

// Restore returns the whole state of an announcement that may hold only the load. It returns false if
// the rest is not known here.
func (workers *Workers) Restore(state *controlpb.WorkerState) (*controlpb.WorkerState, bool) {
	if !isLoad(state) {
		return state, true
	}
	held, have := workers.records[ident.Worker(state.GetWorker())]
	if !have || held.home != workers.self || held.state.GetIncarnation() != state.GetIncarnation() {
		return nil, false
	}
	return withLoad(held.state, state), true
}

// loadOf returns the state without the fields that a receiver of the same incarnation knows. Having
// no agent address marks it.
func loadOf(state *controlpb.WorkerState) *controlpb.WorkerState {
	load := &controlpb.WorkerState{
		Worker: state.GetWorker(), Incarnation: state.GetIncarnation(), Sequence: state.GetSequence(),
		Used: state.GetUsed(), ConfigVersion: state.GetConfigVersion(), Tasks: state.GetTasks(),
		Classes: state.GetClasses(), LoadPercent: state.GetLoadPercent(),
	}
	if endpoint := state.GetEndpoint(); endpoint != nil {
		load.Endpoint = &controlpb.EndpointState{
			SlotsUsed: endpoint.GetSlotsUsed(), ConnectionsUsed: endpoint.GetConnectionsUsed(), Queue: endpoint.GetQueue(),
			LatencyMillis: endpoint.GetLatencyMillis(), SlowdownPercent: endpoint.GetSlowdownPercent(),
		}
	}
	return load
}

// isLoad reports whether a state holds only the load.
func isLoad(state *controlpb.WorkerState) bool {
	return state.GetAgentAddress() == ""
}

// withLoad returns the state with the load, sequence number and ages of another one.
func withLoad(state, load *controlpb.WorkerState) *controlpb.WorkerState {
	merged := proto.CloneOf(state)
	merged.Sequence, merged.AgeMillis = load.GetSequence(), load.GetAgeMillis()
	merged.Used, merged.ConfigVersion, merged.Tasks = load.GetUsed(), load.GetConfigVersion(), load.GetTasks()
	merged.LoadPercent = load.GetLoadPercent()
	// Entries of the previous version send loads without classes.
	if len(load.GetClasses()) > 0 || load.GetTasks() == 0 {
		merged.Classes = load.GetClasses()
	}
	if endpoint, from := merged.GetEndpoint(), load.GetEndpoint(); endpoint != nil && from != nil {
		endpoint.SlotsUsed, endpoint.ConnectionsUsed, endpoint.Queue = from.GetSlotsUsed(), from.GetConnectionsUsed(), from.GetQueue()
		endpoint.LatencyMillis, endpoint.SlowdownPercent = from.GetLatencyMillis(), from.GetSlowdownPercent()
		endpoint.AgeMillis = from.GetAgeMillis()
	}
	return merged
}
