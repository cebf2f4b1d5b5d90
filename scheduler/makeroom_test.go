package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/mechanism"
	"hyssopjunction/set"
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

// TestHeldRoomIsReleasedWithoutColocation guards against room that stays held for good after the job that waits for it was
// cancelled, while the mechanism that held rooms first is switched off.
func TestHeldRoomIsReleasedWithoutColocation(t *testing.T) {
	fixture := newFixture(t, 2)
	fixture.scheduler.Disable(set.New(mechanism.Colocation))
	small, large := servingStep(6, "image"), servingStep(1, "image")
	small.Need, large.Need = unit.Resources{CPU: 8000, Memory: 1000}, unit.Resources{CPU: 16_000, Memory: 1000}
	fixture.submit("small", small)
	assertStartCount(t, fixture.plan(0), 6)
	fixture.now = fixture.now.Add(minServingStay)
	fixture.submit("large", large)
	assertStartCount(t, fixture.plan(1), 0)
	if stops := fixture.stops(headroomWait); len(stops) != 1 {
		t.Fatalf("got %d stops, want one that makes room", len(stops))
	}
	fixture.scheduler.Cancel("large")
	fixture.plan(transferTimeout)
	if held := len(fixture.scheduler.transfers); held != 0 {
		t.Errorf("room for %d tasks is still held", held)
	}
}
