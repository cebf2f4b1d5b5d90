package agent

import "hyssopjunction/clock"

const (
	// undisturbed is the slowdown in percent of an endpoint that nothing disturbs.
	undisturbed = 100
	// maxSlowdown bounds the reported slowdown, so that one stall does not look like interference of
	// every neighbour.
	maxSlowdown = 1000
	// recentTime smooths the latency, because the mean of a few requests deviates by a fifth and more.
	recentTime = 10 * clock.Second
	// risingTime and fallingTime are how fast the undisturbed latency follows the recent one. It falls
	// soon after a disturbance and rises slowly, so that a lasting disturbance is still seen, but a
	// service that became slower for good is not held against its neighbours for ever.
	risingTime  = 30 * clock.Minute
	fallingTime = clock.Minute
	// idleTime is how long a latency without change counts. Without requests there is nobody to protect.
	idleTime = 10 * clock.Second
)

// slowdownMeter compares an endpoint's recent latency with its usual one. Latencies are in thousandths
// of a millisecond.
type slowdownMeter struct {
	recent, usual int64
	reading       clock.Millis
	at, changedAt clock.Time
}

// measure takes a reading of the mean latency and returns the slowdown in percent.
func (meter *slowdownMeter) measure(latency clock.Millis, now clock.Time) int32 {
	if latency <= 0 {
		return undisturbed
	}
	if latency != meter.reading {
		meter.reading, meter.changedAt = latency, now
	}
	micros := int64(latency) * 1000
	if meter.usual == 0 {
		meter.recent, meter.usual, meter.at = micros, micros, now
		return undisturbed
	}
	elapsed := now.Sub(meter.at)
	meter.at = now
	if now.Sub(meter.changedAt) > idleTime {
		return undisturbed
	}
	meter.recent = approach(meter.recent, micros, elapsed, recentTime)
	adapt := risingTime
	if meter.recent < meter.usual {
		adapt = fallingTime
	}
	meter.usual = approach(meter.usual, meter.recent, elapsed, adapt)
	return int32(min(max(meter.recent*undisturbed/max(meter.usual, 1), undisturbed), maxSlowdown))
}

// approach moves from towards to as an exponential mean with the given time constant does.
func approach(from, to int64, elapsed, constant clock.Millis) int64 {
	return from + (to-from)*int64(elapsed)/int64(elapsed+constant)
}
