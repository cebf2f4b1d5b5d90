// Package speculation decides whether an active run gets a copy, a second run of its task of which the first that finishes
// counts (speculative execution). Its functions are pure: state and time in, decisions out.
package speculation

import (
	"hyssopjunction/clock"
)

// Thresholds of evidence.
const (
	// slowFactor and slowMargin give the time from which a run is slow: slowFactor times the median of its finished
	// siblings plus slowMargin. Equal tasks vary by a sixth (0.85 to 1 s), and the end of a run is known up to 200 ms late.
	// The objective of quick jobs is SlackFactor times the critical path plus 250 ms, so a later copy would seldom help.
	slowFactor = 1.3
	slowMargin = 200 * clock.Millisecond
	// startDelay is the time from the decision to the start of a copy: one round of writes and the call to the worker.
	startDelay = 100 * clock.Millisecond
	// maxSiblings is the number of finished siblings whose median is relied on in any step. Half of the tasks suffice in
	// smaller ones.
	maxSiblings = 10
	// stallTime is the time without progress from which a run is doubtful. Progress is reported about once a second.
	stallTime = 2500 * clock.Millisecond
	// maxReportAge is the age of the newest report from which a run without progress or an end says nothing about the run:
	// the leader itself may have stood still. It is that from which an agent counts as overdue.
	maxReportAge = 1200 * clock.Millisecond
	// defaultDuration is the expected duration of a run if neither siblings nor the submitter tell it.
	defaultDuration = clock.Second
)

// Evidence is why a run is expected to end late.
type Evidence int

// Evidence in the order in which it is considered.
const (
	None Evidence = iota
	// Unreachable: the worker accepts no orders, or was not reported since the leader took over.
	Unreachable
	// Overdue: the next report of the worker's agent is missing.
	Overdue
	// Stalled: the run makes no progress.
	Stalled
	// Probation: runs of other jobs failed on the worker, and the run takes longer than expected.
	Probation
	// Slow: the run takes much longer than its finished siblings, and a copy is expected to end before it.
	Slow
)

// AllEvidence holds all evidence but None.
var AllEvidence = []Evidence{Unreachable, Overdue, Stalled, Probation, Slow}

// String returns the name of the evidence for logs and metrics.
func (evidence Evidence) String() string {
	switch evidence {
	case None:
		return "none"
	case Unreachable:
		return "unreachable"
	case Overdue:
		return "overdue"
	case Stalled:
		return "stalled"
	case Probation:
		return "probation"
	case Slow:
		return "slow"
	default:
		return "unknown"
	}
}

// Run is what is known of an active run and its worker.
type Run struct {
	// Elapsed is the time since the run was placed.
	Elapsed clock.Millis
	// Percent is the last reported progress, which was first reported ProgressAge ago. Without progress it is 0, and
	// ProgressAge is the time since the run was placed.
	Percent     int
	ProgressAge clock.Millis
	// ReportAge is the age of the newest report of the worker's active runs.
	ReportAge clock.Millis
	// Unreachable, Overdue and Probation describe the worker.
	Unreachable, Overdue, Probation bool
}

// Step is what is known of the step of a run.
type Step struct {
	// Tasks is the number of its tasks.
	Tasks int
	// Finished is the number of runs whose duration was observed, and Median the median of these.
	Finished int
	Median   clock.Millis
	// Estimate is the submitter's estimate of a task's run time, or 0.
	Estimate clock.Millis
}

// hasMedian reports whether enough siblings have finished to rely on their median.
func (step Step) hasMedian() bool {
	return step.Finished > 0 && step.Finished >= min((step.Tasks+1)/2, maxSiblings)
}

// Duration returns the expected duration of a run of the step.
func (step Step) Duration() clock.Millis {
	switch {
	case step.hasMedian():
		return step.Median
	case step.Estimate > 0:
		return step.Estimate
	default:
		return defaultDuration
	}
}

// Remaining returns the expected time until the run ends. A run without progress is expected to take as long again as it
// has taken.
func (run Run) Remaining() clock.Millis {
	if run.Percent <= 0 {
		return run.Elapsed
	}
	duration := (run.Elapsed - run.ProgressAge) * 100 / clock.Millis(run.Percent)
	return max(0, duration-run.Elapsed)
}

// Assess returns the evidence that a run ends late.
func Assess(run Run, step Step) Evidence {
	switch {
	case run.Unreachable:
		return Unreachable
	case run.Overdue:
		return Overdue
	case run.ReportAge > maxReportAge:
		return None
	case run.ProgressAge >= stallTime:
		return Stalled
	case run.Probation && run.Elapsed > step.Duration():
		return Probation
	case step.hasMedian() && run.Elapsed > clock.Millis(slowFactor*float64(step.Median))+slowMargin && EndsSooner(run, step.Median):
		return Slow
	default:
		return None
	}
}

// EndsSooner reports whether a copy that takes the given time is expected to end before the run.
func EndsSooner(run Run, duration clock.Millis) bool { return run.Remaining() > duration+startDelay }
