package worker

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrStaleEpoch reports a call with an epoch below the newest one that the worker has for the task.
type ErrStaleEpoch struct {
	Task  ident.Task
	Epoch ident.Epoch
	Have  ident.Epoch
}

// Error describes the epochs.
func (err ErrStaleEpoch) Error() string {
	return fmt.Sprintf("task %s epoch %d is older than %d", err.Task, err.Epoch, err.Have)
}

// IsErrStaleEpoch reports whether err is or wraps an ErrStaleEpoch.
func IsErrStaleEpoch(err error) bool {
	return errors.As(err, new(ErrStaleEpoch))
}

// ErrLeaseLapsed reports a lease whose expiry has already passed on the worker's clock.
type ErrLeaseLapsed struct {
	Expiry Instant
	Now    Instant
}

// Error describes the expiry.
func (err ErrLeaseLapsed) Error() string {
	return fmt.Sprintf("lease expired at %d, worker clock is %d", err.Expiry, err.Now)
}

// IsErrLeaseLapsed reports whether err is or wraps an ErrLeaseLapsed.
func IsErrLeaseLapsed(err error) bool {
	return errors.As(err, new(ErrLeaseLapsed))
}

// ErrStartFailed reports a task that the worker could not start. The task does not run.
type ErrStartFailed struct {
	Task   ident.Task
	Reason string
}

// Error describes the failure.
func (err ErrStartFailed) Error() string {
	return fmt.Sprintf("task %s did not start: %s", err.Task, err.Reason)
}

// IsErrStartFailed reports whether err is or wraps an ErrStartFailed.
func IsErrStartFailed(err error) bool {
	return errors.As(err, new(ErrStartFailed))
}

// ErrNoSuchTask reports a task and epoch of which the worker has no record.
type ErrNoSuchTask struct {
	Task  ident.Task
	Epoch ident.Epoch
}

// Error describes the task.
func (err ErrNoSuchTask) Error() string {
	return fmt.Sprintf("worker has no record of task %s epoch %d", err.Task, err.Epoch)
}

// IsErrNoSuchTask reports whether err is or wraps an ErrNoSuchTask.
func IsErrNoSuchTask(err error) bool {
	return errors.As(err, new(ErrNoSuchTask))
}

// ErrUnavailable reports that the worker did not answer. The call may have taken effect.
type ErrUnavailable struct {
	Reason string
}

// Error describes the failure.
func (err ErrUnavailable) Error() string {
	return "worker runtime unavailable: " + err.Reason
}

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	return errors.As(err, new(ErrUnavailable))
}
