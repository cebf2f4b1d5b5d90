package scheduler

import (
	"hyssopjunction/workflow"
)

// stopSuperseded stops the runs of a task that are active although the task is done. A run whose worker is unknown is
// stopped once the worker is reported.
func (scheduler *Scheduler) stopSuperseded(job *workflow.Job, name workflow.Name) {
	for _, superseded := range job.Superseded {
		if superseded.Name != name {
			continue
		}
		if worker, ok := scheduler.workers[Incarnation(superseded.Worker)]; ok {
			if run, ok := worker.runs[name]; ok && run.number == superseded.Run {
				scheduler.stopRun(run)
			}
		}
	}
}

// otherRun returns the other active run of a task that has two, or nil. It is nil too if its worker is unknown.
func (scheduler *Scheduler) otherRun(run *activeRun) *activeRun {
	task := run.job.Task(run.name)
	if task == nil || task.Other.Run == 0 {
		return nil
	}
	for _, other := range task.ActiveRuns() {
		if worker, ok := scheduler.workers[Incarnation(other.Worker)]; ok && other.Run != run.number {
			return worker.runs[run.name]
		}
	}
	return nil
}

// isAhead reports whether no other run of the task has made more progress, so that the checkpoint of the run is the one
// to resume from.
func (scheduler *Scheduler) isAhead(run *activeRun) bool {
	other := scheduler.otherRun(run)
	return other == nil || run.progressPercent >= other.progressPercent
}
