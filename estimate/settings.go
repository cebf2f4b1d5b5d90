// Package estimate learns sizes and run times of tasks from measured usage. Declared sizes serve
// only as a prior. The package starts no goroutine and reads no clock.
package estimate

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Settings are the limits of a Model.
type Settings struct {
	// HalfLifeMillis is the time in which the weight of a measurement halves.
	HalfLifeMillis clock.Millis
	// CPUPercentile and MemoryPercentile are the percentiles of usage that a size covers. Memory
	// is higher because a shortage ends the task, whereas a shortage of processor time slows it.
	CPUPercentile    int
	MemoryPercentile int
	// RunTimePercentile is the percentile of run times that RunTime returns.
	RunTimePercentile int
	// MemoryMarginPercent is added to the learned memory.
	MemoryMarginPercent int
	// PriorWeight is the number of measurements that the declared processor time and run time count as.
	PriorWeight float64
	// MemoryPriorWeight is the number of measurements that the declared memory counts as when less
	// was measured. It is larger because the memory of many tasks grows while they run. Usage is measured
	// every 2 s, so a weight of 64 kept the declared size in force for longer than most runs last.
	MemoryPriorWeight float64
	// OutOfMemoryPercent is the size after an out-of-memory failure in percent of the limit that
	// was exceeded.
	OutOfMemoryPercent int
	// MaxJobs and MaxClasses bound the number of remembered jobs and classes. The least recently
	// used is dropped.
	MaxJobs    int
	MaxClasses int
}

// Defaults returns the settings shipped with the daemon.
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

// Check reports settings with which a Model cannot work. It fails with ErrBadSettings.
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

// Error names the setting.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
