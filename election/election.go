// Package election decides which entry leads a cluster. The leader's term and its renewals are rows of
// the store, so any number of entries may be lost at the same time.
package election

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// Times of leadership. A leader acts until Lease after it sent its last successful renewal; others
// wait longer than that after they saw the renewal.
const (
	// Lease is less than half of the shortest worker lease in use (6 s), so that a new leader renews the
	// workers' leases before they end.
	Lease = 2500 * clock.Millisecond
	// Renewal leaves three attempts within the lease.
	Renewal = 700 * clock.Millisecond
	// Poll is how often an entry that does not lead reads the rows.
	Poll = 400 * clock.Millisecond
	// Extension is how long a leader that cannot renew goes on granting worker leases. It bridges
	// outages of the store (4 to 9 s) together with the leases.
	Extension = 3 * clock.Second
	// driftPercent bounds the difference of two steady clocks.
	driftPercent = 3
	// settlePause is how long a candidate waits after it could not read, because the leader could not
	// renew either and goes first.
	settlePause = 1200 * clock.Millisecond
)

// table holds the rows of the election.
const table store.Table = "lead"

// TermRef names the row that a leader's transactions depend on. It changes with each leader only.
func TermRef() store.Ref { return store.Ref{Table: table, Key: "term"} }

// HeartbeatRef names the row that the leader renews.
func HeartbeatRef() store.Ref { return store.Ref{Table: table, Key: "beat"} }

// Term is the value of the term row.
type Term struct {
	Number int64
	// Holder names the node that leads.
	Holder string
	// Address is where the leader serves sessions.
	Address string
}

// Heartbeat is the value of the beat row.
type Heartbeat struct {
	Term  int64
	Count int64
	// Released reports that the leader stopped.
	Released bool `json:",omitempty"`
}

// ErrCorrupt reports a row that cannot be decoded.
type ErrCorrupt struct {
	Ref    store.Ref
	Reason string
}

// Error describes the row.
func (err ErrCorrupt) Error() string {
	return fmt.Sprintf("row %s/%s: %s", err.Ref.Table, err.Ref.Key, err.Reason)
}

// Reading is the state of the rows at one moment.
type Reading struct {
	Term             Term
	TermVersion      store.Version
	Heartbeat        Heartbeat
	HeartbeatVersion store.Version
}

// Parse decodes the rows of the election. Error: ErrCorrupt.
func Parse(rows []store.Row) (Reading, error) {
	var reading Reading
	for _, row := range rows {
		var target any
		switch row.Ref {
		case TermRef():
			target, reading.TermVersion = &reading.Term, row.Version
		case HeartbeatRef():
			target, reading.HeartbeatVersion = &reading.Heartbeat, row.Version
		default:
			continue
		}
		if err := json.Unmarshal(row.Value, target); err != nil {
			return Reading{}, ErrCorrupt{Ref: row.Ref, Reason: err.Error()}
		}
	}
	return reading, nil
}

// Candidate judges whether an entry may take over. It has no goroutine and no clock.
type Candidate struct {
	node    string
	address string
	seen    Reading
	since   clock.Time
	read    bool
}

// NewCandidate returns a candidate for the node that serves sessions at the address.
func NewCandidate(node, address string) *Candidate {
	return &Candidate{node: node, address: address}
}

// Failed records that the rows could not be read.
func (candidate *Candidate) Failed(now clock.Time) {
	if candidate.read {
		candidate.since = max(candidate.since, now.Add(settlePause-wait()))
	}
}

// Observe records a reading and reports whether the entry may take over now.
func (candidate *Candidate) Observe(reading Reading, now clock.Time) bool {
	if !candidate.read || reading.HeartbeatVersion != candidate.seen.HeartbeatVersion || reading.TermVersion != candidate.seen.TermVersion {
		candidate.since = now
	}
	candidate.seen, candidate.read = reading, true
	switch {
	case reading.TermVersion == 0 || reading.Heartbeat.Released:
		return true
	case reading.Term.Holder == candidate.node && reading.Term.Address == candidate.address:
		// The holder is an earlier process of this entry, which has ended.
		return true
	default:
		return now.Sub(candidate.since) >= wait()
	}
}

// Since returns when the present renewal was seen first.
func (candidate *Candidate) Since() clock.Time { return candidate.since }

// Leader returns the term that was read last.
func (candidate *Candidate) Leader() Term { return candidate.seen.Term }

// wait is how long a candidate must see the same renewal.
func wait() clock.Millis { return Lease + Lease*driftPercent/100 }

// TakeOver returns the transaction that makes the candidate the leader, and its term.
func (candidate *Candidate) TakeOver() (store.Tx, Term, error) {
	term := Term{Number: candidate.seen.Term.Number + 1, Holder: candidate.node, Address: candidate.address}
	termValue, err := json.Marshal(term)
	if err != nil {
		return store.Tx{}, Term{}, fmt.Errorf("encoding the term: %w", err)
	}
	beatValue, err := json.Marshal(Heartbeat{Term: term.Number})
	if err != nil {
		return store.Tx{}, Term{}, fmt.Errorf("encoding the beat: %w", err)
	}
	return store.Tx{
		Conditions: []store.Condition{
			{Ref: TermRef(), Version: candidate.seen.TermVersion}, {Ref: HeartbeatRef(), Version: candidate.seen.HeartbeatVersion},
		},
		Puts: []store.Put{{Ref: TermRef(), Value: termValue}, {Ref: HeartbeatRef(), Value: beatValue}},
	}, term, nil
}

// Table is the table that an entry lists to observe the election.
func Table() store.Table { return table }

// WorkerTerm returns how long after a grant of a worker lease its worker has certainly stopped, on the
// clock of the leader that granted it.
func WorkerTerm(lease clock.Millis) clock.Millis {
	return lease + lease*driftPercent/100 + leaseMargin
}

// leaseMargin covers the time that a worker takes to stop when its lease ends.
const leaseMargin = 300 * clock.Millisecond

// InheritedLeaseWait returns how long after its takeover a leader must wait for workers whose leases others may
// have granted.
func InheritedLeaseWait(lease clock.Millis) clock.Millis { return Extension + WorkerTerm(lease) }
