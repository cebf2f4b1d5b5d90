// Package interference learns how much classes of work slow each other down on a shared worker, and
// decides when to throttle, checkpoint or evict batch tasks beside a service. The package starts no
// goroutine and reads no clock.
package interference

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Settings configure a Model. Durations are in milliseconds.
type Settings struct {
	// HalfLifeMillis is the time after which the weight of a measurement has halved.
	HalfLifeMillis clock.Millis
	// HistoryMillis is how long changes of the residents of a worker are stored. It must exceed the lag of
	// measurements; a measurement from before the start of the history is discarded.
	HistoryMillis clock.Millis
	// SettleMillis is how long measurements are discarded after a change of residents, because they
	// partly cover the time before the change.
	SettleMillis clock.Millis
	// MaxWeight is the maximum number of measurements that an estimate counts as. After a shift of load,
	// the estimate follows within about as many further measurements.
	MaxWeight float64
	// MaxPairs is the maximum number of learned pairs, and of pairs imported from each other entry.
	MaxPairs int
	// ImportPercent is the weight of a measurement of another entry in percent of an own one.
	ImportPercent int
}

// Defaults returns the default settings of a Model.
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

// GovernorSettings determine when a Governor throttles or evicts tasks, and how far. Each preset has its
// own. Slowdowns are in percent, where 100 means no slowdown; durations are in milliseconds. The band is
// the range from ExitMargin points below the target to EnterMargin points above it, within which
// throttles stay as they are.
type GovernorSettings struct {
	// EnterMargin is how many points above its target the slowdown of a service must be before tasks are
	// throttled.
	EnterMargin int
	// SpareMargin is added to the target while at least SpareSlots percent of the service's slots on the
	// worker are free. Without a queue, a slowdown only prolongs single requests, and routing sends further
	// ones elsewhere; throttled batch tasks, in contrast, occupy their resources for longer.
	SpareMargin int
	SpareSlots  int
	// ExitMargin is how many points below its target the slowdown must be before tasks are released.
	ExitMargin int
	// SmoothingMillis is the time constant of the smoothed slowdown.
	SmoothingMillis clock.Millis
	// EnterMillis is how long the slowdown must stay above the band before tasks are throttled.
	EnterMillis clock.Millis
	// DwellMillis is the minimum time between two steps on a worker for one service. It must exceed the
	// lag of measurements, so that the effect of a step is measured before the next one.
	DwellMillis clock.Millis
	// ReleaseMillis is how long the slowdown must stay below the band before tasks are released by one
	// step. It doubles, up to eightfold, each time the slowdown returns soon after a release.
	ReleaseMillis clock.Millis
	// ThrottlePercents are the successive shares of processor time of throttled tasks.
	ThrottlePercents []int
	// EvictAfterMillis is how long the slowdown must stay above the band, with tasks throttled as far as
	// allowed, before one is evicted.
	EvictAfterMillis clock.Millis
	// LeastEffect is the minimum predicted slowdown, in points, caused by a task that may be evicted.
	// Tasks below it are throttled only if no task reaches it.
	LeastEffect float64
	// CheckpointMillis is how long a task may take to save its progress before it is evicted.
	CheckpointMillis clock.Millis
	// MaxEvictions is the maximum number of evictions per worker and hour.
	MaxEvictions int
	// LostWorkWeight is how strongly unsaved work, which an eviction would lose, protects a task. At 1, a
	// task with one minute of unsaved work needs twice the effect to be chosen.
	LostWorkWeight float64
	// RetryMillis is how long a task may be in another state than requested before the request is
	// repeated.
	RetryMillis clock.Millis
}

// LatencyFirst returns settings that give priority to the tail latency of services: the governor reacts soon,
// throttles strongly and evicts early.
func LatencyFirst() GovernorSettings {
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

// ThroughputFirst returns settings that give priority to few evictions and to batch throughput: the governor
// throttles in small steps, and evicts late, seldom and with more time for a checkpoint.
func ThroughputFirst() GovernorSettings {
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
		// Phases of high interference last a few minutes. Throttling during them avoids repeating the work
		// that evictions would lose.
		EvictAfterMillis: 5 * clock.Minute,
		LeastEffect:      10,
		CheckpointMillis: 30 * clock.Second,
		MaxEvictions:     3,
		LostWorkWeight:   2,
		RetryMillis:      30 * clock.Second,
	}
}

// Check validates the settings. It fails with ErrBadSettings.
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

// Check validates the settings. It fails with ErrBadSettings.
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

// Error names the setting and the violated condition.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}

// SettingsForWeights returns the settings for the weights of a service's team, in percent: those of
// LatencyFirst if the tail latency counts at least as much as evictions, and those of ThroughputFirst
// otherwise. It limits MaxEvictions to evictionsPerHour.
func SettingsForWeights(tailLatency, evictions, evictionsPerHour int) GovernorSettings {
	settings := ThroughputFirst()
	if tailLatency >= evictions {
		settings = LatencyFirst()
	}
	settings.MaxEvictions = min(settings.MaxEvictions, max(evictionsPerHour, 0))
	return settings
}
