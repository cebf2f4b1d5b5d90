// Package quarantine tells worker faults from job faults. Workers on which many distinct jobs fail
// are quarantined and return through probation; jobs that fail on many distinct workers are parked
// with exponential backoff. The package starts no goroutine and reads no clock.
package quarantine

import "hyssopjunction/clock"

// Settings are the limits of a Tracker. Durations are in milliseconds.
type Settings struct {
	// WindowMillis is how long a failure counts as evidence.
	WindowMillis clock.Millis
	// DistinctJobs is the number of distinct jobs that must fail on a worker to quarantine it.
	DistinctJobs int
	// FailedPercent is the share of task ends on the worker that must be failures, in percent.
	FailedPercent int
	// CapPercent is the largest share of the fleet out of full service at once, in percent.
	CapPercent int
	// WavePercent and WaveJobs are the share of the fleet on which mostly failures happen, in percent,
	// and the number of distinct failed jobs, from which the platform is taken to be at fault.
	WavePercent int
	WaveJobs    int
	// QuarantineMillis is the first term of a quarantine. It doubles with each failed probation.
	QuarantineMillis clock.Millis
	// MaxQuarantineMillis bounds the term.
	MaxQuarantineMillis clock.Millis
	// ProbationTasks is the number of trial tasks that may run on a worker on probation at once.
	// The probation is decided once as many have succeeded or as many have failed.
	ProbationTasks int
	// DistinctWorkers is the number of distinct workers a job must fail on to be parked.
	DistinctWorkers int
	// MaxFailures is the number of failures without a success from which a job is parked even if
	// they happened on fewer workers.
	MaxFailures int
	// BackoffMillis is the first term for which a job is parked. It doubles with each further failure.
	BackoffMillis clock.Millis
	// MaxBackoffMillis bounds the term.
	MaxBackoffMillis clock.Millis
	// MaxJobs bounds the number of jobs with remembered failures.
	MaxJobs int
}

// Defaults returns the settings shipped with the daemon.
func Defaults() Settings {
	return Settings{
		WindowMillis:        10 * clock.Minute,
		DistinctJobs:        3,
		FailedPercent:       60,
		CapPercent:          20,
		WavePercent:         40,
		WaveJobs:            8,
		QuarantineMillis:    5 * clock.Minute,
		MaxQuarantineMillis: 2 * clock.Hour,
		ProbationTasks:      2,
		DistinctWorkers:     3,
		MaxFailures:         12,
		BackoffMillis:       30 * clock.Second,
		MaxBackoffMillis:    clock.Hour,
		MaxJobs:             8192,
	}
}
