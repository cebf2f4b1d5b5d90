package calibration

import (
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

func assertNear(t *testing.T, what string, got, want clock.Millis) {
	t.Helper()
	if ratio := float64(got) / float64(want); ratio < 0.85 || ratio > 1.15 {
		t.Errorf("%s: got %s, want about %s", what, got, want)
	}
}

// An estimate must not decide about a job by its error: the order of jobs, what counts as late, and which runs count as slow all
// follow from it.
func TestExpected(t *testing.T) {
	tests := []struct {
		name string
		// bias and scatter are those of the logarithm of estimates of tasks that take 2 s, give or take spread.
		bias, scatter, spread float64
		steps                 int
		estimate, want        clock.Millis
	}{
		{"nothing known", 0, 0, 0, 0, 700, 700},
		{"right estimates", 0, 0, 0.5, 100, 4000, 4000},
		{"estimates of half of the time", -math.Ln2, 0, 0.5, 100, 1500, 3000},
		{"estimates that say nothing", 0, 1, 0, 200, 8000, 2000},
		{"scatter as large as the spread", 0, 0.5, 0.5, 200, 8000, 4000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random, model := rand.New(rand.NewPCG(1, 2)), New()
			for range test.steps {
				taken := 2000 * math.Exp(test.spread*random.NormFloat64())
				estimate := taken * math.Exp(test.bias+test.scatter*random.NormFloat64())
				model.Observe("queue", clock.Millis(estimate), clock.Millis(taken))
			}
			assertNear(t, "expected time", model.Expected("queue", test.estimate), test.want)
			assertNear(t, "expected time of another group", model.Expected("other", test.estimate), test.estimate)
		})
	}
}

// Work that shifts must not be judged by what was learned before.
func TestExpectedFollowsShiftedWork(t *testing.T) {
	model := New()
	for _, taken := range []clock.Millis{1000, 3000} {
		for range 2 * maxWeight {
			model.Observe("queue", 1000, taken)
		}
	}
	assertNear(t, "expected time", model.Expected("queue", 1000), 3000)
	if got := model.Expected("queue", 0); got != 0 {
		t.Errorf("got %s without an estimate", got)
	}
}
