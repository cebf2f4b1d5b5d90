package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// TestLargeStandingTasksGetRoom guards against large standing tasks that wait for good although the workers together have room
// for them twice over, because smaller tasks leave that room in pieces (load pattern: a service near its capacity, standing tasks
// of many sizes, the largest come last).
func TestLargeStandingTasksGetRoom(t *testing.T) {
	const workers = 8
	fixture := newFixture(t, workers)
	standing := func(count int, cores unit.MilliCPU) workflow.Step {
		step := servingStep(count, "image")
		step.Need = unit.Resources{CPU: cores * 1000, Memory: 1000}
		return step
	}
	fixture.submit("small", standing(3*workers, 8))
	assertStartCount(t, fixture.plan(0), 3*workers)
	fixture.now = fixture.now.Add(minServingStay)
	fixture.submit("large", standing(2, 16))
	assertStartCount(t, fixture.plan(1), 0)

	started, interrupted := 0, 0
	for range 4 {
		for _, stop := range fixture.stops(headroomWait) {
			interrupted++
			fixture.end(stop, workflow.Interrupted)
		}
		// What comes meanwhile must not take the room that is being made.
		fixture.submit("late", standing(1, 8))
		for _, order := range fixture.plan(clock.Millisecond) {
			if order.Name.Job == "large" {
				started++
			}
		}
	}
	if started != 2 || interrupted != 2 {
		t.Errorf("%d large tasks started after %d moves, want 2 and 2", started, interrupted)
	}
	assertWithinCapacity(t, fixture)
}
