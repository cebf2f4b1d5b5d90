// Package quarantine tells worker faults from job faults. Workers on which many distinct jobs fail
// are quarantined and return through probation; jobs that fail on many distinct workers are parked
// with exponential backoff. The package starts no goroutine and reads no clock.
package quarantine

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

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
	// TurnMillis is how long one entry may start the trial tasks of a probation before it is the next
	// entry's turn. Any of them may have no work to try.
	TurnMillis clock.Millis
	// TurnGuardMillis is the part at the start of a turn in which no trial is started, because the
	// trials of the entry before may not be known yet. It covers one lost exchange.
	TurnGuardMillis clock.Millis
	// DistinctWorkers is the number of distinct workers a job must fail on to be parked.
	DistinctWorkers int
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
		TurnMillis:          clock.Minute,
		TurnGuardMillis:     10 * clock.Second,
		DistinctWorkers:     3,
		BackoffMillis:       30 * clock.Second,
		MaxBackoffMillis:    clock.Hour,
		MaxJobs:             8192,
	}
}

// Check reports settings with which a Tracker cannot work. It fails with ErrBadSettings.
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
		return ErrBadSettings{Field: "DistinctJobs", Reason: "DistinctWorkers and WaveJobs must be at least 2, or one fault convicts"}
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

// Error names the setting.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
