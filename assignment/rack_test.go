package assignment

import (
	"testing"

	"hyssopjunction/clock"
)

// TestRackQueue guards against a wait that is estimated without the tasks ahead, or without the ends of those.
func TestRackQueue(t *testing.T) {
	now := clock.Time(clock.Minute)
	queue := NewRackQueue([]Ending{{At: now.Add(300), CPU: 500}, {At: now.Add(100), CPU: 300}}, now)
	for position, want := range []clock.Millis{100, 300, 600} {
		start, ok := queue.NextStart(300)
		if !ok || start.Sub(now) != want {
			t.Fatalf("task %d starts after %s, %v, want %s", position, start.Sub(now), ok, want)
		}
		queue.Join(300, 500)
	}
	if _, ok := queue.NextStart(5000); ok {
		t.Error("a task larger than all that is freed has a start")
	}
}

// TestWaitsForRack guards against tasks that wait although they end sooner elsewhere, that wait on and on because the
// queue moves more slowly than expected, and that miss their objective elsewhere although a wait would do.
func TestWaitsForRack(t *testing.T) {
	now := clock.Time(clock.Minute)
	for name, test := range map[string]struct {
		factor              float64
		wait, waited, slack clock.Millis
		want                bool
	}{
		"short wait":                           {1.5, 100, 0, 5000, true},
		"long queue while slack is left":       {1.5, 300, 0, 5000, false},
		"long queue without slack":             {1.5, 300, 0, 400, true},
		"remote run ends first":                {1.5, 500, 0, 400, false},
		"meets its objective only on the rack": {3, 1500, 0, 1600, true},
		"waited as long as a remote run":       {3, 100, 2950, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			bounds := Bounds{RemoteFactor: test.factor}
			task := DataTask{Estimate: clock.Second, Waited: test.waited, LatestStart: now.Add(test.slack)}
			if got := bounds.WaitsForRack(task, now.Add(test.wait), now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
