// Package lease holds the rules of the lease that a home entry grants to an agent: how long the
// agent may rely on it, and when the home may state that an incarnation is over.
package lease

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// Defaults of the lease, see safety rule 3 of the design.
const (
	DefaultTerm = 20 * clock.Second
	// DefaultOutageGrace is how long a home may go on granting without renewing its row.
	DefaultOutageGrace = 3700 * clock.Second
	// driftPercent covers two clocks that drift by 1% each; fixedMargin covers rounding, scheduling
	// delay and the time a worker needs to stop a task.
	driftPercent = 2
	fixedMargin  = 500 * clock.Millisecond
)

// Margin returns what is added to a term to allow for drift: 2% of the term plus 500 ms.
func Margin(term clock.Millis) clock.Millis {
	return (term*driftPercent+99)/100 + fixedMargin
}

// Holder is the agent's side of its lease. It counts from when a heartbeat was sent, so a delayed
// reply never extends the lease. It is not safe for concurrent use.
type Holder struct {
	sent   map[ident.Sequence]clock.Time
	expiry clock.Time
	// revision is the newest revision of the worker's row under which a lease was granted.
	revision table.Revision
	sampled  bool
	sampleAt clock.Time
	sample   worker.Instant
	// handed is the latest expiry given to the worker; a lease there never shortens.
	handed worker.Instant
}

// maxOutstanding bounds the remembered heartbeats; older ones can no longer grant anything useful.
const maxOutstanding = 32

// NewHolder returns a holder without a lease.
func NewHolder() *Holder {
	return &Holder{sent: make(map[ident.Sequence]clock.Time)}
}

// Sent records that a heartbeat is about to be sent. It must be called before sending.
func (holder *Holder) Sent(sequence ident.Sequence, now clock.Time) {
	holder.sent[sequence] = now
	if len(holder.sent) <= maxOutstanding {
		return
	}
	oldest := sequence
	for known := range holder.sent {
		oldest = min(oldest, known)
	}
	delete(holder.sent, oldest)
}

// Granted applies the reply to a heartbeat and reports whether it extended the lease. Revision is
// that of the worker's row that names the granter. A grant under an older revision than a known one
// is refused: its granter lost the worker without knowing, and the new one may already have declared
// the incarnation over. A term of 0 grants nothing. A reply whose term has already passed does not
// revive the lease.
func (holder *Holder) Granted(sequence ident.Sequence, term clock.Millis, revision table.Revision, now clock.Time) bool {
	sent, ok := holder.sent[sequence]
	if !ok {
		return false
	}
	delete(holder.sent, sequence)
	if revision < holder.revision {
		return false
	}
	holder.revision = revision
	expiry := sent.Add(term)
	if term <= 0 || !expiry.After(holder.expiry) || !now.Before(expiry) {
		return false
	}
	holder.expiry = expiry
	return true
}

// Valid reports whether the lease holds at now. Every side effect must be preceded by this check.
func (holder *Holder) Valid(now clock.Time) bool {
	return now.Before(holder.expiry)
}

// Expiry returns when the lease ends on the agent's clock; 0 means it was never granted.
func (holder *Holder) Expiry() clock.Time { return holder.expiry }

// Revision returns the newest revision of the worker's row under which a lease was granted. Every
// heartbeat carries it, so that a former granter learns that it is one.
func (holder *Holder) Revision() table.Revision { return holder.revision }

// Left returns how long the lease still holds, 0 if it does not.
func (holder *Holder) Left(now clock.Time) clock.Millis {
	return max(0, holder.expiry.Sub(now))
}

// Sampled records a reading of the worker's clock that was requested at sent and received at
// received on the agent's clock.
func (holder *Holder) Sampled(sent, received clock.Time, reading worker.Instant) {
	if received.Before(sent) || (holder.sampled && received.Before(holder.sampleAt)) {
		return
	}
	holder.sampled, holder.sampleAt, holder.sample = true, received, reading
}

// WorkerExpiry returns the end of the lease on the worker's clock, and false without a lease or a
// reading. The worker read its clock no later than the agent received the reading, so counting the
// remaining time from the reception gives an instant that is never too late. It never falls.
func (holder *Holder) WorkerExpiry() (worker.Instant, bool) {
	if !holder.sampled || holder.expiry == 0 {
		return 0, false
	}
	expiry := WorkerExpiry(holder.expiry, holder.sampleAt, holder.sample)
	holder.handed = max(holder.handed, expiry)
	return holder.handed, true
}

// WorkerExpiry converts an expiry on the agent's clock to the worker's clock, given a reading of
// the worker's clock that the agent received at received.
func WorkerExpiry(expiry, received clock.Time, reading worker.Instant) worker.Instant {
	return reading + worker.Instant(expiry.Sub(received))
}
