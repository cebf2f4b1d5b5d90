package agent

import "hyssopjunction/clock"

const (
	// undisturbed is the slowdown in percent of an endpoint that nothing disturbs.
	undisturbed = 100
	// maxSlowdown bounds the reported slowdown, so that one stall does not look like interference of
	// every neighbour.
	maxSlowdown = 1000
	// baselineRise is how long it takes the remembered undisturbed latency to rise by 1%, so that it
	// follows a service that became slower for good.
	baselineRise = clock.Minute
	// minLatency is the shortest latency that can be compared; latencies are in whole milliseconds.
	minLatency clock.Millis = 4
)

// slowdownMeter compares an endpoint's recent latency with the lowest seen.
type slowdownMeter struct {
	// baseline is the undisturbed latency in thousandths of a millisecond.
	baseline int64
	risenAt  clock.Time
}

// measure returns the slowdown in percent at the given mean latency.
func (meter *slowdownMeter) measure(latency clock.Millis, now clock.Time) int32 {
	if latency < minLatency {
		return undisturbed
	}
	micros := int64(latency) * 1000
	if meter.baseline == 0 || micros < meter.baseline {
		meter.baseline, meter.risenAt = micros, now
	}
	for now.Sub(meter.risenAt) >= baselineRise {
		meter.baseline += meter.baseline / 100
		meter.risenAt = meter.risenAt.Add(baselineRise)
	}
	return int32(min(max(micros*undisturbed/meter.baseline, undisturbed), maxSlowdown))
}
