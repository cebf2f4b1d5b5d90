// Package estimate learns the sizes and run times of tasks from measured usage. Declared values are only
// the prior. The package starts no goroutine and reads no clock.
package estimate

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Settings configures a Model.
type Settings struct {
	// HalfLifeMillis is the time after which a measurement has half its weight.
	HalfLifeMillis clock.Millis
	// CPUPercentile and MemoryPercentile are the percentiles of usage that a size covers. The one of
	// memory is higher because a task that lacks memory fails, while one that lacks CPU only slows down.
	CPUPercentile    int
	MemoryPercentile int
	// RunTimePercentile is the percentile of run times that RunTime returns.
	RunTimePercentile int
	// MemoryMarginPercent is the percentage that is added to the learned memory.
	MemoryMarginPercent int
	// PriorWeight is the number of measurements that the declared CPU and run time count as.
	PriorWeight float64
	// MemoryPriorWeight is the number of measurements that the declared memory counts as if less was
	// measured. It is larger than PriorWeight because the memory of many tasks grows while they run.
	// Usage is measured every 2 s, so with a weight of 64 the declared size would apply for longer
	// than most runs last.
	MemoryPriorWeight float64
	// OutOfMemoryPercent is the minimum size after an out-of-memory failure, in percent of the limit
	// that was exceeded. It must be above 100.
	OutOfMemoryPercent int
	// MaxJobs and MaxClasses are the maximum numbers of jobs and classes with measurements. The least
	// recently measured one is removed.
	MaxJobs    int
	MaxClasses int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		HalfLifeMillis:      12 * clock.Hour,
		CPUPercentile:       90,
		MemoryPercentile:    99,
		RunTimePercentile:   90,
		MemoryMarginPercent: 10,
		PriorWeight:         8,
		MemoryPriorWeight:   16,
		OutOfMemoryPercent:  150,
		MaxJobs:             4096,
		MaxClasses:          256,
	}
}

// Check validates the settings. It fails with ErrBadSettings.
func (settings Settings) Check() error {
	lowest := min(settings.CPUPercentile, settings.MemoryPercentile, settings.RunTimePercentile)
	highest := max(settings.CPUPercentile, settings.MemoryPercentile, settings.RunTimePercentile)
	switch {
	case lowest < 1 || highest > 100:
		return ErrBadSettings{Field: "CPUPercentile", Reason: "and the other percentiles must be from 1 to 100"}
	case settings.HalfLifeMillis <= 0:
		return ErrBadSettings{Field: "HalfLifeMillis", Reason: "must be positive"}
	case settings.MemoryMarginPercent < 0 || settings.PriorWeight < 0 || settings.MemoryPriorWeight < 0:
		return ErrBadSettings{Field: "MemoryMarginPercent", Reason: "and the prior weights must not be negative"}
	case settings.OutOfMemoryPercent <= 100:
		return ErrBadSettings{Field: "OutOfMemoryPercent", Reason: "must be above 100, or a task fails again in the same way"}
	case settings.MaxJobs < 1 || settings.MaxClasses < 1:
		return ErrBadSettings{Field: "MaxJobs", Reason: "and MaxClasses must be at least 1"}
	}
	return nil
}

// ErrBadSettings reports a setting outside its range.
type ErrBadSettings struct {
	Field  string
	Reason string
}

// Error returns the setting and the reason.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
