package standin

import (
	"slices"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Run records one epoch of a task on a worker. Times are on the clock shared by all workers of the
// Records. Progress is in milliseconds of run time without interference or throttle.
type Run struct {
	Worker ident.Worker
	Task   ident.Task
	Epoch  ident.Epoch
	Kind   worker.Kind
	Start  clock.Time
	// End is undefined while State is Running.
	End    clock.Time
	State  worker.State
	Reason string
	// FromMillis is the progress at the start, ToMillis that at the end.
	FromMillis clock.Millis
	ToMillis   clock.Millis
	// SavedMillis is the progress in the newest checkpoint that this run saved, or else FromMillis.
	SavedMillis clock.Millis
	// NeedMillis is the progress at which the whole task is finished.
	NeedMillis clock.Millis
}

// CapacityViolation records a start that exceeded a worker's capacity.
type CapacityViolation struct {
	Worker   ident.Worker
	At       clock.Time
	Used     unit.Resources
	Capacity unit.Resources
}

// Records holds every start and end of a task on the workers that share it. It is safe for
// concurrent use.
type Records struct {
	mu                 sync.Mutex
	runs               []*Run
	capacityViolations []CapacityViolation
	startFailures      int
	updaters           []func()
}

// NewRecords returns empty Records.
func NewRecords() *Records {
	return &Records{}
}

// addUpdater registers a function that brings the records of one worker up to date. Workers
// simulate lazily, so that a task whose lease has lapsed would otherwise be recorded as running.
func (records *Records) addUpdater(update func()) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.updaters = append(records.updaters, update)
}

func (records *Records) update() {
	records.mu.Lock()
	updaters := slices.Clone(records.updaters)
	records.mu.Unlock()
	for _, update := range updaters {
		update()
	}
}

func (records *Records) start(name ident.Worker, spec worker.Spec, at clock.Time, from, required clock.Millis) *Run {
	run := &Run{
		Worker: name, Task: spec.Task, Epoch: spec.Epoch, Kind: spec.Kind, Start: at, State: worker.Running,
		FromMillis: from, ToMillis: from, SavedMillis: from, NeedMillis: required,
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	records.runs = append(records.runs, run)
	return run
}

func (records *Records) end(run *Run, at clock.Time, state worker.State, reason string, progress clock.Millis) {
	records.mu.Lock()
	defer records.mu.Unlock()
	run.End, run.State, run.Reason, run.ToMillis = at, state, reason, progress
}

func (records *Records) checkpointSaved(run *Run, progress clock.Millis) {
	records.mu.Lock()
	defer records.mu.Unlock()
	run.SavedMillis = max(run.SavedMillis, progress)
}

func (records *Records) setProgress(run *Run, progress clock.Millis) {
	records.mu.Lock()
	defer records.mu.Unlock()
	run.ToMillis = progress
}

func (records *Records) countStartFailure() {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.startFailures++
}

func (records *Records) capacityExceeded(name ident.Worker, at clock.Time, used, capacity unit.Resources) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.capacityViolations = append(records.capacityViolations, CapacityViolation{Worker: name, At: at, Used: used, Capacity: capacity})
}

// Runs returns all runs in the order in which they started.
func (records *Records) Runs() []Run {
	records.update()
	records.mu.Lock()
	defer records.mu.Unlock()
	runs := make([]Run, len(records.runs))
	for index, run := range records.runs {
		runs[index] = *run
	}
	return runs
}

// CapacityViolations returns the starts that exceeded a worker's capacity.
func (records *Records) CapacityViolations() []CapacityViolation {
	records.mu.Lock()
	defer records.mu.Unlock()
	return slices.Clone(records.capacityViolations)
}
