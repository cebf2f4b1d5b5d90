package routing

import (
	"hyssopjunction/clock"
)

// Result is what became of the attempt that a decision was made for.
type Result struct {
	// Failed means that the endpoint or its agent did not answer properly. A refusal because of
	// load is no failure.
	Failed bool
	// Leaving means that the agent said that the endpoint leaves.
	Leaving bool
	// Answered means that Latency is valid.
	Answered bool
	Latency  clock.Millis
}

// latencyWeight is the weight in percent of one measurement of latency.
const latencyWeight = 10

// Done ends the attempt and records its result.
func (decision *Decision) Done(now clock.Time, result Result) {
	seen := decision.track
	seen.outstanding.Add(-1)
	if result.Leaving {
		seen.leftAt.Store(int64(now))
	}
	if result.Answered {
		// Times below the clock's resolution count as half a millisecond.
		seen.measure(max(500, int64(result.Latency)*1000))
	}
	if !result.Failed {
		seen.failures.Store(0)
		if result.Answered && seen.ejections.Load() > 0 && seen.ejectedUntil.Load() <= int64(now) {
			seen.ejections.Add(-1)
		}
		return
	}
	if seen.failures.Add(1) >= int64(decision.view.router.settings.EjectAfter) {
		decision.view.eject(now, seen)
	}
}

// Observe records the load that a reply carried.
func (decision *Decision) Observe(report Report) {
	decision.track.report(report)
}

func (seen *track) measure(micros int64) {
	known := seen.latency.Load()
	if known == 0 {
		seen.latency.Store(micros)
		return
	}
	// A lost update between concurrent measurements only delays the mean.
	seen.latency.Store(known + (micros-known)*latencyWeight/100)
}

// Ejected returns the number of candidates that are ejected.
func (view *View) Ejected(now clock.Time) int {
	count := 0
	for index := range view.members {
		if view.members[index].track.ejectedUntil.Load() > int64(now) {
			count++
		}
	}
	return count
}

// eject takes the endpoint out for a while, unless a third of the service's candidates is out
// already. It ramps up afterwards. The request may have been routed by an older view, so the limit
// refers to the newest one.
func (view *View) eject(now clock.Time, seen *track) {
	router := view.router
	router.mu.Lock()
	defer router.mu.Unlock()
	newest := router.newest[view.service]
	if seen.ejectedUntil.Load() > int64(now) || 3*(newest.Ejected(now)+1) > len(newest.members) {
		return
	}
	times := min(seen.ejections.Add(1), 16)
	term := min(router.settings.EjectFor<<(times-1), router.settings.EjectMax)
	until := now.Add(term)
	seen.failures.Store(0)
	seen.rampFrom.Store(int64(until))
	seen.ejectedUntil.Store(int64(until))
}

// lift ends the ejection that would end first.
func (view *View) lift(now clock.Time) {
	var first *track
	for index := range view.members {
		seen := view.members[index].track
		until := seen.ejectedUntil.Load()
		if until > int64(now) && (first == nil || until < first.ejectedUntil.Load()) {
			first = seen
		}
	}
	first.rampFrom.Store(int64(now))
	first.ejectedUntil.Store(int64(now))
}

// Cancel ends a decision whose request was not sent.
func (decision *Decision) Cancel() {
	decision.track.outstanding.Add(-1)
}
