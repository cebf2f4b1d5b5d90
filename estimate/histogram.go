package estimate

import (
	"math"

	"hyssopjunction/clock"
)

// cellCount is the number of cells of a histogram, whose bounds grow geometrically. With a ratio of 1.2
// they cover a factor of 117,000.
const cellCount = 64

// scale defines the cells of a histogram. The upper bound of cell i is first * ratio^i.
type scale struct {
	first float64
	ratio float64
}

func (scale scale) cellIndex(value int64) int {
	if float64(value) <= scale.first {
		return 0
	}
	index := int(math.Ceil(math.Log(float64(value)/scale.first) / math.Log(scale.ratio)))
	return min(index, cellCount-1)
}

func (scale scale) upperBound(index int) int64 {
	return int64(math.Ceil(scale.first * math.Pow(scale.ratio, float64(index))))
}

// histogram counts values with weights that decay exponentially. decayedAt is the time of the last decay,
// highest the highest value ever counted.
type histogram struct {
	weights   [cellCount]float32
	total     float64
	highest   int64
	decayedAt clock.Time
}

// add counts the value with weight 1, after the decay of the older weights.
func (histogram *histogram) add(scale scale, value int64, now clock.Time, halfLife clock.Millis) {
	if now.After(histogram.decayedAt) {
		factor := math.Exp2(-float64(now.Sub(histogram.decayedAt)) / float64(halfLife))
		// The decay is applied only once it amounts to 1%, so that most of many measurements in a short
		// time need no pass over the cells.
		if factor < 0.99 {
			for index := range histogram.weights {
				histogram.weights[index] *= float32(factor)
			}
			histogram.total *= factor
			histogram.decayedAt = now
		}
	}
	histogram.weights[scale.cellIndex(value)]++
	histogram.total++
	histogram.highest = max(histogram.highest, value)
}

// percentile returns the upper bound of the cell that holds the percentile, but not more than the highest
// value counted, and 0 for an empty histogram. The last cell has no bound, so it returns the highest value.
func (histogram *histogram) percentile(scale scale, percentile int) int64 {
	if histogram.total <= 0 {
		return 0
	}
	// If rounding errors keep the sum below the threshold, the last cell with a weight is used.
	threshold, sum, cell := histogram.total*float64(percentile)/100, 0.0, 0
	for index, weight := range histogram.weights {
		if weight <= 0 {
			continue
		}
		sum += float64(weight)
		cell = index
		if sum >= threshold {
			break
		}
	}
	if cell == cellCount-1 {
		return histogram.highest
	}
	return min(scale.upperBound(cell), histogram.highest)
}
