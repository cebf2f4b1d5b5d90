package election

import (
	"slices"

	"hyssopjunction/clock"
)

const (
	// SilentAfter is how long a node is without a grant and a report before the heartbeat lists it as silent. Agents
	// report more often than leaders renew.
	SilentAfter = 3 * RenewalInterval
	// maxSilentNodes keeps the heartbeat below the store's limit of 64 KiB for a row. Successors take other nodes for
	// nodes that were granted leases until the end.
	maxSilentNodes = 500
)

// Grants is what a heartbeat tells successors about grants of worker leases. Its times count from when the leader
// composed the row; a successor counts them from when it first read the row, which is later.
type Grants struct {
	// EarlierLeaders is for how long leaders of earlier terms may still grant leases.
	EarlierLeaders clock.Millis `json:",omitempty"`
	// Silent holds the time since the last grant by node. It is negative for a node that an earlier leader may still
	// grant leases. The leader grants none of these nodes a lease until it has stored a heartbeat without the node.
	Silent map[string]clock.Millis `json:",omitempty"`
}

// InheritedGrants holds what a new leader knows about grants of earlier leaders, on its own clock. The zero value is that
// of the first term.
type InheritedGrants struct {
	// silent holds the latest time of the last grant by node.
	silent map[string]clock.Time
	// others is when earlier leaders have certainly stopped granting leases to nodes that are not in silent.
	others clock.Time
}

// Last returns the latest time at which an earlier leader may have granted the node a lease, and whether the node was
// listed.
func (inherited InheritedGrants) Last(node string) (clock.Time, bool) {
	if last, ok := inherited.silent[node]; ok {
		return last, true
	}
	return inherited.others, false
}

// Compose returns what a heartbeat that is composed now says about earlier leaders. It is all that there is to say while the
// leader itself has granted no lease.
func (inherited InheritedGrants) Compose(now clock.Time) *Grants {
	grants := &Grants{EarlierLeaders: max(0, inherited.others.Sub(now)), Silent: make(map[string]clock.Millis, len(inherited.silent))}
	for node, last := range inherited.silent {
		grants.Silent[node] = now.Sub(last)
	}
	return grants
}

// InheritedGrants returns what the last reading says about the grants of all leaders so far. It holds if the
// transaction of TakeOver succeeds, because then no later heartbeat was stored.
func (candidate *Candidate) InheritedGrants() InheritedGrants {
	if candidate.reading.TermVersion == 0 {
		return InheritedGrants{}
	}
	readAt, grants := candidate.firstReadAt, candidate.reading.Heartbeat.Grants
	inherited := InheritedGrants{silent: map[string]clock.Time{}, others: readAt.Add(withDrift(LeaderLease + GrantExtension))}
	if candidate.hasLeaderEnded() {
		inherited.others = readAt.Add(withDrift(GrantExtension))
	}
	if grants == nil {
		return inherited // The leader has an earlier version.
	}
	if candidate.hasLeaderEnded() {
		inherited.others = readAt.Add(grants.EarlierLeaders)
	}
	for node, age := range grants.Silent {
		inherited.silent[node] = readAt.Add(-age)
	}
	return inherited
}

// withDrift returns the time on any machine's clock after which the given time has certainly passed on another's.
func withDrift(millis clock.Millis) clock.Millis { return millis + millis*maxClockDriftPercent/100 }

// GrantLedger decides which nodes a leader may grant leases during its term, and knows their last grants. It has no
// goroutine and no clock. The zero value is that of a first term.
type GrantLedger struct {
	inherited InheritedGrants
	startedAt clock.Time
	// grantedAt and reportedAt hold the last grant and the last report in this term by node.
	grantedAt  map[string]clock.Time
	reportedAt map[string]clock.Time
	// stored and inFlight hold the silent nodes of the heartbeat in the store and of one that may be stored.
	stored   map[string]clock.Millis
	inFlight map[string]clock.Millis
	// waiting holds the nodes that were refused a grant.
	waiting map[string]bool
}

// NewGrantLedger returns the ledger of a term that was taken over with the transaction of TakeOver.
func NewGrantLedger(inherited InheritedGrants, startedAt clock.Time) GrantLedger {
	return GrantLedger{inherited: inherited, startedAt: startedAt, stored: inherited.Compose(startedAt).Silent}
}

// RecordReport records a report of the node's agent.
func (ledger *GrantLedger) RecordReport(node string, now clock.Time) {
	if ledger.reportedAt == nil {
		ledger.reportedAt = map[string]clock.Time{}
	}
	ledger.reportedAt[node] = now
}

// Grant records a grant and returns true, or returns false if the node must not be granted a lease: a heartbeat without
// it has to be stored first.
func (ledger *GrantLedger) Grant(node string, now clock.Time) bool {
	if ledger.Listed(node) {
		if ledger.waiting == nil {
			ledger.waiting = map[string]bool{}
		}
		ledger.waiting[node] = true
		return false
	}
	if ledger.grantedAt == nil {
		ledger.grantedAt = map[string]clock.Time{}
	}
	ledger.grantedAt[node] = now
	return true
}

// Listed reports whether the heartbeat in the store lists the node as silent, or may do so.
func (ledger *GrantLedger) Listed(node string) bool {
	_, isStored := ledger.stored[node]
	_, isInFlight := ledger.inFlight[node]
	return isStored || isInFlight
}

// LastGrant returns the latest time at which any leader may have granted the node a lease, and whether that is known
// from a heartbeat or from this leader's own grants. The agent may have returned to an earlier leader after a grant of
// this one did not arrive.
func (ledger *GrantLedger) LastGrant(node string) (clock.Time, bool) {
	last, known := ledger.inherited.Last(node)
	granted, ok := ledger.grantedAt[node]
	return max(last, granted), known || ok
}

// NeedsRenewal reports whether a node waits for a heartbeat without it.
func (ledger *GrantLedger) NeedsRenewal(now clock.Time) bool {
	for node := range ledger.waiting {
		if now.Sub(ledger.reportedAt[node]) < SilentAfter {
			return true
		}
	}
	return false
}

// Compose returns the content of the next heartbeat, which lists the first maxSilentNodes of the nodes that are silent. Until RecordStored
// the heartbeat counts as one that may be stored.
func (ledger *GrantLedger) Compose(nodes []string, now clock.Time) *Grants {
	grants := &Grants{EarlierLeaders: max(0, ledger.inherited.others.Sub(now)), Silent: map[string]clock.Millis{}}
	for _, node := range nodes {
		if len(grants.Silent) == maxSilentNodes {
			break
		}
		if ledger.isSilent(node, now) {
			last, _ := ledger.LastGrant(node)
			grants.Silent[node] = now.Sub(last)
		}
	}
	ledger.inFlight = grants.Silent
	return grants
}

// isSilent reports whether the next heartbeat lists the node. Agents get SilentAfter to attach to a new leader, but a
// node that is listed already stays so until it reports.
func (ledger *GrantLedger) isSilent(node string, now clock.Time) bool {
	since := max(ledger.grantedAt[node], ledger.reportedAt[node])
	if _, ok := ledger.stored[node]; !ok {
		since = max(since, ledger.startedAt)
	}
	return now.Sub(since) >= SilentAfter
}

// RecordStored records that the heartbeat of the last Compose is stored. It returns the nodes that waited and may be
// granted leases now.
func (ledger *GrantLedger) RecordStored() []string {
	ledger.stored, ledger.inFlight = ledger.inFlight, nil
	var ready []string
	for node := range ledger.waiting {
		if !ledger.Listed(node) {
			delete(ledger.waiting, node)
			ready = append(ready, node)
		}
	}
	slices.Sort(ready)
	return ready
}
