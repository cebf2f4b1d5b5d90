package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// newSlowFixture returns a worker with a serving task, beside which a filling task of three cores reaches the speed that
// follows from the tail latency: two thirds at 49, a third at 54.
func newSlowFixture(t *testing.T, tail int64) *fixture {
	t.Helper()
	fixture := newFixture(t, 1)
	fixture.learn("serving", "heavy", 0.1)
	fixture.submit("standing", servingStep(1, "serving"))
	assertStartCount(t, fixture.plan(0), 1)
	fixture.report(incarnationName(0), tail)
	return fixture
}

// wait lets time pass with a report of the same tail latency at its end.
func (fixture *fixture) wait(duration clock.Millis, tail int64) {
	fixture.t.Helper()
	fixture.now = fixture.now.Add(duration)
	fixture.report(incarnationName(0), tail)
}

// TestLateJobAsksForLessWithTime guards against late jobs that wait for good, and against an overload in which all of
// them start slowly at once: a job that is a little late still waits for a fast worker, and one that is late by its
// objective starts on a slow one.
func TestLateJobAsksForLessWithTime(t *testing.T) {
	const tail = 54
	fixture := newSlowFixture(t, tail)
	fixture.submit("filling", fillingStep(1, "heavy"))
	objective := fixture.scheduler.jobs["filling"].job.Spec.Objective()
	assertStartCount(t, fixture.plan(1), 0)
	fixture.wait(objective, tail)
	assertStartCount(t, fixture.plan(1), 0)
	fixture.wait(objective, tail)
	assertStartCount(t, fixture.plan(1), 1)
}

// TestLaterJobIsNotBlockedByLessLateOne guards against a late job that waits although a worker is fast enough for it,
// because a job that is less late, and asks for more, found no room before it.
func TestLaterJobIsNotBlockedByLessLateOne(t *testing.T) {
	const tail = 49
	fixture := newSlowFixture(t, tail)
	fixture.submit("wide", fillingStep(2, "heavy"))
	fixture.wait(2*clock.Second, tail)
	fixture.submit("narrow", fillingStep(1, "heavy"))
	fixture.wait(clock.Second, tail)
	starts := fixture.plan(clock.Second / 10)
	assertStartCount(t, starts, 1)
	if starts[0].Name.Job != "wide" {
		t.Errorf("started %v, want a task of the job that is later", starts[0].Name)
	}
}

// TestLateJobsFinishOneAfterAnother guards against late jobs that all finish too late to be worth anything, because the
// tasks of one that is nearly done wait behind those of a large one that was accepted before.
func TestLateJobsFinishOneAfterAnother(t *testing.T) {
	fixture := newFixture(t, 0)
	fixture.submit("a-large", fillingStep(20, "light"))
	fixture.submit("b-small", fillingStep(2, "light"))
	assertStartCount(t, fixture.plan(4*clock.Second), 0)
	var order []workflow.ID
	for _, candidate := range fixture.scheduler.candidates(fixture.now) {
		if candidate.rank != rankLate {
			t.Errorf("%s has rank %d, want late", candidate.record.job.Spec.ID, candidate.rank)
		}
		order = append(order, candidate.record.job.Spec.ID)
	}
	if len(order) != 2 || order[0] != "b-small" {
		t.Errorf("order is %v, want the job with less remaining work first", order)
	}
}

// TestWorthlessJobStartsSlowlyOnlyIfNoOtherWaits guards against jobs past all worth that take the room beside serving
// tasks from jobs that wait for it, and against those that wait for good although nothing else waits.
func TestWorthlessJobStartsSlowlyOnlyIfNoOtherWaits(t *testing.T) {
	const tail = 54
	fixture := newSlowFixture(t, tail)
	reserving := oneCoreStep(14)
	reserving.Standing = true
	fixture.submit("reserving", reserving) // While most of the service is free, tasks start anywhere after starvationAge.
	assertStartCount(t, fixture.plan(1), 14)
	fixture.submit("old", fillingStep(1, "heavy"))
	fixture.wait(worthlessFactor*fixture.scheduler.jobs["old"].job.Spec.Objective(), tail)
	fixture.submit("new", fillingStep(1, "heavy"))
	assertStartCount(t, fixture.plan(1), 0)
	fixture.scheduler.Cancel("new")
	starts := fixture.plan(clock.Second)
	assertStartCount(t, starts, 1)
	if starts[0].Name.Job != "old" {
		t.Errorf("started %v, want the task of the old job", starts[0].Name)
	}
}
