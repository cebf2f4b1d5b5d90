package intake

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// ErrNotAccepted reports a submission of a job that is not stored and does not run, whatever becomes of other submissions of it. It can
// be repeated after RetryAfter.
type ErrNotAccepted struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error returns a message with the reason.
func (err ErrNotAccepted) Error() string { return "job not accepted: " + err.Reason }

// IsErrNotAccepted reports whether err is or wraps an ErrNotAccepted.
func IsErrNotAccepted(err error) bool { return errors.As(err, new(ErrNotAccepted)) }

// ErrCancelled reports a submission of a job that was cancelled before it was stored, so that it does not run. Its id can be used
// again after RetryAfter.
type ErrCancelled struct {
	ID         workflow.ID
	RetryAfter clock.Millis
}

// Error names the job.
func (err ErrCancelled) Error() string {
	return fmt.Sprintf("job %s was cancelled before it was stored", err.ID)
}

// IsErrCancelled reports whether err is or wraps an ErrCancelled.
func IsErrCancelled(err error) bool { return errors.As(err, new(ErrCancelled)) }

// ErrUndecided reports a call whose outcome is not known: the call itself, or an earlier one for the same job, may have an effect later.
// It is safe to repeat the call, after RetryAfter if that is not 0.
type ErrUndecided struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error returns a message with the reason.
func (err ErrUndecided) Error() string { return "outcome not known: " + err.Reason }

// IsErrUndecided reports whether err is or wraps an ErrUndecided.
func IsErrUndecided(err error) bool { return errors.As(err, new(ErrUndecided)) }

// ErrNoJob reports a job that is not stored.
type ErrNoJob struct {
	ID workflow.ID
}

// Error names the job.
func (err ErrNoJob) Error() string { return fmt.Sprintf("no job %s", err.ID) }

// IsErrNoJob reports whether err is or wraps an ErrNoJob.
func IsErrNoJob(err error) bool { return errors.As(err, new(ErrNoJob)) }

// ErrNoAnswer reports a query that neither the leader nor the store answers at present. It can be repeated
// after RetryAfter.
type ErrNoAnswer struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error returns a message with the reason.
func (err ErrNoAnswer) Error() string { return "no answer at present: " + err.Reason }

// IsErrNoAnswer reports whether err is or wraps an ErrNoAnswer.
func IsErrNoAnswer(err error) bool { return errors.As(err, new(ErrNoAnswer)) }
