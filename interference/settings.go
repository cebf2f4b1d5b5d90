// Package interference learns how much classes of work slow each other down on a shared worker and
// decides when colocated batch work is throttled, checkpointed or evicted. The package starts no
// goroutine and reads no clock.
package interference

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

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
	// SpareMargin is added to the target while at least SpareSlots percent of the service's slots on
	// the worker are free. Without a queue a slowdown stretches single requests, which routing sends
	// elsewhere, while throttled batch work holds its room for longer.
	SpareMargin int
	SpareSlots  int
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
		EnterMargin:      3,
		SpareMargin:      40,
		SpareSlots:       50,
		ExitMargin:       10,
		SmoothingMillis:  3 * clock.Second,
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
		SpareMargin:      60,
		SpareSlots:       50,
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

// Check reports settings that no preset may have. It fails with ErrBadSettings.
func (settings GovernorSettings) Check() error {
	percent := 100
	for _, next := range settings.ThrottlePercents {
		if next < 1 || next >= percent {
			return ErrBadSettings{Field: "ThrottlePercents", Reason: "must fall from below 100 to at least 1"}
		}
		percent = next
	}
	switch {
	case settings.EnterMargin < 0 || settings.ExitMargin < 0 || settings.EnterMargin+settings.ExitMargin == 0:
		return ErrBadSettings{Field: "EnterMargin", Reason: "and ExitMargin must leave a band around the target"}
	case settings.SpareMargin < 0 || settings.SpareSlots < 0 || settings.SpareSlots > 100:
		return ErrBadSettings{Field: "SpareSlots", Reason: "must be from 0 to 100, and SpareMargin not negative"}
	case settings.SmoothingMillis <= 0 || settings.EnterMillis < 0 || settings.ReleaseMillis <= 0 || settings.RetryMillis <= 0:
		return ErrBadSettings{Field: "SmoothingMillis", Reason: "and the other durations must be positive"}
	case settings.DwellMillis <= 0:
		return ErrBadSettings{Field: "DwellMillis", Reason: "must be positive"}
	case settings.CheckpointMillis < 0 || settings.EvictAfterMillis < 0 || settings.MaxEvictions < 0:
		return ErrBadSettings{Field: "MaxEvictions", Reason: "and the durations before an eviction must not be negative"}
	case settings.LostWorkWeight < 0 || settings.LeastEffect < 0:
		return ErrBadSettings{Field: "LostWorkWeight", Reason: "and LeastEffect must not be negative"}
	}
	return nil
}

// Check reports settings with which a Model cannot work. It fails with ErrBadSettings.
func (settings Settings) Check() error {
	switch {
	case settings.HalfLifeMillis <= 0 || settings.HistoryMillis <= 0 || settings.SettleMillis < 0:
		return ErrBadSettings{Field: "HalfLifeMillis", Reason: "and HistoryMillis must be positive"}
	case settings.MaxPairs < 1 || settings.MaxWeight < 1:
		return ErrBadSettings{Field: "MaxPairs", Reason: "and MaxWeight must be at least 1"}
	case settings.ImportPercent < 0 || settings.ImportPercent > 100:
		return ErrBadSettings{Field: "ImportPercent", Reason: "must be from 0 to 100"}
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

// Weighted returns the settings for the weights of the owner of a service, in percent: Omaruru's if the
// tail latency counts at least as much as evictions, and Modelwerf's otherwise. Evictions are bounded by
// evictionsPerHour as well.
func Weighted(tailLatency, evictions, evictionsPerHour int) GovernorSettings {
	settings := Modelwerf()
	if tailLatency >= evictions {
		settings = Omaruru()
	}
	settings.MaxEvictions = min(settings.MaxEvictions, max(evictionsPerHour, 0))
	return settings
}
