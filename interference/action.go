package interference

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// ActionKind is the kind of a request to a worker.
type ActionKind string

// Actions of a Governor.
const (
	// Throttle sets the share of processor time of a task; 100 ends the throttling.
	Throttle ActionKind = "Throttle"
	// Checkpoint makes a task save its progress.
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

// Candidate is a task that may be throttled or evicted. Urgent tasks must not be passed as candidates.
type Candidate struct {
	Task  ident.Task
	Epoch ident.Epoch
	Class string
	// Standing marks a task that runs until it is stopped. It ranks after all batch tasks.
	Standing bool
	// Throttle is the share of processor time that the worker reports, in percent; 0 if it reports none.
	Throttle int
	// UnsavedMillis is the running time since the last checkpoint, which an eviction would lose.
	UnsavedMillis clock.Millis
}

// Sample is the input of one Governor.Step: the latest measurements of one service on one worker. It
// must be passed for every heartbeat, because the Governor measures the time above or below the target.
type Sample struct {
	Worker  ident.Worker
	Service ident.Service
	// Class is the class of the service in the Model.
	Class string
	// Slowdown is the measured slowdown, and Target the one that the service tolerates, in percent; 100
	// means no slowdown.
	Slowdown int
	Target   int
	// SpareSlots is the share of the service's slots on the worker that are free, in percent; 0 if
	// requests wait or the share is unknown.
	SpareSlots int
	// Load is the processor time in use on the worker, in percent of its capacity.
	Load int
	// Candidates are all tasks on the worker that may be throttled or evicted. They must be the same for
	// each service on the worker.
	Candidates []Candidate
}

// SpareSlots returns the share of free slots in percent, counting each queued request as a used slot.
func SpareSlots(slots, used, queue int) int {
	if slots <= 0 {
		return 0
	}
	return max(0, slots-used-queue) * 100 / slots
}

// Predictor predicts slowdowns. Model and LoadPredictor implement it.
type Predictor interface {
	// Slowdown returns the slowdown, in percent, of work of the class beside the residents.
	Slowdown(class string, residents []string) int
}
