// Package assignment decides on which workers waiting and slow tasks run, by when they are expected to end there. It
// compares a wait for the rack that holds the data with a run on another one, assigns the waiting filling tasks of a
// round together, and rates moves of active runs. The package starts no goroutine, does no I/O and reads no clock.
package assignment

import "hyssopjunction/clock"

// Bounds are the limits of the platform on which decisions depend.
type Bounds struct {
	// RemoteFactor is by how much longer a task takes on a rack that does not hold its data. It is at least 1.
	RemoteFactor float64
	// Restore is how long a run takes to resume from a checkpoint, and StopTimeout how long it may take to stop.
	Restore     clock.Millis
	StopTimeout clock.Millis
}

// DefaultBounds returns the bounds that apply where the platform states none. The factor and the time to resume are those
// of the deployments of 2026. The time to stop is that of a stop order, the run's end and its listing, each of which takes
// up to a report interval of an agent's session.
func DefaultBounds() Bounds {
	return Bounds{RemoteFactor: 1.5, Restore: 250 * clock.Millisecond, StopTimeout: 600 * clock.Millisecond}
}

// DataFactor returns by how much longer a task takes on a worker because of its data's location.
func (bounds Bounds) DataFactor(remote bool) float64 {
	if remote {
		return bounds.RemoteFactor
	}
	return 1
}
