package assignment

import (
	"testing"

	"hyssopjunction/clock"
)

// TestGain guards against moves that make a task end later: the stop, the restore and the work since the checkpoint count,
// and a task that is long by itself is so elsewhere too.
func TestGain(t *testing.T) {
	bounds := Bounds{RemoteFactor: 1.5, Restore: 250, StopTimeout: 600}
	for name, test := range map[string]struct {
		course Course
		speed  float64
		want   clock.Millis
	}{
		"paused":                       {Course{Work: 2000, Done: 0.5, Saved: 0.5, Speed: 0}, 1, 10_000 - 850 - 1000},
		"throttled":                    {Course{Work: 2000, Done: 0.5, Saved: 0.5, Speed: 0.25}, 1, 4000 - 850 - 1000},
		"without a checkpoint":         {Course{Work: 2000, Done: 0.5, Speed: 0.25}, 1, 4000 - 600 - 2000},
		"almost done":                  {Course{Work: 2000, Done: 0.9, Saved: 0.5, Speed: 0.25}, 1, 800 - 850 - 1000},
		"long task on a usual worker":  {Course{Work: ExpectedWork(2000, 4000, 0.286), Done: 0.286, Saved: 0.286, Speed: 1}, 1, -850},
		"slow target":                  {Course{Work: 2000, Done: 0.5, Saved: 0.5, Speed: 0.5}, 0.5, -850},
		"speed that is hardly slower":  {Course{Work: 8000, Done: 0.5, Saved: 0.5, Speed: 0.8}, 1, 5000 - 850 - 4000},
		"target without any room left": {Course{Work: 2000, Done: 0.5, Saved: 0.5, Speed: 0.25}, 0, 4000 - 850 - 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			if got := bounds.Gain(test.course, test.speed); max(got-test.want, test.want-got) > 2 {
				t.Errorf("gain is %s, want %s", got, test.want)
			}
		})
	}
}

// TestExpectedWork guards against a first report of little progress that makes a task look many times longer than it is, and
// against an estimate that holds although most of the task is done.
func TestExpectedWork(t *testing.T) {
	if got := ExpectedWork(2000, 500, 0.25); got < 1990 || got > 2010 {
		t.Errorf("a task as long as estimated is expected to take %s", got)
	}
	if got := ExpectedWork(2000, 100, 0); got > 3100 {
		t.Errorf("a task without progress in 0.1 s is expected to take %s", got)
	}
	if got := ExpectedWork(2000, 7000, 0.5); got < 11_000 {
		t.Errorf("a task that did half of its work in 7 s is expected to take %s", got)
	}
}

// TestHistory guards against tasks that move again and again, or back to a worker that they just left.
func TestHistory(t *testing.T) {
	now := clock.Time(clock.Minute)
	history := History(nil).Add("first", now)
	if !history.MayMove(now.Add(1000)) || !history.Left("first", now.Add(1000)) || history.Left("second", now.Add(1000)) {
		t.Error("after one move a task may move once more, but not back")
	}
	history = history.Add("second", now.Add(2000))
	if history.MayMove(now.Add(9999)) {
		t.Error("a third move is allowed within the window")
	}
	if !history.MayMove(now.Add(moveWindow)) || history.Left("first", now.Add(moveWindow)) || !history.Left("second", now.Add(moveWindow)) {
		t.Error("the first move still counts after the window, or the second one no longer does")
	}
}
