package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// TestRunsLongerThanEstimatedStay guards against runs at full pace that are moved because their submitter's estimate was too low:
// each move repeats work, and the task is as long elsewhere (load pattern: submitters whose estimates are off by a factor).
func TestRunsLongerThanEstimatedStay(t *testing.T) {
	play := newLoadPlay(t, 1)
	for range 6 {
		play.addPlayWorker("r1", 16, 1, -2)
	}
	number := 0
	play.run(30*clock.Second, func(elapsed clock.Millis) {
		if elapsed%clock.Second != 0 {
			return
		}
		number++
		step := fillingStep(8, "image")
		factor := 4.0
		if number%2 == 0 {
			factor = 1
		}
		id := fmt.Sprintf("job-%02d", number)
		for index := range step.Count {
			play.longTasks[workflow.Name{Job: workflow.ID(id), Index: index}] = factor
		}
		play.submitJob(id, 1, step)
	})
	if result := play.result("job"); result.stops > 0 {
		t.Errorf("%d runs at full pace were stopped", result.stops)
	}
}

// TestTaskTimesFollowSiblings guards against an objective, and an order of jobs, by an estimate that the siblings have disproved.
func TestTaskTimesFollowSiblings(t *testing.T) {
	play := newLoadPlay(t, 1)
	play.addPlayWorker("r1", 16, 1, -2)
	step := fillingStep(4, "image")
	for index := range step.Count {
		play.longTasks[workflow.Name{Job: "job", Index: index}] = 3
	}
	play.submitJob("job", 1, step)
	play.run(2*step.Estimate, nil)
	record := play.scheduler.jobs["job"]
	if got := play.scheduler.taskTime(record, 0); got < 2*step.Estimate || got > 4*step.Estimate {
		t.Errorf("tasks that take %s are expected to take %s", 3*step.Estimate, got)
	}
	if got, want := play.scheduler.objective(record), record.job.Spec.Objective(); got < 2*want-clock.Second {
		t.Errorf("the objective is %s, by the estimate %s", got, want)
	}
}
