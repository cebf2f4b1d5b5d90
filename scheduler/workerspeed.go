package scheduler

import (
	"math"
	"slices"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/mechanism"
	"hyssopjunction/pacing"
)

// Parameters of the learned speeds of workers.
const (
	// minSpeedRuns is the number of runs from which the median speed of a worker is known. One task in 30 takes several times
	// its estimate, so one or two slow runs say little about their worker.
	minSpeedRuns = 3
	// speedMemory is how long the speed of a finished run counts, and in which a speed without new runs loses most of its
	// weight. Disturbances of workers last 4 to 8 s.
	speedMemory = 8 * clock.Second
	// minObservedPace is the pace in percent below which the progress of a run is too small to be compared with it.
	minObservedPace = 30
	// minSpeedInterval is the shortest time between two reports whose difference is used. Progress is in whole percent.
	minSpeedInterval = 300 * clock.Millisecond
	// minSpeed and maxSpeed bound the speed of a worker.
	minWorkerSpeed = 0.1
	maxWorkerSpeed = 1.25
)

// runCourse is what the reports of a run tell of its speed.
type runCourse struct {
	// pace is the share of its full pace that the agent allowed, the mean of the last two reports.
	pace float64
	// reportedAt is the time of the last report that was used, percent its progress and pacePercent its pace.
	reportedAt  clock.Time
	percent     int
	pacePercent int
	// firstPercent is the progress in the first report, which is above 0 if the run resumed from a checkpoint, and effective
	// the time since then at full pace, where the data is.
	firstPercent int
	effective    float64
	// savedPercent is a progress that the newest checkpoint holds.
	savedPercent int
	// speed is the speed relative to the pace in the last interval, or 0 if it is not known.
	speed float64
}

// finishedSpeed is the speed of a finished run relative to its pace.
type finishedSpeed struct {
	at    clock.Time
	speed float64
}

// workerSpeeds holds the speeds of finished runs of a worker, the oldest first.
type workerSpeeds struct {
	filling  []finishedSpeed
	reserved []finishedSpeed
	// ofFilling and ofReserved are the speeds of filling runs and of those with reserved cores, updated at updatedAt.
	ofFilling, ofReserved learnedSpeed
	updatedAt             clock.Time
}

// observeProgress updates the course of a run from a report, before the report is recorded in the run.
func (scheduler *Scheduler) observeProgress(run *activeRun, item Progress, now clock.Time) {
	course := &run.course
	allowed := pacing.FullPace - item.ThrottlePercent
	if course.reportedAt == 0 {
		course.pace = float64(allowed) / pacing.FullPace
		course.reportedAt, course.percent, course.firstPercent, course.pacePercent = now, item.Percent, item.Percent, allowed
		if task := run.job.Task(run.name); task != nil && task.Saved != "" {
			course.savedPercent = item.Percent
		}
		return
	}
	course.pace = float64(allowed+course.pacePercent) / 2 / pacing.FullPace
	if task := run.job.Task(run.name); task != nil && item.Saved != "" && item.Saved != task.Saved {
		course.savedPercent = (course.percent + item.Percent) / 2 // It was saved between the last two reports.
	}
	interval := now.Sub(course.reportedAt)
	if interval < minSpeedInterval {
		return
	}
	full := float64(interval) * course.pace / scheduler.bounds.DataFactor(isRemote(run.step, run.worker))
	course.effective += full
	if course.pace*pacing.FullPace >= minObservedPace && run.step.Estimate > 0 {
		course.speed = float64(item.Percent-course.percent) / 100 * float64(scheduler.runTime(run)) / full
	}
	course.reportedAt, course.percent, course.pacePercent = now, item.Percent, allowed
}

// observeSpeed keeps the speed of a run that finished.
func (scheduler *Scheduler) observeSpeed(run *activeRun, now clock.Time) {
	speeds := &run.worker.speeds
	switch {
	case run.step.Fills && run.course.speed > 0:
		speeds.filling = append(speeds.filling, finishedSpeed{at: now, speed: run.course.speed})
	case !run.step.Fills && !run.step.Standing && run.step.Estimate > 0:
		factor := scheduler.bounds.DataFactor(isRemote(run.step, run.worker))
		taken := float64(now.Sub(run.placedAt)) - scheduler.racks.overhead
		scheduler.addTaskTime(run, clock.Millis(taken/factor))
		full := float64(scheduler.runTime(run)) * factor
		speeds.reserved = append(speeds.reserved, finishedSpeed{at: now, speed: full / max(taken, full/maxWorkerSpeed)})
	}
}

// speedOf returns the learned speed of a worker, or 1 if workers are not judged by their speed.
func (scheduler *Scheduler) speedOf(worker *workerState, fills bool, now clock.Time) float64 {
	if !scheduler.uses(mechanism.WorkerSpeeds) {
		return 1
	}
	return worker.speedFor(fills, now)
}

// speedFor returns the median speed of a worker's filling runs, or of its runs with reserved cores, relative to their pace.
// Where too few filling runs are known it is that of the others. A speed that is not known any more approaches 1, so that the
// worker is tried again. The result is at most replanInterval old.
func (worker *workerState) speedFor(fills bool, now clock.Time) float64 {
	speeds := &worker.speeds
	if speeds.updatedAt == 0 || now.Sub(speeds.updatedAt) >= replanInterval {
		speeds.updatedAt = now
		speeds.filling, speeds.reserved = dropOldSpeeds(speeds.filling, now), dropOldSpeeds(speeds.reserved, now)
		var values []float64
		for _, finished := range speeds.reserved {
			values = append(values, finished.speed)
		}
		speeds.ofReserved.update(values, now)
		values = values[:0]
		for _, finished := range speeds.filling {
			values = append(values, finished.speed)
		}
		for _, run := range worker.runs {
			if run.step.Fills && run.course.speed > 0 {
				values = append(values, run.course.speed)
			}
		}
		speeds.ofFilling.update(values, now)
	}
	if fills && speeds.ofFilling.at >= speeds.ofReserved.at {
		return speeds.ofFilling.value(now)
	}
	return speeds.ofReserved.value(now)
}

// learnedSpeed is the last known median speed of a worker's runs.
type learnedSpeed struct {
	median float64
	at     clock.Time
}

// update replaces the speed if enough runs are known.
func (learned *learnedSpeed) update(speeds []float64, now clock.Time) {
	if len(speeds) < minSpeedRuns {
		return
	}
	slices.Sort(speeds)
	learned.median, learned.at = min(max(speeds[len(speeds)/2], minWorkerSpeed), maxWorkerSpeed), now
}

// value returns the speed, closer to 1 the older it is.
func (learned learnedSpeed) value(now clock.Time) float64 {
	if learned.at == 0 {
		return 1
	}
	return 1 + (learned.median-1)*math.Exp(-float64(now.Sub(learned.at))/float64(speedMemory))
}

// dropOldSpeeds returns the speeds that still count.
func dropOldSpeeds(speeds []finishedSpeed, now clock.Time) []finishedSpeed {
	for len(speeds) > 0 && now.Sub(speeds[0].at) > speedMemory {
		speeds = speeds[1:]
	}
	return speeds
}

// courseOf returns what is known of a filling run.
func (scheduler *Scheduler) courseOf(run *activeRun, now clock.Time) assignment.Course {
	course := &run.course
	share, speed := float64(course.percent-course.firstPercent)/100, scheduler.speedOf(run.worker, true, now)
	done, saved := float64(course.percent)/100, float64(course.savedPercent)/100
	if run.step.Checkpoints {
		saved = done // A run that is stopped saves its progress.
	}
	return assignment.Course{
		Work: assignment.ExpectedWork(scheduler.runTime(run), clock.Millis(course.effective*speed), share), Done: done, Saved: saved,
		Speed: course.pace * speed / scheduler.bounds.DataFactor(isRemote(run.step, run.worker)),
	}
}
