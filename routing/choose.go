package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Reason is why an endpoint was chosen, as written to the log.
type Reason string

// Reasons for a decision.
const (
	// Only means that no other endpoint was available to compare with.
	Only Reason = "Only"
	// Faster means that the chosen endpoint has the lowest predicted time to the answer.
	Faster Reason = "Faster"
	// LocalFull means that local requests would wait, and an endpoint of another data centre has a
	// lower predicted time to the answer in spite of its distance.
	LocalFull Reason = "LocalFull"
	// Ejected means that all endpoints that could be chosen are ejected.
	Ejected Reason = "Ejected"
)

// ScoredCandidate is an endpoint that was compared for a decision.
type ScoredCandidate struct {
	Endpoint ident.Endpoint
	// Cost is the predicted time to the answer in milliseconds. The time in the queue counts double,
	// and another data centre adds Settings.RemotePenalty.
	Cost float64
	// Outstanding is the number of this entry's unanswered requests at the endpoint.
	Outstanding int
}

// maxConsidered is the number of candidates of a decision: two local and two remote ones.
const maxConsidered = 4

// Decision is the choice of an endpoint for one attempt. The caller must end it with exactly one call
// of Done or Cancel.
type Decision struct {
	Candidate
	Reason          Reason
	considered      [maxConsidered]ScoredCandidate
	consideredCount int
	// allowEjected is set when no other endpoint is left.
	allowEjected bool
	state        *endpointState
	view         *View
}

// Considered returns the candidates that were compared.
func (decision *Decision) Considered() []ScoredCandidate {
	return decision.considered[:decision.consideredCount]
}

// String lists the compared candidates with their costs, as in "a=1.50 b=3.25".
func (decision *Decision) String() string {
	var text strings.Builder
	for index, candidate := range decision.Considered() {
		if index > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%.2f", candidate.Endpoint, candidate.Cost)
	}
	return text.String()
}

// negligibleWaitMillis is the predicted wait up to which other data centres are not considered.
const negligibleWaitMillis = 0.1

// Choose picks an endpoint that is not in excluded and counts the request as outstanding there.
// Ejected endpoints are chosen only if there are no others. The error is ErrNoEndpoint.
func (view *View) Choose(now clock.Time, excluded []ident.Endpoint) (Decision, error) {
	decision := Decision{view: view}
	best := view.best(now, excluded, &decision)
	if best == nil {
		decision.allowEjected = true
		best = view.best(now, excluded, &decision)
		decision.Reason = Ejected
	}
	if best == nil {
		return Decision{}, ErrNoEndpoint{
			Service: view.service, Candidates: len(view.members), Usable: view.Usable(), Ejected: view.Ejected(now),
		}
	}
	if decision.Reason == "" {
		decision.Reason = Faster
		if decision.consideredCount == 1 {
			decision.Reason = Only
		}
	}
	decision.Candidate = best.Candidate
	decision.state = best.state
	best.state.outstanding.Add(1)
	return decision, nil
}

// best compares endpoints of the entry's data centre. If there are none, or the best of them has a
// queue, endpoints of other data centres are compared too. It returns nil if no endpoint is left.
func (view *View) best(now clock.Time, excluded []ident.Endpoint, decision *Decision) *member {
	best := view.draw(now, excluded, view.local, 0, nil, decision)
	if best != nil && best.wait(now, view.router.settings, view.medianMillis) <= negligibleWaitMillis {
		return best
	}
	local := best
	best = view.draw(now, excluded, view.remote, float64(view.router.settings.RemotePenalty), best, decision)
	if local != nil && best != local {
		decision.Reason = LocalFull
	}
	return best
}

// draw compares two random members of the pool with best and returns the one with the lowest cost. A
// drawn member that may not be chosen is replaced by the next one that may. The pool holds indices of
// members; penalty is added to the cost of each, in milliseconds. Best may be nil.
func (view *View) draw(now clock.Time, excluded []ident.Endpoint, pool []int, penalty float64, best *member, decision *Decision) *member {
	if len(pool) == 0 {
		return best
	}
	lowestCost := math.Inf(1)
	if best != nil {
		lowestCost = best.cost(now, view.router.settings, view.medianMillis)
	}
	random := view.router.random()
	first := view.nextUsable(now, excluded, pool, int(random%uint64(len(pool))), -1, decision.allowEjected)
	second := -1
	if first >= 0 && len(pool) > 1 {
		start := int((random >> 32) % uint64(len(pool)))
		second = view.nextUsable(now, excluded, pool, start, first, decision.allowEjected)
	}
	for _, position := range [2]int{first, second} {
		if position < 0 {
			continue
		}
		candidate := &view.members[pool[position]]
		cost := candidate.cost(now, view.router.settings, view.medianMillis) + penalty
		decision.considered[decision.consideredCount] = ScoredCandidate{
			Endpoint: candidate.Endpoint, Cost: cost, Outstanding: int(candidate.state.outstanding.Load()),
		}
		decision.consideredCount++
		if cost < lowestCost {
			best, lowestCost = candidate, cost
		}
	}
	return best
}

// nextUsable returns the first position in the pool at or after start, wrapping around, whose member
// may be chosen. It skips the position except and returns -1 if there is none.
func (view *View) nextUsable(now clock.Time, excluded []ident.Endpoint, pool []int, start, except int, allowEjected bool) int {
	for offset := range pool {
		position := (start + offset) % len(pool)
		if position == except {
			continue
		}
		candidate := &view.members[pool[position]]
		if candidate.state.leavingSince.Load() > 0 || (!allowEjected && candidate.state.ejectedUntil.Load() > int64(now)) {
			continue
		}
		if len(excluded) > 0 && slices.Contains(excluded, candidate.Endpoint) {
			continue
		}
		return position
	}
	return -1
}
