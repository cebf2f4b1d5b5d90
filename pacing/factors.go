package pacing

import (
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// Parameters of factors. Filling images press on few shared resources of a worker, and a serving image is sensitive to
// some of them. So the weights of pairs with evidence predict those of pairs without.
const (
	// maxRank is the highest number of resources that is tried.
	maxRank = 3
	// factorSweeps is the number of alternating updates of a fit.
	factorSweeps = 10
	// factorRidge keeps factors without evidence at 0.
	factorRidge = 0.2
	// factorsInterval is the time between two fits.
	factorsInterval = 4 * clock.Second
	// rankInterval is the time between two choices of the rank, which take longer than a fit.
	rankInterval = 20 * clock.Second
	// minPairPrecision is the evidence, in squared cores, from which a pair counts, and maxPairPrecision limits its
	// influence.
	minPairPrecision = 4.0
	maxPairPrecision = 100.0
	// minPairs is the number of pairs with evidence from which factors are fitted.
	minPairs = 24
	// heldOutFolds is the number of parts of the pairs, each of which is predicted from the others.
	heldOutFolds = 8
	// maxHeldOutError is the held-out error, relative to that of PriorWeight, up to which factors are used.
	maxHeldOutError = 0.8
	// maxPriorStrengthFactor limits how much stronger a prior by factors is than PriorWeight.
	maxPriorStrengthFactor = 3.0
)

// pairWeight is the measured weight of a pair of images, by position. Its precision is the amount of evidence.
type pairWeight struct {
	serving, filling  int
	weight, precision float64
}

// scatter returns a number that spreads pairs over parts without a pattern in rows or columns.
func (pair pairWeight) scatter() int {
	mixed := uint32(pair.serving*1009+pair.filling+1) * 2654435769
	mixed ^= mixed >> 15
	mixed *= 2246822519
	return int(mixed >> 17)
}

// factors are the sensitivities of serving images and the pressures of filling images, by position and resource. They
// are not negative.
type factors struct {
	sensitivities, pressures [][]float64
}

// predict returns the weight of a pair.
func (factors factors) predict(serving, filling int) float64 {
	weight := 0.0
	for resource, sensitivity := range factors.sensitivities[serving] {
		weight += sensitivity * factors.pressures[filling][resource]
	}
	return weight
}

// factorFit is a fit of factors in progress. The slices of pairs are parallel.
type factorFit struct {
	factors
	servings, fillings    []int
	precisions, residuals []float64
}

// fitFactors fits factors of a rank to the pairs by weighted least squares. The result does not depend on chance.
func fitFactors(pairs []pairWeight, servings, fillings, rank int) factors {
	fit := factorFit{factors: factors{sensitivities: newVectors(servings, rank), pressures: newVectors(fillings, rank)}}
	for _, pair := range pairs {
		fit.servings, fit.fillings = append(fit.servings, pair.serving), append(fit.fillings, pair.filling)
		fit.precisions, fit.residuals = append(fit.precisions, pair.precision), append(fit.residuals, pair.weight)
	}
	for resource := range rank {
		// A resource starts as the filling image with the largest part that the others do not explain.
		strongest := make([]float64, fillings)
		for index, residual := range fit.residuals {
			strongest[fit.fillings[index]] += fit.precisions[index] * max(0, residual) * max(0, residual)
		}
		fit.pressures[slices.Index(strongest, slices.Max(strongest))][resource] = 1
		for range factorSweeps {
			fit.update(resource)
		}
	}
	for range factorSweeps {
		for resource := range rank {
			fit.update(resource)
		}
	}
	return fit.factors
}

func newVectors(count, size int) [][]float64 {
	vectors := make([][]float64, count)
	for position := range vectors {
		vectors[position] = make([]float64, size)
	}
	return vectors
}

// update replaces the sensitivities to a resource by the best ones for its pressures, and then the reverse.
func (fit *factorFit) update(resource int) {
	fit.updateSide(resource, fit.sensitivities, fit.pressures, fit.servings, fit.fillings)
	fit.updateSide(resource, fit.pressures, fit.sensitivities, fit.fillings, fit.servings)
}

// updateSide replaces one side of a resource by the best one for the other side, and updates the residuals. owns and
// others hold the positions of the pairs on both sides.
func (fit *factorFit) updateSide(resource int, side, opposite [][]float64, owns, others []int) {
	numerators, denominators, updated := make([]float64, len(side)), make([]float64, len(side)), make([]float64, len(side))
	for index, own := range owns {
		value := opposite[others[index]][resource]
		if value == 0 {
			continue
		}
		weighted := fit.precisions[index] * value
		numerators[own] += weighted * (fit.residuals[index] + side[own][resource]*value)
		denominators[own] += weighted * value
	}
	for position := range side {
		updated[position] = max(0, numerators[position]/(denominators[position]+factorRidge))
	}
	for index, own := range owns {
		fit.residuals[index] += (side[own][resource] - updated[own]) * opposite[others[index]][resource]
	}
	for position := range side {
		side[position][resource] = updated[position]
	}
}

// heldOutError returns the weighted mean square error of the predictions of pairs that were left out of the fit. With
// rank 0 the prediction is PriorWeight.
func heldOutError(pairs []pairWeight, servings, fillings, rank int) float64 {
	sum, total := 0.0, 0.0
	for fold := range heldOutFolds {
		var kept, left []pairWeight
		for _, pair := range pairs {
			if pair.scatter()%heldOutFolds == fold {
				left = append(left, pair)
			} else {
				kept = append(kept, pair)
			}
		}
		var fitted factors
		if rank > 0 {
			fitted = fitFactors(kept, servings, fillings, rank)
		}
		for _, pair := range left {
			predicted := PriorWeight
			if rank > 0 {
				predicted = fitted.predict(pair.serving, pair.filling)
			}
			sum += pair.precision * (pair.weight - predicted) * (pair.weight - predicted)
			total += pair.precision
		}
	}
	return sum / math.Max(total, 1)
}

// rankChoice is the number of resources that predicts held-out pairs best, or 0 if PriorWeight is hardly worse, with the
// held-out error relative to that of PriorWeight.
type rankChoice struct {
	rank          int
	relativeError float64
}

// chooseRank compares the ranks on the pairs.
func chooseRank(pairs []pairWeight, servings, fillings int) rankChoice {
	if len(pairs) < minPairs {
		return rankChoice{}
	}
	reference := heldOutError(pairs, servings, fillings, 0)
	best := rankChoice{relativeError: maxHeldOutError}
	for rank := 1; rank <= maxRank; rank++ {
		if got := heldOutError(pairs, servings, fillings, rank) / max(reference, 1e-9); got < best.relativeError {
			best = rankChoice{rank: rank, relativeError: got}
		}
	}
	return best
}

// refitFactors updates the priors of all pairs, at most once per factorsInterval.
func (model *Model) refitFactors(now clock.Time) {
	if !model.usesFactors || now.Sub(model.factorsAt) < factorsInterval {
		return
	}
	model.factorsAt = now
	servings := set.SortedKeys(model.images)
	var pairs []pairWeight
	counts := make([]int, len(servings))
	for position, serving := range servings {
		known := model.images[serving].pairWeights(position)
		counts[position] = len(known)
		pairs = append(pairs, known...)
	}
	if now.Sub(model.rankAt) >= rankInterval || model.rank.rank == 0 && len(pairs) >= minPairs+model.rankPairs {
		model.rankAt, model.rankPairs = now, len(pairs)
		model.rank = chooseRank(pairs, len(servings), len(model.positions))
	}
	var fitted factors
	if model.rank.rank > 0 {
		fitted = fitFactors(pairs, len(servings), len(model.positions), model.rank.rank)
	}
	for serving, image := range servings {
		evidence := model.images[image]
		evidence.priors, evidence.priorStrength = nil, priorStrength
		if model.rank.rank == 0 || counts[serving] < maxRank {
			continue // Its sensitivities are not known.
		}
		evidence.priorStrength = priorStrength * math.Min(maxPriorStrengthFactor, 1/math.Max(model.rank.relativeError, 1e-3))
		for filling := range model.positions {
			position := model.positions[filling]
			for len(evidence.priors) <= position {
				evidence.priors = append(evidence.priors, PriorWeight)
			}
			if slices.Max(fitted.pressures[position]) > 0 || model.hasEvidenceOf(position) {
				evidence.priors[position] = fitted.predict(serving, position)
			}
		}
		evidence.dirty = true
	}
}

// hasEvidenceOf reports whether any serving image has enough evidence about a filling image.
func (model *Model) hasEvidenceOf(position int) bool {
	for _, evidence := range model.images {
		if evidence.precision(position) >= minPairPrecision {
			return true
		}
	}
	return false
}
