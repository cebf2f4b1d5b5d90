// Package forecast predicts the next values of a series of noisy samples from their level and slope. It assumes no period
// and no bounds. The package starts no goroutine and reads no clock.
package forecast

import (
	"math"

	"hyssopjunction/clock"
)

// Parameters of the forecast.
const (
	// memory is the time after which a sample counts 1/e. The load of serving tasks rises or falls for several seconds at a
	// time, and samples come about twice a second: after 1 s the slope is mostly noise, and with 2 s the forecast follows
	// the turns of a load too late.
	memory = 1500 * clock.Millisecond
	// maxGap is the time without a sample after which a series starts anew.
	maxGap = 3 * clock.Second
	// MinSamples is the number of samples from which there is a forecast. With fewer, the slope and its uncertainty are
	// not known.
	MinSamples = 4
	// outlierFactor is the number of standard deviations from the forecast at which a sample starts the series anew. The load
	// has changed at once, and its past tells nothing about what follows.
	outlierFactor = 3
	// minDeviation is the least standard deviation of a sample, so that a few equal samples do not make a forecast certain.
	minDeviation = 0.03
	// priorSamples is how many samples of deviation priorDeviation are assumed in addition to those that were seen.
	priorSamples   = 2.0
	priorDeviation = 0.15
)

// Series holds the weighted sums of a series of samples. The zero value is an empty series.
type Series struct {
	count int
	at    clock.Time
	// weight, time, square, value, product and valueSquare are sums over the samples, of the weight of each, times its time
	// relative to at in seconds (time), the square of it (square), its value and so on.
	weight, time, square, value, product, valueSquare float64
	// weightSquare is the sum of the squares of the weights.
	weightSquare float64
}

// Observe adds a sample. A sample that is not later than the one before, or is not finite, is ignored.
func (series *Series) Observe(value float64, at clock.Time) {
	gap := at.Sub(series.at)
	if series.count > 0 && gap <= 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if series.count > 0 && gap > maxGap {
		*series = Series{}
	}
	if series.Ready() {
		if expected := series.At(at); math.Abs(value-expected.Mean) > outlierFactor*expected.Deviation {
			*series = Series{}
		}
	}
	if series.count > 0 {
		series.advance(float64(gap) / float64(clock.Second))
	}
	series.count++
	series.at = at
	series.weight++
	series.weightSquare++
	series.value += value
	series.valueSquare += value * value
}

// advance moves the origin of time by the seconds and reduces the weights of all samples.
func (series *Series) advance(seconds float64) {
	decay := math.Exp(-seconds * float64(clock.Second) / float64(memory))
	series.square = decay * (series.square - 2*seconds*series.time + seconds*seconds*series.weight)
	series.product = decay * (series.product - seconds*series.value)
	series.time = decay * (series.time - seconds*series.weight)
	series.weight *= decay
	series.value *= decay
	series.valueSquare *= decay
	series.weightSquare *= decay * decay
}

// Forecast is the distribution of a sample in the near future.
type Forecast struct {
	Mean, Deviation float64
}

// Ready reports whether there are enough samples for a forecast.
func (series *Series) Ready() bool { return series.count >= MinSamples }

// At returns the forecast of a sample at a time. The series must be Ready.
func (series *Series) At(at clock.Time) Forecast {
	ahead := float64(at.Sub(series.at)) / float64(clock.Second)
	meanTime, meanValue := series.time/series.weight, series.value/series.weight
	spread := series.square - series.time*meanTime
	covariance := series.product - series.time*meanValue
	residual := series.valueSquare - series.value*meanValue
	slope := 0.0
	if spread > 0 {
		slope = covariance / spread
		residual -= slope * covariance
	}
	variance := series.variance(math.Max(0, residual))
	// The uncertainties of the mean, of the slope and of the sample itself add up.
	uncertainty := variance * (1 + series.weightSquare/(series.weight*series.weight))
	if spread > 0 {
		uncertainty += variance * (ahead - meanTime) * (ahead - meanTime) / spread
	}
	return Forecast{Mean: meanValue + slope*(ahead-meanTime), Deviation: math.Sqrt(uncertainty)}
}

// variance returns that of single samples around the line, from the weighted sum of their squared residuals. The line
// itself uses up two of the samples.
func (series *Series) variance(residual float64) float64 {
	effective := series.weight * series.weight / series.weightSquare
	freedom := math.Max(0, effective-2)
	sum := residual / series.weight * effective
	return math.Max(minDeviation*minDeviation, (sum+priorSamples*priorDeviation*priorDeviation)/(freedom+priorSamples))
}
