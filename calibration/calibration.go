// Package calibration learns how long tasks run compared with the estimates of their submitters. It holds no clock and does
// no I/O.
package calibration

import (
	"math"

	"hyssopjunction/clock"
)

// Parameters of the regression of the logarithms of run times on those of estimates.
const (
	// priorSteps is for how many steps it counts that estimates are right on average, and priorSpread the sum of squared
	// deviations of log estimates for which it counts that run times are proportional to them.
	priorSteps  = 1
	priorSpread = 1.0
	// maxWeight is the number of steps from which older ones count less, because the work of a group changes.
	maxWeight = 200
)

// Model relates estimates to run times, by group of tasks. Estimates of one group share their errors: a constant factor, and
// a scatter by which a long estimate says less about the run time than about the estimate. A Model is not safe for concurrent
// use.
type Model struct {
	groups map[string]*line
}

// New returns a model that takes estimates to be right until it observes run times.
func New() *Model { return &Model{groups: map[string]*line{}} }

// line holds the sums of the regression. Times are logarithms of milliseconds.
type line struct {
	weight, estimates, times, squares, products float64
}

// Observe records how long the tasks of a step ran. It ignores times of 0.
func (model *Model) Observe(group string, estimate, taken clock.Millis) {
	if estimate <= 0 || taken <= 0 {
		return
	}
	known, ok := model.groups[group]
	if !ok {
		known = &line{}
		model.groups[group] = known
	}
	if known.weight >= maxWeight {
		const half = 0.5
		*known = line{known.weight * half, known.estimates * half, known.times * half, known.squares * half, known.products * half}
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(taken))
	known.weight++
	known.estimates += x
	known.times += y
	known.squares += x * x
	known.products += x * y
}

// Expected returns how long a task with the estimate is expected to run, or 0 if there is no estimate.
func (model *Model) Expected(group string, estimate clock.Millis) clock.Millis {
	known, ok := model.groups[group]
	if !ok || estimate <= 0 {
		return estimate
	}
	return max(1, clock.Millis(math.Exp(known.at(math.Log(float64(estimate))))))
}

// at returns the expected log run time for a log estimate.
func (known *line) at(x float64) float64 {
	meanX, meanY := known.estimates/known.weight, known.times/known.weight
	spread := known.squares - known.weight*meanX*meanX
	common := known.products - known.weight*meanX*meanY
	slope := min(max(0, (common+priorSpread)/(spread+priorSpread)), 1)
	offset := (known.times - known.estimates) / (known.weight + priorSteps)
	return meanX + offset + slope*(x-meanX)
}
