package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// Summary returns the state, the queue and the service of a job, or empty strings if it does not exist.
func (scheduler *Scheduler) Summary(id workflow.ID) (workflow.State, workflow.Queue, workflow.Service) {
	record, ok := scheduler.jobs[id]
	if !ok {
		return "", "", ""
	}
	return record.job.State, record.job.Spec.Queue, record.job.Spec.Service
}

// BusyNodes returns the nodes whose worker has active runs, including workers that have not been reported.
func (scheduler *Scheduler) BusyNodes() []string {
	nodes := set.New[string]()
	for incarnation, worker := range scheduler.workers {
		if len(worker.runs) > 0 {
			nodes.Add(incarnation.Node())
		}
	}
	for incarnation := range scheduler.orphans {
		nodes.Add(incarnation.Node())
	}
	nodes.Remove("")
	return set.Sorted(nodes)
}

// OpenJobCount returns the number of jobs whose state is not final.
func (scheduler *Scheduler) OpenJobCount() int { return len(scheduler.open) }

// State returns the state of a job and whether it exists.
func (scheduler *Scheduler) State(id workflow.ID) (workflow.State, bool) {
	record, ok := scheduler.jobs[id]
	if !ok {
		return "", false
	}
	return record.job.State, true
}

// PendingJobCount returns the number of open jobs of the queue of which no task has started on a worker, whether it was placed
// or not.
func (scheduler *Scheduler) PendingJobCount(queue workflow.Queue) int {
	count := 0
	for _, record := range scheduler.open {
		if record.job.Spec.Queue == queue && !record.hasStarted {
			count++
		}
	}
	return count
}

// WaitingCounts counts the tasks that are ready and have no run, by rank. Late includes those of jobs that are
// past worthlessFactor times their objective.
type WaitingCounts struct {
	Quick, Standing, Filling, Late int
}

// Waiting returns the counts of the tasks that wait at a time.
func (scheduler *Scheduler) Waiting(now clock.Time) WaitingCounts {
	var counts WaitingCounts
	for _, item := range scheduler.candidates(now) {
		switch item.rank {
		case rankQuick:
			counts.Quick += len(item.indices)
		case rankStanding:
			counts.Standing += len(item.indices)
		case rankFilling:
			counts.Filling += len(item.indices)
		default:
			counts.Late += len(item.indices)
		}
	}
	return counts
}

// HasWorker reports whether the incarnation was reported, or has runs of restored jobs, and was not removed since.
func (scheduler *Scheduler) HasWorker(incarnation Incarnation) bool {
	_, reported := scheduler.workers[incarnation]
	_, restored := scheduler.orphans[incarnation]
	return reported || restored
}
