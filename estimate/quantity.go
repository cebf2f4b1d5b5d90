package estimate

import "math"

// quantity is one kind of measured value with its scale.
type quantity struct {
	scale scale
	of    func(record *record) *histogram
	// percent scales the learned value; above 100 it is a margin.
	percent func(settings Settings) int
}

func noMargin(Settings) int { return 100 }

// The three learned quantities, in millicores, MiB and milliseconds.
var (
	processor = quantity{
		scale:   scale{first: 10, ratio: 1.2},
		of:      func(record *record) *histogram { return &record.cpu },
		percent: noMargin,
	}
	memory = quantity{
		scale:   scale{first: 16, ratio: 1.2},
		of:      func(record *record) *histogram { return &record.memory },
		percent: func(settings Settings) int { return 100 + settings.MemoryMarginPercent },
	}
	runTime = quantity{
		scale:   scale{first: 100, ratio: 1.3},
		of:      func(record *record) *histogram { return &record.runTime },
		percent: noMargin,
	}
)

// learned returns the percentile of a record with its margin and the weight it stands on.
func (quantity quantity) learned(record *record, settings Settings, percentile int) (value, weight float64) {
	if record == nil {
		return 0, 0
	}
	histogram := quantity.of(record)
	if histogram.total <= 0 {
		return 0, 0
	}
	return float64(histogram.percentile(quantity.scale, percentile)) * float64(quantity.percent(settings)) / 100, histogram.total
}

// blend starts from the declared value and moves towards the learned percentile of the class and
// then towards that of the job, in proportion to their weights against the prior's.
func (quantity quantity) blend(settings Settings, percentile int, prior float64, declared int64, byClass, byJob *record) float64 {
	value := float64(declared)
	for _, record := range [2]*record{byClass, byJob} {
		learned, weight := quantity.learned(record, settings, percentile)
		if weight <= 0 {
			continue
		}
		if value == 0 {
			// Nothing was declared, so there is no prior.
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
