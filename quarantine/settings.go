// Package quarantine distinguishes faulty workers from faulty jobs. Workers on which many distinct jobs
// fail are quarantined and return to service after a probation with trial tasks. Jobs that fail on many
// distinct workers are parked with exponential backoff. The package starts no goroutine and reads no
// clock.
package quarantine

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Settings configure a Tracker. Durations are in milliseconds.
type Settings struct {
	// WindowMillis is how long the end of a task counts as evidence.
	WindowMillis clock.Millis
	// DistinctJobs is the number of distinct jobs that must fail on a worker before it is quarantined.
	DistinctJobs int
	// FailedPercent is the share of task ends on a worker that must be failures before it is
	// quarantined, in percent.
	FailedPercent int
	// CapPercent is the maximum share of the fleet in quarantine or on probation at once, in percent.
	CapPercent int
	// WavePercent and WaveJobs are the conditions for a platform fault: the share of the fleet, in
	// percent, on which FailedPercent is reached, and the number of distinct jobs that failed there.
	WavePercent int
	WaveJobs    int
	// QuarantineMillis is the length of the first quarantine. It doubles with each failed probation.
	QuarantineMillis clock.Millis
	// MaxQuarantineMillis is the maximum length of a quarantine.
	MaxQuarantineMillis clock.Millis
	// ProbationTasks is the number of trial tasks that may run at once on a worker on probation. The
	// probation ends once as many trial tasks have succeeded or as many have failed.
	ProbationTasks int
	// TurnMillis is how long one entry may start the trial tasks of a probation before it is the next
	// entry's turn. Entries take turns because any one of them may have no task to place.
	TurnMillis clock.Millis
	// TurnGuardMillis is the time at the start of a turn in which no trial task is started, because the
	// trial tasks of the previous entry may not have been reported yet. It covers one lost exchange.
	TurnGuardMillis clock.Millis
	// DistinctWorkers is the number of distinct workers on which a job must fail before it is parked.
	DistinctWorkers int
	// BackoffMillis is how long a job is parked first. It doubles with each further failure.
	BackoffMillis clock.Millis
	// MaxBackoffMillis is the maximum time for which a job is parked.
	MaxBackoffMillis clock.Millis
	// MaxJobs is the maximum number of jobs whose failures are stored.
	MaxJobs int
}

// Defaults returns the default settings.
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
		TurnMillis:          clock.Minute,
		TurnGuardMillis:     10 * clock.Second,
		DistinctWorkers:     3,
		BackoffMillis:       30 * clock.Second,
		MaxBackoffMillis:    clock.Hour,
		MaxJobs:             8192,
	}
}

// Check validates the settings. It fails with ErrBadSettings.
func (settings Settings) Check() error {
	switch {
	case settings.WindowMillis <= 0 || settings.QuarantineMillis <= 0 || settings.BackoffMillis <= 0:
		return ErrBadSettings{Field: "WindowMillis", Reason: "and the other durations must be positive"}
	case settings.MaxQuarantineMillis < settings.QuarantineMillis:
		return ErrBadSettings{Field: "MaxQuarantineMillis", Reason: "must not be below QuarantineMillis"}
	case settings.MaxBackoffMillis < settings.BackoffMillis:
		return ErrBadSettings{Field: "MaxBackoffMillis", Reason: "must not be below BackoffMillis"}
	case settings.CapPercent < 0 || settings.CapPercent > 50:
		return ErrBadSettings{Field: "CapPercent", Reason: "must be from 0 to 50"}
	case settings.FailedPercent < 1 || settings.FailedPercent > 100 || settings.WavePercent < 1 || settings.WavePercent > 100:
		return ErrBadSettings{Field: "FailedPercent", Reason: "and WavePercent must be from 1 to 100"}
	case settings.DistinctJobs < 2 || settings.DistinctWorkers < 2 || settings.WaveJobs < 2:
		return ErrBadSettings{Field: "DistinctJobs", Reason: "DistinctWorkers and WaveJobs must be at least 2, so that a single failure is not enough"}
	case settings.ProbationTasks < 1 || settings.MaxJobs < 1:
		return ErrBadSettings{Field: "ProbationTasks", Reason: "and MaxJobs must be at least 1"}
	case settings.TurnGuardMillis < 0 || settings.TurnMillis <= settings.TurnGuardMillis:
		return ErrBadSettings{Field: "TurnMillis", Reason: "must be above TurnGuardMillis"}
	}
	return nil
}

// ErrBadSettings reports a setting outside its range.
type ErrBadSettings struct {
	Field  string
	Reason string
}

// Error names the setting and the violated condition.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
