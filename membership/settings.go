// Package membership keeps the view of the entries, workers and endpoints that are present. It is
// state without goroutines or sockets: callers pass in rows, messages and the time.
package membership

import (
	"hash/fnv"
	"math/rand/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are the intervals of the view, in milliseconds.
type Settings struct {
	// RenewMillis is the interval at which an entry renews its row.
	RenewMillis clock.Millis
	// EntryExpiryMillis is how long an entry without a renewal or a heartbeat counts as live.
	EntryExpiryMillis clock.Millis
	// OutageGraceMillis is how long a home may continue to grant leases without renewing its row.
	OutageGraceMillis clock.Millis
	// LeaseTermMillis and LeaseMarginMillis are the term of an agent's lease and the margin that the
	// home adds to it.
	LeaseTermMillis   clock.Millis
	LeaseMarginMillis clock.Millis
	// WorkerExpiryMillis is how long a worker stays in its home's view without an announcement.
	WorkerExpiryMillis clock.Millis
	// PeerExpiryMillis is how long the workers of another home stay in the view without an exchange
	// from that home.
	PeerExpiryMillis clock.Millis
	// ExchangeMillis is the interval of exchanges between two entries that have up to PeersAtOnce
	// peers. With more peers it grows in proportion, up to ExchangeMaxMillis, so that the exchanges of
	// a large system do not take the whole of a daemon's bandwidth.
	ExchangeMillis    clock.Millis
	ExchangeMaxMillis clock.Millis
	PeersAtOnce       int
	// LoadBytes is the number of bytes a second that an entry spends on telling its peers of changed
	// loads. Other changes are told at once. At the design size a load is told every 140 s; entries that
	// send work to an endpoint or a worker learn its load from the replies.
	LoadBytes int64
	// UrgentMillis is the shortest interval of exchanges while an endpoint's leaving is not
	// acknowledged. It allows one lost message within the 3 s after which a leaving endpoint must
	// get no new work.
	UrgentMillis clock.Millis
	// FullMillis is the interval of exchanges that carry all workers although nothing was missed.
	FullMillis clock.Millis
	// MarkMillis is how long the incarnation and sequence of a removed worker are remembered. No
	// message is delayed longer.
	MarkMillis clock.Millis
	// Seed is that of the jitter of renewals and exchanges.
	Seed uint64
}

// newRandom returns a source of jitter for one purpose. Entries with the same seed have different ones.
func (settings Settings) newRandom(id ident.Entry, purpose uint64) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(settings.Seed, hash.Sum64()+purpose))
}

// rowsMillis is for how long after its last heartbeat an entry is not taken for live because of its
// row. By then two renewals after the entry was taken for dead show that only its heartbeats are lost.
func (settings Settings) rowsMillis() clock.Millis {
	return settings.EntryExpiryMillis + 2*settings.RenewMillis
}

// silenceMillis is how long an entry without a sign of life may have a lease in force that it
// granted.
func (settings Settings) silenceMillis() clock.Millis {
	return settings.OutageGraceMillis + settings.LeaseTermMillis + settings.LeaseMarginMillis
}

// retentionMillis is how long the row of an entry that left is kept: twice the longest time for which
// an entry may grant or a successor waits, 7,442 s by default. When a row is deleted, everyone that
// waits for the end of its entry has seen it.
func (settings Settings) retentionMillis() clock.Millis {
	return 2 * settings.silenceMillis()
}

// exchangeMillis is the interval of exchanges with each of the given number of peers.
func (settings Settings) exchangeMillis(peers int) clock.Millis {
	interval := settings.ExchangeMillis * clock.Millis(max(peers, 1)) / clock.Millis(max(settings.PeersAtOnce, 1))
	return min(max(interval, settings.ExchangeMillis), max(settings.ExchangeMaxMillis, settings.ExchangeMillis))
}

// loadStateBytes is the approximate size of a changed load in an exchange, with the tasks of two classes
// of work.
const loadStateBytes = 85

// loadMillis is the shortest interval at which the load of one of the own workers is told to the
// peers.
func (settings Settings) loadMillis(own, peers int) clock.Millis {
	return clock.Millis(int64(own) * int64(peers) * loadStateBytes * 1000 / max(settings.LoadBytes, 1))
}

// grantMillis is how long an entry grants leases without renewing its row. It is 2% less than the
// outage grace, because the entry counts on another clock than those that wait for its end.
func (settings Settings) grantMillis() clock.Millis {
	return settings.OutageGraceMillis / 100 * 98
}

// DefaultSettings returns the settings of the design page.
func DefaultSettings() Settings {
	return Settings{
		RenewMillis: 5 * clock.Second,
		// Agents of a dead entry must have a new home before they stop their tasks, 16 s after their
		// last heartbeat: 8 s to notice, 4 s to the next heartbeat and its repetition.
		EntryExpiryMillis: 8 * clock.Second,
		OutageGraceMillis: 3700 * clock.Second,
		LeaseTermMillis:   20 * clock.Second,
		// 2% of the term plus 500 ms.
		LeaseMarginMillis:  900,
		WorkerExpiryMillis: 10 * clock.Second,
		PeerExpiryMillis:   15 * clock.Second,
		ExchangeMillis:     2 * clock.Second,
		ExchangeMaxMillis:  5 * clock.Second,
		PeersAtOnce:        8,
		LoadBytes:          700,
		UrgentMillis:       500,
		FullMillis:         10 * clock.Minute,
		MarkMillis:         10 * clock.Minute,
	}
}
