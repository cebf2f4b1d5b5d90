package scheduler

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// TestBlockedNeedKeepsItsRequirements guards against steps that wait for a round although they fit, because a step with
// the same need but a stricter requirement found no room before them.
func TestBlockedNeedKeepsItsRequirements(t *testing.T) {
	cases := map[string]func(step *workflow.Step){
		"label":            func(step *workflow.Step) { step.Label = "missing" },
		"limit per worker": func(step *workflow.Step) { step.PerWorker = 1 },
		"sensitive image":  func(step *workflow.Step) { step.Fills, step.Image = true, "heavy" },
	}
	for name, restrict := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 1)
			fixture.learn("serving", "heavy", 0.4)
			fixture.learn("serving", "light", 0)
			fixture.submit("standing", servingStep(1, "serving"))
			assertStartCount(t, fixture.plan(0), 1)
			fixture.report(incarnationName(0), 45)
			strict, free := fillingStep(2, "light"), fillingStep(1, "light")
			if name != "sensitive image" {
				strict, free = oneCoreStep(2), oneCoreStep(1)
			}
			restrict(&strict)
			fixture.submit("a-strict", strict)
			fixture.submit("b-free", free)
			started := map[workflow.ID]int{}
			for _, order := range fixture.plan(1) {
				started[order.Name.Job]++
			}
			if started["a-strict"] > 1 || started["b-free"] != 1 {
				t.Errorf("started %v, want the free job's task and at most one of the strict job's", started)
			}
		})
	}
}

// TestOverloadRunsFewerJobsFaster guards against an overload of filling jobs in which all run slowly and none meets its
// objective: a task that would reach two thirds of its speed waits, and one that would reach most of it starts.
func TestOverloadRunsFewerJobsFaster(t *testing.T) {
	for name, test := range map[string]struct {
		tail int64
		want int
	}{
		"two thirds": {49, 0}, // The room up to 0.6 of the target is 0.2, and a task takes 0.3 of it.
		"most":       {45, 1}, // The room is 0.29.
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, 1)
			fixture.learn("serving", "heavy", 0.1)
			fixture.submit("standing", servingStep(1, "serving"))
			assertStartCount(t, fixture.plan(0), 1)
			fixture.report(incarnationName(0), test.tail)
			fixture.submit("filling", fillingStep(4, "heavy"))
			assertStartCount(t, fixture.plan(clock.Second/10), test.want)
		})
	}
}

// TestLateJobIsNotStarved guards against late jobs that wait for good although nothing else waits: no worker ever let
// their tasks reach the speed that jobs in time ask for, and 400 tasks were left at the end of a day.
func TestLateJobIsNotStarved(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.learn("serving", "heavy", 0.1)
	fixture.submit("standing", servingStep(1, "serving"))
	assertStartCount(t, fixture.plan(0), 1)
	fixture.report(incarnationName(0), 49) // A task reaches two thirds of its speed.
	fixture.submit("filling", fillingStep(1, "heavy"))
	assertStartCount(t, fixture.plan(clock.Second/10), 0)
	fixture.now = fixture.now.Add(2 * clock.Second)
	fixture.report(incarnationName(0), 49)
	assertStartCount(t, fixture.plan(clock.Second/2), 1)
}

// TestBurstUsesWhatStandingTasksLeave guards against a burst of large jobs that waits beside idle cores: standing tasks reserve
// for their peaks, and a worker that was taken for busier than it is left a fifth of its cores unused while jobs were late.
func TestBurstUsesWhatStandingTasksLeave(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.learn("serving", "light", 0)
	fixture.submit("standing", servingStep(7, "serving"))
	assertStartCount(t, fixture.plan(0), 7)
	fixture.report(incarnationName(0), 30)
	fixture.submit("burst", fillingStep(12, "light"))
	assertStartCount(t, fixture.plan(clock.Second/10), 6) // 18 of the 18 cores that are idle while 28 are reserved.
}
