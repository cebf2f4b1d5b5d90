package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Why names the reason of a decision, for its log line.
type Why string

// Reasons of a decision.
const (
	// Only means that a single endpoint could be chosen.
	Only Why = "Only"
	// Faster means that the chosen endpoint is predicted to finish first.
	Faster Why = "Faster"
	// LocalFull means that an endpoint of another data centre is predicted to finish first.
	LocalFull Why = "LocalFull"
	// Ejected means that only ejected endpoints were left.
	Ejected Why = "Ejected"
)

// Considered is a candidate of a decision.
type Considered struct {
	Endpoint ident.Endpoint
	// Cost is the predicted time to the answer in milliseconds, with the wait counted double.
	Cost float64
	// Outstanding is the number of requests this entry has open at the endpoint.
	Outstanding int
}

// maxConsidered is two local and two remote candidates.
const maxConsidered = 4

// Decision is the choice of one endpoint. Done or Cancel must be called once for each decision.
type Decision struct {
	Candidate
	Why        Why
	considered [maxConsidered]Considered
	count      int
	// ejected allows ejected endpoints.
	ejected bool
	track   *track
	view    *View
}

// Considered returns the compared candidates.
func (decision *Decision) Considered() []Considered {
	return decision.considered[:decision.count]
}

// String lists the compared candidates with their costs, as in
// "a=1.50 b=3.25".
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

// noWait is the predicted wait in milliseconds up to which endpoints elsewhere are not considered.
const noWait = 0.1

// Choose picks an endpoint that is not in excluded and counts the request as outstanding there. An
// ejected endpoint is chosen only if there is no other.
func (view *View) Choose(now clock.Time, excluded []ident.Endpoint) (Decision, error) {
	decision := Decision{view: view}
	best := view.best(now, excluded, &decision)
	if best == nil {
		decision.ejected = true
		best = view.best(now, excluded, &decision)
		decision.Why = Ejected
	}
	if best == nil {
		return Decision{}, ErrNoEndpoint{
			Service: view.service, Candidates: len(view.members), Usable: view.Usable(), Ejected: view.Ejected(now),
		}
	}
	if decision.Why == "" {
		decision.Why = Faster
		if decision.count == 1 {
			decision.Why = Only
		}
	}
	decision.Candidate = best.Candidate
	decision.track = best.track
	best.track.outstanding.Add(1)
	return decision, nil
}

// best draws in the entry's data centre, and elsewhere if there is nothing or a wait.
func (view *View) best(now clock.Time, excluded []ident.Endpoint, decision *Decision) *member {
	best := view.draw(now, excluded, view.local, 0, nil, decision)
	if best != nil && best.wait(now, view.router.settings, view.median) <= noWait {
		return best
	}
	local := best
	best = view.draw(now, excluded, view.remote, float64(view.router.settings.RemotePenalty), best, decision)
	if local != nil && best != local {
		decision.Why = LocalFull
	}
	return best
}

// draw compares up to two random members of the pool with best and returns the one predicted to
// finish first. Unusable draws are replaced by the next usable member in order.
func (view *View) draw(now clock.Time, excluded []ident.Endpoint, pool []int, penalty float64, best *member, decision *Decision) *member {
	if len(pool) == 0 {
		return best
	}
	least := math.Inf(1)
	if best != nil {
		least = best.cost(now, view.router.settings, view.median)
	}
	random := view.router.random()
	first := view.usable(now, excluded, pool, int(random%uint64(len(pool))), -1, decision.ejected)
	second := -1
	if first >= 0 && len(pool) > 1 {
		start := int((random >> 32) % uint64(len(pool)))
		second = view.usable(now, excluded, pool, start, first, decision.ejected)
	}
	for _, position := range [2]int{first, second} {
		if position < 0 {
			continue
		}
		candidate := &view.members[pool[position]]
		predicted := candidate.cost(now, view.router.settings, view.median) + penalty
		decision.considered[decision.count] = Considered{
			Endpoint: candidate.Endpoint, Cost: predicted, Outstanding: int(candidate.track.outstanding.Load()),
		}
		decision.count++
		if predicted < least {
			best, least = candidate, predicted
		}
	}
	return best
}

// usable returns the first position at or after start whose member may be chosen, or -1.
func (view *View) usable(now clock.Time, excluded []ident.Endpoint, pool []int, start, except int, ejected bool) int {
	for step := range pool {
		position := (start + step) % len(pool)
		if position == except {
			continue
		}
		candidate := &view.members[pool[position]]
		if candidate.track.leftAt.Load() > 0 || (!ejected && candidate.track.ejectedUntil.Load() > int64(now)) {
			continue
		}
		if len(excluded) > 0 && slices.Contains(excluded, candidate.Endpoint) {
			continue
		}
		return position
	}
	return -1
}
