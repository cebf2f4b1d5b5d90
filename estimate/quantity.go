package estimate

import "math"

// quantity is a kind of measured value with the scale of its histograms.
type quantity struct {
	scale       scale
	histogramOf func(record *record) *histogram
	// scalePercent returns the percentage of the learned value to use. What is above 100 is a margin.
	scalePercent func(settings Settings) int
}

func noMargin(Settings) int { return 100 }

// The learned quantities, in millicores, MiB and milliseconds.
var (
	cpuQuantity = quantity{
		scale:        scale{first: 10, ratio: 1.2},
		histogramOf:  func(record *record) *histogram { return &record.cpu },
		scalePercent: noMargin,
	}
	memoryQuantity = quantity{
		scale:        scale{first: 16, ratio: 1.2},
		histogramOf:  func(record *record) *histogram { return &record.memory },
		scalePercent: func(settings Settings) int { return 100 + settings.MemoryMarginPercent },
	}
	runTimeQuantity = quantity{
		scale:        scale{first: 100, ratio: 1.3},
		histogramOf:  func(record *record) *histogram { return &record.runTime },
		scalePercent: noMargin,
	}
)

// learnedValue returns the percentile of the record's measurements including the margin, and their
// weight. Both are 0 without measurements.
func (quantity quantity) learnedValue(record *record, settings Settings, percentile int) (value, weight float64) {
	if record == nil {
		return 0, 0
	}
	histogram := quantity.histogramOf(record)
	if histogram.total <= 0 {
		return 0, 0
	}
	return float64(histogram.percentile(quantity.scale, percentile)) * float64(quantity.scalePercent(settings)) / 100, histogram.total
}

// blend moves the declared value towards the learned percentile of the class, and the result towards
// that of the job. Each step is a weighted mean: prior is the weight of the value so far, and the weight
// of the measurements that of the learned one.
func (quantity quantity) blend(settings Settings, percentile int, prior float64, declared int64, classRecord, jobRecord *record) float64 {
	value := float64(declared)
	for _, record := range [2]*record{classRecord, jobRecord} {
		learned, weight := quantity.learnedValue(record, settings, percentile)
		if weight <= 0 {
			continue
		}
		if value == 0 {
			// Without a declared value, there is no prior.
			value = learned
			continue
		}
		value += (learned - value) * weight / (weight + prior)
	}
	return value
}

func ceil(value float64) int64 {
	return int64(math.Ceil(value))
}
