package membership

import (
	"math/bits"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"

	"google.golang.org/protobuf/proto"
)

// usageSteps is the number of steps of a capacity to which exchanges round usage. With smaller
// steps every small change of usage causes a message to all entries.
const usageSteps = 16

// summarise returns the state that exchanges carry. Loads are rounded, so that small changes cause
// no message, and the mark of a leaving endpoint is included.
func summarise(record *record) *controlpb.WorkerState {
	summary := proto.CloneOf(record.state)
	summary.AgeMillis = 0
	// LoadPercent is used by the home only.
	summary.LoadPercent = 0
	if used, capacity := summary.GetUsed(), summary.GetCapacity(); used != nil {
		used.CpuMilli = roundUsage(used.GetCpuMilli(), capacity.GetCpuMilli())
		used.MemoryMib = roundUsage(used.GetMemoryMib(), capacity.GetMemoryMib())
	}
	if endpoint := summary.GetEndpoint(); endpoint != nil {
		endpoint.AgeMillis = 0
		endpoint.Leaving = endpoint.GetLeaving() || record.leaving != "" && record.leaving == endpoint.GetEndpoint()
		endpoint.SlotsUsed = int32(roundUp(int64(endpoint.GetSlotsUsed()), int64(endpoint.GetSlots()), 4))
		endpoint.ConnectionsUsed = int32(roundUp(int64(endpoint.GetConnectionsUsed()), int64(endpoint.GetConnections()), 8))
		endpoint.Queue = roundUpToPowerOfTwo(endpoint.GetQueue())
		endpoint.LatencyMillis = int64(roundUpToPowerOfTwo(int32(min(endpoint.GetLatencyMillis(), 1<<30))))
		endpoint.SlowdownPercent = (endpoint.GetSlowdownPercent() + 12) / 25 * 25
	}
	return summary
}

// roundUsage rounds used up to the next of usageSteps steps of capacity.
func roundUsage(used, capacity int64) int64 {
	return roundUp(used, capacity, usageSteps)
}

func roundUp(used, capacity, steps int64) int64 {
	step := max(capacity/steps, 1)
	return min((used+step-1)/step*step, max(capacity, used))
}

// roundUpToPowerOfTwo rounds up to the next power of two, and negative values to 0.
func roundUpToPowerOfTwo(value int32) int32 {
	if value <= 1 {
		return max(value, 0)
	}
	return 1 << bits.Len32(uint32(value-1))
}

// sameStructure reports whether two summaries differ only in the load and the sequence number.
func sameStructure(previous, summary *controlpb.WorkerState) bool {
	return proto.Equal(withLoad(previous, summary), summary)
}

// sameLoad reports whether two summaries have the same load, whatever their sequence numbers.
func sameLoad(previous, summary *controlpb.WorkerState) bool {
	left, right := loadOf(previous), loadOf(summary)
	left.Sequence = right.Sequence
	return proto.Equal(left, right)
}

// SameStructure reports whether two announced states differ only in the load and the sequence
// number, so that the second can be sent as its load alone.
func SameStructure(previous, state *controlpb.WorkerState) bool {
	return sameStructure(previous, state)
}

// LoadOf returns only the load of the state, for a home that has the rest of it.
func LoadOf(state *controlpb.WorkerState) *controlpb.WorkerState {
	return loadOf(state)
}

// FillIn returns the full state for an announcement that may hold only the load. It returns false
// if the rest of the state is not stored.
func (workers *Workers) FillIn(state *controlpb.WorkerState) (*controlpb.WorkerState, bool) {
	if !isLoad(state) {
		return state, true
	}
	record, ok := workers.records[ident.Worker(state.GetWorker())]
	if !ok || record.home != workers.self || record.state.GetIncarnation() != state.GetIncarnation() {
		return nil, false
	}
	return withLoad(record.state, state), true
}

// loadOf returns the part of the state that changes with the load. It has no agent address, which
// is how isLoad recognises it.
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

// isLoad reports whether a state consists of the load alone.
func isLoad(state *controlpb.WorkerState) bool {
	return state.GetAgentAddress() == ""
}

// withLoad returns state with the load, sequence number and ages of load.
func withLoad(state, load *controlpb.WorkerState) *controlpb.WorkerState {
	merged := proto.CloneOf(state)
	merged.Sequence, merged.AgeMillis = load.GetSequence(), load.GetAgeMillis()
	merged.Used, merged.ConfigVersion, merged.Tasks = load.GetUsed(), load.GetConfigVersion(), load.GetTasks()
	merged.LoadPercent = load.GetLoadPercent()
	// Entries of the previous software version send loads without classes.
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
