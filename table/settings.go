package table

import "hyssopjunction/clock"

// Settings limits the use of the table service by one Client.
type Settings struct {
	// SystemWrites is the number of transactions a second that all daemons together may commit. The
	// service processes several hundred.
	SystemWrites int
	// SystemReads is the number of reads a second that all daemons together may make. The service
	// processes about 2,000. A Range counts as one read per 100 rows returned.
	SystemReads int
	// Entries is the number of daemons that share SystemWrites and SystemReads; see Client.SetEntries.
	Entries int
	// RateWaitMillis is the longest wait for the rate limit; a call that would wait longer is refused
	// with ErrUnavailable.
	RateWaitMillis clock.Millis
	// PendingMax is the number of transactions that may wait to be sent.
	PendingMax int
	// CallMillis is the timeout of one call to the service.
	CallMillis clock.Millis
	// Attempts is the maximum number of calls to the service for one request.
	Attempts int
	// BackoffMinMillis and BackoffMaxMillis bound the wait between attempts. It doubles with each
	// attempt, and a random part of up to half of it is subtracted.
	BackoffMinMillis clock.Millis
	BackoffMaxMillis clock.Millis
	// GroupMillis is how long the Client collects transactions that it may merge.
	GroupMillis clock.Millis
	// GroupRows and GroupBytes limit the written rows and bytes of a merged transaction.
	GroupRows  int
	GroupBytes int
	// Senders is the maximum number of commits in flight.
	Senders int
	// BreakerFailures is the number of consecutive failed calls that opens the circuit breaker.
	BreakerFailures int
	// ProbeMillis is how long the open breaker refuses calls before it admits one as a probe.
	ProbeMillis clock.Millis
}

// DefaultSettings returns the settings for 24 entries, which is the size that the system is designed
// for. They use about half of the service's several hundred writes and half of its 2,000 reads a second.
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

// withMinimums raises settings with which the Client could not work to the smallest usable values.
func (settings Settings) withMinimums() Settings {
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
