// Package worker speaks to the platform's worker runtime, which runs tasks under a lease.
package worker

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Instant is a time on the worker's own monotonic clock in milliseconds. It must not be compared
// with a clock.Time of another process.
type Instant int64

// Kind tells how a task ends.
type Kind string

// Kinds of task.
const (
	// Batch tasks run to completion.
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
	// Checkpoint is the one to resume from, or the zero value to start from the beginning.
	Checkpoint Checkpoint
}

// Checkpoint names the saved progress of a task. It belongs to the epoch that wrote it.
type Checkpoint struct {
	Epoch ident.Epoch
	// Name is the key of the saved state in the object store; empty means none.
	Name string
}

// State is the state of a task on its worker.
type State string

// States of a task on a worker.
const (
	Running State = "Running"
	// Finished tasks completed their work.
	Finished State = "Finished"
	// Failed tasks ended with an error.
	Failed State = "Failed"
	// Stopped tasks were stopped by request or because the lease lapsed.
	Stopped State = "Stopped"
)

// End tells more about how a task ended.
type End string

// OutOfMemory is the end of a failed task that needed more memory than its size.
const OutOfMemory End = "OutOfMemory"

// Status is a worker's record of one task.
type Status struct {
	Task       ident.Task
	Epoch      ident.Epoch
	State      State
	Resources  unit.Resources
	Checkpoint Checkpoint
	// Throttle is the share of processor time the task may use, in percent; 100 is unthrottled.
	Throttle int
	Reason   string
	// End of an ended task is empty if there is no more to tell than State does.
	End End `json:",omitempty"`
	// Peak is the most memory that an ended task used; 0 means unknown.
	Peak unit.Mebibytes `json:",omitempty"`
	// Ran is how long an ended task ran in its epoch; 0 means unknown.
	Ran clock.Millis `json:",omitempty"`
}

// Usage is a measurement of one task, taken Lag before it is reported.
type Usage struct {
	Task      ident.Task
	Resources unit.Resources
	// Slowdown is the task's run time relative to running alone, in percent; 100 is undisturbed.
	Slowdown int
	Lag      clock.Millis
}

// Report is a worker's view of itself.
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
	// Start runs the task until expiry, unless the lease is renewed.
	Start(ctx context.Context, spec Spec, expiry Instant) error
	// Renew extends the lease of all running tasks to expiry and returns the worker's clock. It
	// never shortens a lease and never revives a lapsed one.
	Renew(ctx context.Context, expiry Instant) (Instant, error)
	// Checkpoint saves the task's progress.
	Checkpoint(ctx context.Context, task ident.Task, epoch ident.Epoch) (Checkpoint, error)
	// Throttle limits the task's processor time to percent of its share.
	Throttle(ctx context.Context, task ident.Task, epoch ident.Epoch, percent int) error
	// Stop ends the task and returns once it has stopped.
	Stop(ctx context.Context, task ident.Task, epoch ident.Epoch) error
	// Forget drops the record of an ended task.
	Forget(ctx context.Context, task ident.Task, epoch ident.Epoch) error
	// List reports the tasks that run and those that ended and were not forgotten.
	List(ctx context.Context) (Report, error)
}
