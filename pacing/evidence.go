package pacing

import (
	"math"

	"hyssopjunction/clock"
)

// Parameters of the solution of weights.
const (
	// priorStrength is how strongly PriorWeight counts against evidence, in squared cores: as much as about two
	// changes in the usage of one task.
	priorStrength = 6.0
	// loadedStrength is how strongly a loaded weight counts against evidence, in squared cores. It corresponds to
	// some seconds of evidence.
	loadedStrength = 20.0
	// evidenceDecay is the factor on the evidence at each solution, at most one per second. Half of the evidence
	// remains after about a minute.
	evidenceDecay = 0.99
	// solveInterval is the minimum time between two solutions for an image.
	solveInterval = clock.Second
)

// imageEvidence holds the normal equations of the weights of one serving image and their solution, by position of
// the filling image. It is dirty if evidence was added after the last solution.
type imageEvidence struct {
	// products is a square matrix in rows of size; only the part with row <= column is used.
	products []float64
	sums     []float64
	size     int
	// hasEvidence and solved tell which positions have evidence and which have a solution.
	hasEvidence []bool
	solved      []bool
	solution    []float64
	solvedAt    clock.Time
	dirty       bool
	// priors holds the weights that factors predict, and priorStrength how strongly they count, in squared cores.
	// Positions beyond its end have PriorWeight.
	priors        []float64
	priorStrength float64
}

// prior returns the weight that is assumed for a position without evidence.
func (evidence *imageEvidence) prior(position int) float64 {
	if position < len(evidence.priors) {
		return evidence.priors[position]
	}
	return PriorWeight
}

// precision returns the amount of evidence about a position, in squared cores.
func (evidence *imageEvidence) precision(position int) float64 {
	if position >= evidence.size {
		return 0
	}
	return evidence.products[position*evidence.size+position]
}

// pairWeights returns the weights that follow from the evidence alone, for the positions with enough of it.
func (evidence *imageEvidence) pairWeights(serving int) []pairWeight {
	var pairs []pairWeight
	for position := range evidence.size {
		precision := evidence.precision(position)
		if precision < minPairPrecision || !evidence.isSolved(position) {
			continue
		}
		rest := evidence.sums[position]
		for other := range evidence.size {
			if other != position && evidence.isSolved(other) {
				rest -= evidence.products[min(position, other)*evidence.size+max(position, other)] * evidence.solution[other]
			}
		}
		pairs = append(pairs, pairWeight{serving: serving, filling: position, weight: rest / precision, precision: math.Min(precision, maxPairPrecision)})
	}
	return pairs
}

// grow makes room for evidence about a number of images.
func (evidence *imageEvidence) grow(size int) {
	if size <= evidence.size {
		return
	}
	products := make([]float64, size*size)
	for row := range evidence.size {
		copy(products[row*size:], evidence.products[row*evidence.size:(row+1)*evidence.size])
	}
	evidence.products = products
	evidence.sums = append(evidence.sums, make([]float64, size-evidence.size)...)
	evidence.hasEvidence = append(evidence.hasEvidence, make([]bool, size-evidence.size)...)
	evidence.size = size
}

// add adds a measured increase of a log tail latency that was caused by changes of usage, in ascending order of
// position. The measured increase is limited, because the own load of the task may have changed too.
func (evidence *imageEvidence) add(changes []usageChange, measuredIncrease float64, size int) {
	evidence.grow(size)
	expectedIncrease := 0.0
	for _, change := range changes {
		expectedIncrease += change.cores * evidence.weight(change.position)
	}
	increase := expectedIncrease + math.Max(-maxResidual, math.Min(maxResidual, measuredIncrease-expectedIncrease))
	for index, change := range changes {
		evidence.sums[change.position] += change.cores * increase
		evidence.hasEvidence[change.position] = true
		row := evidence.products[change.position*evidence.size : (change.position+1)*evidence.size]
		for _, other := range changes[index:] {
			row[other.position] += change.cores * other.cores
		}
	}
	evidence.dirty = true
}

// addWeight adds a weight that was learned earlier.
func (evidence *imageEvidence) addWeight(position int, weight float64, size int) {
	evidence.grow(size)
	evidence.products[position*evidence.size+position] += loadedStrength
	evidence.sums[position] += loadedStrength * weight
	evidence.hasEvidence[position] = true
	evidence.dirty = true
}

// solveIfDirty updates the solution if there is none, or if it is dirty and older than solveInterval.
func (evidence *imageEvidence) solveIfDirty(now clock.Time) {
	if evidence.solution == nil || evidence.dirty && now.Sub(evidence.solvedAt) >= solveInterval {
		evidence.solve(now)
	}
}

// isSolved reports whether there is a solution for a position.
func (evidence *imageEvidence) isSolved(position int) bool {
	return position < len(evidence.solved) && evidence.solved[position]
}

// weight returns the solution for a position, at least 0, or the prior if there is none.
func (evidence *imageEvidence) weight(position int) float64 {
	if !evidence.isSolved(position) {
		return evidence.prior(position)
	}
	return math.Max(0, evidence.solution[position])
}

// solve computes the weights by regularised least squares and then decays the evidence.
func (evidence *imageEvidence) solve(now clock.Time) {
	size := evidence.size
	matrix, right := make([]float64, size*size), make([]float64, size)
	for row := range size {
		for column := row; column < size; column++ {
			matrix[row*size+column] = evidence.products[row*size+column]
			matrix[column*size+row] = matrix[row*size+column]
		}
		matrix[row*size+row] += evidence.priorStrength
		right[row] = evidence.sums[row] + evidence.priorStrength*evidence.prior(row)
	}
	solveLinear(matrix, right)
	evidence.solution = right
	evidence.solved = append(evidence.solved[:0], evidence.hasEvidence...)
	evidence.solvedAt, evidence.dirty = now, false
	for position := range evidence.products {
		evidence.products[position] *= evidenceDecay
	}
	for position := range evidence.sums {
		evidence.sums[position] *= evidenceDecay
	}
}

// solveLinear replaces right by the solution of a linear system with a symmetric positive definite matrix, given in
// rows. It changes the matrix.
func solveLinear(matrix, right []float64) {
	size := len(right)
	for pivot := range size {
		pivotRow := matrix[pivot*size : (pivot+1)*size]
		for row := pivot + 1; row < size; row++ {
			values := matrix[row*size : (row+1)*size]
			factor := values[pivot] / pivotRow[pivot]
			if factor == 0 {
				continue
			}
			for column := pivot; column < size; column++ {
				values[column] -= factor * pivotRow[column]
			}
			right[row] -= factor * right[pivot]
		}
	}
	for row := size - 1; row >= 0; row-- {
		for column := row + 1; column < size; column++ {
			right[row] -= matrix[row*size+column] * right[column]
		}
		right[row] /= matrix[row*size+row]
	}
}
