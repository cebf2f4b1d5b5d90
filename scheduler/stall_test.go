package scheduler

import (
	"testing"

	"hyssopjunction/clock"
)

const testReportInterval = 600 * clock.Millisecond

// listAll reports all runs of a worker with the percentage of their progress.
func (fixture *fixture) listAll(incarnation Incarnation, percent int) {
	var progress []Progress
	for _, run := range sortedRuns(fixture.scheduler.workers[incarnation]) {
		progress = append(progress, Progress{Name: run.name, Run: run.number, Percent: percent})
	}
	fixture.scheduler.RecordProgress(incarnation, progress, fixture.now)
}

// stopsAfter plans after a while and returns the number of runs that are stopped.
func (fixture *fixture) stopsAfter(after clock.Millis) int {
	fixture.now = fixture.now.Add(after)
	fixture.scheduler.Plan(fixture.now, 0)
	_, orders := fixture.scheduler.TakeChanges()
	stops := 0
	for _, order := range orders {
		if order.Stop {
			stops++
		}
	}
	return stops
}

// TestSilentWorkerIsNotStalled guards against running tasks that are stopped because their worker's agent, or the leader
// itself, was paused: without reports no run makes progress. A worker whose reports show no progress is still noticed.
func TestSilentWorkerIsNotStalled(t *testing.T) {
	fixture := newFixture(t, 1)
	worker := incarnationName(0)
	fixture.submit("job", oneCoreStep(minStalledRuns))
	assertStartCount(t, fixture.plan(0), minStalledRuns)
	for percent := range 5 {
		fixture.listAll(worker, percent+1)
		if got := fixture.stopsAfter(testReportInterval); got != 0 {
			t.Fatalf("%d runs with progress are stopped", got)
		}
	}
	if got := fixture.stopsAfter(2 * stallTimeout); got != 0 {
		t.Fatalf("%d runs are stopped while their agent is silent", got)
	}
	fixture.listAll(worker, 5) // The worker was paused too, so that its runs stand where they stood.
	if got := fixture.stopsAfter(0); got != 0 {
		t.Fatalf("%d runs are stopped by the first report after a silence", got)
	}
	stopped, resumedAt := 0, fixture.now
	for stopped == 0 && fixture.now.Sub(resumedAt) < 2*stallTimeout {
		stopped = fixture.stopsAfter(testReportInterval)
		fixture.listAll(worker, 5)
	}
	if took := fixture.now.Sub(resumedAt); stopped != minStalledRuns || took > stallTimeout+2*testReportInterval {
		t.Errorf("%d stalled runs are stopped after %s, want %d after %s and two reports", stopped, took, minStalledRuns, stallTimeout)
	}
}

// stoppedWithin reports no progress of all runs of the worker for a time, and returns the number of runs that are stopped.
func (fixture *fixture) stoppedWithin(worker Incarnation, length clock.Millis) int {
	stopped := 0
	for begun := fixture.now; fixture.now.Sub(begun) < length; {
		fixture.listAll(worker, 0)
		stopped += fixture.stopsAfter(testReportInterval)
	}
	return stopped
}

// TestLongRunsAreNotStalled guards against runs that are stopped on a sound worker, each time before their first percent, because a
// percent of a long task takes longer than the time after which runs count as stalled.
func TestLongRunsAreNotStalled(t *testing.T) {
	fixture, worker := newFixture(t, 1), incarnationName(0)
	step := oneCoreStep(2 * minStalledRuns)
	step.Estimate = 20 * clock.Minute
	fixture.submit("job", step)
	assertStartCount(t, fixture.plan(0), step.Count)
	if got := fixture.stoppedWithin(worker, step.Estimate/100); got != 0 {
		t.Errorf("%d runs are stopped before a percent was due", got)
	}
	if got := fixture.stoppedWithin(worker, step.Estimate/10); got == 0 {
		t.Error("no run is stopped although none has made progress for the time of ten percent")
	}
}

// TestThrottledRunOfSilentWorkerStays guards against running tasks that are stopped because the last report of an agent
// that is silent since showed them throttled.
func TestThrottledRunOfSilentWorkerStays(t *testing.T) {
	for name, silence := range map[string]func(scheduler *Scheduler){
		"agent is overdue":  func(scheduler *Scheduler) { scheduler.SetOverdue(incarnationName(0), true) },
		"agent is detached": func(scheduler *Scheduler) { scheduler.SetReachable(incarnationName(0), false) },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 2)
			fixture.submit("job", fillingStep(1, "heavy"))
			starts := fixture.plan(0)
			assertStartCount(t, starts, 1)
			if starts[0].Worker != incarnationName(0) {
				t.Fatalf("placed on %s", starts[0].Worker)
			}
			fixture.scheduler.RecordProgress(starts[0].Worker, []Progress{{Name: starts[0].Name, Run: starts[0].Run, ThrottlePercent: 100}}, fixture.now)
			later := fixture.now.Add(minSlowTime)
			if len(fixture.scheduler.moveCandidates(later)) != 1 {
				t.Fatal("a throttled run of an agent that reports is no candidate for a move")
			}
			silence(fixture.scheduler)
			if len(fixture.scheduler.moveCandidates(later)) != 0 {
				t.Error("the run of a silent agent is a candidate for a move")
			}
		})
	}
}
