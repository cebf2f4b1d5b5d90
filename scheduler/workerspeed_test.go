package scheduler

import (
	"math"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// reportFilling reports the filling runs of the only worker, each with its progress in percent.
func (fixture *fixture) reportFilling(percents ...int) {
	fixture.t.Helper()
	fixture.now = fixture.now.Add(500 * clock.Millisecond)
	var progress []Progress
	for index, run := range sortedRuns(fixture.scheduler.workers[incarnationName(0)]) {
		progress = append(progress, Progress{Name: run.name, Run: run.number, Percent: percents[index]})
	}
	fixture.scheduler.RecordProgress(incarnationName(0), progress, fixture.now)
}

// TestWorkerSpeed guards against a worker that counts as slow because of one long task, a slow worker that counts as usual,
// and one that is avoided for good although it recovered.
func TestWorkerSpeed(t *testing.T) {
	for name, test := range map[string]struct {
		after [3]int // Progress after 0.5 s of tasks that take 1 s on a usual worker.
		want  float64
	}{
		"usual":         {[3]int{50, 48, 52}, 1},
		"one long task": {[3]int{50, 7, 50}, 1},
		"slow":          {[3]int{15, 17, 16}, 0.32},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 1)
			fixture.submit("filling", fillingStep(3, "light"))
			assertStartCount(t, fixture.plan(0), 3)
			worker := fixture.scheduler.workers[incarnationName(0)]
			fixture.reportFilling(0, 0, 0)
			fixture.reportFilling(test.after[:]...)
			assertSpeed(t, worker.speedFor(true, fixture.now), test.want)
			for _, run := range sortedRuns(worker) {
				fixture.scheduler.RecordEnd(worker.Incarnation, End{Name: run.name, Run: run.number, Cause: workflow.Finished}, fixture.now)
			}
			assertSpeed(t, worker.speedFor(true, fixture.now.Add(5*speedMemory)), 1)
		})
	}
}

func assertSpeed(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.03 {
		t.Errorf("speed is %.2f, want %.2f", got, want)
	}
}
