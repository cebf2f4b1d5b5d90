package clock

import "math/rand/v2"

// jitterPercent is by how much Jittered shortens an interval at most. Daemons that start or lose
// their peer at the same time drift apart by it, and the mean rate rises by half of it.
const jitterPercent = 10

// Jittered returns a random time of 90% to 100% of the interval. It never exceeds the interval,
// because timeouts and leases are derived from the longest one.
func Jittered(interval Millis, random *rand.Rand) Millis {
	spread := interval * jitterPercent / 100
	if spread <= 0 {
		return interval
	}
	return interval - Millis(random.Int64N(int64(spread)+1))
}
