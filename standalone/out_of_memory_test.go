package standalone

import (
	"testing"

	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Guards against the kind of an end being lost on its way from the worker to the job's home, so that
// a task runs out of the same memory again and again.
func TestOutOfMemoryIsRetriedWithMore(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.must(fixture.until(fixture.ctx, "the job to be accepted", func() (bool, error) {
		_, err := fixture.operators.SubmitJob(fixture.ctx, operator.JobSubmission{
			Job: "grows", Team: casting, Class: "layout", Kind: worker.Batch, Tasks: 1,
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
