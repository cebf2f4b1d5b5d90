package pacing

// Parameters of the observed usage of filling tasks.
const (
	// minUsagePace is the pace, in percent, from which a sample tells the usage at full pace. Samples are rounded.
	minUsagePace = 20
	// minUsageShare and maxUsageShare bound the share of its requested cores that a task is taken to use.
	minUsageShare = 0.3
	maxUsageShare = 1.0
)

// Usage follows which share of its requested cores a filling task uses at full pace. Submitters request what the most demanding
// tasks of a step need. The zero value has no samples.
type Usage struct {
	share float64
	// pace is the pace at the last sample. A sample covers the time since the one before, so it counts if the pace was the same.
	pace int
}

// Observe adds a sample of the cores that the task uses at a pace in percent.
func (usage *Usage) Observe(requested, used float64, pace int) {
	steady := usage.pace == pace
	usage.pace = pace
	if !steady || pace < minUsagePace || requested <= 0 || used <= 0 {
		return
	}
	share := min(max(minUsageShare, used*FullPace/(requested*float64(pace))), maxUsageShare)
	if usage.share > 0 {
		share = (usage.share + share) / 2
	}
	usage.share = share
}

// Share returns the share, or 1 before there is a sample.
func (usage *Usage) Share() float64 {
	if usage.share == 0 {
		return 1
	}
	return usage.share
}
