package table

import "sync/atomic"

// Stats holds the counters of a Client since its start.
type Stats struct {
	// Reads and Commits count the calls to the service.
	Reads   uint64
	Commits uint64
	// Requests counts the transactions that callers asked to commit.
	Requests uint64
	// Merged counts the requests that were committed as part of a merged transaction, and Saved the
	// commits that merging avoided.
	Merged uint64
	Saved  uint64
	// Splits counts the merged transactions that conflicted or were too large.
	Splits uint64
	// ReadBacks counts the commits with a lost response whose rows were read to find the outcome, and
	// Unknown the commits whose outcome could not be found.
	ReadBacks uint64
	Unknown   uint64
}

type stats struct {
	reads, commits, requests, merged, saved, splits, readBacks, unknown atomic.Uint64
}

// Stats returns the current counts.
func (client *Client) Stats() Stats {
	return Stats{
		Reads:     client.stats.reads.Load(),
		Commits:   client.stats.commits.Load(),
		Requests:  client.stats.requests.Load(),
		Merged:    client.stats.merged.Load(),
		Saved:     client.stats.saved.Load(),
		Splits:    client.stats.splits.Load(),
		ReadBacks: client.stats.readBacks.Load(),
		Unknown:   client.stats.unknown.Load(),
	}
}
