package agent

import "hyssopjunction/clock"

const (
	// noSlowdownPercent is the slowdown of an endpoint without interference.
	noSlowdownPercent = 100
	// maxSlowdownPercent limits the reported slowdown, so that a single stall is not attributed to
	// interference by every neighbour.
	maxSlowdownPercent = 1000
	// smoothingTime is the time constant of the recent latency. Unsmoothed means of a few requests
	// deviate by a fifth and more.
	smoothingTime = 10 * clock.Second
	// baselineRiseTime and baselineFallTime are the time constants with which the baseline follows
	// the recent latency. It falls soon after interference ends. It rises slowly, so that lasting
	// interference is still detected, while a service that became slower for good is not blamed on
	// its neighbours forever.
	baselineRiseTime = 30 * clock.Minute
	baselineFallTime = clock.Minute
	// idleTimeout is how long an unchanged latency counts as current. An endpoint that is idle for
	// longer has no callers to protect, so it has no slowdown.
	idleTimeout = 10 * clock.Second
)

// slowdownMeter compares an endpoint's recent latency with its baseline, an estimate of the latency
// without interference.
type slowdownMeter struct {
	recentMicros, baselineMicros int64
	lastLatency                  clock.Millis
	measuredAt, changedAt        clock.Time
}

// measure adds a sample of the mean latency and returns the slowdown in percent.
func (meter *slowdownMeter) measure(latency clock.Millis, now clock.Time) int32 {
	if latency <= 0 {
		return noSlowdownPercent
	}
	if latency != meter.lastLatency {
		meter.lastLatency, meter.changedAt = latency, now
	}
	micros := int64(latency) * 1000
	if meter.baselineMicros == 0 {
		meter.recentMicros, meter.baselineMicros, meter.measuredAt = micros, micros, now
		return noSlowdownPercent
	}
	elapsed := now.Sub(meter.measuredAt)
	meter.measuredAt = now
	if now.Sub(meter.changedAt) > idleTimeout {
		return noSlowdownPercent
	}
	meter.recentMicros = smooth(meter.recentMicros, micros, elapsed, smoothingTime)
	timeConstant := baselineRiseTime
	if meter.recentMicros < meter.baselineMicros {
		timeConstant = baselineFallTime
	}
	meter.baselineMicros = smooth(meter.baselineMicros, meter.recentMicros, elapsed, timeConstant)
	return int32(min(max(meter.recentMicros*noSlowdownPercent/max(meter.baselineMicros, 1), noSlowdownPercent), maxSlowdownPercent))
}

// smooth returns the exponential moving average after a sample that follows the previous one by
// elapsed.
func smooth(mean, sample int64, elapsed, timeConstant clock.Millis) int64 {
	return mean + (sample-mean)*int64(elapsed)/int64(elapsed+timeConstant)
}
