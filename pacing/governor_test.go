package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

// allocateByRule is the rule of the governor: one factor for all tasks that contribute. It is written out here, apart from the
// governor, so that a change of its rule is noticed.
func allocateByRule(governor *Governor, serving []ServingSample, filling []FillingSample, weights WeightFunc) map[string]int {
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

// randomSamples returns samples of up to 5 serving and 9 filling tasks of some images.
func randomSamples(random *rand.Rand) ([]ServingSample, []FillingSample) {
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
			Task: fmt.Sprint("f", number), Image: Image(fmt.Sprint("filling-", random.IntN(6))), Cores: cores, Used: cores * random.Float64(),
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

// TestPacesFollowTheRule guards against paces that differ between tasks which disturb a serving task alike, or that exceed what it
// allows.
func TestPacesFollowTheRule(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	throttled := 0
	for range 2000 {
		governor, weights := NewGovernor(maxOverTarget), randomWeights(random)
		now := clock.Time(clock.Minute)
		for range 8 {
			serving, filling := randomSamples(random)
			now = now.Add(clock.Second / 2)
			governor.Decide(serving, filling, weights, now)
			for task, want := range allocateByRule(governor, serving, filling, weights) {
				if got := governor.Pace(task); got != want {
					t.Fatalf("pace of %s is %d, want %d (serving %+v, filling %+v)", task, got, want, serving, filling)
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

// TestHaltPausesTasks guards against a serving task that stays over its target through a task that the model takes for harmless.
func TestHaltPausesTasks(t *testing.T) {
	governor := NewGovernor(maxOverTarget)
	now := clock.Time(clock.Minute)
	for range 4 {
		now = now.Add(clock.Second / 2)
		governor.Decide([]ServingSample{{Task: "s", Image: sensitive, Tail: 150, Target: 100}},
			[]FillingSample{{Task: "f", Image: light, Cores: 2, Used: 2}}, trueWeight, now)
	}
	if got := governor.Pace("f"); got != 0 {
		t.Errorf("pace of a task is %d after a halt, want 0", got)
	}
}
