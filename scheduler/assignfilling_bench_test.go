package scheduler

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/account"
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// newBurst returns a scheduler with 100 workers and 400 waiting filling tasks in 40 groups. The given number of workers have
// no idle cores.
func newBurst(b *testing.B, busy int) (*Scheduler, clock.Time) {
	b.Helper()
	scheduler, now := newBusyScheduler(b, 100)
	for id := range scheduler.open {
		if id[0] == 'f' {
			scheduler.Cancel(id)
		}
	}
	for position, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		var progress []Progress
		for _, run := range sortedRuns(worker) {
			if run.stopping {
				scheduler.RecordEnd(incarnation, End{Name: run.name, Run: run.number, Cause: workflow.Interrupted}, now)
				continue
			}
			progress = append(progress, Progress{Name: run.name, Run: run.number, Sample: 30})
		}
		scheduler.RecordProgress(incarnation, progress, now)
		if position < busy {
			worker.fillingCPU += worker.idleCPU() - 1000
		}
	}
	for number := range 40 {
		scheduler.Submit(workflow.Spec{
			ID: workflow.ID(fmt.Sprintf("burst-%02d", number)), Service: testService, Steps: []workflow.Step{batchStep(10, fmt.Sprint("filling-", number%18))},
			Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: clock.Second},
		}, now)
	}
	for _, record := range scheduler.open {
		record.job.AddDueOccurrences(0)
	}
	scheduler.TakeChanges()
	return scheduler, now
}

// placeEach places waiting filling tasks one after another, each on the worker with the highest score, as before the joint
// assignment.
func placeEach(scheduler *Scheduler, candidates []candidate, now clock.Time) {
	blocked := blockedNeeds{}
	for _, candidate := range candidates {
		step, job := candidate.spec(), candidate.record.job
		key := newBlockKey(job.Spec.Service, step, false)
		for _, index := range candidate.indices {
			name := workflow.Name{Job: job.Spec.ID, Occurrence: candidate.occurrence.Number, Step: candidate.step, Index: index}
			if blocked.has(key, candidate.minSpeed) {
				break
			}
			worker := scheduler.chooseWorker(candidate.record, step, name, false, candidate.minSpeed, now)
			if worker == nil {
				blocked.add(key, candidate.minSpeed, account.Room)
				break
			}
			scheduler.placeTask(candidate.record, step, name, job.NextRun(name), worker, now)
		}
	}
}

// resetBurst ends all filling runs, so that their tasks wait again.
func resetBurst(scheduler *Scheduler, now clock.Time) int {
	count := 0
	for _, incarnation := range scheduler.sortedWorkers() {
		for _, run := range sortedRuns(scheduler.workers[incarnation]) {
			if run.step.Fills {
				scheduler.RecordEnd(incarnation, End{Name: run.name, Run: run.number, Cause: workflow.Interrupted}, now)
				count++
			}
		}
	}
	scheduler.TakeChanges()
	return count
}

// BenchmarkAssignFilling measures a round of 100 workers and 400 waiting tasks in 40 groups, and its ratio to placing them
// one after another. In the round "room" all tasks find room, in "little" some do, and in
// "none" no task does.
func BenchmarkAssignFilling(b *testing.B) {
	for name, busy := range map[string]int{"room": 0, "little": 80, "none": 100} {
		b.Run(name, func(b *testing.B) {
			scheduler, now := newBurst(b, busy)
			b.ReportAllocs()
			var baseline time.Duration
			placed, rounds := 0, 0
			for b.Loop() {
				b.StopTimer()
				list := scheduler.candidates(now)
				began := time.Now()
				placeEach(scheduler, list, now)
				baseline += time.Since(began)
				resetBurst(scheduler, now)
				b.StartTimer()
				scheduler.assignFilling(list, blockedNeeds{}, now)
				b.StopTimer()
				placed += resetBurst(scheduler, now)
				rounds++
				b.StartTimer()
			}
			b.ReportMetric(float64(placed)/float64(rounds), "placed")
			b.ReportMetric(float64(b.Elapsed())/float64(baseline), "time/baseline")
		})
	}
}
