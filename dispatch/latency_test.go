package dispatch

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Guards against a percentile below the true one or more than a tenth above it, and against response
// times that are shown long after they happened.
func TestLatencyPercentile(t *testing.T) {
	book := &latencyBook{services: map[ident.Service]*latency{}}
	wantBetween := func(now clock.Time, low, high clock.Millis) {
		t.Helper()
		if got := book.percentile("checks", 99, now); got < low || got > high {
			t.Errorf("p99 at %d is %d ms, want %d to %d", now, got, low, high)
		}
	}
	start := clock.Time(1_000_000)
	wantBetween(start, 0, 0)
	for taken := range clock.Millis(1000) {
		book.record("checks", taken+1, start.Add(taken*50))
	}
	wantBetween(start.Add(50*clock.Second), 990, 1089)
	// The window before the running one still counts.
	wantBetween(start.Add(70*clock.Second), 990, 1089)
	book.record("checks", 10, start.Add(71*clock.Second))
	wantBetween(start.Add(129*clock.Second), 990, 1089)
	wantBetween(start.Add(131*clock.Second), 10, 11)
	wantBetween(start.Add(10*clock.Minute), 0, 0)
	if book.percentile("other", 99, start) != 0 {
		t.Error("a service without responses has a percentile")
	}
}

// Guards against response times outside of the covered range.
func TestLatencyBuckets(t *testing.T) {
	for _, taken := range []clock.Millis{0, 1, 2, 999, clock.Day} {
		if bound := boundOf(bucketOf(taken)); bound < taken || float64(bound) > float64(max(1, taken))*latencyGrowth+1 {
			t.Errorf("%d ms is counted as %d ms", taken, bound)
		}
	}
}
