package standalone

import (
	"testing"

	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// TestOutOfMemoryIsRetriedWithMoreMemory guards against a task that is retried with the same amount of
// memory and runs out of it again, which happens if the worker's reason for the failure doesn't reach
// the job's home entry.
func TestOutOfMemoryIsRetriedWithMoreMemory(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.must(fixture.until(fixture.ctx, "the job to be accepted", func() (bool, error) {
		_, err := fixture.operators.SubmitJob(fixture.ctx, operator.JobSubmission{
			Job: "grows", Team: castingTeam, Class: "layout", Kind: worker.Batch, Tasks: 1,
			Resources: unit.Resources{CPU: 1000, Memory: 1024},
			Payload:   standin.Payload{RunMillis: 400, PeakMemory: 2000, Class: "layout"}.String(),
		})
		return err == nil, nil
	}))
	fixture.must(fixture.until(fixture.ctx, "the job to finish", func() (bool, error) {
		state, err := fixture.operators.Job(fixture.ctx, "grows")
		return err == nil && state.State == "Finished", nil
	}))
}
