package table

import "sync/atomic"

// Stats counts what a Client did since its start.
type Stats struct {
	// Reads and Commits are calls to the service.
	Reads   uint64
	Commits uint64
	// Offers are transactions that callers asked to commit.
	Offers uint64
	// Merged are offers that were committed as part of a merged transaction, and Saved the commits
	// which that avoided.
	Merged uint64
	Saved  uint64
	// Splits are merged transactions that conflicted.
	Splits uint64
	// ReadBacks are lost answers that were resolved by reading, Unknown those that were not resolved.
	ReadBacks uint64
	Unknown   uint64
}

type stats struct {
	reads, commits, offers, merged, saved, splits, readBacks, unknown atomic.Uint64
}

// Stats returns the current counts.
func (client *Client) Stats() Stats {
	return Stats{
		Reads:     client.stats.reads.Load(),
		Commits:   client.stats.commits.Load(),
		Offers:    client.stats.offers.Load(),
		Merged:    client.stats.merged.Load(),
		Saved:     client.stats.saved.Load(),
		Splits:    client.stats.splits.Load(),
		ReadBacks: client.stats.readBacks.Load(),
		Unknown:   client.stats.unknown.Load(),
	}
}
