package coordinator

import (
	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

// assignmentsLogInterval is the time between two log lines about assignments, so that the volume does not grow with the
// load. Rounds are at least minRoundPause apart.
const assignmentsLogInterval = 500 * clock.Millisecond

// assignmentCounters are the metrics of package assignment.
type assignmentCounters struct {
	rackWaits, remoteRuns      *metrics.Counter
	placedRuns, unplacedGroups *metrics.Counter
	moves, movesWithoutGain    *metrics.Counter
}

func newAssignmentCounters() assignmentCounters {
	return assignmentCounters{
		moves:            metrics.GetOrCreateCounter("hyssopjunction_assignment_moves_total"),
		movesWithoutGain: metrics.GetOrCreateCounter("hyssopjunction_assignment_moves_without_gain_total"),
		placedRuns:       metrics.GetOrCreateCounter("hyssopjunction_assignment_placed_runs_total"),
		unplacedGroups:   metrics.GetOrCreateCounter("hyssopjunction_assignment_unplaced_groups_total"),
		rackWaits:        metrics.GetOrCreateCounter("hyssopjunction_assignment_rack_waits_total"),
		remoteRuns:       metrics.GetOrCreateCounter("hyssopjunction_assignment_remote_runs_total"),
	}
}

// reportAssignments logs and counts the decisions on where tasks go, at most once per assignmentsLogInterval.
func (coordinator *Coordinator) reportAssignments(now clock.Time) {
	if now.Sub(coordinator.assignmentsLoggedAt) < assignmentsLogInterval {
		return
	}
	since := now.Sub(coordinator.assignmentsLoggedAt)
	coordinator.assignmentsLoggedAt = now
	taken := coordinator.scheduler.TakeAssignments()
	if taken.IsEmpty() {
		return
	}
	coordinator.counters.assignment.rackWaits.Add(taken.RackWaits)
	coordinator.counters.assignment.remoteRuns.Add(taken.RemoteRuns)
	coordinator.counters.assignment.placedRuns.Add(taken.Placed)
	coordinator.counters.assignment.unplacedGroups.Add(taken.Unplaced)
	coordinator.counters.assignment.moves.Add(taken.Moves)
	coordinator.counters.assignment.movesWithoutGain.Add(taken.NoGain)
	klog.InfoS("Assignments", "SinceMillis", int64(since), "RackWaits", taken.RackWaits, "LongestRackWaitMillis", int64(taken.LongestRackWait),
		"RemoteRuns", taken.RemoteRuns, "HotRacks", taken.HotRacks(),
		"Rounds", taken.Rounds, "Placed", taken.Placed, "UnplacedGroups", taken.Unplaced, "DemandAgeMillis", int64(taken.DemandAge), "Moves", taken.Moves, "MovesWithoutGain", taken.NoGain,
		"GainMillis", int64(taken.Gain), "MoveList", taken.MoveList)
}
