package pacing

import "hyssopjunction/clock"

// peakDecayPerSecond is how much the recent peak of a log tail latency decays per second. The load of serving tasks
// varies by a factor of about three within 10 to 20 s.
const peakDecayPerSecond = 0.15

// Baseline follows the tail latency that a serving task would have without filling tasks, as the logarithm of its share of
// the target. The zero value has no samples.
type Baseline struct {
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
}

// IsKnown reports whether there is a sample.
func (baseline *Baseline) IsKnown() bool { return baseline.at != 0 }

// PlacementRoom returns by how much a task's tail latency may be increased by filling tasks that are placed now, as a
// logarithm.
func (baseline *Baseline) PlacementRoom() float64 { return Room(baseline.peak) }
