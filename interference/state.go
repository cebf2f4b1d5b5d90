package interference

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// governed is the state of one worker.
type governed struct {
	services  map[ident.Service]*watched
	applied   map[run]request
	evictions []clock.Time
}

// run is one placement of a task. A task that was evicted and placed on the same worker again starts
// without state.
type run struct {
	task  ident.Task
	epoch ident.Epoch
}

func (candidate Candidate) run() run {
	return run{task: candidate.Task, epoch: candidate.Epoch}
}

// request is the last throttle asked for, to repeat it if the worker does not follow.
type request struct {
	percent int
	at      clock.Time
}

// watched is the state for one service target on one worker.
type watched struct {
	smoothed float64
	// spare is the smoothed share of free slots in percent.
	spare   float64
	seen    clock.Time
	aboveAt clock.Time
	belowAt clock.Time
	stepAt  clock.Time
	// deepAt is since when throttling is exhausted and the slowdown still above.
	deepAt clock.Time
	// levels is the index of the next throttle step per chosen task.
	levels map[run]int
	// leaving is the task that was asked to checkpoint before its eviction.
	leaving run
	// backoff counts the releases that the slowdown followed, and relaxedAt is the last release.
	backoff   int
	relaxedAt clock.Time
	leavingAt clock.Time
	evictedAt clock.Time
}

// since returns the time from which a condition holds, or 0 if it does not hold.
func since(start clock.Time, holds bool, now clock.Time) clock.Time {
	switch {
	case !holds:
		return 0
	case start == 0:
		return now
	default:
		return start
	}
}
