package membership

import (
	"math/bits"

	"hyssopjunction/controlpb"

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

// same reports whether two summaries differ in nothing but the sequence number.
func same(told, summary *controlpb.WorkerState) bool {
	sequence := told.Sequence
	defer func() { told.Sequence = sequence }()
	told.Sequence = summary.GetSequence()
	return proto.Equal(told, summary)
}
