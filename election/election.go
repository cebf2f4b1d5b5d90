// Package election decides which entry leads a cluster. The leader's term and heartbeat are rows of the
// store, so no majority of entries is needed: any number of them may be lost at the same time.
package election

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// Times of leadership. A leader acts until LeaderLease after it sent its last successful renewal. Other entries take
// over only after they have read the same renewal for longer than that.
const (
	// LeaderLease is the lease of a leader. It is less than half of the shortest worker lease in use (6 s), so
	// that a new leader renews the workers' leases before they end.
	LeaderLease = 2500 * clock.Millisecond
	// RenewalInterval is the interval of renewals. It leaves three attempts within the lease.
	RenewalInterval = 700 * clock.Millisecond
	// PollInterval is how often an entry that does not lead reads the rows of the election.
	PollInterval = 400 * clock.Millisecond
	// GrantExtension is how long after the end of its own lease a leader continues to grant worker leases.
	// Together with the leases it bridges outages of the store (4 to 9 s).
	GrantExtension = 3 * clock.Second
	// maxClockDriftPercent limits the difference in rate between the steady clocks of two machines.
	maxClockDriftPercent = 3
	// failedReadDelay is how long a candidate waits at least after a failed read before it takes over. The
	// leader could not renew either and must have the time to do so first.
	failedReadDelay = 1200 * clock.Millisecond
)

// table holds the rows of the election.
const table store.Table = "lead"

// TermRef names the row that a leader's transactions depend on. It changes with each leader only.
func TermRef() store.Ref { return store.Ref{Table: table, Key: "term"} }

// HeartbeatRef names the row that the leader writes with each renewal.
func HeartbeatRef() store.Ref { return store.Ref{Table: table, Key: "beat"} }

// Term is the value of the term row.
type Term struct {
	Number int64
	// Holder names the node that leads.
	Holder string
	// Address is where the leader serves sessions.
	Address string
}

// Heartbeat is the value of the heartbeat row.
type Heartbeat struct {
	Term  int64
	Count int64
	// Released reports that the leader stopped, so that another entry may take over at once.
	Released bool `json:",omitempty"`
	// Grants is nil in a row of a leader of an earlier version.
	Grants *Grants `json:",omitempty"`
	// Backlog tells which jobs the leader takes no more of; nil means that it takes all.
	Backlog *backlog.Refusal `json:",omitempty"`
}

// ErrCorrupt reports a row that cannot be decoded.
type ErrCorrupt struct {
	Ref    store.Ref
	Reason string
}

// Error names the row and the reason.
func (err ErrCorrupt) Error() string {
	return fmt.Sprintf("row %s/%s: %s", err.Ref.Table, err.Ref.Key, err.Reason)
}

// Reading holds the rows of the election as they were read together.
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
		var value any
		switch row.Ref {
		case TermRef():
			value, reading.TermVersion = &reading.Term, row.Version
		case HeartbeatRef():
			value, reading.HeartbeatVersion = &reading.Heartbeat, row.Version
		default:
			continue
		}
		if err := json.Unmarshal(row.Value, value); err != nil {
			return Reading{}, ErrCorrupt{Ref: row.Ref, Reason: err.Error()}
		}
	}
	return reading, nil
}

// Candidate decides whether an entry may take over. It has no goroutine and no clock: callers pass the time.
type Candidate struct {
	node    string
	address string
	// reading is the last reading if hasReading.
	reading Reading
	// renewalSeenAt is when the renewal in reading was first read, or later after a failed read.
	renewalSeenAt clock.Time
	// firstReadAt is when the renewal in reading was first read.
	firstReadAt clock.Time
	hasReading  bool
}

// NewCandidate returns a candidate for the node, which serves sessions at the address.
func NewCandidate(node, address string) *Candidate {
	return &Candidate{node: node, address: address}
}

// ReadFailed records that the rows could not be read, which delays a takeover by failedReadDelay or more.
func (candidate *Candidate) ReadFailed(now clock.Time) {
	if candidate.hasReading {
		candidate.renewalSeenAt = max(candidate.renewalSeenAt, now.Add(failedReadDelay-takeOverWait()))
	}
}

// Observe records a reading and reports whether the entry may take over now.
func (candidate *Candidate) Observe(reading Reading, now clock.Time) bool {
	if !candidate.hasReading || reading.HeartbeatVersion != candidate.reading.HeartbeatVersion || reading.TermVersion != candidate.reading.TermVersion {
		candidate.renewalSeenAt, candidate.firstReadAt = now, now
	}
	candidate.reading, candidate.hasReading = reading, true
	return reading.TermVersion == 0 || candidate.hasLeaderEnded() || now.Sub(candidate.renewalSeenAt) >= takeOverWait()
}

// hasLeaderEnded reports whether the last leader had stopped granting leases when its heartbeat was first read: it
// released its term, or it was an earlier process or coordinator of this entry.
func (candidate *Candidate) hasLeaderEnded() bool {
	reading := candidate.reading
	return reading.Heartbeat.Released || reading.Term.Holder == candidate.node && reading.Term.Address == candidate.address
}

// RenewalSeenAt returns when the present renewal was first read. ReadFailed may set a later time.
func (candidate *Candidate) RenewalSeenAt() clock.Time { return candidate.renewalSeenAt }

// Backlog returns which jobs the leader of the last reading takes no more of.
func (candidate *Candidate) Backlog() backlog.Refusal {
	if refusal := candidate.reading.Heartbeat.Backlog; refusal != nil {
		return *refusal
	}
	return backlog.Refusal{}
}

// LastTerm returns the term of the last reading.
func (candidate *Candidate) LastTerm() Term { return candidate.reading.Term }

// takeOverWait returns how long a candidate must read the same renewal before it takes over.
func takeOverWait() clock.Millis { return withDrift(LeaderLease) }

// TakeOver returns the transaction that makes the candidate the leader, and the new term. Its heartbeat passes on what
// is known of earlier grants.
func (candidate *Candidate) TakeOver(now clock.Time) (store.Tx, Term, error) {
	term := Term{Number: candidate.reading.Term.Number + 1, Holder: candidate.node, Address: candidate.address}
	termValue, err := json.Marshal(term)
	if err != nil {
		return store.Tx{}, Term{}, fmt.Errorf("encoding the term: %w", err)
	}
	heartbeatValue, err := json.Marshal(Heartbeat{Term: term.Number, Grants: candidate.InheritedGrants().Compose(now)})
	if err != nil {
		return store.Tx{}, Term{}, fmt.Errorf("encoding the heartbeat: %w", err)
	}
	return store.Tx{
		Conditions: []store.Condition{
			{Ref: TermRef(), Version: candidate.reading.TermVersion}, {Ref: HeartbeatRef(), Version: candidate.reading.HeartbeatVersion},
		},
		Puts: []store.Put{{Ref: TermRef(), Value: termValue}, {Ref: HeartbeatRef(), Value: heartbeatValue}},
	}, term, nil
}

// Table returns the table that holds the rows of the election.
func Table() store.Table { return table }

// WorkerStoppedAfter returns the time after which a worker has certainly stopped its tasks, counted from the
// last grant of its lease on the clock of the leader that granted it.
func WorkerStoppedAfter(lease clock.Millis) clock.Millis {
	return withDrift(lease) + workerStopMargin
}

// workerStopMargin is the time that a worker may take to stop its tasks after its lease has ended.
const workerStopMargin = 300 * clock.Millisecond
