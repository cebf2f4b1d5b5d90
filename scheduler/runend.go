package scheduler

import "hyssopjunction/workflow"

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
	delete(orphans, end.Name)
	if len(orphans) == 0 {
		delete(scheduler.orphans, incarnation)
	}
	scheduler.recordJobEnd(run, end.Cause, end.Saved)
}
