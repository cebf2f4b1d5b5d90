// Package worker is a client of the platform's worker runtime, which runs tasks under a lease.
package worker

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Instant is a time on the worker's monotonic clock in milliseconds. It must not be compared with a
// clock.Time, which is a time on the clock of another process.
type Instant int64

// Kind is the kind of a task: whether it ends by itself.
type Kind string

// Kinds of task.
const (
	// Batch tasks run until their work is finished.
	Batch Kind = "Batch"
	// Standing tasks run until they are cancelled.
	Standing Kind = "Standing"
)

// Spec describes a task to start.
type Spec struct {
	Task      ident.Task
	Epoch     ident.Epoch
	Kind      Kind
	Resources unit.Resources
	// Payload is passed to the task unchanged.
	Payload string
	// Checkpoint is the checkpoint from which the task resumes. With the zero value it starts from the
	// beginning.
	Checkpoint Checkpoint
}

// Checkpoint identifies the saved progress of a task and the epoch that wrote it.
type Checkpoint struct {
	Epoch ident.Epoch
	// Name is the name of the saved state in the object store; empty means no checkpoint.
	Name string
}

// State is the state of a task on its worker.
type State string

// States of a task on a worker.
const (
	Running State = "Running"
	// Finished tasks ended with success.
	Finished State = "Finished"
	// Failed tasks ended with an error.
	Failed State = "Failed"
	// Stopped tasks were stopped on request or because their lease lapsed.
	Stopped State = "Stopped"
)

// EndCause is the cause of a task's end in more detail than its State.
type EndCause string

// Causes of ends.
const (
	// OutOfMemory is the end of a failed task that needed more memory than its resources allowed.
	OutOfMemory EndCause = "OutOfMemory"
	// Lost is the end of a task that the worker had started and has no record of any more, because its process ended.
	Lost EndCause = "Lost"
)

// Status is a worker's record of one task.
type Status struct {
	Task       ident.Task
	Epoch      ident.Epoch
	State      State
	Resources  unit.Resources
	Checkpoint Checkpoint
	// Throttle is the percentage of its processor time that the task may use; 100 means not throttled.
	Throttle int
	Reason   string
	// End is empty for a running task, and for an ended one without a cause beyond its State.
	End EndCause `json:",omitempty"`
	// Peak is the largest amount of memory that an ended task used; 0 means unknown.
	Peak unit.Mebibytes `json:",omitempty"`
	// Ran is the duration for which an ended task ran in its epoch; 0 means unknown.
	Ran clock.Millis `json:",omitempty"`
}

// Usage is a sample of the resources that a task uses.
type Usage struct {
	Task      ident.Task
	Resources unit.Resources
	// Slowdown is the task's run time relative to running alone, in percent; 100 means no interference.
	Slowdown int
	// Lag is the age of the sample when it is reported.
	Lag clock.Millis
}

// Report is the state of a worker and its tasks.
type Report struct {
	// Now is the worker's clock at the time of the report.
	Now      Instant
	Capacity unit.Resources
	Tasks    []Status
	Usage    []Usage
}

// Runtime is the platform's worker runtime. Its errors are ErrStaleEpoch, ErrLeaseLapsed,
// ErrStartFailed, ErrNoSuchTask and ErrUnavailable. All calls are idempotent per (task, epoch).
type Runtime interface {
	// Start starts the task under a lease until expiry. The task is stopped when the lease lapses.
	Start(ctx context.Context, spec Spec, expiry Instant) error
	// Renew extends the lease of all running tasks to expiry and returns the worker's clock. It never
	// shortens a lease and never extends a lapsed one.
	Renew(ctx context.Context, expiry Instant) (Instant, error)
	// Checkpoint saves the task's progress.
	Checkpoint(ctx context.Context, task ident.Task, epoch ident.Epoch) (Checkpoint, error)
	// Throttle limits the task's processor time to percent of its share.
	Throttle(ctx context.Context, task ident.Task, epoch ident.Epoch, percent int) error
	// Stop stops the task and returns once it has ended.
	Stop(ctx context.Context, task ident.Task, epoch ident.Epoch) error
	// Forget removes the worker's record of an ended task.
	Forget(ctx context.Context, task ident.Task, epoch ident.Epoch) error
	// List returns the running tasks and the ended ones whose record was not removed by Forget.
	List(ctx context.Context) (Report, error)
}
