package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Thresholds of worker health.
const (
	// quarantineFailures is the number of different jobs that must fail on a worker, without a success in
	// between, before it is quarantined. At most 5 percent of the runs fail through their own fault, so a
	// healthy worker reaches it once in 8,000 runs.
	quarantineFailures = 3
	// firstQuarantine is the length of the first quarantine. It doubles with each further one, up to
	// maxQuarantine. Worker faults last 4 to 8 s.
	firstQuarantine = 2 * clock.Second
	maxQuarantine   = 8 * clock.Second
	// refusalDelay is how long a worker gets no new runs after it refused a start. The next listing, within
	// half a second, corrects the scheduler's view of the worker.
	refusalDelay = 500 * clock.Millisecond
	// stallTimeout is the shortest time without progress after which a run counts as stalled. Progress is reported
	// about once a second in whole percent; a task of 20 s advances by 5 percent per second.
	stallTimeout = 2500 * clock.Millisecond
	// stallPercents is the number of percent that must have been due by then. Runs take a few times their estimate on slow
	// workers and away from their data.
	stallPercents = 4
	// maxListingGap is the time between two reports of a worker's runs from which the progress of the runs counts anew:
	// the worker, its agent or the leader was paused. It is two report intervals.
	maxListingGap = 1200 * clock.Millisecond
	// maxStallThrottlePercent is the throttling above which a run is not expected to make progress.
	maxStallThrottlePercent = 60
	// minStalledRuns is the number of stalled runs that quarantines a worker without any progress.
	minStalledRuns = 2
)

// health quarantines a worker whose runs fail. A quarantine is followed by probation, which lasts until a
// run finishes.
type health struct {
	failedJobs       map[workflow.ID]struct{}
	quarantinedUntil clock.Time
	quarantineLength clock.Millis
	// probation limits the worker to one trial run at a time, beside standing tasks.
	probation bool
}

// recordFinished ends probation and discards earlier failures.
func (health *health) recordFinished() {
	health.failedJobs, health.probation, health.quarantineLength = nil, false, 0
}

// recordFailure records a failed run of a job and reports whether it quarantined the worker.
func (health *health) recordFailure(id workflow.ID, now clock.Time) bool {
	if health.failedJobs == nil {
		health.failedJobs = map[workflow.ID]struct{}{}
	}
	health.failedJobs[id] = struct{}{}
	if health.probation || len(health.failedJobs) >= quarantineFailures {
		health.quarantine(now)
		return true
	}
	return false
}

// quarantine starts a quarantine, which is followed by probation.
func (health *health) quarantine(now clock.Time) {
	health.quarantineLength = min(max(firstQuarantine, 2*health.quarantineLength), maxQuarantine)
	health.quarantinedUntil, health.probation, health.failedJobs = now.Add(health.quarantineLength), true, nil
}

// acceptsRuns reports whether the worker may get another run of a task that ends. While tasks are tried on it that may crash it, it gets
// no other ones. On probation it may have one trial run that was placed after the quarantine.
func (worker *workerState) acceptsRuns(now clock.Time) bool {
	return worker.acceptsStanding(now) && !worker.hasTrialRun()
}

// acceptsStanding reports whether the worker may get another run of a standing task. Such runs do not count as trials, because they do
// not end, and do not wait for the end of one: that may take as long as any task.
func (worker *workerState) acceptsStanding(now clock.Time) bool {
	return !worker.isReserved && !now.Before(worker.trialUntil) && worker.isInService(now)
}

// isInService reports whether the worker is neither quarantined nor blocked.
func (worker *workerState) isInService(now clock.Time) bool {
	return !now.Before(worker.health.quarantinedUntil) && !now.Before(worker.refusalDelayEnd) && !now.Before(worker.blockedUntil)
}

// hasTrialRun reports whether a worker on probation has its trial run.
func (worker *workerState) hasTrialRun() bool {
	if !worker.health.probation {
		return false
	}
	for _, run := range worker.runs {
		if !run.step.Standing && !run.placedAt.Before(worker.health.quarantinedUntil) {
			return true
		}
	}
	return false
}
