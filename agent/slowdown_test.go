package agent

import (
	"testing"

	"hyssopjunction/clock"
)

// Guards against a slowdown that is not seen, is unbounded, or is held against the neighbours for
// ever after the service itself became slower.
func TestSlowdownMeter(t *testing.T) {
	meter := &slowdownMeter{}
	now := clock.Time(clock.Minute)
	for _, step := range []struct {
		name    string
		latency clock.Millis
		after   clock.Millis
		least   int32
		most    int32
	}{
		{"too short to compare", 2, 0, 100, 100},
		{"first reading", 20, 0, 100, 100},
		{"disturbed", 30, clock.Second, 150, 150},
		{"stall", 5000, clock.Second, 1000, 1000},
		{"undisturbed again", 20, clock.Second, 100, 100},
		{"slower for good", 30, 90 * clock.Minute, 100, 100},
	} {
		t.Run(step.name, func(t *testing.T) {
			now = now.Add(step.after)
			if have := meter.measure(step.latency, now); have < step.least || have > step.most {
				t.Fatalf("have %d, want %d to %d", have, step.least, step.most)
			}
		})
	}
}
