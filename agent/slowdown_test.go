package agent

import (
	"testing"

	"hyssopjunction/clock"
)

// TestSlowdownMeter guards against interference that is not detected, false detections from few or
// missing requests, and blaming the neighbours forever after the service itself became slower.
func TestSlowdownMeter(t *testing.T) {
	meter := &slowdownMeter{}
	now := clock.Time(clock.Minute)
	// measure adds one of the latencies in turn each second and returns the last slowdown.
	measure := func(seconds int, latencies ...clock.Millis) int32 {
		slowdown := int32(0)
		for second := range seconds {
			now = now.Add(clock.Second)
			slowdown = meter.measure(latencies[second%len(latencies)], now)
		}
		return slowdown
	}
	for _, step := range []struct {
		name        string
		seconds     int
		latencies   []clock.Millis
		least, most int32
	}{
		{"usual", 300, []clock.Millis{20, 21}, 100, 105},
		{"noise of few requests", 300, []clock.Millis{16, 25, 19, 24}, 100, 114},
		{"interference", 120, []clock.Millis{40, 41}, 170, 205},
		{"after interference", 300, []clock.Millis{20, 21}, 100, 105},
		{"stall", 30, []clock.Millis{50_000, 50_001}, 1000, 1000},
		{"no requests", 30, []clock.Millis{50_000}, 100, 100},
		{"slower for good", 4 * 3600, []clock.Millis{60, 61}, 100, 105},
	} {
		t.Run(step.name, func(t *testing.T) {
			if have := measure(step.seconds, step.latencies...); have < step.least || have > step.most {
				t.Fatalf("have %d, want %d to %d", have, step.least, step.most)
			}
		})
	}
}
