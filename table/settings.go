package table

import "hyssopjunction/clock"

// Settings bounds the use of the table service by one Client.
type Settings struct {
	// SystemWrites is the number of transactions a second that all daemons together may commit. The
	// service handles several hundred.
	SystemWrites int
	// SystemReads is the number of reads a second that all daemons together may make. The service
	// handles about 2,000. A Range counts as one read for every 100 rows it returned.
	SystemReads int
	// Entries is the number of daemons that share the system's limits; see Client.SetEntries.
	Entries int
	// RateWaitMillis is the longest wait for the rate limit; a call that waits longer is refused with
	// ErrUnavailable.
	RateWaitMillis clock.Millis
	// PendingMax is the number of transactions that may wait to be sent.
	PendingMax int
	// CallMillis is the deadline of one call to the service.
	CallMillis clock.Millis
	// Attempts is the number of calls made for one request before the Client gives up.
	Attempts int
	// BackoffMinMillis and BackoffMaxMillis bound the wait between attempts, which doubles from one
	// to the other with full jitter.
	BackoffMinMillis clock.Millis
	BackoffMaxMillis clock.Millis
	// GroupMillis is how long a transaction waits for others to be merged with.
	GroupMillis clock.Millis
	// GroupRows and GroupBytes bound the written rows and bytes of a merged transaction.
	GroupRows  int
	GroupBytes int
	// Senders is the number of commits in flight.
	Senders int
	// BreakerFailures is the number of successive failed calls that opens the circuit breaker.
	BreakerFailures int
	// ProbeMillis is the wait before the open breaker lets one call through.
	ProbeMillis clock.Millis
}

// DefaultSettings returns the settings of the design size: 24 entries, about half of the service's
// several hundred writes and half of its 2,000 reads a second.
func DefaultSettings() Settings {
	return Settings{
		SystemWrites:     150,
		SystemReads:      900,
		Entries:          24,
		RateWaitMillis:   2 * clock.Second,
		PendingMax:       4096,
		CallMillis:       2 * clock.Second,
		Attempts:         4,
		BackoffMinMillis: 20,
		BackoffMaxMillis: 500,
		GroupMillis:      3,
		GroupRows:        100,
		GroupBytes:       256 << 10,
		Senders:          4,
		BreakerFailures:  5,
		ProbeMillis:      1 * clock.Second,
	}
}

// normal replaces settings that would stop the Client by the smallest usable ones.
func (settings Settings) normal() Settings {
	settings.SystemWrites = max(settings.SystemWrites, 1)
	settings.SystemReads = max(settings.SystemReads, 1)
	settings.Entries = max(settings.Entries, 1)
	settings.PendingMax = max(settings.PendingMax, 1)
	settings.Attempts = max(settings.Attempts, 1)
	settings.BackoffMinMillis = max(settings.BackoffMinMillis, 1)
	settings.BackoffMaxMillis = max(settings.BackoffMaxMillis, settings.BackoffMinMillis)
	settings.CallMillis = max(settings.CallMillis, 1)
	settings.GroupRows = max(settings.GroupRows, 1)
	settings.Senders = max(settings.Senders, 1)
	settings.BreakerFailures = max(settings.BreakerFailures, 1)
	settings.ProbeMillis = max(settings.ProbeMillis, 1)
	return settings
}
