package placement

import (
	"testing"

	"hyssopjunction/clock"
)

// TestWaitIsCountedOnce guards against a job that seems to have waited twice as long as it has: a newer row of another
// entry holds the wait up to its write, and the time since the job was loaded was added to it again.
func TestWaitIsCountedOnce(t *testing.T) {
	const loaded, written = 20 * clock.Second, 12 * clock.Second
	cases := map[string]struct {
		waited, want clock.Millis
	}{
		"written by this entry's clock": {loaded, loaded},
		"written a while ago":           {written, loaded},
		"written by a slower entry":     {2 * loaded, 2 * loaded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, Settings{}, Dependencies{}, 0, workerCapacity)
			sim.submit(batchSpec("job", 1, smallTask), smallTask, clock.Hour)
			view := sim.scheduler.jobs["job"]
			sim.scheduler.now = sim.scheduler.now.Add(loaded)
			newer := view.base.Clone()
			newer.Waited = test.waited
			sim.scheduler.rebase(view, newer, view.revision+1)
			if got := sim.scheduler.waitingTime(view); got != test.want {
				t.Errorf("the job has waited %s, want %s", got, test.want)
			}
			sim.scheduler.now = sim.scheduler.now.Add(clock.Second)
			if got := sim.scheduler.waitingTime(view); got != test.want+clock.Second {
				t.Errorf("a second later the job has waited %s, want %s", got, test.want+clock.Second)
			}
		})
	}
}
