// Package supervisor is the agent's core: it keeps the lease of the worker beside it, carries out the
// leader's orders there, and reports what the worker says.
package supervisor

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// WorkerTime is a time on a worker's own steady clock in milliseconds.
type WorkerTime int64

// Incarnation names one life of a worker.
type Incarnation struct {
	ID string
	// Born is the time of day of its start in Unix milliseconds. Later lives have higher values.
	Born int64
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Incarnation Incarnation
	Sequence    int64
	Service     workflow.Service
	DataCentre  ident.DataCentre
	Labels      []string
	Capacity    unit.Resources
	Draining    bool
	Remaining   clock.Millis
}

// StartCall starts a run.
type StartCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Payload     string
	Saved       workflow.Checkpoint
	Deadline    WorkerTime
	Token       int64
}

// StopCall ends a run. A run that is not there is rejected from then on.
type StopCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Token       int64
}

// PaceCall lets a run work at a share of its speed, in percent.
type PaceCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Percent     int
	Token       int64
}

// HoldCall extends the lease of everything on the worker and lists it.
type HoldCall struct {
	Incarnation Incarnation
	// Deadline is the end of the lease; 0 leaves it as it is.
	Deadline WorkerTime
	Token    int64
	// Seen is the number of the last end that the worker may forget.
	Seen int64
	// Wait is how long the worker waits for an end before it answers.
	Wait clock.Millis
}

// Active is a run that the worker lists as running.
type Active struct {
	Task    string
	Run     workflow.Run
	Saved   workflow.Checkpoint
	Percent int
	// Sample is the tail latency in milliseconds of a task that serves, and the processor time in
	// thousandths of a core that any other task uses.
	Sample int64
}

// Ended is a run that the worker lists as over.
type Ended struct {
	Number int64
	Task   string
	Run    workflow.Run
	Cause  workflow.Cause
	Reason string
	Saved  workflow.Checkpoint
}

// Listing is a worker's answer to a HoldCall.
type Listing struct {
	Clock  WorkerTime
	Born   int64
	Active []Active
	Ended  []Ended
}

// Runtime is the worker beside the agent. Errors: ErrRefused, ErrOtherIncarnation, ErrNothingDone and
// ErrNotListening if the call had no effect; any other error leaves the outcome open, and the call may still be carried out later.
type Runtime interface {
	Start(ctx context.Context, call StartCall) error
	Stop(ctx context.Context, call StopCall) error
	Pace(ctx context.Context, call PaceCall) error
	Hold(ctx context.Context, call HoldCall) (Listing, error)
}

// Refusal is why a worker refuses a call.
type Refusal string

// Refusals of a worker.
const (
	// RefusedToken: the worker has seen a higher fencing token.
	RefusedToken Refusal = "Token"
	// RefusedOld: the run is not above one that was stopped or has ended there.
	RefusedOld Refusal = "Old"
	// RefusedLate: the deadline of the call has passed.
	RefusedLate Refusal = "Late"
	// RefusedRoom: the task does not fit.
	RefusedRoom Refusal = "Room"
	// RefusedOther: any other reason.
	RefusedOther Refusal = "Other"
)

// ErrRefused reports a call that the worker refused.
type ErrRefused struct {
	Refusal Refusal
	Detail  string
}

// Error describes the refusal.
func (err ErrRefused) Error() string {
	return fmt.Sprintf("worker refused: %s %s", err.Refusal, err.Detail)
}

// IsErrRefused reports whether err is or wraps an ErrRefused.
func IsErrRefused(err error) bool { return errors.As(err, new(ErrRefused)) }

// ErrOtherIncarnation reports a call for a life that is over.
type ErrOtherIncarnation struct {
	Incarnation Incarnation
}

// Error describes the life.
func (err ErrOtherIncarnation) Error() string {
	return fmt.Sprintf("worker is not %s of %d any more", err.Incarnation.ID, err.Incarnation.Born)
}

// IsErrOtherIncarnation reports whether err is or wraps an ErrOtherIncarnation.
func IsErrOtherIncarnation(err error) bool { return errors.As(err, new(ErrOtherIncarnation)) }

// ErrNothingDone reports a worker that answered that it did nothing, because it is overloaded or unhealthy.
type ErrNothingDone struct {
	Reason string
}

// Error describes the reason.
func (err ErrNothingDone) Error() string { return "worker did nothing: " + err.Reason }

// ErrNotListening reports that nothing listens at the worker's address: its process does not run.
type ErrNotListening struct {
	Reason string
}

// Error describes the reason.
func (err ErrNotListening) Error() string { return "worker does not run: " + err.Reason }

// IsErrNotListening reports whether err is or wraps an ErrNotListening.
func IsErrNotListening(err error) bool { return errors.As(err, new(ErrNotListening)) }

// IsErrNothingDone reports whether err is or wraps an ErrNothingDone.
func IsErrNothingDone(err error) bool { return errors.As(err, new(ErrNothingDone)) }
