package routing

import (
	"math"

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

// service is the expected service time in milliseconds: the slower of what the agent reported,
// with its slowdown, and what this entry measured.
func (candidate *member) service() float64 {
	reported := float64(candidate.track.service.Load())
	if slowdown := candidate.track.slowdown.Load(); slowdown > undisturbed {
		reported *= float64(slowdown) / undisturbed
	}
	measured := float64(candidate.track.latency.Load()) / 1000
	if reported == 0 && measured == 0 {
		return defaultService
	}
	return math.Max(reported, measured)
}

// wait is the predicted time in the queue in milliseconds.
func (candidate *member) wait(now clock.Time, settings Settings) float64 {
	slots := candidate.slots(now, settings)
	excess := candidate.load(now, settings) + 1 - slots
	if connections := candidate.Report.Connections; connections > 0 && candidate.Report.ConnectionsUsed >= connections {
		// Without a free connection even a free slot cannot be used.
		excess = math.Max(excess, 1)
	}
	if excess <= 0 {
		return 0
	}
	return excess * candidate.service() / slots
}

// finish is the predicted time to the answer in milliseconds. Among endpoints with free slots the
// less occupied one gets a slight preference.
func (candidate *member) finish(now clock.Time, settings Settings) float64 {
	service := candidate.service()
	occupancy := candidate.load(now, settings) / candidate.slots(now, settings)
	return candidate.wait(now, settings) + service*(1+math.Min(occupancy, 1)*occupancyWeight)
}

// occupancyWeight spreads requests over endpoints with free slots; without it equal endpoints would
// fill up one after the other between two reports.
const occupancyWeight = 0.25
