package interference

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// workerState is the state of one worker.
type workerState struct {
	services map[ident.Service]*serviceState
	// throttles holds the latest throttle request per run, until the worker reports the run as
	// unthrottled again.
	throttles map[run]throttleRequest
	// evictions holds the times of recent evictions, oldest first. MaxEvictions limits those of the last
	// hour.
	evictions []clock.Time
}

// run identifies a run of a task by its epoch. A task that was evicted and placed on the same worker
// again has a new epoch and therefore a new state.
type run struct {
	task  ident.Task
	epoch ident.Epoch
}

// run returns the run of the candidate.
func (candidate Candidate) run() run {
	return run{task: candidate.Task, epoch: candidate.Epoch}
}

// throttleRequest is the latest request to throttle a run. It is repeated if the worker reports another
// throttle.
type throttleRequest struct {
	// percent is the share of processor time.
	percent int
	at      clock.Time
}

// serviceState is the state of one service on one worker. A zero time means never, or that the
// condition doesn't hold.
type serviceState struct {
	// smoothedSlowdown is the exponentially smoothed slowdown of the service, in percent.
	smoothedSlowdown float64
	// smoothedSpareSlots is the exponentially smoothed share of free slots, in percent.
	smoothedSpareSlots float64
	updatedAt          clock.Time
	// aboveSince and belowSince are the times since which the smoothed slowdown is above or below the
	// band around the target.
	aboveSince clock.Time
	belowSince clock.Time
	// lastStepAt is the time of the latest decision to tighten or relax, to evict a task or to cancel its
	// eviction. The next step to tighten or relax follows after DwellMillis at the earliest.
	lastStepAt clock.Time
	// exhaustedSince is the time since which the slowdown is above the band although the tasks that cause
	// it are throttled as far as allowed.
	exhaustedSince clock.Time
	// throttleLevels holds the number of ThrottlePercents steps applied to each throttled run.
	throttleLevels map[run]int
	// evicting is the run that was asked to save a checkpoint and is evicted next, if any.
	evicting run
	// releaseBackoff is the number of times that the release delay was doubled, because the slowdown
	// returned soon after a release.
	releaseBackoff        int
	lastReleaseAt         clock.Time
	checkpointRequestedAt clock.Time
	evictRequestedAt      clock.Time
}

// holdsSince returns the time since which a condition holds, or 0 if it doesn't hold now. Previous is
// the result of the previous call.
func holdsSince(previous clock.Time, holds bool, now clock.Time) clock.Time {
	switch {
	case !holds:
		return 0
	case previous == 0:
		return now
	default:
		return previous
	}
}
