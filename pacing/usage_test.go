package pacing

import "testing"

// Tasks that use less than they request must not be paced as if they used all of it, and single samples at a pace that has just
// changed must not count.
func TestUsage(t *testing.T) {
	type sample struct {
		used float64
		pace int
	}
	tests := []struct {
		name    string
		samples []sample
		want    float64
	}{
		{"no sample", nil, 1},
		{"full usage", []sample{{4, 100}, {4, 100}}, 1},
		{"two thirds", []sample{{2.7, 100}, {2.7, 100}, {2.7, 100}}, 0.675},
		{"two thirds at half pace", []sample{{1.35, 50}, {1.35, 50}}, 0.675},
		{"pace that has just changed", []sample{{4, 100}, {4, 100}, {4, 30}}, 1},
		{"paused", []sample{{0, 0}, {0, 0}}, 1},
		{"not started yet", []sample{{0, 100}, {0, 100}}, 1},
		{"noise above the request", []sample{{5, 100}, {5, 100}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var usage Usage
			for _, sample := range test.samples {
				usage.Observe(4, sample.used, sample.pace)
			}
			if got := usage.Share(); got < test.want-0.001 || got > test.want+0.001 {
				t.Errorf("got %.3f, want %.3f", got, test.want)
			}
		})
	}
}
