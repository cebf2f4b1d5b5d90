package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const testService workflow.Service = "desk"

// fixture drives a Scheduler as a leader does.
type fixture struct {
	t         *testing.T
	scheduler *Scheduler
	now       clock.Time
}

func newFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	fixture := &fixture{t: t, scheduler: New(), now: clock.Time(clock.Minute)}
	for number := range workers {
		fixture.addWorker(incarnationName(number), 32_000, 128_000)
	}
	return fixture
}

func incarnationName(number int) Incarnation {
	return Incarnation(fmt.Sprintf("i-%d@1@node-%d", number, number))
}

func (fixture *fixture) addWorker(incarnation Incarnation, cpu unit.MilliCPU, memory unit.Mebibytes) {
	fixture.t.Helper()
	fixture.scheduler.UpdateWorker(Profile{
		Incarnation: incarnation, Node: string(incarnation), Service: testService, DataCentre: "a",
		Labels: []string{"r1"}, Capacity: unit.Resources{CPU: cpu, Memory: memory},
	}, fixture.now)
	fixture.scheduler.SetReachable(incarnation, true)
}

// oneCoreStep returns a step of count tasks that need one core each.
func oneCoreStep(count int) workflow.Step {
	return workflow.Step{Count: count, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second}
}

func (fixture *fixture) submit(id string, steps ...workflow.Step) {
	fixture.t.Helper()
	fixture.scheduler.Submit(workflow.Spec{
		ID: workflow.ID(id), Queue: "queue", Service: testService, Steps: steps,
		Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: clock.Second},
	}, fixture.now)
}

// plan advances the clock, plans, and returns the start orders.
func (fixture *fixture) plan(after clock.Millis) []Order {
	fixture.t.Helper()
	fixture.now = fixture.now.Add(after)
	fixture.scheduler.Plan(fixture.now, 0)
	_, orders := fixture.scheduler.TakeChanges()
	var starts []Order
	for _, order := range orders {
		if !order.Stop {
			starts = append(starts, order)
		}
	}
	return starts
}

func (fixture *fixture) end(order Order, cause workflow.Cause) {
	fixture.t.Helper()
	fixture.scheduler.RecordEnd(order.Worker, End{Name: order.Name, Run: order.Run, Cause: cause}, fixture.now)
}

func assertStartCount(t *testing.T, got []Order, want int) {
	t.Helper()
	if len(got) != want {
		t.Fatalf("got %d starts, want %d: %v", len(got), want, got)
	}
}

// TestProbationBesideStandingTasks guards against a worker on probation that gets no trial run because a
// standing task runs on it. A standing task moved from a drained data centre then found no worker for 25 s.
func TestProbationBesideStandingTasks(t *testing.T) {
	fixture := newFixture(t, 1)
	standing := oneCoreStep(1)
	standing.Standing = true
	fixture.submit("standing", standing)
	starts := fixture.plan(0)
	assertStartCount(t, starts, 1)
	for number := range quarantineFailures {
		fixture.submit(fmt.Sprint("failing-", number), oneCoreStep(1))
	}
	starts = fixture.plan(1)
	assertStartCount(t, starts, quarantineFailures)
	for _, order := range starts {
		fixture.end(order, workflow.Faulted)
	}
	starts = fixture.plan(1)
	assertStartCount(t, starts, 0)
	starts = fixture.plan(firstQuarantine)
	assertStartCount(t, starts, 1) // The trial run.
	fixture.submit("standing-2", standing)
	fixture.end(starts[0], workflow.Finished)
	starts = fixture.plan(1)
	assertStartCount(t, starts, quarantineFailures) // The other failed tasks, and the standing task.
}

// TestStandingTaskBesideTrialRun guards against a standing task that waits for the end of the trial run of another job on a worker that is
// on probation, however long that takes.
func TestStandingTaskBesideTrialRun(t *testing.T) {
	fixture := newFixture(t, 1)
	for number := range quarantineFailures {
		fixture.submit(fmt.Sprint("failing-", number), oneCoreStep(1))
	}
	starts := fixture.plan(0)
	assertStartCount(t, starts, quarantineFailures)
	for _, order := range starts {
		fixture.end(order, workflow.Faulted)
	}
	starts = fixture.plan(firstQuarantine)
	assertStartCount(t, starts, 1) // The trial run.
	standing := oneCoreStep(1)
	standing.Standing = true
	fixture.submit("standing", standing)
	fixture.submit("other", oneCoreStep(1))
	starts = fixture.plan(1)
	assertStartCount(t, starts, 1)
	if got := starts[0].Name.Job; got != "standing" {
		t.Errorf("got a start of job %s, want that of the standing task", got)
	}
}

// TestStandingTaskTakesHeadroomAfterWait guards against a standing task that waits for more than 3 s
// although it fits, because the headroom for quick tasks stays reserved. It happened after all workers had
// lost power.
func TestStandingTaskTakesHeadroomAfterWait(t *testing.T) {
	fixture := newFixture(t, 1)
	standing := oneCoreStep(1)
	standing.Standing = true
	standing.Need.CPU = 32_000
	fixture.submit("standing", standing)
	starts := fixture.plan(0)
	assertStartCount(t, starts, 0)
	starts = fixture.plan(headroomWait)
	assertStartCount(t, starts, 1)
}

// TestRefusedStartIsDelayed guards against an endless loop of refused and immediately repeated starts when
// the leader and the agent disagree about the free resources of a worker.
func TestRefusedStartIsDelayed(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.submit("job", oneCoreStep(1))
	starts := fixture.plan(0)
	assertStartCount(t, starts, 1)
	fixture.scheduler.RecordRejection(starts[0].Worker, starts[0].Name, starts[0].Run, false, fixture.now)
	assertStartCount(t, fixture.plan(1), 0)
	assertStartCount(t, fixture.plan(refusalDelay), 1)
}
