package scheduler

import (
	"testing"

	"hyssopjunction/workflow"
)

// TestEndOfWorker guards against tasks that wait for a worker that has ended, and against tasks that run again although
// their worker reported before it ended that they had finished.
func TestEndOfWorker(t *testing.T) {
	cases := map[string]bool{"reported in this term": false, "known from stored runs only": true}
	for name, inherited := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 1)
			fixture.submit("job", oneCoreStep(2))
			starts := fixture.plan(0)
			assertStartCount(t, starts, 2)
			ended := starts[0].Worker
			if inherited {
				next := newFixture(t, 0)
				next.scheduler.Restore(starts[0].Job, fixture.now)
				fixture = next
			}
			fixture.addWorker("i-next@1@node-next", 32_000, 128_000)
			finished := End{Name: starts[0].Name, Run: starts[0].Run, Cause: workflow.Finished}
			if got := fixture.scheduler.EndWorker(ended, []End{finished}, fixture.now); got != 2 {
				t.Errorf("got %d active runs on the worker, want 2", got)
			}
			if got := fixture.scheduler.Orphans(); len(got) != 0 {
				t.Errorf("got orphans %v, want none", got)
			}
			restarted := fixture.plan(1)
			assertStartCount(t, restarted, 1)
			if restarted[0].Name != starts[1].Name || restarted[0].Worker == ended {
				t.Errorf("got a start of %v on %s, want %v on another worker", restarted[0].Name, restarted[0].Worker, starts[1].Name)
			}
		})
	}
}
