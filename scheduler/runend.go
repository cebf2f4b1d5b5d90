package scheduler

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/workflow"
)

// IsActive reports whether the run is active on the incarnation, also if the incarnation has not been reported yet.
func (scheduler *Scheduler) IsActive(incarnation Incarnation, name workflow.Name, number workflow.Run) bool {
	if worker, ok := scheduler.workers[incarnation]; ok {
		run, ok := worker.runs[name]
		return ok && run.number == number
	}
	run, ok := scheduler.orphans[incarnation][name]
	return ok && run.number == number
}

// recordOrphanEnd records the end of a run on an incarnation that has not been reported yet.
func (scheduler *Scheduler) recordOrphanEnd(incarnation Incarnation, end End) {
	orphans := scheduler.orphans[incarnation]
	run, ok := orphans[end.Name]
	if !ok || run.number != end.Run {
		return
	}
	if record, ok := scheduler.jobs[end.Name.Job]; ok && end.Cause == workflow.Faulted {
		record.failuresByWorker[incarnation]++
	}
	if end.Cause != workflow.Interrupted {
		scheduler.markStarted(run)
	}
	delete(orphans, end.Name)
	if len(orphans) == 0 {
		delete(scheduler.orphans, incarnation)
	}
	scheduler.recordJobEnd(run, end.Cause, end.Saved)
}

// RecordEnd records the end of a run that the worker reported.
func (scheduler *Scheduler) RecordEnd(incarnation Incarnation, end End, now clock.Time) {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		scheduler.recordOrphanEnd(incarnation, end)
		return
	}
	run, ok := worker.runs[end.Name]
	if !ok || run.number != end.Run {
		return
	}
	scheduler.now = now
	if end.Cause != workflow.Interrupted { // An interrupted run may not have started.
		scheduler.markStarted(run)
	}
	switch end.Cause {
	case workflow.Finished:
		worker.health.recordFinished()
		if !run.restored {
			// An earlier leader placed a restored run, so it is not known how long it took.
			scheduler.observeDuration(run, now)
			scheduler.observeSpeed(run, now)
		}
	case workflow.Faulted:
		if record, ok := scheduler.jobs[end.Name.Job]; ok {
			record.failuresByWorker[incarnation]++
			record.recordDecision(explanation.Failed, fmt.Sprintf("%s on %s", run.name, incarnation), now)
			if run.step.Standing {
				record.recordStandingFailure(run, now)
			}
		}
		if !run.step.Standing {
			worker.health.recordFailure(end.Name.Job, now)
		}
	case workflow.Interrupted:
	}
	scheduler.endRun(run, end.Cause, end.Saved)
}

// IsReplaced reports whether a run that has finished on the worker was given up before its end was known, so that its task has been or
// will be started again. It does not for tasks that may have two runs and for standing ones, which start again in any case.
func (scheduler *Scheduler) IsReplaced(incarnation Incarnation, name workflow.Name, number workflow.Run) bool {
	if worker, ok := scheduler.workers[incarnation]; ok {
		if run, ok := worker.runs[name]; ok && run.number == number {
			return false
		}
	}
	record, ok := scheduler.jobs[name.Job]
	if !ok {
		return false
	}
	task := record.job.Task(name)
	if task == nil {
		return false
	}
	if step := record.job.Spec.Steps[name.Step]; step.Standing || step.MayHaveCopies() {
		return false
	}
	return task.Run > number || task.Phase == workflow.Waiting && !record.job.State.Final()
}

// RecordRejection records that a run was not started on the worker and never will be. If the worker refused the task itself, any
// other one may do so too, so the next start is delayed.
func (scheduler *Scheduler) RecordRejection(incarnation Incarnation, name workflow.Name, number workflow.Run, refusesTask bool, now clock.Time) {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return
	}
	if run, ok := worker.runs[name]; ok && run.number == number {
		if record, ok := scheduler.jobs[name.Job]; ok {
			record.failuresByWorker[incarnation]++
			record.recordDecision(explanation.Rejected, fmt.Sprintf("%s by %s", name, incarnation), now)
			if refusesTask {
				record.delayRestart(name, now)
			}
		}
		worker.refusalDelayEnd = now.Add(refusalDelay)
		scheduler.endRun(run, workflow.Interrupted, "")
	}
}

// endRun removes a run from its worker and records its end in its job.
func (scheduler *Scheduler) endRun(run *activeRun, cause workflow.Cause, saved workflow.Checkpoint) {
	run.worker.remove(run)
	scheduler.model.RemoveRun(run.name.String())
	scheduler.recordJobEnd(run, cause, saved)
}

// recordJobEnd records the end of a run in its job.
func (scheduler *Scheduler) recordJobEnd(run *activeRun, cause workflow.Cause, saved workflow.Checkpoint) {
	scheduler.dirty = true
	scheduler.recordCopyEnd(run, cause)
	record, ok := scheduler.jobs[run.name.Job]
	if !ok {
		return
	}
	record.activeRuns--
	delete(record.runs, run)
	if record.job.State.Final() {
		if record.job.EndRunOfFinalJob(run.name, run.number) {
			scheduler.dirtyJobs[record.job.Spec.ID] = record
		}
		return
	}
	if !scheduler.isAhead(run) {
		saved = ""
	}
	if cause == workflow.Finished && run.isNeeded() {
		scheduler.clearCrashes(record, run.name, scheduler.now)
	}
	if record.job.HasRun(run.name, run.number) {
		record.accountEnd(run, cause, saved, scheduler.now)
	}
	if !record.job.EndRun(run.name, run.number, cause, saved) {
		return
	}
	scheduler.dirtyJobs[record.job.Spec.ID] = record
	if record.job.State.Final() {
		scheduler.closeJob(record)
		return
	}
	record.dropDurations(run.name)
	scheduler.stopSuperseded(record.job, run.name)
}
