// Package lease implements the lease that a home entry grants to the agent of a worker. It decides how
// long the agent may let its tasks run, and when an incarnation of the worker is over, so that its
// tasks may be placed elsewhere.
package lease

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// Default settings and margins, see safety rule 3 of the design.
const (
	// DefaultTerm is the term of a lease.
	DefaultTerm = 20 * clock.Second
	// DefaultOutageGrace is how long an entry may grant leases without renewing its membership row.
	DefaultOutageGrace = 3700 * clock.Second
	// driftPercent covers two clocks with a drift of 1% each. fixedMargin covers rounding, scheduling
	// delays and the time that a worker needs to stop a task.
	driftPercent = 2
	fixedMargin  = 500 * clock.Millisecond
)

// Margin returns the safety margin that is added to a term: 2% of the term plus 500 ms.
func Margin(term clock.Millis) clock.Millis {
	return (term*driftPercent+99)/100 + fixedMargin
}

// Holder is the agent's side of the lease. The term counts from the time at which the heartbeat was
// sent, so the delay of a reply doesn't extend the lease. It is not safe for concurrent use.
type Holder struct {
	// sentAt holds when each heartbeat without a reply was sent.
	sentAt map[ident.Sequence]clock.Time
	expiry clock.Time
	// revision is the newest revision of the worker's row under which a lease was granted.
	revision table.Revision
	// reading is the newest reading of the worker's clock, received at readingAt on the agent's clock.
	hasReading bool
	readingAt  clock.Time
	reading    worker.Instant
	// workerExpiry is the latest expiry that was passed on to the worker. The lease there is never
	// shortened.
	workerExpiry worker.Instant
}

// maxOutstandingHeartbeats is the maximum number of heartbeats without a reply that are kept. Replies
// to older ones come too late to be of use.
const maxOutstandingHeartbeats = 32

// NewHolder returns a holder without a lease.
func NewHolder() *Holder {
	return &Holder{sentAt: make(map[ident.Sequence]clock.Time)}
}

// Sent records the time of a heartbeat. It must be called right before the heartbeat is sent.
func (holder *Holder) Sent(sequence ident.Sequence, now clock.Time) {
	holder.sentAt[sequence] = now
	if len(holder.sentAt) <= maxOutstandingHeartbeats {
		return
	}
	oldest := sequence
	for other := range holder.sentAt {
		oldest = min(oldest, other)
	}
	delete(holder.sentAt, oldest)
}

// Granted applies the reply to a heartbeat and reports whether it extended the lease. Revision is that
// of the worker's row since which the sender is the granter. A grant under an older revision than that
// of an earlier grant is ignored: it comes from a former granter, and the new granter may already have
// declared the incarnation over. A term of 0 grants nothing. A reply that arrives after its term has
// passed doesn't renew the lease.
func (holder *Holder) Granted(sequence ident.Sequence, term clock.Millis, revision table.Revision, now clock.Time) bool {
	sentAt, ok := holder.sentAt[sequence]
	if !ok {
		return false
	}
	delete(holder.sentAt, sequence)
	if revision < holder.revision {
		return false
	}
	holder.revision = revision
	expiry := sentAt.Add(term)
	if term <= 0 || !expiry.After(holder.expiry) || !now.Before(expiry) {
		return false
	}
	holder.expiry = expiry
	return true
}

// Valid reports whether the agent has a lease at now. It must be checked before every side effect.
func (holder *Holder) Valid(now clock.Time) bool {
	return now.Before(holder.expiry)
}

// Expiry returns when the lease ends on the agent's clock, 0 if it was never granted.
func (holder *Holder) Expiry() clock.Time { return holder.expiry }

// Revision returns the newest revision of the worker's row under which a lease was granted. Every
// heartbeat carries it, so that a former granter stops granting.
func (holder *Holder) Revision() table.Revision { return holder.revision }

// Remaining returns the time until the lease ends, 0 if it has ended.
func (holder *Holder) Remaining(now clock.Time) clock.Millis {
	return max(0, holder.expiry.Sub(now))
}

// SetWorkerClock stores a reading of the worker's clock. The agent requested it at sent and received it at
// received, on its own clock. A reading that was received before the stored one is ignored.
func (holder *Holder) SetWorkerClock(sent, received clock.Time, reading worker.Instant) {
	if received.Before(sent) || (holder.hasReading && received.Before(holder.readingAt)) {
		return
	}
	holder.hasReading, holder.readingAt, holder.reading = true, received, reading
}

// WorkerExpiry returns when the lease ends on the worker's clock, as known now, and false without a
// lease or a reading. The worker's clock may not count the time during which its machine is suspended,
// so it may stand still from the reading until now. The result never decreases.
func (holder *Holder) WorkerExpiry(now clock.Time) (worker.Instant, bool) {
	if !holder.hasReading || holder.expiry == 0 {
		return 0, false
	}
	expiry := holder.reading + worker.Instant(holder.expiry.Sub(max(now, holder.readingAt)))
	holder.workerExpiry = max(holder.workerExpiry, expiry)
	return holder.workerExpiry, true
}
