// Package estimate learns sizes and run times of tasks from measured usage. Declared sizes serve
// only as a prior. The package starts no goroutine and reads no clock.
package estimate

import "hyssopjunction/clock"

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
	// was measured. It is larger because the memory of many tasks grows while they run.
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
		MemoryPriorWeight:   64,
		OutOfMemoryPercent:  150,
		MaxJobs:             4096,
		MaxClasses:          256,
	}
}
