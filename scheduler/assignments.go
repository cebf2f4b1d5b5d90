package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// Assignments sums up decisions on where tasks go, for the log and the counters of the leader.
type Assignments struct {
	// RackWaits is the number of tasks that began to wait for the rack that holds their data, and RemoteRuns that of runs
	// placed outside it because it has no room. LongestRackWait is the longest time that a task is expected to wait in all.
	RackWaits       int
	RemoteRuns      int
	LongestRackWait clock.Millis
	hotRacks        set.Set[string]
	// Rounds is the number of joint assignments of filling tasks, Placed that of the runs that they placed, and Unplaced that
	// of groups of equal tasks of which some found no worker, counted in each round.
	Rounds   int
	Placed   int
	Unplaced int
	// DemandAge is the highest age of the demand by image that was used.
	DemandAge clock.Millis
	// Moves is the number of filling runs that were stopped to run elsewhere, Gain the sum of the times by which their tasks
	// are expected to end sooner, and NoGain the number of slow runs for which no worker was worth a move, in each round.
	Moves  int
	Gain   clock.Millis
	NoGain int
	// MoveList describes the first maxListedMoves moves.
	MoveList []MoveDecision
}

// maxListedMoves bounds the moves in a log line.
const maxListedMoves = 4

// MoveDecision is a move of a filling task with its expected gain.
type MoveDecision struct {
	Task       string
	From, To   Incarnation
	GainMillis int64
	// Percent is the progress of the run, SavedPercent that of its checkpoint, and SpeedPercent its speed.
	Percent, SavedPercent, SpeedPercent int
	// ReportAgeMillis is the age of the report with these figures.
	ReportAgeMillis int64
}

// addMove records a move.
func (assignments *Assignments) addMove(candidate moveCandidate, target Incarnation, gain clock.Millis, now clock.Time) {
	assignments.Moves++
	assignments.Gain += gain
	if len(assignments.MoveList) < maxListedMoves {
		assignments.MoveList = append(assignments.MoveList, MoveDecision{
			Task: candidate.name.String(), From: candidate.worker.Incarnation, To: target, GainMillis: int64(gain),
			Percent: int(100 * candidate.course.Done), SavedPercent: int(100 * candidate.course.Saved), SpeedPercent: int(100 * candidate.course.Speed),
			ReportAgeMillis: int64(now.Sub(candidate.activeRun.course.reportedAt)),
		})
	}
}

func newAssignments() Assignments { return Assignments{hotRacks: set.New[string]()} }

// maxListedRacks bounds the racks in a log line, because callers choose their names.
const maxListedRacks = 8

// HotRacks returns up to maxListedRacks racks that had no room for a task whose data they hold.
func (assignments Assignments) HotRacks() []string {
	racks := set.Sorted(assignments.hotRacks)
	return racks[:min(len(racks), maxListedRacks)]
}

// IsEmpty reports whether there was no decision.
func (assignments Assignments) IsEmpty() bool {
	return assignments.RackWaits == 0 && assignments.RemoteRuns == 0 && assignments.Rounds == 0 && assignments.Moves == 0
}

// TakeAssignments returns and resets the summary.
func (scheduler *Scheduler) TakeAssignments() Assignments {
	taken := scheduler.assignments
	scheduler.assignments = newAssignments()
	return taken
}
