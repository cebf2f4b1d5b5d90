package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/workflow"
)

// newBusyScheduler returns a scheduler with workers that are full of serving tasks of 13 images and have demand for
// filling tasks of 30 images, a third of which disturb a third of the serving images.
func newBusyScheduler(b *testing.B, workers int) (*Scheduler, clock.Time) {
	b.Helper()
	scheduler, now := New(), clock.Time(clock.Minute)
	for number := range workers {
		scheduler.UpdateWorker(Profile{
			Incarnation: incarnationName(number), Node: fmt.Sprint("node-", number), Service: testService, DataCentre: "a",
			Capacity: servingStep(1, "").Need.Add(servingStep(7, "").Need.Add(servingStep(1, "").Need)),
		}, now)
		worker := scheduler.workers[incarnationName(number)]
		worker.Capacity.CPU, worker.Capacity.Memory = 32_000, 128_000
		scheduler.SetReachable(incarnationName(number), true)
	}
	var weights []pacing.LearnedWeight
	for serving := range 13 {
		for filling := range 30 {
			weight := 0.0
			if serving%3 == filling%6 {
				weight = 0.1
			}
			weights = append(weights, pacing.LearnedWeight{Serving: pacing.Image(fmt.Sprint("serving-", serving)), Filling: pacing.Image(fmt.Sprint("filling-", filling)), Weight: weight})
		}
	}
	scheduler.LoadWeights(weights)
	submit := func(id string, step workflow.Step) {
		scheduler.Submit(workflow.Spec{
			ID: workflow.ID(id), Service: testService, Steps: []workflow.Step{step}, Policy: workflow.Policy{MaxAttempts: 2, Slack: 2},
		}, now)
	}
	for number := range workers / 4 {
		submit(fmt.Sprint("standing-", number), servingStep(28, fmt.Sprint("serving-", number%13)))
	}
	scheduler.Plan(now, 0)
	for number := range 30 {
		submit(fmt.Sprint("filling-", number), fillingStep(27, fmt.Sprint("filling-", number)))
	}
	scheduler.Plan(now, 0)
	scheduler.TakeChanges()
	return scheduler, now.Add(minServingStay)
}

// BenchmarkServingMoves measures the rating of moves of serving tasks in one round.
func BenchmarkServingMoves(b *testing.B) {
	for _, workers := range []int{20, 80, 320} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scheduler, now := newBusyScheduler(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				scheduler.view = nil
				scheduler.servingMoves(now)
			}
		})
	}
}

// BenchmarkPlan measures a round of planning in which nothing can be placed.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{20, 80, 320} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scheduler, now := newBusyScheduler(b, workers)
			b.ReportAllocs()
			for b.Loop() {
				scheduler.dirty = true
				scheduler.Plan(now, 0)
				scheduler.TakeChanges()
			}
		})
	}
}
