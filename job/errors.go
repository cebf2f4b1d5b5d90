package job

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// isErr reports whether err is or wraps an error of type Kind.
func isErr[Kind error](err error) bool {
	var target Kind
	return errors.As(err, &target)
}

// ErrStaleEpoch reports a change whose epoch does not match the task's epoch, Have.
type ErrStaleEpoch struct {
	Task  ident.Task
	Epoch ident.Epoch
	Have  ident.Epoch
}

// Error returns the task and both epochs.
func (err ErrStaleEpoch) Error() string {
	return fmt.Sprintf("change of task %s is for epoch %d, row has %d", err.Task, err.Epoch, err.Have)
}

// IsErrStaleEpoch reports whether err is or wraps an ErrStaleEpoch.
func IsErrStaleEpoch(err error) bool { return isErr[ErrStaleEpoch](err) }

// ErrTransition reports a change that the task's state does not allow.
type ErrTransition struct {
	Task ident.Task
	From State
	Step Step
}

// Error returns the task, its state and the step.
func (err ErrTransition) Error() string {
	return fmt.Sprintf("task %s in state %s does not allow %s", err.Task, err.From, err.Step)
}

// IsErrTransition reports whether err is or wraps an ErrTransition.
func IsErrTransition(err error) bool { return isErr[ErrTransition](err) }

// ErrCancelled reports a claim of a cancelled job.
type ErrCancelled struct {
	Job ident.Job
}

// Error returns the job.
func (err ErrCancelled) Error() string {
	return fmt.Sprintf("job %s is cancelled", err.Job)
}

// IsErrCancelled reports whether err is or wraps an ErrCancelled.
func IsErrCancelled(err error) bool { return isErr[ErrCancelled](err) }

// ErrNoSuchTask reports an index outside the job.
type ErrNoSuchTask struct {
	Task ident.Task
}

// Error returns the task.
func (err ErrNoSuchTask) Error() string {
	return fmt.Sprintf("no task %s", err.Task)
}

// IsErrNoSuchTask reports whether err is or wraps an ErrNoSuchTask.
func IsErrNoSuchTask(err error) bool { return isErr[ErrNoSuchTask](err) }

// ErrBadRow reports a row value that cannot be decoded.
type ErrBadRow struct {
	Reason string
}

// Error returns the reason.
func (err ErrBadRow) Error() string { return "bad job row: " + err.Reason }

// IsErrBadRow reports whether err is or wraps an ErrBadRow.
func IsErrBadRow(err error) bool { return isErr[ErrBadRow](err) }

// ErrInvariant is the value of the panic that is raised if a transition violates an invariant of the
// row. It is a fault of this package.
type ErrInvariant struct {
	Task   ident.Task
	Reason string
}

// Error returns the task and the violated invariant.
func (err ErrInvariant) Error() string {
	return fmt.Sprintf("invariant of task %s broken: %s", err.Task, err.Reason)
}

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool { return isErr[ErrInvariant](err) }
