// Package supervisor implements the agent, which manages the worker on its node for the leader: it extends the
// worker's lease, starts, stops and paces runs on the worker, and reports their progress and their ends.
package supervisor

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// WorkerTime is a time on a worker's own monotonic clock in milliseconds.
type WorkerTime int64

// Incarnation identifies the period between a start of a worker and its end.
type Incarnation struct {
	ID string
	// StartedAt is the time of day of the worker's start in Unix milliseconds. Later incarnations have higher values.
	StartedAt int64
}

// Announcement describes a worker. Workers announce themselves with increasing Sequence numbers.
type Announcement struct {
	Incarnation Incarnation
	Sequence    int64
	Service     workflow.Service
	DataCentre  ident.DataCentre
	Labels      []string
	Capacity    unit.Resources
	Draining    bool
	// Remaining is the time that a draining worker has left.
	Remaining clock.Millis
}

// StartCall starts a run.
type StartCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Payload     string
	// Saved is the checkpoint to resume from, or empty.
	Saved workflow.Checkpoint
	// Deadline is the end of the worker's lease.
	Deadline WorkerTime
	// Token is the fencing token, the leader's term.
	Token int64
}

// StopCall stops a run. If the worker does not have it, the worker refuses its start from then on.
type StopCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Token       int64
}

// PaceCall throttles a run to a percentage of its full speed.
type PaceCall struct {
	Incarnation Incarnation
	Task        string
	Run         workflow.Run
	Percent     int
	Token       int64
}

// RenewCall extends the lease of all runs on the worker and lists them.
type RenewCall struct {
	Incarnation Incarnation
	// Deadline is the new end of the lease, or 0 to keep the current one.
	Deadline WorkerTime
	Token    int64
	// RecordedEnd is the number of the last end that the leader has stored. The worker may remove ends up to it.
	RecordedEnd int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait clock.Millis
}

// Active is a run that the worker lists as running.
type Active struct {
	Task    string
	Run     workflow.Run
	Saved   workflow.Checkpoint
	Percent int
	// Sample is the tail latency of a serving task in milliseconds, or the CPU usage of any other task in
	// thousandths of a core.
	Sample int64
}

// Ended is a run that the worker lists as ended. Number increases with each end on the worker.
type Ended struct {
	Number int64
	Task   string
	Run    workflow.Run
	Cause  workflow.Cause
	Reason string
	Saved  workflow.Checkpoint
}

// Listing is a worker's answer to a RenewCall.
type Listing struct {
	// Clock is the worker's clock at the time of the answer.
	Clock WorkerTime
	// StartedAt is that of the worker's incarnation, or 0 if the worker does not report it.
	StartedAt int64
	Active    []Active
	// Ended holds the ends that the worker has not removed, by ascending number. A worker lists a limited number of them.
	Ended []Ended
	// MoreEnds reports that there may be further ends, with higher numbers. A run in neither list may be one of them.
	MoreEnds bool
}

// Runtime is the interface to the worker on the agent's node. ErrRefused, ErrOtherIncarnation, ErrNothingDone and
// ErrNotListening mean that the call had no effect. After any other error the outcome is unknown, and the call may
// still take effect later.
type Runtime interface {
	Start(ctx context.Context, call StartCall) error
	Stop(ctx context.Context, call StopCall) error
	Pace(ctx context.Context, call PaceCall) error
	Renew(ctx context.Context, call RenewCall) (Listing, error)
}

// Refusal is the reason why a worker refuses a call.
type Refusal string

// Refusals of a worker.
const (
	// RefusedToken: the worker has seen a higher fencing token.
	RefusedToken Refusal = "Token"
	// RefusedOutdated: the run's number is not higher than that of a run of the same task that was stopped or has ended
	// on the worker.
	RefusedOutdated Refusal = "Old"
	// RefusedLate: the deadline of the call has passed.
	RefusedLate Refusal = "Late"
	// RefusedCapacity: the task does not fit.
	RefusedCapacity Refusal = "Room"
	// RefusedOther: any other reason.
	RefusedOther Refusal = session.RefusedTask
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

// ErrOtherIncarnation reports a call for a former incarnation of the worker.
type ErrOtherIncarnation struct {
	Incarnation Incarnation
}

// Error describes the incarnation.
func (err ErrOtherIncarnation) Error() string {
	return fmt.Sprintf("worker is not %s of %d any more", err.Incarnation.ID, err.Incarnation.StartedAt)
}

// IsErrOtherIncarnation reports whether err is or wraps an ErrOtherIncarnation.
func IsErrOtherIncarnation(err error) bool { return errors.As(err, new(ErrOtherIncarnation)) }

// ErrNothingDone reports a call without effect, because the worker is overloaded or unhealthy.
type ErrNothingDone struct {
	Reason string
}

// Error describes the reason.
func (err ErrNothingDone) Error() string { return "worker did nothing: " + err.Reason }

// ErrNotListening reports that nothing listens at the worker's address, so its process is not running.
type ErrNotListening struct {
	Reason string
}

// Error describes the reason.
func (err ErrNotListening) Error() string { return "worker does not run: " + err.Reason }

// IsErrNotListening reports whether err is or wraps an ErrNotListening.
func IsErrNotListening(err error) bool { return errors.As(err, new(ErrNotListening)) }

// IsErrNothingDone reports whether err is or wraps an ErrNothingDone.
func IsErrNothingDone(err error) bool { return errors.As(err, new(ErrNothingDone)) }
