// Package interference learns how much classes of work slow each other down on a shared worker and
// decides when colocated batch work is throttled, checkpointed or evicted. The package starts no
// goroutine and reads no clock.
package interference

import "hyssopjunction/clock"

// Settings are the limits of a Model. Durations are in milliseconds.
type Settings struct {
	// HalfLifeMillis is the time in which the weight of a measurement halves.
	HalfLifeMillis clock.Millis
	// HistoryMillis is how long the residents of a worker are remembered. It must exceed the lag
	// of measurements; a measurement taken before the history starts is dropped.
	HistoryMillis clock.Millis
	// SettleMillis is how long after a change of residents a measurement is not used, because it
	// still covers time before the change.
	SettleMillis clock.Millis
	// MaxWeight bounds the number of measurements an estimate counts as, so that it follows a shift
	// of load after about as many further measurements.
	MaxWeight float64
	// MaxPairs bounds the number of learned pairs, and of pairs taken over from each other entry.
	MaxPairs int
	// ImportPercent is the weight of other entries' measurements relative to own ones.
	ImportPercent int
}

// Defaults returns the settings shipped with the daemon.
func Defaults() Settings {
	return Settings{
		HalfLifeMillis: 15 * clock.Minute,
		HistoryMillis:  2 * clock.Minute,
		SettleMillis:   clock.Second,
		MaxWeight:      30,
		MaxPairs:       1024,
		ImportPercent:  50,
	}
}

// GovernorSettings tell when and how hard a Governor acts. Each preset carries one. Slowdowns are in
// percent, where 100 is undisturbed; durations are in milliseconds.
type GovernorSettings struct {
	// EnterMargin is how many points above its target a service's slowdown must be to act.
	EnterMargin int
	// ExitMargin is how many points below its target the slowdown must be to relax.
	ExitMargin int
	// SmoothingMillis is the time constant of the smoothed slowdown.
	SmoothingMillis clock.Millis
	// EnterMillis is how long the slowdown must stay above to act.
	EnterMillis clock.Millis
	// DwellMillis is the shortest time between two steps on a worker for one service. It must
	// exceed the lag of measurements, so that a step's effect is seen before the next.
	DwellMillis clock.Millis
	// ReleaseMillis is how long the slowdown must stay below to relax by one step. It doubles, up to
	// eightfold, each time the slowdown returns soon after a release.
	ReleaseMillis clock.Millis
	// ThrottlePercents are the successive shares of processor time of throttled tasks.
	ThrottlePercents []int
	// EvictAfterMillis is how long the slowdown must stay above, with tasks throttled as far as
	// allowed, before one is evicted.
	EvictAfterMillis clock.Millis
	// LeastEffect is the predicted slowdown, in points, that a task must cause to be evicted. Tasks
	// below it are throttled only if no task is above.
	LeastEffect float64
	// CheckpointMillis is how long a task has to save its progress before it is evicted.
	CheckpointMillis clock.Millis
	// MaxEvictions bounds the evictions per worker and hour.
	MaxEvictions int
	// LostWorkWeight is how strongly work that an eviction would lose protects a task. At 1, a task
	// with one minute of unsaved work needs twice the effect to be chosen.
	LostWorkWeight float64
	// RetryMillis is how long a task may stay in another state than requested before the request is
	// repeated.
	RetryMillis clock.Millis
}

// Omaruru returns the settings that put the tail latency of services first: the governor acts soon,
// throttles hard and evicts readily.
func Omaruru() GovernorSettings {
	return GovernorSettings{
		EnterMargin:      5,
		ExitMargin:       10,
		SmoothingMillis:  5 * clock.Second,
		EnterMillis:      2 * clock.Second,
		DwellMillis:      8 * clock.Second,
		ReleaseMillis:    45 * clock.Second,
		ThrottlePercents: []int{75, 50, 35, 20},
		EvictAfterMillis: 15 * clock.Second,
		LeastEffect:      3,
		CheckpointMillis: 5 * clock.Second,
		MaxEvictions:     30,
		LostWorkWeight:   0.1,
		RetryMillis:      20 * clock.Second,
	}
}

// Modelwerf returns the settings that put few evictions and batch throughput first: the governor
// throttles gently and in several steps, and evicts only after a checkpoint and seldom.
func Modelwerf() GovernorSettings {
	return GovernorSettings{
		EnterMargin:      20,
		ExitMargin:       5,
		SmoothingMillis:  15 * clock.Second,
		EnterMillis:      10 * clock.Second,
		DwellMillis:      20 * clock.Second,
		ReleaseMillis:    30 * clock.Second,
		ThrottlePercents: []int{80, 60, 40},
		// Waves of noise last a few minutes; throttling bridges them without repeated work.
		EvictAfterMillis: 5 * clock.Minute,
		LeastEffect:      10,
		CheckpointMillis: 30 * clock.Second,
		MaxEvictions:     3,
		LostWorkWeight:   2,
		RetryMillis:      30 * clock.Second,
	}
}
