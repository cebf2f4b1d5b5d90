package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// shrink reports a smaller or larger capacity of a worker.
func (fixture *fixture) shrink(incarnation Incarnation, cpu unit.MilliCPU, memory unit.Mebibytes) {
	fixture.addWorker(incarnation, cpu, memory)
}

// relieved plans for a while and returns the standing and the filling runs that were stopped. Stopped runs end at once.
func (fixture *fixture) relieved(during clock.Millis) (standing, filling []Order) {
	fixture.t.Helper()
	const step = 100 * clock.Millisecond
	for until := fixture.now.Add(during); fixture.now.Before(until); {
		fixture.now = fixture.now.Add(step)
		fixture.scheduler.Plan(fixture.now, 0)
		_, orders := fixture.scheduler.TakeChanges()
		for _, order := range orders {
			if !order.Stop {
				continue
			}
			fixture.scheduler.RecordEnd(order.Worker, End{Name: order.Name, Run: order.Run, Cause: workflow.Interrupted}, fixture.now)
			if order.Job.Spec.Steps[order.Name.Step].Standing {
				standing = append(standing, order)
			} else {
				filling = append(filling, order)
			}
		}
	}
	return standing, filling
}

// Servers whose room shrinks: standing tasks on a worker that has less capacity than they reserve leave it while others have
// room, a few at a time, and never for a worker that has just shrunk itself.
func TestShrunkWorkerIsRelieved(t *testing.T) {
	const shrunk Incarnation = "i-0@1@node-0"
	standing := func(fixture *fixture, missable int) {
		step := servingStep(4, "a")
		step.Need, step.MayMiss = unit.Resources{CPU: 7000, Memory: 1000}, missable
		fixture.submit("standing", step)
		assertStartCount(t, fixture.plan(1), 4)
	}
	tests := []struct {
		name              string
		play              func(fixture *fixture)
		standing, filling int
	}{
		{"room elsewhere", func(fixture *fixture) {
			standing(fixture, 0)
			fixture.addWorker(incarnationName(1), 32_000, 128_000)
			fixture.shrink(shrunk, 9_000, 128_000)
		}, 2, 0},
		{"reservations beyond the capacity that are not used", func(fixture *fixture) {
			standing(fixture, 0)
			fixture.addWorker(incarnationName(1), 32_000, 128_000)
			fixture.shrink(shrunk, 17_000, 128_000)
		}, 0, 0},
		{"no room elsewhere", func(fixture *fixture) {
			standing(fixture, 0)
			fixture.shrink(shrunk, 9_000, 128_000)
		}, 0, 0},
		{"the other worker has shrunk too", func(fixture *fixture) {
			standing(fixture, 0)
			fixture.addWorker(incarnationName(1), 32_000, 128_000)
			fixture.shrink(incarnationName(1), 20_000, 128_000)
			fixture.shrink(shrunk, 9_000, 128_000)
		}, 0, 0},
		{"a capacity that is back with the next report", func(fixture *fixture) {
			standing(fixture, 0)
			fixture.addWorker(incarnationName(1), 32_000, 128_000)
			fixture.shrink(shrunk, 9_000, 128_000)
			fixture.relieved(relieveDelay / 2)
			fixture.shrink(shrunk, 32_000, 128_000)
		}, 0, 0},
		{"tasks that must not be interrupted", func(fixture *fixture) {
			standing(fixture, 1)
			fixture.addWorker(incarnationName(1), 32_000, 128_000)
			fixture.shrink(shrunk, 9_000, 128_000)
		}, 0, 0},
		{"memory: filling tasks first", func(fixture *fixture) {
			standing(fixture, 0)
			step := fillingStep(2, "b")
			step.Need = unit.Resources{CPU: 1000, Memory: 4000}
			fixture.submit("filling", step)
			assertStartCount(t, fixture.plan(1), 2)
			fixture.shrink(shrunk, 32_000, 9_000)
		}, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, 1)
			test.play(fixture)
			standing, filling := fixture.relieved(4 * clock.Second)
			if len(standing) != test.standing || len(filling) != test.filling {
				t.Errorf("stopped %d standing and %d filling runs, want %d and %d", len(standing), len(filling), test.standing, test.filling)
			}
		})
	}
}

// Capacity that shrinks and grows by turns must not make tasks wander.
func TestCapacityThatSwingsMovesNoTaskTwice(t *testing.T) {
	fixture := newFixture(t, 2)
	step := servingStep(8, "a")
	step.Need = unit.Resources{CPU: 7000, Memory: 1000}
	fixture.submit("standing", step)
	assertStartCount(t, fixture.plan(1), 8)
	fixture.addWorker(incarnationName(2), 64_000, 256_000)
	moves := 0
	for range 5 {
		for _, cpu := range []unit.MilliCPU{9_000, 32_000} {
			fixture.shrink(incarnationName(0), cpu, 128_000)
			stopped, _ := fixture.relieved(2 * clock.Second)
			moves += len(stopped)
		}
	}
	if moves != 2 {
		t.Errorf("got %d moves in five swings, want the 2 of the first", moves)
	}
}
