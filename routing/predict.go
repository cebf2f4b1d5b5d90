package routing

import (
	"math"
	"slices"

	"hyssopjunction/clock"
)

// undisturbed is the slowdown in percent of an endpoint without interference.
const undisturbed = 100

// leastShare is the part of its slots that a cold endpoint is assumed to have at first.
const leastShare = 0.1

// defaultService is assumed in milliseconds before anything was measured.
const defaultService = 10.0

// load is the predicted number of requests at the endpoint: this entry's own, and those of others
// by the last report, which counts less as it ages.
func (candidate *member) load(now clock.Time, settings Settings) float64 {
	own := float64(candidate.track.outstanding.Load())
	others := float64(candidate.track.others.Load())
	if others == 0 {
		return own
	}
	age := float64(int64(now) - candidate.track.othersAt.Load())
	if age > 0 && settings.ReportHalfLife > 0 {
		others *= math.Exp2(-age / float64(settings.ReportHalfLife))
	}
	return own + others
}

// slots is the number of slots to count on, which rises while the endpoint ramps up.
func (candidate *member) slots(now clock.Time, settings Settings) float64 {
	slots := float64(max(1, candidate.Report.Slots))
	from := candidate.track.rampFrom.Load()
	if from == 0 || settings.RampUp <= 0 {
		return slots
	}
	share := float64(int64(now)-from) / float64(settings.RampUp)
	if share >= 1 {
		return slots
	}
	return slots * math.Max(leastShare, share)
}

// service is the expected service time in milliseconds. The mean that the agent reports already
// contains any disturbance that lasted; the reported slowdown says how much slower than the median
// of the service's endpoints it will be, also if there are no recent requests to measure.
func (candidate *member) service(median float64) float64 {
	mean := float64(candidate.track.service.Load())
	if mean == 0 {
		mean = float64(candidate.track.latency.Load()) / 1000
	}
	if math.Abs(mean-median) <= sameService*median || mean == 0 {
		mean = median
	}
	if slowdown := candidate.track.slowdown.Load(); slowdown > undisturbed {
		return math.Max(mean, median*float64(slowdown)/undisturbed)
	}
	return mean
}

// sameService is the part of the median by which service times may differ and still count as equal.
// The mean of 16 exponential times deviates by a fifth; taking that for a difference fills some
// endpoints while others have free slots.
const sameService = 0.4

// medianService returns the median of the candidates' service times in milliseconds.
func (view *View) medianService() float64 {
	var means []int64
	for index := range view.members {
		if mean := view.members[index].track.service.Load(); mean > 0 {
			means = append(means, mean)
		}
	}
	if len(means) == 0 {
		return defaultService
	}
	slices.Sort(means)
	return float64(means[len(means)/2])
}

// certain is the difference of load and slots beyond which the smooth maximum differs from the exact
// one by less than 1%.
const certain = 6

// wait is the predicted time in the queue in milliseconds.
func (candidate *member) wait(now clock.Time, settings Settings, median float64) float64 {
	slots := candidate.slots(now, settings)
	excess := candidate.load(now, settings) + 1 - slots
	if connections := candidate.Report.Connections; connections > 0 && candidate.Report.ConnectionsUsed >= connections {
		// Without a free connection even a free slot cannot be used.
		excess = math.Max(excess, 1)
	}
	// The load is uncertain by about one request, so that the last free slots may be taken by the
	// time the request arrives: the smooth maximum of excess and 0.
	switch {
	case excess < -certain:
		return 0
	case excess < certain:
		excess = math.Log1p(math.Exp(excess))
	}
	return excess * candidate.service(median) / slots
}

// cost is the predicted time to the answer in milliseconds, with the wait counted waitWeight times.
// Among endpoints with free slots the less occupied one gets a slight preference.
func (candidate *member) cost(now clock.Time, settings Settings, median float64) float64 {
	service := candidate.service(median)
	occupancy := candidate.load(now, settings) / candidate.slots(now, settings)
	return waitWeight*candidate.wait(now, settings, median) + service*(1+math.Min(occupancy, 1)*occupancyWeight)
}

// waitWeight accounts for the wait that a queued request adds to those after it. Without it (1) fast
// endpoints were filled until they were as slow as slowed-down ones: in a noisy wave at 70% load the
// median was 1.6 times that of least outstanding, with 2 it is 1.2 times and p99 is lower too. With
// 4 the median is equal, but p999 rises by a tenth.
const waitWeight = 2

// occupancyWeight spreads requests over endpoints with free slots; without it equal endpoints would
// fill up one after the other between two reports.
const occupancyWeight = 0.25
