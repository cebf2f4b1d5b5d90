package scheduler

import (
	"testing"

	"hyssopjunction/workflow"
)

// TestRemoveKeepsRunningJobs guards against removing a job while a worker may still run it: its resources
// would never be released, and a late report would not be answered with a stop.
func TestRemoveKeepsRunningJobs(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.submit("job", oneCoreStep(1))
	starts := fixture.plan(0)
	assertStartCount(t, starts, 1)
	assertForgotten(t, fixture, false, "a running job")
	fixture.scheduler.Cancel("job")
	assertForgotten(t, fixture, false, "a cancelled job whose state is not stored")
	fixture.plan(1)
	assertForgotten(t, fixture, false, "a cancelled job that is being stopped")
	fixture.end(starts[0], workflow.Interrupted)
	assertForgotten(t, fixture, false, "a job whose last end is not stored")
	fixture.plan(1)
	assertForgotten(t, fixture, true, "a cancelled job without runs")
	if _, exists := fixture.scheduler.State("job"); exists {
		t.Error("the job is still known")
	}
	fixture.scheduler.RecordProgress(starts[0].Worker, []Progress{{Name: starts[0].Name, Run: starts[0].Run, Percent: 5}}, fixture.now)
	if _, orders := fixture.scheduler.TakeChanges(); len(orders) != 1 || !orders[0].Stop {
		t.Errorf("got orders %v for a late start of a forgotten job, want one stop", orders)
	}
}

func assertForgotten(t *testing.T, fixture *fixture, want bool, situation string) {
	t.Helper()
	if removable := fixture.scheduler.Removable("job"); removable != want {
		t.Errorf("%s: removable %v, want %v", situation, removable, want)
	}
	if got := fixture.scheduler.Remove("job"); got != want {
		t.Errorf("%s: forgotten %v, want %v", situation, got, want)
	}
}
