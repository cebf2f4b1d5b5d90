package scheduler

import (
	"hyssopjunction/pacing"
	"hyssopjunction/workflow"
)

// setStartUrgency sets the urgency of a run that is being placed. It is called for each placed run.
func (scheduler *Scheduler) setStartUrgency(record *jobRecord, run *activeRun) {
	if run.step.Fills && !record.isCommitted() {
		run.urgency = pacing.Background
	}
}

// RunUrgency is the urgency of a filling run.
type RunUrgency struct {
	Name    workflow.Name
	Run     workflow.Run
	Urgency pacing.Urgency
}

// Urgencies returns the urgencies of the filling runs on the incarnation, in no particular order.
func (scheduler *Scheduler) Urgencies(incarnation Incarnation) []RunUrgency {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return nil
	}
	var list []RunUrgency
	for _, run := range worker.runs {
		if run.step.Fills && !run.stopping {
			list = append(list, RunUrgency{Name: run.name, Run: run.number, Urgency: run.urgency})
		}
	}
	return list
}
