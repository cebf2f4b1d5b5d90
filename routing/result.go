package routing

import (
	"hyssopjunction/clock"
)

// Result is the result of the attempt that a decision was made for.
type Result struct {
	// Failed is set if the endpoint or its agent gave no valid answer. A refusal because of overload
	// is not a failure.
	Failed bool
	// Leaving is set if the agent reported that the endpoint is leaving.
	Leaving bool
	// Answered is set if the endpoint answered; Latency is valid only then.
	Answered bool
	Latency  clock.Millis
}

// latencyWeightPercent is the weight of a new sample in the moving average of the latency.
const latencyWeightPercent = 10

// Done ends the attempt and records its result. An endpoint with Settings.EjectAfter consecutive
// failures is ejected.
func (decision *Decision) Done(now clock.Time, result Result) {
	state := decision.state
	state.outstanding.Add(-1)
	if result.Leaving {
		state.leavingSince.Store(int64(now))
	}
	if result.Answered {
		// Latencies below the clock's resolution of 1 ms count as half a millisecond.
		state.observeLatency(max(500, int64(result.Latency)*1000))
	}
	if !result.Failed {
		state.failures.Store(0)
		if result.Answered && state.ejections.Load() > 0 && state.ejectedUntil.Load() <= int64(now) {
			state.ejections.Add(-1)
		}
		return
	}
	if state.failures.Add(1) >= int64(decision.view.router.settings.EjectAfter) {
		decision.view.eject(now, state)
	}
}

// Observe records the load that the agent reported in a reply.
func (decision *Decision) Observe(report Report) {
	decision.state.applyReport(report)
}

func (state *endpointState) observeLatency(micros int64) {
	mean := state.latencyMicros.Load()
	if mean == 0 {
		state.latencyMicros.Store(micros)
		return
	}
	// Concurrent updates may overwrite each other; a lost sample hardly changes the average.
	state.latencyMicros.Store(mean + (micros-mean)*latencyWeightPercent/100)
}

// Ejected returns the number of candidates that are ejected at now.
func (view *View) Ejected(now clock.Time) int {
	count := 0
	for index := range view.members {
		if view.members[index].state.ejectedUntil.Load() > int64(now) {
			count++
		}
	}
	return count
}

// eject takes the endpoint out of routing; its ramp-up starts when the ejection ends. It does nothing
// if more than a third of the service's candidates would be ejected. The candidates of the newest view
// count, because the request may have been routed by an older one.
func (view *View) eject(now clock.Time, state *endpointState) {
	router := view.router
	router.mu.Lock()
	defer router.mu.Unlock()
	newest := router.newest[view.service]
	if state.ejectedUntil.Load() > int64(now) || 3*(newest.Ejected(now)+1) > len(newest.members) {
		return
	}
	// The limit of 16 keeps the shift from overflowing.
	ejections := min(state.ejections.Add(1), 16)
	duration := min(router.settings.EjectFor<<(ejections-1), router.settings.EjectMax)
	until := now.Add(duration)
	state.failures.Store(0)
	state.rampUpStart.Store(int64(until))
	state.ejectedUntil.Store(int64(until))
}

// endEarliestEjection ends, at now, the ejection that has the least time left.
func (view *View) endEarliestEjection(now clock.Time) {
	var earliest *endpointState
	for index := range view.members {
		state := view.members[index].state
		until := state.ejectedUntil.Load()
		if until > int64(now) && (earliest == nil || until < earliest.ejectedUntil.Load()) {
			earliest = state
		}
	}
	earliest.rampUpStart.Store(int64(now))
	earliest.ejectedUntil.Store(int64(now))
}

// Cancel ends a decision for which no request was sent.
func (decision *Decision) Cancel() {
	decision.state.outstanding.Add(-1)
}
