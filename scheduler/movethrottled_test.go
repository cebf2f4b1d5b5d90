package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// TestThrottledRunsOfManyWorkersMove guards against a job of a wide step that waits for a few paused tasks although
// other workers could run them: with 80 workers about 45 tasks were paused at a time, and four of them were moved in
// 0.6 s.
func TestThrottledRunsOfManyWorkersMove(t *testing.T) {
	const workers, paused = 60, 20
	fixture := newFixture(t, workers)
	fixture.learn("serving", "heavy", 0.3)
	serving := servingStep(paused, "serving")
	serving.PerWorker = 1
	fixture.submit("standing", serving)
	fixture.submit("wide", fillingStep(workers, "heavy"))
	fixture.plan(0)
	throttled := 0
	for number := range workers {
		incarnation := incarnationName(number)
		worker := fixture.scheduler.workers[incarnation]
		var progress []Progress
		for _, run := range sortedRuns(worker) {
			item := Progress{Name: run.name, Run: run.number, Sample: 55}
			if run.step.Fills && worker.servingImages["serving"] > 0 {
				item.ThrottlePercent = 100
				throttled++
			}
			progress = append(progress, item)
		}
		fixture.scheduler.RecordProgress(incarnation, progress, fixture.now)
	}
	if throttled == 0 {
		t.Fatal("no filling task shares a worker with a serving task")
	}
	assertMoves(t, fixture, minSlowTime-clock.Millisecond, 0)
	assertMoves(t, fixture, clock.Millisecond, min(throttled, workers/workersPerThrottledMove))
}

// assertMoves plans after a while and checks how many filling runs are stopped.
func assertMoves(t *testing.T, fixture *fixture, after clock.Millis, want int) {
	t.Helper()
	fixture.now = fixture.now.Add(after)
	fixture.scheduler.movedAt = 0
	fixture.scheduler.moveSlow(fixture.now)
	_, orders := fixture.scheduler.TakeChanges()
	stopped := map[workflow.Name]bool{}
	for _, order := range orders {
		if order.Stop {
			stopped[order.Name] = true
		}
	}
	if len(stopped) != want {
		t.Errorf("%d runs are moved, want %d", len(stopped), want)
	}
}
