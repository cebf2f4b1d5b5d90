package scheduler

import (
	"math"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// servingStep returns a step of standing tasks of an image with a target.
func servingStep(count int, image string) workflow.Step {
	return workflow.Step{Count: count, Need: unit.Resources{CPU: 4000, Memory: 1000}, Standing: true, Target: 100, Image: image}
}

// fillingStep returns a step of filling tasks of an image that request three cores each.
func fillingStep(count int, image string) workflow.Step {
	return workflow.Step{Count: count, Need: unit.Resources{CPU: 3000, Memory: 100}, Estimate: clock.Second, Fills: true, Checkpoints: true, Image: image}
}

// learn makes the model hold the weight of a filling image on a serving one.
func (fixture *fixture) learn(serving, filling string, weight float64) {
	for range 20 {
		fixture.scheduler.LoadWeights([]pacing.LearnedWeight{{Serving: pacing.Image(serving), Filling: pacing.Image(filling), Weight: weight}})
	}
}

// report reports all runs of a worker, serving ones with the tail latency.
func (fixture *fixture) report(incarnation Incarnation, tail int64) {
	fixture.t.Helper()
	var progress []Progress
	for _, run := range sortedRuns(fixture.scheduler.workers[incarnation]) {
		item := Progress{Name: run.name, Run: run.number}
		if run.step.Target > 0 {
			item.Sample = tail
		}
		progress = append(progress, item)
	}
	fixture.scheduler.RecordProgress(incarnation, progress, fixture.now)
}

// TestBurstOfFillingTasksKeepsRoom guards against a burst of large jobs whose tasks all start beside a serving task that
// can bear two of them, because estimates are kept from before the first of them was placed.
func TestBurstOfFillingTasksKeepsRoom(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.learn("serving", "heavy", 0.1)
	fixture.submit("standing", servingStep(1, "serving"))
	assertStartCount(t, fixture.plan(0), 1)
	fixture.report(incarnationName(0), 30)
	fixture.submit("burst", fillingStep(8, "heavy"))
	// The room from 0.3 to 0.6 of the target is 0.69, and a task of 3 cores takes 0.3 of it.
	assertStartCount(t, fixture.plan(1), 2)
	fixture.now = fixture.now.Add(2 * clock.Second)
	fixture.report(incarnationName(0), 16)
	assertStartCount(t, fixture.plan(1), 1) // The estimate of the load has decayed by 0.3.
}

// TestMoveOfServingTaskIsRated guards against wrong estimates of what filling tasks gain by a move of a serving task:
// the last task of a sensitive image frees its worker, and one of two does not.
func TestMoveOfServingTaskIsRated(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.learn("sensitive", "heavy", 0.3)
	fixture.learn("robust", "heavy", 0)
	fixture.submit("filling", fillingStep(4, "heavy"))
	fixture.submit("one", servingStep(2, "sensitive"))
	fixture.submit("two", servingStep(1, "robust"))
	fixture.plan(0)
	worker := fixture.scheduler.workers[incarnationName(0)]
	view := fixture.scheduler.fillingView(fixture.now)
	gains := map[string]float64{}
	var sensitive []*activeRun
	for _, run := range sortedRuns(worker) {
		gains[run.name.String()] = view.usableOn(worker, run, nil) - view.usableOn(worker, nil, nil)
		if run.step.Image == "sensitive" {
			sensitive = append(sensitive, run)
		}
	}
	first := gains[sensitive[0].name.String()]
	if first <= 0 || first > 0.5 {
		t.Errorf("removing one of two sensitive tasks gains %.2f cores, want little: its own cores beside the other", first)
	}
	worker.remove(sensitive[0])
	last := view.usableOn(worker, sensitive[1], nil) - view.usableOn(worker, nil, nil)
	if last < 10 {
		t.Errorf("removing the last sensitive task gains %.2f cores, want most of the worker's", last)
	}
	worker.remove(sensitive[1])
	if loss := view.lossByAdding(sensitive[1].step, worker); math.Abs(loss-last) > 1e-9 {
		t.Errorf("adding the task again loses %.2f cores, want the %.2f that its removal gained", loss, last)
	}
}
