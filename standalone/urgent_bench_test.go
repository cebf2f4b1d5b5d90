package standalone

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// urgentTarget is the time within which urgent work must start after its submission.
const urgentTarget = 4200 * clock.Millisecond

// BenchmarkUrgentStart measures the time from the submission of an urgent task to its start while
// batch tasks fill all workers, with daemons that communicate over loopback. worst/target is the ratio
// of the worst time to urgentTarget.
func BenchmarkUrgentStart(b *testing.B) {
	fixture := newFixture(b)
	submission := operator.JobSubmission{
		Job: "filling", Team: castingTeam, Class: "layout", Kind: worker.Batch, Tasks: 200,
		Resources: unit.Resources{CPU: 2000, Memory: 2048},
		Payload:   standin.Payload{RunMillis: 10 * clock.Minute, Class: "layout"}.String(),
	}
	_, err := fixture.operators.SubmitJob(fixture.ctx, submission)
	fixture.must(err)
	full := func() (bool, error) {
		counts := fixture.deployment.Platform.Records.Counts()
		return counts.Running >= 50, nil
	}
	fixture.must(fixture.until(fixture.ctx, "the workers to be full", full))
	worst, sum, count := clock.Millis(0), clock.Millis(0), 0
	for b.Loop() {
		count++
		submission.Job, submission.Team, submission.Tasks, submission.Urgent = ident.Job(fmt.Sprintf("urgent-%d", count)), contestTeam, 1, true
		submitted := fixture.deployment.clock.Now()
		_, err := fixture.operators.SubmitJob(fixture.ctx, submission)
		fixture.must(err)
		task := ident.Task{Job: submission.Job}
		fixture.must(fixture.until(fixture.ctx, "the urgent task to start", func() (bool, error) {
			for _, run := range fixture.deployment.Platform.Records.Runs() {
				if run.Task == task {
					latency := run.Start.Sub(submitted)
					worst, sum = max(worst, latency), sum+latency
					return true, nil
				}
			}
			return false, nil
		}))
	}
	b.ReportMetric(float64(sum)/float64(count), "mean-ms")
	b.ReportMetric(float64(worst), "worst-ms")
	b.ReportMetric(float64(worst)/float64(urgentTarget), "worst/target")
	fixture.assertClean()
}
