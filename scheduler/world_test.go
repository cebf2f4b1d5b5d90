package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const testService workflow.Service = "desk"

// world drives a Scheduler as a leader does, without a network.
type world struct {
	t    *testing.T
	book *Scheduler
	now  clock.Time
}

func newWorld(t *testing.T, workers int) *world {
	t.Helper()
	w := &world{t: t, book: New(), now: clock.Time(clock.Minute)}
	for number := range workers {
		w.worker(name(number), 32_000, 128_000)
	}
	return w
}

func name(number int) Incarnation { return Incarnation(fmt.Sprintf("i-%d@1@node-%d", number, number)) }

func (w *world) worker(incarnation Incarnation, cpu unit.MilliCPU, memory unit.Mebibytes) {
	w.t.Helper()
	w.book.Update(Profile{
		Incarnation: incarnation, Node: string(incarnation), Service: testService, DataCentre: "a",
		Labels: []string{"r1"}, Capacity: unit.Resources{CPU: cpu, Memory: memory},
	}, w.now)
	w.book.SetReachable(incarnation, true)
}

// step returns a step of tasks with one core.
func step(count int) workflow.Step {
	return workflow.Step{Count: count, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second}
}

func (w *world) submit(id string, steps ...workflow.Step) {
	w.t.Helper()
	w.book.Submit(workflow.Spec{
		ID: workflow.ID(id), Queue: "queue", Service: testService, Steps: steps,
		Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: clock.Second},
	}, w.now)
}

// plan advances the time and returns the start orders.
func (w *world) plan(after clock.Millis) []Order {
	w.t.Helper()
	w.now = w.now.Add(after)
	w.book.Plan(w.now, 0)
	_, orders := w.book.TakeChanges()
	var starts []Order
	for _, order := range orders {
		if !order.Stop {
			starts = append(starts, order)
		}
	}
	return starts
}

func (w *world) end(order Order, cause workflow.Cause) {
	w.t.Helper()
	w.book.Ended(order.Worker, End{Name: order.Name, Run: order.Run, Cause: cause}, w.now)
}

func wantStarts(t *testing.T, got []Order, want int) {
	t.Helper()
	if len(got) != want {
		t.Fatalf("got %d starts, want %d: %v", len(got), want, got)
	}
}

// Guards against a worker in its trial that gets nothing more because standing tasks run on it. It was
// found by a day whose zone is emptied: a standing task found no worker for 25 s.
func TestTrialBesideStandingTasks(t *testing.T) {
	w := newWorld(t, 1)
	standing := step(1)
	standing.Standing = true
	w.submit("standing", standing)
	starts := w.plan(0)
	wantStarts(t, starts, 1)
	for number := range suspectEnds {
		w.submit(fmt.Sprint("failing-", number), step(1))
	}
	starts = w.plan(1)
	wantStarts(t, starts, suspectEnds)
	for _, order := range starts {
		w.end(order, workflow.Faulted)
	}
	starts = w.plan(1)
	wantStarts(t, starts, 0)
	starts = w.plan(firstSuspension)
	wantStarts(t, starts, 1) // The trial.
	w.submit("standing-2", standing)
	w.end(starts[0], workflow.Finished)
	starts = w.plan(1)
	wantStarts(t, starts, suspectEnds) // The rest of what failed, and the standing task.
}

// Guards against standing tasks that wait although they fit, because room is kept for quick ones. It was
// found by a day on which all workers lost power: a task found no worker for more than 3 s.
func TestStandingTaskTakesHeadroomAfterAWhile(t *testing.T) {
	w := newWorld(t, 1)
	standing := step(1)
	standing.Standing = true
	standing.Need.CPU = 32_000
	w.submit("standing", standing)
	starts := w.plan(0)
	wantStarts(t, starts, 0)
	starts = w.plan(headroomWait)
	wantStarts(t, starts, 1)
}

// Guards against a start that is refused and repeated at once for ever, where leader and agent disagree
// about the room of a worker.
func TestRefusedStartWaits(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("job", step(1))
	starts := w.plan(0)
	wantStarts(t, starts, 1)
	w.book.Rejected(starts[0].Worker, starts[0].Name, starts[0].Run, w.now)
	wantStarts(t, w.plan(1), 0)
	wantStarts(t, w.plan(refusalPause), 1)
}
