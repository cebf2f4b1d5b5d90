package pacing

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/forecast"
)

// Parameters of the forecast of baseline tail latencies.
const (
	// uncertaintyFactor is the number of standard deviations of the forecast that are left free below the target.
	uncertaintyFactor = 2
	// forecastSetpointShare is the highest tail latency that the governor aims at when the forecast is certain. Above it,
	// single samples pass lowerTrustAbove too often, and the trust that is lost costs more than the margin.
	forecastSetpointShare = 0.72
	// pacingAhead is the time from a sample to the one that a pace decides about: it is set after some milliseconds and
	// lasts for decisionInterval.
	pacingAhead = 500 * clock.Millisecond
	// placementBegin and placementEnd are the times after a report between which a filling task that is placed now works
	// for its first second. Reports by then lead to paces and moves. With 1,200 ms, simulated loads had more samples over
	// their target than by the recent peak; with 1,800 ms, there was no more capacity than by the recent peak.
	placementBegin = 600 * clock.Millisecond
	placementEnd   = 1500 * clock.Millisecond
	// peakDecayPerSecond is how much the recent peak of a log tail latency decays per second. The load of serving tasks
	// varies by a factor of about three within 10 to 20 s.
	peakDecayPerSecond = 0.15
)

// Baseline follows the tail latency that a serving task would have without filling tasks, as the logarithm of its share of
// the target. The zero value has no samples.
type Baseline struct {
	series forecast.Series
	// peak is the recent peak at the time of the newest sample. It follows increases at once and decays slowly.
	peak float64
	at   clock.Time
}

// Observe adds a sample.
func (baseline *Baseline) Observe(tail float64, at clock.Time) {
	peak := baseline.peak - peakDecayPerSecond*float64(at.Sub(baseline.at))/float64(clock.Second)
	if baseline.at == 0 || tail > peak {
		peak = tail
	}
	baseline.peak, baseline.at = peak, at
	baseline.series.Observe(tail, at)
}

// IsKnown reports whether there is a sample.
func (baseline *Baseline) IsKnown() bool { return baseline.at != 0 }

// PlacementRoom returns by how much a task's tail latency may be increased by filling tasks that are placed now, as a
// logarithm. With too few samples for a forecast it follows from the recent peak.
func (baseline *Baseline) PlacementRoom() float64 {
	if !baseline.series.Ready() {
		return Room(baseline.peak)
	}
	begin, end := baseline.series.At(baseline.at.Add(placementBegin)), baseline.series.At(baseline.at.Add(placementEnd))
	return math.Min(forecastRoom(begin, setpointShare), forecastRoom(end, setpointShare))
}

// pacingRoom returns by how much the tail latency may be increased until the next sample. There must be enough samples for
// a forecast.
func (baseline *Baseline) pacingRoom() float64 {
	return forecastRoom(baseline.series.At(baseline.at.Add(pacingAhead)), forecastSetpointShare)
}

// forecastRoom returns by how much a tail latency may be increased so that it is expected to stay at the share of the
// target, and below the target if the forecast is wrong by uncertaintyFactor standard deviations.
func forecastRoom(expected forecast.Forecast, setpoint float64) float64 {
	return math.Min(math.Log(setpoint), -uncertaintyFactor*expected.Deviation) - expected.Mean
}
