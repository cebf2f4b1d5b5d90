package scheduler

import (
	"fmt"
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/workflow"
)

// TestExplainWaitingJob guards against an explanation that hides why tasks wait: full and draining workers, and steps that
// wait for others, while a job has run on some workers.
func TestExplainWaitingJob(t *testing.T) {
	fixture := newFixture(t, 3)
	fixture.scheduler.UpdateWorker(Profile{Incarnation: incarnationName(2), Service: testService, Draining: true}, fixture.now)
	filling, last := oneCoreStep(90), oneCoreStep(1)
	filling.Need.Memory, filling.Fills, filling.Image = 3000, true, "image"
	last.After = []int{0}
	fixture.submit("job", filling, last)
	starts := fixture.plan(0)
	if len(starts) == 0 || len(starts) >= 90 {
		t.Fatalf("%d starts, want some", len(starts))
	}
	run := starts[0]
	fixture.scheduler.RecordProgress(run.Worker, []Progress{{Name: run.Name, Run: run.Run, Percent: 20, ThrottlePercent: 40}}, fixture.now)
	job, ok := fixture.scheduler.Explain("job", fixture.now.Add(10))
	if !ok || len(job.Waiting) != 2 || job.RunCount != len(starts) || len(job.Runs) != min(job.RunCount, explanation.MaxRuns) {
		t.Fatalf("got %v, %+v", ok, job)
	}
	if job.Rank != "filling" && job.Rank != "late" || job.ExpectedEnd <= job.Age || job.Objective == 0 {
		t.Errorf("got %+v", job)
	}
	first := job.Waiting[0]
	if first.Tasks != 90-len(starts) || first.Position != 1 || !strings.Contains(first.Reason, "1 workers: drain") || !strings.Contains(first.Reason, "2 workers: ") {
		t.Errorf("got %+v", first)
	}
	if job.Waiting[1].Reason != "waits for the steps [0]" {
		t.Errorf("got %+v", job.Waiting[1])
	}
	found := false
	for _, item := range job.Runs {
		found = found || item.Task == run.Name.String() && item.Pace == 60 && item.Worker == string(run.Worker) && item.ReportAge == 10
	}
	if !found {
		t.Errorf("no run %v with its pace in %+v", run.Name, job.Runs)
	}
	if len(job.Decisions) != 1 || job.Decisions[0].Kind != explanation.Placed || job.Decisions[0].Count != len(starts) {
		t.Errorf("got the decisions %+v", job.Decisions)
	}
	fixture.scheduler.Cancel("job")
	if _, ok := fixture.scheduler.Explain("job", fixture.now); ok {
		t.Error("a job that ended is explained as open")
	}
}

// TestExplainKeepsLatestDecisions guards against a list of decisions that grows with a job that fails again and again, and
// against one that loses the newest.
func TestExplainKeepsLatestDecisions(t *testing.T) {
	record := &jobRecord{job: workflow.New(workflow.Spec{ID: "job"})}
	for number := range 100 {
		record.recordDecision(explanation.Failed, fmt.Sprint(number), clock.Time(clock.Millis(number+1)*decisionJoinTime))
	}
	if len(record.decisions) != explanation.MaxDecisions || record.decisions[7].Detail != "99" || record.decisions[0].Detail != "92" {
		t.Errorf("got %+v", record.decisions)
	}
}
