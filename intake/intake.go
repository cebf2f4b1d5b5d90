// Package intake accepts jobs from callers, returns their states and cancels them. Every entry can do so
// without the leader: submissions and cancellations are rows of the store, which the leader follows.
package intake

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// storeRetryAfter is the time after which callers should repeat a request while the store does not answer.
// Most disruptions last for a few seconds, and callers wait for 3 s.
const storeRetryAfter = clock.Second

// Leader queries the leader, which answers from memory. Errors of any type mean that there was no answer.
type Leader interface {
	// State returns the state of the job, or false if the leader does not have it.
	State(ctx context.Context, id workflow.ID) (workflow.State, bool, error)
	// Pending returns the number of jobs of the queue that have not started.
	Pending(ctx context.Context, queue workflow.Queue) (int, error)
	// Backlog returns which jobs the leader takes no more of, without a query.
	Backlog() backlog.Refusal
}

// Intake serves submissions, cancellations and queries of callers. It is safe for concurrent use. Create it with New.
type Intake struct {
	store      store.Store
	retrier    *store.Retrier
	clock      clock.Clock
	leader     Leader
	tombstones *tombstones
	// lookUps holds a value for each submission that is being looked up because it cannot be taken now.
	lookUps chan struct{}
}

// maxLookUps limits the submissions that are looked up at the same time because they cannot be taken now, so that they leave the store
// to others.
const maxLookUps = 16

// errTooManyLookUps reports that maxLookUps is reached.
var errTooManyLookUps = errors.New("too many submissions are being looked up")

// New returns an Intake that stores rows in jobStore. Concurrent submissions share transactions. Close must be called before
// jobStore is closed.
func New(jobStore store.Store, timeSource clock.Clock, leader Leader) *Intake {
	group := store.NewGroup(jobStore)
	return &Intake{
		store: group, retrier: store.NewRetrier(group, timeSource), clock: timeSource, leader: leader,
		tombstones: newTombstones(group, timeSource), lookUps: make(chan struct{}, maxLookUps),
	}
}

// Close stops the removal of tombstones. Those that are left are removed by the leader.
func (intake *Intake) Close() { intake.tombstones.close() }

// Submit stores a job. If a job with the same id is stored already, the submission counts as a repetition and
// succeeds. While the store is not available, it is tried until ctx ends. Errors: workflow.ErrInvalid, ErrCancelled,
// ErrUndecided.
func (intake *Intake) Submit(ctx context.Context, spec workflow.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if retryAfter := intake.leader.Backlog().RetryAfter(spec); retryAfter > 0 {
		return intake.Postpone(ctx, spec.ID, "the leader holds too many jobs", retryAfter)
	}
	spec.Accepted = intake.store.Now()
	value, err := workflow.EncodeSpec(spec)
	if err != nil {
		return err
	}
	begun := intake.clock.Now()
	decided := commitUntilDecided(ctx, intake.retrier, store.Tx{
		Conditions: []store.Condition{{Ref: ref(Submission, spec.ID)}, {Ref: endedRef(spec.ID)}},
		Puts:       []store.Put{{Ref: ref(Submission, spec.ID), Value: value}},
	})
	outcome, reason := decided.outcome, decided.reason
	var retryAfter clock.Millis
	if outcome == Conflicting {
		outcome, retryAfter, reason = intake.explainConflict(spec.ID, decided.conflict)
	}
	countSubmission(outcome)
	klog.InfoS("Job submitted", "Job", spec.ID, "Queue", spec.Queue, "Steps", len(spec.Steps), "Outcome", outcome, "Reason", reason,
		"Millis", int64(intake.clock.Now().Sub(begun)), "Ended", endOf(ctx))
	switch outcome {
	case Stored:
		return nil
	case Cancelled:
		return ErrCancelled{ID: spec.ID, RetryAfter: retryAfter}
	case Refused:
		// The store did not carry out this attempt, but an earlier one may be on its way.
		return ErrUndecided{Reason: reason, RetryAfter: storeRetryAfter}
	case Rejected:
		return workflow.ErrInvalid{Field: "Job", Reason: fmt.Sprintf("cannot be stored in %d bytes", len(value))}
	default:
		return ErrUndecided{Reason: reason}
	}
}

// Postpone decides the answer to a submission that cannot be taken now. A job that an earlier submission has stored counts as
// accepted: a caller may repeat one whose answer was lost. One that is not stored may still be on its way. Error: ErrUndecided, with
// retryAfter.
func (intake *Intake) Postpone(ctx context.Context, id workflow.ID, reason string, retryAfter clock.Millis) error {
	if intake.decideUntaken(ctx, id, reason, retryAfter) == Stored {
		return nil
	}
	return ErrUndecided{Reason: reason, RetryAfter: retryAfter}
}

// Refuse decides the answer to a submission to a queue whose tasks are not started, whoever stores a job in it. A job that an earlier
// submission has stored counts as accepted. Errors: ErrNotAccepted if the job is not stored, ErrUndecided if that is not known, both
// with retryAfter.
func (intake *Intake) Refuse(ctx context.Context, id workflow.ID, reason string, retryAfter clock.Millis) error {
	switch intake.decideUntaken(ctx, id, reason, retryAfter) {
	case Stored:
		return nil
	case Full:
		return ErrNotAccepted{Reason: reason, RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: reason, RetryAfter: retryAfter}
	}
}

// decideUntaken looks up a job whose submission is not taken, and counts and logs the outcome.
func (intake *Intake) decideUntaken(ctx context.Context, id workflow.ID, reason string, retryAfter clock.Millis) Outcome {
	outcome, err := intake.lookUp(ctx, id)
	countSubmission(outcome)
	klog.InfoS("Job submitted", "Job", id, "Outcome", outcome, "Reason", reason, "RetryAfterMillis", int64(retryAfter), "Error", err)
	return outcome
}

// lookUp returns Stored if a job is stored, Full if it is not, and Undecided with the reason if that is not known.
func (intake *Intake) lookUp(ctx context.Context, id workflow.ID) (Outcome, error) {
	select {
	case intake.lookUps <- struct{}{}:
		defer func() { <-intake.lookUps }()
	default:
		return Undecided, errTooManyLookUps
	}
	_, err := intake.State(ctx, id)
	switch {
	case err == nil:
		return Stored, nil
	case IsErrNoJob(err):
		return Full, nil
	default:
		return Undecided, err
	}
}

func countSubmission(outcome Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_submissions_total{outcome=%q}`, outcome)).Inc()
}

// endOf returns why ctx has ended, or an empty string.
func endOf(ctx context.Context) string {
	if err := context.Cause(ctx); err != nil {
		return err.Error()
	}
	return ""
}

// explainConflict returns what a conflict says of a submission: Stored if the job is stored or has ended, Cancelled with the time in
// which its id is kept if it was cancelled before it was stored, and otherwise Undecided with the reason.
func (intake *Intake) explainConflict(id workflow.ID, conflict store.ErrConflict) (outcome Outcome, kept clock.Millis, reason string) {
	if conflict.Row(ref(Submission, id)).Version != 0 {
		return Stored, 0, ""
	}
	row := conflict.Row(endedRef(id))
	if row.Version == 0 {
		return Undecided, 0, "the rows changed"
	}
	ended, err := DecodeEnded(row)
	switch {
	case err != nil:
		return Undecided, 0, err.Error()
	case ended.Tombstone:
		return Cancelled, max(clock.Second, ended.keptFor(intake.store.Now())), "cancelled before it was stored"
	default:
		return Stored, 0, ""
	}
}

// State returns the state of a job from the leader's view, or else from the store. Errors: ErrNoJob, ErrNoAnswer,
// workflow.ErrCorrupt.
func (intake *Intake) State(ctx context.Context, id workflow.ID) (workflow.State, error) {
	state, ok, err := intake.leader.State(ctx, id)
	if err == nil && ok {
		return state, nil
	}
	if err != nil {
		klog.V(1).InfoS("Could not query the leader", "Job", id, "Reason", err.Error())
	}
	return intake.storedState(ctx, id)
}

// Job reads a job with its tasks from the store. Of an archived job it returns only the state, queue and
// service. Errors: ErrNoJob, ErrNoAnswer, workflow.ErrCorrupt.
func (intake *Intake) Job(ctx context.Context, id workflow.ID) (*workflow.Job, error) {
	submissionRow, err := intake.readRow(ctx, ref(Submission, id))
	if err != nil {
		return nil, err
	}
	if submissionRow.Version == 0 {
		ended, err := intake.readEnded(ctx, id)
		if err != nil {
			return nil, err
		}
		job := workflow.New(workflow.Spec{ID: id, Queue: ended.Queue, Service: ended.Service})
		job.State = ended.State
		return job, nil
	}
	spec, err := workflow.DecodeSpec(id, submissionRow.Value)
	if err != nil {
		return nil, err
	}
	stateRow, err := intake.readRow(ctx, store.Ref{Table: StateTable, Key: string(id)})
	if err != nil {
		return nil, err
	}
	if stateRow.Version == 0 {
		return workflow.New(spec), nil
	}
	return workflow.Restore(spec, stateRow.Value)
}

// storedState reads the state of a job from the store. Errors: ErrNoJob, ErrNoAnswer, workflow.ErrCorrupt.
func (intake *Intake) storedState(ctx context.Context, id workflow.ID) (workflow.State, error) {
	submissionRow, err := intake.readRow(ctx, ref(Submission, id))
	if err != nil {
		return "", err
	}
	if submissionRow.Version == 0 {
		ended, err := intake.readEnded(ctx, id)
		return ended.State, err
	}
	stateRow, err := intake.readRow(ctx, store.Ref{Table: StateTable, Key: string(id)})
	if err != nil {
		return "", err
	}
	if stateRow.Version == 0 {
		return workflow.Queued, nil
	}
	return workflow.DecodeState(id, stateRow.Value)
}

// readEnded reads the record of an archived job. Errors: ErrNoJob, ErrNoAnswer, workflow.ErrCorrupt.
func (intake *Intake) readEnded(ctx context.Context, id workflow.ID) (Ended, error) {
	row, err := intake.readRow(ctx, endedRef(id))
	if err != nil {
		return Ended{}, err
	}
	if row.Version == 0 {
		return Ended{}, ErrNoJob{ID: id}
	}
	ended, err := DecodeEnded(row)
	if err == nil && ended.Tombstone {
		return Ended{}, ErrNoJob{ID: id}
	}
	return ended, err
}

// readRow returns a row, with Version 0 if it does not exist. Error: ErrNoAnswer.
func (intake *Intake) readRow(ctx context.Context, rowRef store.Ref) (store.Row, error) {
	rows, err := intake.store.List(ctx, rowRef.Table, rowRef.Key, rowRef.Key+"\x00")
	if err != nil {
		return store.Row{}, ErrNoAnswer{Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	for _, row := range rows.Rows {
		if row.Ref == rowRef {
			return row, nil
		}
	}
	return store.Row{Ref: rowRef}, nil
}

// Pending returns the number of jobs of a queue that have not started. Error: ErrNoAnswer.
func (intake *Intake) Pending(ctx context.Context, queue workflow.Queue) (int, error) {
	count, err := intake.leader.Pending(ctx, queue)
	if err != nil {
		return 0, ErrNoAnswer{Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	return count, nil
}
