package scheduler

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Parameters of the run times of tasks.
const (
	// minTimedShare is the share of a task that a run must have done for its progress to tell the run time.
	minTimedShare = 0.3
	// minTimedTasks is the number of tasks from which their median tells the run time of a step.
	minTimedTasks = 3
	// maxTimedTasks is the number of run times that are kept for a step. More change the median little.
	maxTimedTasks = 31
)

// taskTime returns how long a task of a step is expected to run at full speed: as long as its siblings, or as the calibrated
// estimate says.
func (scheduler *Scheduler) taskTime(record *jobRecord, position int) clock.Millis {
	step := &record.job.Spec.Steps[position]
	if times := record.taskTimes[position]; len(times) >= min(minTimedTasks, step.Count) {
		return times[len(times)/2]
	}
	return scheduler.calibration.Expected(string(record.job.Spec.Queue), step.Estimate)
}

// taskTimes returns the function that taskTime is for a job.
func (scheduler *Scheduler) taskTimesOf(record *jobRecord) workflow.TimeFunc {
	return func(step int) clock.Millis { return scheduler.taskTime(record, step) }
}

// remainingPath returns how long the steps of an occurrence that are not done are expected to take with the given capacity.
func (scheduler *Scheduler) remainingPath(record *jobRecord, occurrence *workflow.Occurrence, capacity coresByImage) clock.Millis {
	return record.job.RemainingCriticalPath(occurrence, func(step int) clock.Millis {
		slowdown := capacity.expectedSlowdown(&record.job.Spec.Steps[step], occurrence.Unfinished(step))
		return clock.Millis(float64(scheduler.taskTime(record, step)) * slowdown)
	})
}

// runTime returns how long the task of a run is expected to run at full speed where its data is.
func (scheduler *Scheduler) runTime(run *activeRun) clock.Millis {
	if record, ok := scheduler.jobs[run.name.Job]; ok {
		return scheduler.taskTime(record, run.name.Step)
	}
	return run.step.Estimate
}

// objective returns the time within which a job should finish after its acceptance, by the expected times of its tasks.
func (scheduler *Scheduler) objective(record *jobRecord) clock.Millis {
	spec := &record.job.Spec
	return spec.ObjectiveFor(spec.CriticalPathOf(scheduler.taskTimesOf(record)))
}

// timeProgress records the run time of a filling task once its run has done enough of it.
func (scheduler *Scheduler) timeProgress(run *activeRun, percent int) {
	const whole = 100
	share := float64(percent-run.pace.firstPercent) / whole
	if run.timed || !run.step.Fills || share < minTimedShare || run.pace.worked <= 0 {
		return
	}
	scheduler.addTaskTime(run, clock.Millis(run.pace.worked/share/scheduler.bounds.DataFactor(isRemote(run.step, run.worker))))
}

// addTaskTime records the run time of a task once, and that of its step once enough are known.
func (scheduler *Scheduler) addTaskTime(run *activeRun, taken clock.Millis) {
	taken = max(1, taken)
	run.timed = true
	record, ok := scheduler.jobs[run.name.Job]
	if !ok || len(record.taskTimes[run.name.Step]) >= maxTimedTasks {
		return
	}
	if record.taskTimes == nil {
		record.taskTimes = map[int][]clock.Millis{}
	}
	times := record.taskTimes[run.name.Step]
	place, _ := slices.BinarySearch(times, taken)
	times = slices.Insert(times, place, taken)
	record.taskTimes[run.name.Step] = times
	if len(times) == min(minTimedTasks, run.step.Count) {
		scheduler.calibration.Observe(string(record.job.Spec.Queue), run.step.Estimate, times[len(times)/2])
	}
}
