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

// allowed is how long a target may be exceeded.
const allowed = 4 * clock.Second

// truth is how the images of the tests disturb each other.
func truth(serving, filling Image) float64 {
	if serving == sensitive && filling == heavy {
		return 0.3
	}
	return 0
}

// Guards against a model that blames a light image for what a heavy one does beside it, while the own
// load of the serving tasks swings by a factor of three: the load of the contest day.
func TestModelTellsHeavyFromLight(t *testing.T) {
	model := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	now := clock.Time(clock.Minute)
	for second := range 40 {
		now = now.Add(clock.Second)
		filling := []Filling{
			{Task: "h", Image: heavy, Used: float64(random.IntN(3)) * 2}, {Task: "l", Image: light, Used: float64(random.IntN(3)) * 2},
		}
		var serving []Serving
		for _, image := range []Image{sensitive, robust} {
			own := 40 * math.Exp(0.55*math.Sin(float64(second)/3)+0.1*random.NormFloat64())
			tail := own * math.Exp(truth(image, heavy)*filling[0].Used)
			serving = append(serving, Serving{Task: string(image), Image: image, Tail: clock.Millis(tail), Target: 400})
		}
		model.Observe(serving, filling, now)
	}
	for _, serving := range []Image{sensitive, robust} {
		for _, filling := range []Image{heavy, light} {
			got, want := model.Weight(serving, filling, now), truth(serving, filling)
			if math.Abs(got-want) > 0.06 {
				t.Errorf("weight of %s on %s is %.3f, want %.3f", filling, serving, got, want)
			}
		}
	}
}

// play runs a governor against a plant in which the heavy image disturbs, while the governor believes
// the weights. It returns the longest time over the target during which filling tasks worked.
func play(t *testing.T, believed Weights, own float64) clock.Millis {
	t.Helper()
	governor := NewGovernor(allowed)
	now := clock.Time(clock.Minute)
	longest, over := clock.Millis(0), clock.Millis(0)
	for range 60 {
		now = now.Add(clock.Second / 2)
		pace := governor.Pace("h")
		used := 6 * float64(pace) / FullPace
		tail := own * math.Exp(0.3*used)
		if tail > 100 && pace > 0 {
			over += clock.Second / 2
		} else {
			over = 0
		}
		longest = max(longest, over)
		governor.Decide(
			[]Serving{{Task: "s", Image: sensitive, Tail: clock.Millis(tail), Target: 100}},
			[]Filling{{Task: "h", Image: heavy, Cores: 6, Used: used}}, believed, now)
	}
	return longest
}

// Guards against filling tasks that keep a serving one over its target for longer than allowed, also
// where the model is wrong. A model that took the image for harmless kept the target exceeded on
// calm days.
func TestGovernorKeepsTarget(t *testing.T) {
	cases := map[string]Weights{
		"knows":                truth,
		"believes in harmless": func(Image, Image) float64 { return 0 },
		"believes in little":   func(Image, Image) float64 { return 0.03 },
	}
	for name, believed := range cases {
		t.Run(name, func(t *testing.T) {
			for _, own := range []float64{30, 60, 90} {
				if got := play(t, believed, own); got >= allowed {
					t.Errorf("own tail %.0f: over the target for %s beside working tasks, want less than %s", own, got, allowed)
				}
			}
		})
	}
}

// Guards against paces that stay down although nothing is near its target.
func TestGovernorLeavesHarmlessAlone(t *testing.T) {
	governor := NewGovernor(allowed)
	now := clock.Time(clock.Minute)
	for range 10 {
		now = now.Add(clock.Second / 2)
		governor.Decide([]Serving{{Task: "s", Image: robust, Tail: 60, Target: 100}},
			[]Filling{{Task: "h", Image: heavy, Cores: 6, Used: 6}}, truth, now)
	}
	if got := governor.Pace("h"); got != FullPace {
		t.Errorf("pace is %d, want %d", got, FullPace)
	}
}

// Guards against slow learning where the own load of serving tasks swings by more than what fills beside
// them causes: the tails of one job's tasks on different workers tell the difference at once.
func TestSiblingsTeachFast(t *testing.T) {
	model := NewModel()
	random := rand.New(rand.NewPCG(3, 4))
	now := clock.Time(clock.Minute)
	for range 10 {
		now = now.Add(clock.Second / 2)
		own := 20 * math.Exp(1.5*random.Float64())
		var group []Replica
		for worker := range 4 {
			used := map[Image]float64{heavy: float64(worker % 2 * 3), light: float64(worker / 2 * 3)}
			tail := own * math.Exp(truth(sensitive, heavy)*used[heavy]+0.15*random.NormFloat64())
			group = append(group, Replica{Tail: clock.Millis(tail), Target: 400, Used: used})
		}
		model.ObserveReplicas(sensitive, group)
	}
	if got := model.Weight(sensitive, heavy, now); math.Abs(got-0.3) > 0.06 {
		t.Errorf("weight of the heavy image after 5 s is %.3f, want 0.3", got)
	}
	if got := model.Weight(sensitive, light, now); got > 0.04 {
		t.Errorf("weight of the light image after 5 s is %.3f, want 0", got)
	}
}
