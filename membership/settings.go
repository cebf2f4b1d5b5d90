// Package membership maintains the view of the entries, workers and endpoints that are present. It
// has no goroutines or sockets: callers pass in rows, messages and the time.
package membership

import (
	"hash/fnv"
	"math/rand/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are the intervals and limits of the view.
type Settings struct {
	// RenewMillis is the interval at which an entry renews its row.
	RenewMillis clock.Millis
	// EntryExpiryMillis is how long an entry counts as live after its last renewal or heartbeat.
	EntryExpiryMillis clock.Millis
	// OutageGraceMillis is how long a home may grant leases without renewing its row.
	OutageGraceMillis clock.Millis
	// LeaseTermMillis is the term of an agent's lease, and LeaseMarginMillis the margin that the
	// home adds to it.
	LeaseTermMillis   clock.Millis
	LeaseMarginMillis clock.Millis
	// WorkerExpiryMillis is how long an own worker stays in the view without an announcement.
	WorkerExpiryMillis clock.Millis
	// PeerExpiryMillis is how long the workers of another home stay in the view without an
	// exchange from that home.
	PeerExpiryMillis clock.Millis
	// ExchangeMillis is the interval of exchanges with each peer for up to PeersAtOnce peers. With
	// more peers it grows in proportion, up to ExchangeMaxMillis, to limit the bandwidth in large
	// systems.
	ExchangeMillis    clock.Millis
	ExchangeMaxMillis clock.Millis
	PeersAtOnce       int
	// LoadBytes is the number of bytes a second that an entry sends to its peers for changes of
	// load alone. Other changes are sent with the next exchange. At the design size the load of a
	// worker is sent every 140 s; entries that send work to an endpoint or a worker get its load
	// with the replies.
	LoadBytes int64
	// UrgentMillis is the shortest interval of exchanges while a leaving endpoint is not
	// acknowledged. It tolerates one lost message within the 3 s after which a leaving endpoint
	// must not get new work.
	UrgentMillis clock.Millis
	// FullMillis is the interval of exchanges that carry all own workers even if no change was
	// missed.
	FullMillis clock.Millis
	// MarkMillis is how long the incarnation and sequence number of a removed worker are stored.
	// No message is delayed for longer.
	MarkMillis clock.Millis
	// Seed is the seed of the jitter of renewals and exchanges.
	Seed uint64
}

// newRandom returns the random source for the jitter of one purpose. Entries with the same seed get
// different sources.
func (settings Settings) newRandom(id ident.Entry, purpose uint64) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(settings.Seed, hash.Sum64()+purpose))
}

// rowIgnoredMillis is how long after the last heartbeat of an entry a renewal of its row does not
// make it live. If the row is still renewed two renewal intervals after the entry expired, the
// entry runs and only its heartbeats are lost.
func (settings Settings) rowIgnoredMillis() clock.Millis {
	return settings.EntryExpiryMillis + 2*settings.RenewMillis
}

// goneAfterMillis is how long an entry without heartbeats and renewals may still have granted
// leases in force.
func (settings Settings) goneAfterMillis() clock.Millis {
	return settings.OutageGraceMillis + settings.LeaseTermMillis + settings.LeaseMarginMillis
}

// leftRowRetentionMillis is how long the row of an entry that left is kept: twice the longest time
// for which an entry may grant leases or a successor waits, 7,442 s by default. All processes that
// wait for the end of the entry have seen the row before it is deleted.
func (settings Settings) leftRowRetentionMillis() clock.Millis {
	return 2 * settings.goneAfterMillis()
}

// exchangeIntervalMillis returns the interval of exchanges with each of the given number of peers.
func (settings Settings) exchangeIntervalMillis(peers int) clock.Millis {
	interval := settings.ExchangeMillis * clock.Millis(max(peers, 1)) / clock.Millis(max(settings.PeersAtOnce, 1))
	return min(max(interval, settings.ExchangeMillis), max(settings.ExchangeMaxMillis, settings.ExchangeMillis))
}

// loadStateBytes is the approximate size of one load in an exchange, with the counts of two task
// classes.
const loadStateBytes = 85

// loadIntervalMillis returns the shortest interval at which changes of the load of one own worker
// are sent to all peers.
func (settings Settings) loadIntervalMillis(workers, peers int) clock.Millis {
	return clock.Millis(int64(workers) * int64(peers) * loadStateBytes * 1000 / max(settings.LoadBytes, 1))
}

// maxGrantMillis is how long an entry grants leases without renewing its row. It is 2% less than
// the outage grace, because the processes that wait for the end of the entry count on other clocks.
func (settings Settings) maxGrantMillis() clock.Millis {
	return settings.OutageGraceMillis / 100 * 98
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		RenewMillis: 5 * clock.Second,
		// Agents of a dead entry must find a new home before they stop their tasks, which is 16 s
		// after their last heartbeat: 8 s until the entry expires, and 4 s to the next heartbeat,
		// which may be repeated.
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
