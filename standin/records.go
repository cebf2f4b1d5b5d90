package standin

import (
	"slices"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Run is the record of one epoch of a task on a worker. Times are on the clock that all workers of
// the Records share. Progress is in milliseconds of undisturbed run time.
type Run struct {
	Worker ident.Worker
	Task   ident.Task
	Epoch  ident.Epoch
	Kind   worker.Kind
	Start  clock.Time
	// End is meaningful unless State is Running.
	End    clock.Time
	State  worker.State
	Reason string
	// FromMillis is the progress at the start, ToMillis the one at the end.
	FromMillis clock.Millis
	ToMillis   clock.Millis
	// SavedMillis is the progress in the newest checkpoint saved by this run, or FromMillis.
	SavedMillis clock.Millis
	// NeedMillis is the run time of the whole task.
	NeedMillis clock.Millis
}

// CapacityViolation is the record of a start that exceeded a worker's capacity.
type CapacityViolation struct {
	Worker   ident.Worker
	At       clock.Time
	Used     unit.Resources
	Capacity unit.Resources
}

// Records holds every start and end of a task on the workers that share it. It is safe for
// concurrent use.
type Records struct {
	mu            sync.Mutex
	runs          []*Run
	capacity      []CapacityViolation
	startFailures int
	settlers      []func()
}

// NewRecords returns empty Records.
func NewRecords() *Records {
	return &Records{}
}

// watch registers a function that brings the records of one worker up to date. Workers simulate
// lazily, so that a lapsed lease would otherwise show as a running task.
func (records *Records) watch(settle func()) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.settlers = append(records.settlers, settle)
}

func (records *Records) settle() {
	records.mu.Lock()
	settlers := slices.Clone(records.settlers)
	records.mu.Unlock()
	for _, settle := range settlers {
		settle()
	}
}

func (records *Records) start(name ident.Worker, spec worker.Spec, at clock.Time, from, need clock.Millis) *Run {
	run := &Run{
		Worker: name, Task: spec.Task, Epoch: spec.Epoch, Kind: spec.Kind, Start: at, State: worker.Running,
		FromMillis: from, ToMillis: from, SavedMillis: from, NeedMillis: need,
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

func (records *Records) saved(run *Run, progress clock.Millis) {
	records.mu.Lock()
	defer records.mu.Unlock()
	run.SavedMillis = max(run.SavedMillis, progress)
}

func (records *Records) progressed(run *Run, progress clock.Millis) {
	records.mu.Lock()
	defer records.mu.Unlock()
	run.ToMillis = progress
}

func (records *Records) startFailed() {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.startFailures++
}

func (records *Records) exceeded(name ident.Worker, at clock.Time, used, capacity unit.Resources) {
	records.mu.Lock()
	defer records.mu.Unlock()
	records.capacity = append(records.capacity, CapacityViolation{Worker: name, At: at, Used: used, Capacity: capacity})
}

// Runs returns all runs in the order in which they started.
func (records *Records) Runs() []Run {
	records.settle()
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
	return slices.Clone(records.capacity)
}
