package dispatch

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// TestPercentileCoversLastTwoMinutes guards against a percentile below the true one or more than a
// tenth above it, and against response times that still count long after they were recorded.
func TestPercentileCoversLastTwoMinutes(t *testing.T) {
	recorder := &latencyRecorder{services: map[ident.Service]*latencyWindows{}}
	wantBetween := func(now clock.Time, low, high clock.Millis) {
		t.Helper()
		if got := recorder.percentile("checks", 99, now); got < low || got > high {
			t.Errorf("p99 at %d is %d ms, want %d to %d", now, got, low, high)
		}
	}
	start := clock.Time(1_000_000)
	wantBetween(start, 0, 0)
	for index := range clock.Millis(1000) {
		recorder.record("checks", index+1, start.Add(index*50))
	}
	wantBetween(start.Add(50*clock.Second), 990, 1089)
	// The previous window still counts.
	wantBetween(start.Add(70*clock.Second), 990, 1089)
	recorder.record("checks", 10, start.Add(71*clock.Second))
	wantBetween(start.Add(129*clock.Second), 990, 1089)
	wantBetween(start.Add(131*clock.Second), 10, 11)
	wantBetween(start.Add(10*clock.Minute), 0, 0)
	if recorder.percentile("other", 99, start) != 0 {
		t.Error("a service without responses has a percentile")
	}
}

// TestBucketBoundsResponseTime guards against response times at the ends of the range that get a wrong
// bucket.
func TestBucketBoundsResponseTime(t *testing.T) {
	for _, responseTime := range []clock.Millis{0, 1, 2, 999, clock.Day} {
		if bound := upperBound(bucketIndex(responseTime)); bound < responseTime || float64(bound) > float64(max(1, responseTime))*latencyGrowth+1 {
			t.Errorf("%d ms is counted as %d ms", responseTime, bound)
		}
	}
}
