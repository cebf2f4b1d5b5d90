package interference

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// ActionKind names what a Governor asks of a worker.
type ActionKind string

// Actions of a Governor.
const (
	// Throttle sets the share of processor time of a task; 100 ends the throttling.
	Throttle ActionKind = "Throttle"
	// Checkpoint saves a task's progress.
	Checkpoint ActionKind = "Checkpoint"
	// Evict stops a task so that it is placed elsewhere.
	Evict ActionKind = "Evict"
)

// Action is one request to a worker.
type Action struct {
	Kind    ActionKind
	Worker  ident.Worker
	Service ident.Service
	Task    ident.Task
	Epoch   ident.Epoch
	// Percent is the share of processor time, for Throttle only.
	Percent int
	Reason  string
}

// Candidate is a task that may be acted on. Urgent work is never a candidate.
type Candidate struct {
	Task  ident.Task
	Epoch ident.Epoch
	Class string
	// Standing tasks are evicted only when no batch task is left to act on.
	Standing bool
	// Throttle is the share the worker reports, in percent; 0 means not known.
	Throttle int
	// UnsavedMillis is the work done since the last checkpoint.
	UnsavedMillis clock.Millis
}

// Reading is what is known of one service on one worker. It must be given for every heartbeat, as
// the time spent above or below the target counts.
type Reading struct {
	Worker  ident.Worker
	Service ident.Service
	// Class of the service's work in the Model.
	Class string
	// Slowdown is measured, and Target what the service tolerates, in percent; 100 is undisturbed.
	Slowdown int
	Target   int
	// SpareSlots is the share of the service's slots on the worker that are free, in percent; 0 if
	// requests wait or if it is not known.
	SpareSlots int
	// Load is the processor time in use on the worker in percent of its capacity.
	Load int
	// Candidates are all tasks on the worker that may be acted on, the same for each service there.
	Candidates []Candidate
}

// SpareSlots returns the free share of slots in percent. It is 0 while the queue would fill them.
func SpareSlots(slots, used, queue int) int {
	if slots <= 0 {
		return 0
	}
	return max(0, slots-used-queue) * 100 / slots
}

// Predictor tells which slowdown residents cause; Model and Loaded implement it.
type Predictor interface {
	Slowdown(class string, residents []string) int
}
