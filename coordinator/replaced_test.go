package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// restoreTask adds a job with a task that ends by itself and runs on testWorker.
func (coordinator *Coordinator) restoreTask(step workflow.Step) *workflow.Job {
	step.Count, step.Need = 1, unit.Resources{CPU: 1000, Memory: 1000}
	job := workflow.New(workflow.Spec{ID: testJob, Queue: "queue", Service: "desk", Steps: []workflow.Step{step}})
	job.AddDueOccurrences(0)
	name := workflow.Name{Job: job.Spec.ID}
	job.Place(name, job.NextRun(name), string(testWorker))
	coordinator.scheduler.Restore(job, coordinator.startedAt)
	return job
}

// reportFinished opens a session of a new process of the agent, which reports that the first run has finished, and returns the highest
// LapseBefore that the leader sends.
func (coordinator *Coordinator) reportFinished() int64 {
	agent, report := newTestSession("side-1"), newWorkerReport()
	coordinator.sessions[agent.node] = agent
	report.Ends = []session.End{{Number: 4, Task: workflow.Name{Job: testJob}.String(), Run: 1, Cause: workflow.Finished}}
	coordinator.handleReport(agent, report)
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	highest := int64(0)
	for _, orders := range agent.takeMessages() {
		highest = max(highest, orders.LapseBefore)
	}
	return highest
}

// TestFinishedRunThatWasReplaced guards against a task that runs again although its worker is told that the end of its first run is
// stored: the leader had taken the worker's lease for lapsed, which went on because the machine was suspended, and the agent was
// restarted meanwhile.
func TestFinishedRunThatWasReplaced(t *testing.T) {
	cases := map[string]struct {
		step   workflow.Step
		before func(coordinator *Coordinator, source *clock.Fake, job *workflow.Job)
		want   int64
	}{
		"lapsed, not started again yet": {want: 4, before: func(coordinator *Coordinator, source *clock.Fake, _ *workflow.Job) {
			coordinator.lapsesAfter(t, source)
		}},
		"lapsed and started again": {want: 4, before: func(coordinator *Coordinator, source *clock.Fake, job *workflow.Job) {
			coordinator.lapsesAfter(t, source)
			name := workflow.Name{Job: testJob}
			job.Place(name, job.NextRun(name), "i-2@1@side-2")
		}},
		"no lapse": {before: func(*Coordinator, *clock.Fake, *workflow.Job) {}},
		"end reported before": {before: func(coordinator *Coordinator, _ *clock.Fake, _ *workflow.Job) {
			coordinator.reportFinished()
		}},
		"cancelled": {before: func(coordinator *Coordinator, source *clock.Fake, _ *workflow.Job) {
			coordinator.scheduler.Cancel(testJob)
			coordinator.lapsesAfter(t, source)
		}},
		"task with copies": {step: workflow.Step{Copies: true}, before: func(coordinator *Coordinator, source *clock.Fake, _ *workflow.Job) {
			coordinator.lapsesAfter(t, source)
		}},
		"standing task": {step: workflow.Step{Standing: true}, before: func(coordinator *Coordinator, source *clock.Fake, _ *workflow.Job) {
			coordinator.lapsesAfter(t, source)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t, nil)
			job := coordinator.restoreTask(test.step)
			coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			test.before(coordinator, source, job)
			coordinator.keepLeading(source)
			if got := coordinator.reportFinished(); got != test.want {
				t.Errorf("got LapseBefore %d, want %d", got, test.want)
			}
		})
	}
}
