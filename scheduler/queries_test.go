package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

func (fixture *fixture) assertPending(want int, when string) {
	fixture.t.Helper()
	if got := fixture.scheduler.PendingJobCount("queue"); got != want {
		fixture.t.Errorf("%d jobs are pending %s, want %d", got, when, want)
	}
}

// list reports the runs of the orders as active on their workers.
func (fixture *fixture) list(orders ...Order) {
	for _, order := range orders {
		fixture.scheduler.RecordProgress(order.Worker, []Progress{{Name: order.Name, Run: order.Run}}, fixture.now)
	}
}

// TestPlacedJobsArePending guards against jobs that are missing from the count of pending jobs because they were placed,
// although no task of them has started: their worker may be gone.
func TestPlacedJobsArePending(t *testing.T) {
	t.Run("until a run is listed", func(t *testing.T) {
		fixture := newFixture(t, 2)
		fixture.submit("first", oneCoreStep(1))
		fixture.submit("second", oneCoreStep(2))
		starts := fixture.plan(0)
		assertStartCount(t, starts, 3)
		fixture.assertPending(2, "after their placement")
		fixture.list(starts[0])
		fixture.assertPending(1, "after a run of one is listed")
		fixture.list(starts[1:]...)
		fixture.assertPending(0, "after all runs are listed")
	})
	t.Run("while their worker is gone", func(t *testing.T) {
		fixture := newFixture(t, 1)
		fixture.submit("job", oneCoreStep(1))
		starts := fixture.plan(0)
		assertStartCount(t, starts, 1)
		fixture.scheduler.RecordLeaseLapse(starts[0].Worker)
		fixture.assertPending(1, "after the lapse of the worker")
	})
	t.Run("until a run ends by itself", func(t *testing.T) {
		for cause, want := range map[workflow.Cause]int{workflow.Finished: 0, workflow.Faulted: 0, workflow.Interrupted: 1} {
			fixture := newFixture(t, 1)
			fixture.submit("job", oneCoreStep(2))
			fixture.end(fixture.plan(0)[0], cause)
			fixture.assertPending(want, "after the end of a run")
		}
	})
	t.Run("a started job whose worker is gone", func(t *testing.T) {
		fixture := newFixture(t, 1)
		fixture.submit("job", oneCoreStep(1))
		starts := fixture.plan(0)
		fixture.list(starts...)
		fixture.scheduler.RecordLeaseLapse(starts[0].Worker)
		fixture.assertPending(0, "after the lapse of the worker")
	})
	t.Run("after a change of leaders", func(t *testing.T) {
		fixture := newFixture(t, 1)
		fixture.submit("placed", oneCoreStep(1))
		fixture.submit("begun", oneCoreStep(2))
		starts := fixture.plan(0)
		assertStartCount(t, starts, 3)
		for _, order := range starts {
			if order.Name.Job == "begun" && order.Name.Index == 0 {
				fixture.end(order, workflow.Finished)
			}
		}
		fixture.changeLeader(true, fixture.scheduler.jobs["placed"].job, fixture.scheduler.jobs["begun"].job)
		fixture.now = fixture.now.Add(clock.Second)
		fixture.assertPending(1, "before the workers have reported")
		fixture.list(starts...)
		fixture.assertPending(0, "after all runs are listed")
	})
}
