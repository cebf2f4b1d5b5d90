package scheduler

import (
	"strings"

	"hyssopjunction/workflow"
)

// RunRef identifies a run.
type RunRef struct {
	Name workflow.Name
	Run  workflow.Run
}

// Succeeds reports whether an incarnation may be a later one of the same worker, with the same id on the same node.
func (incarnation Incarnation) Succeeds(earlier Incarnation) bool {
	id, _, _ := strings.Cut(string(incarnation), "@")
	earlierID, _, _ := strings.Cut(string(earlier), "@")
	return incarnation != earlier && id == earlierID && incarnation.Node() == earlier.Node()
}

// InheritRuns passes those runs of an incarnation on to its successor that the successor lists, and returns their number.
// Starts that were sent to the earlier incarnation took effect there. It must be called before the successor is reported with
// UpdateWorker for the first time.
func (scheduler *Scheduler) InheritRuns(earlier, later Incarnation, listed []RunRef) int {
	count := 0
	for _, ref := range listed {
		run, ok := scheduler.orphans[earlier][ref.Name]
		if worker, known := scheduler.workers[earlier]; known {
			run, ok = worker.runs[ref.Name]
		}
		record, hasJob := scheduler.jobs[ref.Name.Job]
		if !ok || !hasJob || run.number != ref.Run || !record.job.MoveRun(ref.Name, ref.Run, string(later)) {
			continue
		}
		if run.worker != nil {
			run.worker.remove(run)
		}
		delete(scheduler.orphans[earlier], ref.Name)
		if scheduler.orphans[later] == nil {
			scheduler.orphans[later] = map[workflow.Name]*activeRun{}
		}
		scheduler.orphans[later][ref.Name] = run
		scheduler.dirtyJobs[ref.Name.Job] = record
		count++
	}
	return count
}
