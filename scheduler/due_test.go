package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// assertQueued fails the test unless exactly the named jobs hold no tasks.
func (fixture *fixture) assertQueued(want ...string) {
	fixture.t.Helper()
	queued := map[string]bool{}
	for id, record := range fixture.scheduler.open {
		if len(record.job.Occurrences) == 0 {
			queued[string(id)] = true
		}
	}
	got := len(queued)
	for _, id := range want {
		if !queued[id] {
			fixture.t.Errorf("%s holds tasks, want it queued", id)
		}
	}
	if got != len(want) {
		fixture.t.Errorf("got %d queued jobs, want %d", got, len(want))
	}
}

// TestTaskLimit guards against a leader whose memory grows with all tasks that were ever asked for, against jobs that wait for good,
// and against urgent ones that wait for others.
func TestTaskLimit(t *testing.T) {
	id := func(number int) string { return fmt.Sprintf("%016x", number) }
	t.Run("jobs beyond the limit wait until others have ended", func(t *testing.T) {
		fixture := newFixture(t, 0)
		fixture.scheduler.SetTaskLimit(10)
		for number := range 3 {
			fixture.submit(id(number), oneCoreStep(5))
			fixture.plan(clock.Second)
		}
		fixture.assertQueued(id(2))
		fixture.scheduler.Cancel(workflow.ID(id(0)))
		fixture.plan(clock.Second)
		fixture.assertQueued()
	})
	t.Run("urgent jobs come first", func(t *testing.T) {
		fixture := newFixture(t, 0)
		fixture.scheduler.SetTaskLimit(10)
		fixture.submit(id(0), oneCoreStep(6))
		fixture.plan(clock.Second)
		for number := 1; number < 3; number++ {
			fixture.scheduler.Submit(workflow.Spec{
				ID: workflow.ID(id(number)), Service: testService, Steps: []workflow.Step{oneCoreStep(6)},
				Policy: workflow.Policy{Priority: 2 - number, MaxAttempts: 2, Slack: 2},
			}, fixture.now)
		}
		fixture.plan(clock.Second)
		fixture.assertQueued(id(1), id(2))
		fixture.scheduler.Cancel(workflow.ID(id(0)))
		fixture.plan(clock.Second)
		fixture.assertQueued(id(1))
	})
	t.Run("a job of more tasks than the limit runs alone", func(t *testing.T) {
		fixture := newFixture(t, 0)
		fixture.scheduler.SetTaskLimit(10)
		fixture.submit(id(0), oneCoreStep(20))
		fixture.plan(clock.Second)
		fixture.assertQueued()
	})
}
