package pacing

import (
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

const (
	sensitive Image = "sensitive"
	robust    Image = "robust"
	heavy     Image = "heavy"
	light     Image = "light"
)

// maxOverTarget is how long serving tasks may exceed their target.
const maxOverTarget = 4 * clock.Second

// trueWeight is the weight of the test images: only the heavy one slows the sensitive one.
func trueWeight(serving, filling Image) float64 {
	if serving == sensitive && filling == heavy {
		return 0.3
	}
	return 0
}

// TestModelSeparatesHeavyFromLightImages guards against a model that attributes the interference of a heavy
// image to a light one on the same worker, while the own load of the serving tasks varies by a factor of three.
func TestModelSeparatesHeavyFromLightImages(t *testing.T) {
	model := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	now := clock.Time(clock.Minute)
	for second := range 40 {
		now = now.Add(clock.Second)
		filling := []FillingSample{
			{Task: "h", Image: heavy, Used: float64(random.IntN(3)) * 2}, {Task: "l", Image: light, Used: float64(random.IntN(3)) * 2},
		}
		var serving []ServingSample
		for _, image := range []Image{sensitive, robust} {
			baselineTail := 40 * math.Exp(0.55*math.Sin(float64(second)/3)+0.1*random.NormFloat64())
			tail := baselineTail * math.Exp(trueWeight(image, heavy)*filling[0].Used)
			serving = append(serving, ServingSample{Task: string(image), Image: image, Tail: clock.Millis(tail), Target: 400})
		}
		model.Observe(serving, filling, now)
	}
	for _, serving := range []Image{sensitive, robust} {
		for _, filling := range []Image{heavy, light} {
			got, want := model.Weight(serving, filling, now), trueWeight(serving, filling)
			if math.Abs(got-want) > 0.06 {
				t.Errorf("weight of %s on %s is %.3f, want %.3f", filling, serving, got, want)
			}
		}
	}
}

// longestTimeOverTarget simulates a worker on which the heavy image slows a serving task, while the governor uses
// the given weights. It returns the longest time over the target during which the filling task was not paused.
func longestTimeOverTarget(t *testing.T, weights WeightFunc, baselineTail float64) clock.Millis {
	t.Helper()
	governor := NewGovernor(maxOverTarget)
	now := clock.Time(clock.Minute)
	longest, over := clock.Millis(0), clock.Millis(0)
	for range 60 {
		now = now.Add(clock.Second / 2)
		pace := governor.Pace("h")
		used := 6 * float64(pace) / FullPace
		tail := baselineTail * math.Exp(0.3*used)
		if tail > 100 && pace > 0 {
			over += clock.Second / 2
		} else {
			over = 0
		}
		longest = max(longest, over)
		governor.Decide(
			[]ServingSample{{Task: "s", Image: sensitive, Tail: clock.Millis(tail), Target: 100}},
			[]FillingSample{{Task: "h", Image: heavy, Cores: 6, Used: used}}, weights, now)
	}
	return longest
}

// TestGovernorKeepsTarget guards against filling tasks that keep a serving task over its target for longer than
// allowed, also if the model is wrong: with a weight of 0 for the heavy image the target stayed exceeded.
func TestGovernorKeepsTarget(t *testing.T) {
	cases := map[string]WeightFunc{
		"exact weights":   trueWeight,
		"zero weights":    func(Image, Image) float64 { return 0 },
		"weights too low": func(Image, Image) float64 { return 0.03 },
	}
	for name, weights := range cases {
		t.Run(name, func(t *testing.T) {
			for _, baselineTail := range []float64{30, 60, 90} {
				if got := longestTimeOverTarget(t, weights, baselineTail); got >= maxOverTarget {
					t.Errorf("baseline tail %.0f: over the target for %s while the filling task ran, want less than %s", baselineTail, got, maxOverTarget)
				}
			}
		})
	}
}

// TestGovernorKeepsFullPaceBelowTarget guards against throttling although no serving task is near its target.
func TestGovernorKeepsFullPaceBelowTarget(t *testing.T) {
	governor := NewGovernor(maxOverTarget)
	now := clock.Time(clock.Minute)
	for range 10 {
		now = now.Add(clock.Second / 2)
		governor.Decide([]ServingSample{{Task: "s", Image: robust, Tail: 60, Target: 100}},
			[]FillingSample{{Task: "h", Image: heavy, Cores: 6, Used: 6}}, trueWeight, now)
	}
	if got := governor.Pace("h"); got != FullPace {
		t.Errorf("pace is %d, want %d", got, FullPace)
	}
}

// TestModelLearnsFromReplicasWithinSeconds guards against slow learning if the own load of serving tasks varies
// by more than the interference. Comparing replicas on different workers must reveal the weights within 5 s.
func TestModelLearnsFromReplicasWithinSeconds(t *testing.T) {
	model := NewModel()
	random := rand.New(rand.NewPCG(3, 4))
	now := clock.Time(clock.Minute)
	for range 10 {
		now = now.Add(clock.Second / 2)
		baselineTail := 20 * math.Exp(1.5*random.Float64())
		var replicas []ReplicaSample
		for worker := range 4 {
			usage := map[Image]float64{heavy: float64(worker % 2 * 3), light: float64(worker / 2 * 3)}
			tail := baselineTail * math.Exp(trueWeight(sensitive, heavy)*usage[heavy]+0.15*random.NormFloat64())
			replicas = append(replicas, ReplicaSample{Tail: clock.Millis(tail), Target: 400, Used: usage})
		}
		model.ObserveReplicas(sensitive, replicas)
	}
	if got := model.Weight(sensitive, heavy, now); math.Abs(got-0.3) > 0.06 {
		t.Errorf("weight of the heavy image after 5 s is %.3f, want 0.3", got)
	}
	if got := model.Weight(sensitive, light, now); got > 0.04 {
		t.Errorf("weight of the light image after 5 s is %.3f, want 0", got)
	}
}
