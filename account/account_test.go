package account

import (
	"testing"

	"hyssopjunction/clock"
)

func assertSplit(t *testing.T, got, want Split) {
	t.Helper()
	for _, cause := range Causes() {
		if got[cause] != want[cause] {
			t.Errorf("%s: got %d, want %d", cause, got[cause], want[cause])
		}
	}
}

// An account that does not add up to the time of the job would hide where the time goes.
func TestChainAddsUpToTheTimeOfTheJob(t *testing.T) {
	first := NewStep(2, 0, 0)
	first.Wait(Room, 100)
	quick, slow := NewRun(300), NewRun(300)
	first.Place(0, 300)
	first.Place(1, 300)
	quick.Report(0, false, 500)
	first.End(0, &quick, Ending{Finished: true}, 600)
	slow.Report(50, true, 700) // A throttle counts for the interval before the report.
	slow.Report(50, false, 900)
	first.End(1, &slow, Ending{Repeated: Moved}, 1000)
	first.Wait(Slow, 1000)
	second := NewRun(1200)
	first.Place(1, 1200)
	first.End(1, &second, Ending{Finished: true}, 1500)
	last := NewStep(1, 0, first.Ended())
	run := NewRun(1500)
	last.Place(0, 1500)
	last.End(0, &run, Ending{Finished: true}, 2000)
	total, tail := Chain([]*Step{first, last}, func(step int) []int { return [][]int{nil, {0}}[step] })
	assertSplit(t, total, Split{Unseen: 100, Room: 200, Slow: 200, Work: 200 + 300 + 500, Throttled: 200, Moved: 300})
	if total.Total() != 2000 || tail != 900 {
		t.Errorf("got %d ms with a tail of %d, want 2000 and 900", total.Total(), tail)
	}
}

func TestStepAccounts(t *testing.T) {
	tests := []struct {
		name string
		play func(step *Step)
		want Split
	}{
		{"a leader that plans nothing", func(step *Step) {
			step.Wait(Room, 0)
			step.Wait(Room, 900)
			step.Place(0, 1000)
		}, Split{Stalled: 900, Room: 100}},
		{"a cause that changes", func(step *Step) {
			step.Wait(Rack, 100)
			step.Wait(Held, 200)
			step.Place(0, 400)
		}, Split{Unseen: 100, Rack: 100, Held: 200}},
		{"a failure, a loss and a saved stop", func(step *Step) {
			at := clock.Time(10)
			for _, ending := range []Ending{{Repeated: Failed}, {Repeated: Lost}, {Saved: true, Repeated: Moved}} {
				run := NewRun(at)
				step.Place(0, at)
				at = at.Add(10)
				step.End(0, &run, ending, at)
			}
		}, Split{Unseen: 10, Failed: 10, Lost: 10, Work: 10}},
		{"an end after the last one is ignored", func(step *Step) {
			run := NewRun(10)
			step.Place(0, 10)
			step.End(0, &run, Ending{Finished: true}, 50)
			step.End(0, &run, Ending{Finished: true}, 99)
		}, Split{Unseen: 10, Work: 40}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			step := NewStep(1, 0, 0)
			test.play(step)
			got := step.last
			if step.Ended() == 0 {
				got = step.spent[0]
			}
			assertSplit(t, got, test.want)
		})
	}
}

// Tasks that finished under an earlier leader count, so that the step ends with the last one.
func TestRestoredStepEnds(t *testing.T) {
	step, run := NewStep(3, 2, 0), NewRun(10)
	step.Place(0, 10)
	step.End(0, &run, Ending{Finished: true}, 20)
	if step.Ended() != clock.Time(20) {
		t.Errorf("got %d, want 20", step.Ended())
	}
}
