package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// startsWithin plans for a time and ends each started run at once with end. It returns the number of starts and the longest time
// between two of them.
func (fixture *fixture) startsWithin(length clock.Millis, end func(order Order)) (starts int, longest clock.Millis) {
	fixture.t.Helper()
	last := fixture.now
	for until := fixture.now.Add(length); fixture.now.Before(until); {
		for _, order := range fixture.plan(50 * clock.Millisecond) {
			starts++
			longest, last = max(longest, fixture.now.Sub(last)), fixture.now
			end(order)
		}
	}
	return starts, longest
}

// TestRestartsAreDelayed guards against a standing task that fails at once, or a task that each worker refuses, which is started
// as often as the leader plans, and against a standing task that is not started within 3 s.
func TestRestartsAreDelayed(t *testing.T) {
	cases := map[string]struct {
		standing bool
		end      func(fixture *fixture, order Order)
	}{
		"standing task that fails": {true, func(fixture *fixture, order Order) { fixture.end(order, workflow.Faulted) }},
		"task that is refused": {false, func(fixture *fixture, order Order) {
			fixture.scheduler.RecordRejection(order.Worker, order.Name, order.Run, true, fixture.now)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 40)
			step := oneCoreStep(1)
			step.Standing = test.standing
			fixture.submit("job", step)
			starts, longest := fixture.startsWithin(20*clock.Second, func(order Order) { test.end(fixture, order) })
			if starts < 8 || starts > 14 {
				t.Errorf("got %d starts in 20 s, want 8 to 14", starts)
			}
			if longest >= 3*clock.Second {
				t.Errorf("got %s between two starts, want less than 3 s", longest)
			}
		})
	}
}

// TestLongRunEndsDelay guards against a standing task that starts late because it failed soon after its start long ago.
func TestLongRunEndsDelay(t *testing.T) {
	fixture := newFixture(t, 1)
	step := oneCoreStep(1)
	step.Standing = true
	fixture.submit("job", step)
	fixture.startsWithin(10*clock.Second, func(order Order) { fixture.end(order, workflow.Faulted) })
	starts := fixture.plan(maxRestartDelay)
	assertStartCount(t, starts, 1)
	fixture.now = fixture.now.Add(quickFailure)
	fixture.end(starts[0], workflow.Faulted)
	assertStartCount(t, fixture.plan(1), 1)
}
