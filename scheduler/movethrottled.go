package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Parameters of moving throttled filling runs.
const (
	// throttledPercent is the throttling from which a run may be moved.
	throttledPercent = 65
	// minThrottledTime is how long the throttling must last before the run is moved: more than one listing, so that
	// short load peaks move little. A job is late with its slowest task, and wide steps always have a throttled one.
	minThrottledTime = 700 * clock.Millisecond
	// moveInterval is the time between two rounds of moves. The effect of a round shows in the samples after
	// about a second.
	moveInterval = 600 * clock.Millisecond
	// workersPerThrottledMove is the number of workers for each run that a round stops, and minMovesPerRound the number
	// of runs on few workers.
	workersPerThrottledMove = 6
	minMovesPerRound        = 4
	// minMoveSpeed is the share of its full speed that a run must be expected to reach on another worker.
	minMoveSpeed = 0.8
	// maxLostProgressPercent is the progress above which a run without checkpoints is not moved, because it
	// would start over.
	maxLostProgressPercent = 15
)

// moveThrottled stops heavily throttled filling runs if another worker has room for them and lets them run
// at minMoveSpeed or faster. Their tasks wait to be placed again and resume from their checkpoints.
func (scheduler *Scheduler) moveThrottled(now clock.Time) {
	if now.Sub(scheduler.movedAt) < moveInterval {
		return
	}
	scheduler.movedAt = now
	moveCount, moveLimit := 0, max(minMovesPerRound, len(scheduler.workers)/workersPerThrottledMove)
	var reservations []*activeRun
	for _, incarnation := range scheduler.sortedWorkers() {
		for _, run := range sortedRuns(scheduler.workers[incarnation]) {
			if moveCount >= moveLimit {
				break
			}
			if !scheduler.isMovable(run, now) {
				continue
			}
			record := scheduler.jobs[run.name.Job]
			worker := scheduler.chooseWorker(record, run.step, run.name, false, minFillingSpeed, now)
			if worker == nil || worker == run.worker || scheduler.expectedSpeed(run.step, worker, now) < minMoveSpeed {
				continue
			}
			// The room stays reserved while the other moves of the round are considered.
			reservation := &activeRun{name: run.name, job: run.job, step: run.step, worker: worker}
			if _, ok := worker.runs[run.name]; ok {
				continue
			}
			worker.add(reservation)
			reservations = append(reservations, reservation)
			scheduler.stopRun(run)
			moveCount++
		}
	}
	for _, reservation := range reservations {
		reservation.worker.remove(reservation)
	}
}

// isMovable reports whether a filling run has been throttled for long enough and would lose little progress.
func (scheduler *Scheduler) isMovable(run *activeRun, now clock.Time) bool {
	if !run.worker.reachable || run.worker.overdue {
		return false // It may not be throttled any more.
	}
	return run.step.Fills && !run.stopping && run.throttledSince != 0 && now.Sub(run.throttledSince) >= minThrottledTime &&
		(run.step.Checkpoints || run.progressPercent <= maxLostProgressPercent)
}

// isMostlyUnreserved reports whether less than half of the CPU capacity of a service is reserved.
func (scheduler *Scheduler) isMostlyUnreserved(service workflow.Service) bool {
	reservedCPU, totalCPU := int64(0), int64(0)
	for _, worker := range scheduler.workers {
		if worker.Service == service && worker.reachable {
			reservedCPU += int64(worker.reserved.CPU)
			totalCPU += int64(worker.Capacity.CPU)
		}
	}
	return 2*reservedCPU < totalCPU
}
