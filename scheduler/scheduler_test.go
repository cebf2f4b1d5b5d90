package scheduler

import (
	"testing"

	"hyssopjunction/workflow"
)

// Guards against a job that is dropped while a worker may still run it: its resources would never
// become free, and a late report would find nothing to stop.
func TestForget(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("job", step(1))
	starts := w.plan(0)
	wantStarts(t, starts, 1)
	wantForgotten(t, w, false, "a running job")
	w.book.Cancel("job")
	wantForgotten(t, w, false, "a cancelled job whose state is not stored")
	w.plan(1)
	wantForgotten(t, w, false, "a cancelled job that is being stopped")
	w.end(starts[0], workflow.Interrupted)
	wantForgotten(t, w, false, "a job whose last end is not stored")
	w.plan(1)
	wantForgotten(t, w, true, "a cancelled job without runs")
	if _, known := w.book.State("job"); known {
		t.Error("the job is still known")
	}
	w.book.Progress(starts[0].Worker, []Progress{{Name: starts[0].Name, Run: starts[0].Run, Percent: 5}}, w.now)
	if _, orders := w.book.TakeChanges(); len(orders) != 1 || !orders[0].Stop {
		t.Errorf("got orders %v for a late start of a forgotten job, want one stop", orders)
	}
}

func wantForgotten(t *testing.T, w *world, want bool, what string) {
	t.Helper()
	if idle := w.book.Idle("job"); idle != want {
		t.Errorf("%s: idle %v, want %v", what, idle, want)
	}
	if got := w.book.Forget("job"); got != want {
		t.Errorf("%s: forgotten %v, want %v", what, got, want)
	}
}
