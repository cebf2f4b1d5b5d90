package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

// allocateWithoutUrgency is the rule for tasks of one urgency: one factor for all tasks that contribute. It is written
// out here, apart from the governor, so that a change of the governor's rule is noticed.
func allocateWithoutUrgency(governor *Governor, serving []ServingSample, filling []FillingSample, weights WeightFunc) map[string]int {
	shares := make([]float64, len(filling))
	for position := range filling {
		shares[position] = 1
	}
	for _, task := range serving {
		trust, ok := governor.trust[task.Task]
		if !ok {
			trust = 1
		}
		minWeight := 0.0
		if task.ratio() > lowerTrustAbove && !isOwnLoad(task, filling, weights) {
			minWeight = minSuspectWeight
		}
		current, requested := 0.0, 0.0
		increases := make([]float64, len(filling))
		for position, other := range filling {
			weight := math.Max(minWeight, weights(task.Image, other.Image))
			current += weight * other.Used
			increases[position] = weight * other.Cores * shares[position]
			requested += increases[position]
		}
		allowed := (math.Log(setpointShare) - math.Log(task.ratio()) + current) * trust
		if requested <= 0 || requested <= allowed && trust >= 1 {
			continue
		}
		factor := math.Max(0, math.Min(1, allowed/requested))
		for position := range filling {
			if increases[position] > 0 && increases[position] >= requested/float64(4*len(filling)) {
				shares[position] *= factor
			}
		}
	}
	if governor.halted {
		clear(shares)
	}
	paces := map[string]int{}
	for position, task := range filling {
		paces[task.Task] = int(shares[position]*FullPace/paceStepPercent+0.5) * paceStepPercent
	}
	return paces
}

// randomSamples returns samples of up to 5 serving and 9 filling tasks of some images. All filling tasks are of the
// urgency that the function returns.
func randomSamples(random *rand.Rand, urgency func() Urgency) ([]ServingSample, []FillingSample) {
	var serving []ServingSample
	for number := range random.IntN(6) {
		serving = append(serving, ServingSample{
			Task: fmt.Sprint("s", number), Image: Image(fmt.Sprint("serving-", random.IntN(4))), Target: 400,
			Tail: clock.Millis(400 * math.Exp(1.6*random.Float64()-1.3)),
		})
	}
	var filling []FillingSample
	for number := range random.IntN(10) {
		cores := 0.5 + 2*random.Float64()
		filling = append(filling, FillingSample{
			Task: fmt.Sprint("f", number), Image: Image(fmt.Sprint("filling-", random.IntN(6))), Cores: cores, Used: cores * random.Float64(), Urgency: urgency(),
		})
	}
	return serving, filling
}

// randomWeights returns weights of which a third are negligible.
func randomWeights(random *rand.Rand) WeightFunc {
	weights := map[[2]Image]float64{}
	for serving := range 4 {
		for filling := range 6 {
			if random.IntN(3) > 0 {
				weights[[2]Image{Image(fmt.Sprint("serving-", serving)), Image(fmt.Sprint("filling-", filling))}] = 0.3 * random.Float64()
			}
		}
	}
	return func(serving, filling Image) float64 { return weights[[2]Image{serving, filling}] }
}

// TestEqualUrgencyKeepsPaces guards against a governor that paces tasks of one urgency in another way than the rule
// without urgencies.
func TestEqualUrgencyKeepsPaces(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	throttled := 0
	for range 2000 {
		governor, weights := NewGovernor(maxOverTarget), randomWeights(random)
		urgency := Urgency(random.IntN(4)) + Background
		now := clock.Time(clock.Minute)
		for range 8 {
			serving, filling := randomSamples(random, func() Urgency { return urgency })
			now = now.Add(clock.Second / 2)
			governor.Decide(serving, filling, weights, now)
			for task, want := range allocateWithoutUrgency(governor, serving, filling, weights) {
				if got := governor.Pace(task); got != want {
					t.Fatalf("pace of %s is %d, want %d (urgency %d, serving %+v, filling %+v)", task, got, want, urgency, serving, filling)
				}
				if want < FullPace {
					throttled++
				}
			}
		}
	}
	if throttled < 1000 {
		t.Fatalf("only %d tasks were throttled", throttled)
	}
}

// TestLessUrgentTasksTakeNoPace guards against tasks of low urgency that lower the pace of more urgent ones: in random
// samples, the paces of elevated and critical tasks must be those that they get without the others.
func TestLessUrgentTasksTakeNoPace(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 2000 {
		weights := randomWeights(random)
		serving, filling := randomSamples(random, func() Urgency { return Urgency(random.IntN(4)) + Background })
		// Tasks that have just started use nothing, so that they do not count in the measured tail latency.
		var urgent []FillingSample
		for position := range filling {
			if filling[position].Urgency >= Elevated {
				urgent = append(urgent, filling[position])
			} else {
				filling[position].Used = 0
			}
		}
		all, alone := NewGovernor(maxOverTarget), NewGovernor(maxOverTarget)
		all.Allocate(serving, filling, weights)
		alone.Allocate(serving, urgent, weights)
		for _, task := range urgent {
			if got, want := all.Pace(task.Task), alone.Pace(task.Task); got != want {
				t.Fatalf("pace of %s is %d, without less urgent tasks %d (serving %+v, filling %+v)", task.Task, got, want, serving, filling)
			}
		}
	}
}

// TestUrgentTasksGetPaceFirst guards against a critical task that shares the allowed increase with others, and against
// paces that exceed the allowed increase in sum.
func TestUrgentTasksGetPaceFirst(t *testing.T) {
	serving := []ServingSample{{Task: "s", Image: sensitive, Tail: 40, Target: 100}}
	cases := map[string]struct {
		urgencies []Urgency
		want      []int
	}{
		// The tail latency may increase by log(0.6/0.4) = 0.405, that is by 1.35 cores.
		"one urgency":            {[]Urgency{Normal, Normal, Normal}, []int{45, 45, 45}},
		"one critical":           {[]Urgency{Normal, Critical, Normal}, []int{20, 100, 20}},
		"one background":         {[]Urgency{Normal, Background, Normal}, []int{70, 0, 70}},
		"each of another level":  {[]Urgency{Elevated, Critical, Background}, []int{35, 100, 0}},
		"two critical":           {[]Urgency{Critical, Critical, Elevated}, []int{70, 70, 0}},
		"all of them background": {[]Urgency{Background, Background, Background}, []int{45, 45, 45}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var filling []FillingSample
			for position, urgency := range test.urgencies {
				filling = append(filling, FillingSample{Task: fmt.Sprint("f", position), Image: heavy, Cores: 1, Urgency: urgency})
			}
			governor := NewGovernor(maxOverTarget)
			governor.Allocate(serving, filling, trueWeight)
			for position, want := range test.want {
				if got := governor.Pace(filling[position].Task); got != want {
					t.Errorf("pace of task %d is %d, want %d", position, got, want)
				}
			}
		})
	}
}

// TestHaltPausesCriticalTasks guards against a serving task that stays over its target because the cause is critical.
func TestHaltPausesCriticalTasks(t *testing.T) {
	governor := NewGovernor(maxOverTarget)
	now := clock.Time(clock.Minute)
	for range 4 {
		now = now.Add(clock.Second / 2)
		governor.Decide([]ServingSample{{Task: "s", Image: sensitive, Tail: 150, Target: 100}},
			[]FillingSample{{Task: "f", Image: light, Cores: 2, Used: 2, Urgency: Critical}}, trueWeight, now)
	}
	if got := governor.Pace("f"); got != 0 {
		t.Errorf("pace of a critical task is %d after a halt, want 0", got)
	}
}
