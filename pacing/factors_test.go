package pacing

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"hyssopjunction/clock"
)

// recordedPairs returns the weights of 13 serving and 30 filling images, from the samples of 80 workers on a day of a
// deployment. They are the solution over the whole day, with its precision.
func recordedPairs(t *testing.T) []pairWeight {
	t.Helper()
	data, err := os.ReadFile("testdata/weights.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows []struct {
		Serving, Filling  int
		Weight, Precision float64
	}
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
	var pairs []pairWeight
	for _, row := range rows {
		pairs = append(pairs, pairWeight{serving: row.Serving, filling: row.Filling, weight: row.Weight, precision: row.Precision})
	}
	return pairs
}

// rootMeanSquare returns the error of predictions of the pairs.
func rootMeanSquare(pairs []pairWeight, predict func(pair pairWeight) float64) float64 {
	sum := 0.0
	for _, pair := range pairs {
		sum += (pair.weight - predict(pair)) * (pair.weight - predict(pair))
	}
	return math.Sqrt(sum / float64(len(pairs)))
}

// TestFactorsPredictHiddenPairs guards against priors that know nothing of what other pairs show. The pairs that a new
// image forms with those that are known must be predicted better than by one prior for all.
func TestFactorsPredictHiddenPairs(t *testing.T) {
	pairs := recordedPairs(t)
	for name, isHidden := range map[string]func(pair pairWeight) bool{
		"a quarter": func(pair pairWeight) bool { return pair.scatter()/heldOutFolds%4 == 0 },
		"a half":    func(pair pairWeight) bool { return pair.scatter()/heldOutFolds%4 < 2 },
	} {
		t.Run(name, func(t *testing.T) {
			var known, hidden []pairWeight
			for _, pair := range pairs {
				if isHidden(pair) {
					hidden = append(hidden, pair)
				} else {
					known = append(known, pair)
				}
			}
			choice := chooseRank(known, 13, 30)
			if choice.rank == 0 {
				t.Fatal("no factors are chosen")
			}
			fitted := fitFactors(known, 13, 30, choice.rank)
			before := rootMeanSquare(hidden, func(pairWeight) float64 { return PriorWeight })
			got := rootMeanSquare(hidden, func(pair pairWeight) float64 { return fitted.predict(pair.serving, pair.filling) })
			t.Logf("error %.4f, with one prior %.4f", got, before)
			if got > maxHeldOutError*before {
				t.Errorf("error of %d hidden pairs is %.4f, want at most %.1f of the %.4f with one prior for all", len(hidden), got, maxHeldOutError, before)
			}
		})
	}
}

// TestFactorsNeedStructure guards against factors that are read out of noise: weights without any structure must keep
// the one prior.
func TestFactorsNeedStructure(t *testing.T) {
	var pairs []pairWeight
	state := uint64(88172645463325252)
	for serving := range 13 {
		for filling := range 30 {
			state ^= state << 13
			state ^= state >> 7
			state ^= state << 17
			pairs = append(pairs, pairWeight{serving: serving, filling: filling, weight: 2 * PriorWeight * float64(state%1000) / 1000, precision: 10})
		}
	}
	if choice := chooseRank(pairs, 13, 30); choice.rank != 0 {
		t.Errorf("rank %d is chosen with a relative error of %.2f, want none", choice.rank, choice.relativeError)
	}
	if choice := chooseRank(pairs[:minPairs-1], 13, 30); choice.rank != 0 {
		t.Errorf("rank %d is chosen with too few pairs", choice.rank)
	}
}

// TestNewImageInheritsWeights guards against a filling image that is taken for an average one beside all serving images
// although its first samples show on which resource it presses, and a serving image without evidence that is taken for
// insensitive.
func TestNewImageInheritsWeights(t *testing.T) {
	model := NewModel()
	var weights []LearnedWeight
	name := func(prefix string, number int) Image { return Image(prefix + string(rune('a'+number))) }
	for serving := range 8 {
		for filling := range 10 {
			weight := 0.0
			if serving%2 == filling%2 {
				weight = 0.12
			}
			weights = append(weights, LearnedWeight{Serving: name("s", serving), Filling: name("f", filling), Weight: weight})
		}
	}
	weights = append(weights, LearnedWeight{Serving: "sa", Filling: "new", Weight: 0.12}, LearnedWeight{Serving: "sb", Filling: "new", Weight: 0})
	model.LoadWeights(weights)
	now := clock.Time(clock.Minute)
	model.LearnedWeights(now)
	model.refitFactors(now)
	now = now.Add(solveInterval)
	if got := model.Weight("sc", "new", now); got < 0.08 {
		t.Errorf("weight of the new image on a sensitive one is %.3f, want about 0.12", got)
	}
	if got := model.Weight("sd", "new", now); got > 0.03 {
		t.Errorf("weight of the new image on another one is %.3f, want about 0", got)
	}
	if got := model.Weight("unknown", "fa", now); got != PriorWeight {
		t.Errorf("weight on an unknown serving image is %.3f, want %.3f", got, PriorWeight)
	}
}

// BenchmarkChooseRank measures the longest step of the model on the leader's control loop.
func BenchmarkChooseRank(b *testing.B) {
	var pairs []pairWeight
	for serving := range 13 {
		for filling := range 30 {
			weight := 0.0
			if serving%3 == filling%4 {
				weight = 0.1
			}
			pairs = append(pairs, pairWeight{serving: serving, filling: filling, weight: weight, precision: 20})
		}
	}
	for b.Loop() {
		chooseRank(pairs, 13, 30)
	}
}
