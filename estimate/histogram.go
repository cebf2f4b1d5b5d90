package estimate

import (
	"math"

	"hyssopjunction/clock"
)

// cells is the number of geometric cells. With a ratio of 1.2 they cover a factor of 117,000.
const cells = 64

// scale maps values to cells. The upper bound of cell i is first * ratio^i.
type scale struct {
	first float64
	ratio float64
}

func (scale scale) index(value int64) int {
	if float64(value) <= scale.first {
		return 0
	}
	index := int(math.Ceil(math.Log(float64(value)/scale.first) / math.Log(scale.ratio)))
	return min(index, cells-1)
}

func (scale scale) bound(index int) int64 {
	return int64(math.Ceil(scale.first * math.Pow(scale.ratio, float64(index))))
}

// histogram counts values with exponentially decaying weights.
type histogram struct {
	weights [cells]float32
	total   float64
	highest int64
	at      clock.Time
}

// add counts value once at now. Older weights decay first.
func (histogram *histogram) add(scale scale, value int64, now clock.Time, halfLife clock.Millis) {
	if now.After(histogram.at) {
		factor := math.Exp2(-float64(now.Sub(histogram.at)) / float64(halfLife))
		// Decay is applied in steps of 1%, so that a burst of measurements costs no pass over the cells.
		if factor < 0.99 {
			for index := range histogram.weights {
				histogram.weights[index] *= float32(factor)
			}
			histogram.total *= factor
			histogram.at = now
		}
	}
	histogram.weights[scale.index(value)]++
	histogram.total++
	histogram.highest = max(histogram.highest, value)
}

// percentile returns the upper bound of the cell that holds the percentile, but not more than the
// highest value counted.
func (histogram *histogram) percentile(scale scale, percentile int) int64 {
	if histogram.total <= 0 {
		return 0
	}
	// The last cell with weight answers when rounding keeps the sum below the threshold.
	threshold, sum, last := histogram.total*float64(percentile)/100, 0.0, 0
	for index, weight := range histogram.weights {
		if weight <= 0 {
			continue
		}
		sum += float64(weight)
		last = index
		if sum >= threshold {
			break
		}
	}
	if last == cells-1 {
		return histogram.highest
	}
	return min(scale.bound(last), histogram.highest)
}
