package clock

import "math/rand/v2"

// jitterPercent is the largest percentage by which Jittered shortens an interval. It spreads the calls of
// daemons that started or lost a peer at the same time, and raises their mean rate by about half of this
// percentage.
const jitterPercent = 10

// Jittered returns a random duration from 90% to 100% of the interval. It never exceeds the interval,
// because timeouts and leases are derived from it.
func Jittered(interval Millis, random *rand.Rand) Millis {
	spread := interval * jitterPercent / 100
	if spread <= 0 {
		return interval
	}
	return interval - Millis(random.Int64N(int64(spread)+1))
}
