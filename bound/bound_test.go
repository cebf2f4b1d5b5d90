package bound

import (
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

// exhaustive returns the highest value of jobs of one unit of work each, trying all assignments of jobs to intervals.
func exhaustive(jobs []Job, free []float64, interval clock.Millis) float64 {
	if len(jobs) == 0 {
		return 0
	}
	best := exhaustive(jobs[1:], free, interval)
	for position := range free {
		begin, end := clock.Time(position)*clock.Time(interval), clock.Time(position+1)*clock.Time(interval)
		if free[position] >= 1 && !begin.Before(jobs[0].Begin) && !end.After(jobs[0].End) {
			free[position]--
			best = max(best, jobs[0].Value+exhaustive(jobs[1:], free, interval))
			free[position]++
		}
	}
	return best
}

// A bound below what some plan earns would send work in the wrong direction.
func TestOnTimeIsOptimal(t *testing.T) {
	const interval = 100
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var jobs []Job
		for range 1 + random.IntN(5) {
			begin := random.IntN(4)
			jobs = append(jobs, Job{
				Begin: clock.Time(begin * interval), End: clock.Time((begin + 1 + random.IntN(4-begin)) * interval), Work: interval, Value: float64(1 + random.IntN(9)),
			})
		}
		capacity := Capacity{Interval: interval}
		for range 4 {
			capacity.Cores = append(capacity.Cores, float64(random.IntN(3)))
		}
		want := exhaustive(jobs, append([]float64(nil), capacity.Cores...), interval)
		if got := OnTime(jobs, capacity); math.Abs(got-want) > 1e-6 {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
	}
}

func TestOnTimeCountsParts(t *testing.T) {
	tests := []struct {
		name  string
		jobs  []Job
		cores []float64
		want  float64
	}{
		{"no jobs", nil, []float64{1}, 0},
		{"half of a job", []Job{{End: 100, Work: 200, Value: 8}}, []float64{1}, 4},
		{"the denser job first", []Job{{End: 100, Work: 100, Value: 1}, {End: 100, Work: 100, Value: 3}}, []float64{1}, 3},
		{"a job outside the record", []Job{{Begin: 500, End: 900, Work: 100, Value: 1}}, []float64{1}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := OnTime(test.jobs, Capacity{Interval: 100, Cores: test.cores}); math.Abs(got-test.want) > 1e-6 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
