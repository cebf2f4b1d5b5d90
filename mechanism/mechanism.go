// Package mechanism names the parts of the scheduling policy that an operator can switch off, to measure what each is worth
// or to work around a fault. It holds no state.
package mechanism

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"hyssopjunction/set"
)

// Name identifies a mechanism.
type Name string

// The mechanisms that can be switched off. No promise to callers depends on them.
const (
	// Colocation moves serving tasks together that are sensitive to the same filling images.
	Colocation Name = "Colocation"
	// Moves moves slow filling runs to other workers.
	Moves Name = "Moves"
	// RackWaits keeps tasks waiting for the rack that holds their data if they end sooner there.
	RackWaits Name = "RackWaits"
	// HotRacks keeps tasks that need no data away from racks for which others wait.
	HotRacks Name = "HotRacks"
	// Copies starts second runs of late tasks.
	Copies Name = "Copies"
	// Factors predicts the interference of pairs of images that were not seen together.
	Factors Name = "Factors"
	// QuickHeadroom keeps room free of standing tasks for quick ones.
	QuickHeadroom Name = "QuickHeadroom"
	// StallQuarantine keeps tasks away from workers whose runs make no progress.
	StallQuarantine Name = "StallQuarantine"
	// WorkerSpeeds judges workers by the speed of their runs.
	WorkerSpeeds Name = "WorkerSpeeds"
	// RestartDelays delays tasks that fail again and again shortly after their start.
	RestartDelays Name = "RestartDelays"
	// SpeedThreshold keeps filling tasks waiting for a worker on which they are expected to be fast.
	SpeedThreshold Name = "SpeedThreshold"
	// Relays reaches the store by way of other entries.
	Relays Name = "Relays"
)

// All returns the names of all mechanisms in the order of the documentation.
func All() []Name {
	return []Name{
		Colocation, Moves, RackWaits, HotRacks, Copies, Factors, QuickHeadroom, StallQuarantine, WorkerSpeeds,
		RestartDelays, SpeedThreshold, Relays,
	}
}

// ErrUnknownName reports a name that is not that of a mechanism.
type ErrUnknownName struct{ Name string }

// Error names the mechanisms that there are.
func (err ErrUnknownName) Error() string {
	names := make([]string, 0, len(All()))
	for _, name := range All() {
		names = append(names, string(name))
	}
	return fmt.Sprintf("unknown mechanism %q, must be one of %s", err.Name, strings.Join(names, ", "))
}

// IsErrUnknownName reports whether err is or wraps an ErrUnknownName.
func IsErrUnknownName(err error) bool { return errors.As(err, new(ErrUnknownName)) }

// Parse returns the set of the mechanisms with the given names. Error: ErrUnknownName.
func Parse(names []string) (set.Set[Name], error) {
	parsed := set.New[Name]()
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return nil, ErrUnknownName{Name: name}
		}
		parsed.Add(Name(name))
	}
	return parsed, nil
}
