// Package intake accepts jobs of callers, tells their state and cancels them. Any entry can do so at
// any time: what callers ask for is stored in rows of its own, which the leader follows.
package intake

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// retryAfter is what callers are told while the store does not answer. Most disruptions last for a few
// seconds, and callers have 3 s.
const retryAfter = clock.Second

const (
	// attemptTime bounds a row of attempts, after which the outcome is looked at again.
	attemptTime = 1300 * clock.Millisecond
	// decidePause separates attempts while the outcome is open.
	decidePause = 200 * clock.Millisecond
)

// Leader answers questions about jobs from the leader's memory. Its errors mean that it cannot be
// asked; they are of any type.
type Leader interface {
	// State returns the state of the job and whether the leader has it.
	State(ctx context.Context, id workflow.ID) (workflow.State, bool, error)
	// Pending returns the number of jobs of the queue that have not started.
	Pending(ctx context.Context, queue workflow.Queue) (int, error)
}

// Intake serves callers' calls. It is safe for concurrent use.
type Intake struct {
	store  store.Store
	clock  clock.Clock
	leader Leader
}

// New returns an Intake.
func New(service store.Store, source clock.Clock, leader Leader) *Intake {
	return &Intake{store: service, clock: source, leader: leader}
}

// Submit stores a job. A job with the same id that is stored already counts as this one. Errors:
// workflow.ErrInvalid, ErrNotAccepted, ErrUndecided.
func (intake *Intake) Submit(ctx context.Context, spec workflow.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	spec.Accepted = intake.store.Now()
	value, err := workflow.EncodeSpec(spec)
	if err != nil {
		return err
	}
	outcome, reason := intake.decide(ctx, store.Tx{
		Conditions: []store.Condition{{Ref: ref(Submission, spec.ID)}, {Ref: endedRef(spec.ID)}},
		Puts:       []store.Put{{Ref: ref(Submission, spec.ID), Value: value}},
	})
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_submissions_total{outcome=%q}`, outcome)).Inc()
	klog.InfoS("Job submitted", "Job", spec.ID, "Queue", spec.Queue, "Steps", len(spec.Steps), "Outcome", outcome, "Reason", reason)
	switch outcome {
	case Stored:
		return nil
	case Refused:
		return ErrNotAccepted{Reason: reason, RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: reason}
	}
}

// Outcome is the outcome of storing a row.
type Outcome string

// Outcomes of storing a row.
const (
	// Stored: it lies in the store, from now on or from before, or its job ended.
	Stored Outcome = "Stored"
	// Refused: it was not stored by this call.
	Refused Outcome = "Refused"
	// Undecided: it may have been stored.
	Undecided Outcome = "Undecided"
)

// decide stores a row. A conflict shows that it is stored already or no longer needed. While an attempt
// may have taken effect it tries on until ctx ends, because only the store can tell. The reason is that
// of the last failure.
func (intake *Intake) decide(ctx context.Context, tx store.Tx) (Outcome, string) {
	undecided := false
	for {
		bounded, cancel := context.WithTimeout(ctx, attemptTime.Duration())
		_, err := store.CommitUntilKnown(bounded, intake.store, intake.clock, tx)
		cancel()
		switch {
		case err == nil || errors.As(err, new(store.ErrConflict)):
			return Stored, ""
		case !store.IsErrUnavailable(err):
			undecided = true
		case !undecided:
			return Refused, err.Error()
		}
		select {
		case <-intake.clock.After(decidePause):
		case <-ctx.Done():
			return Undecided, err.Error()
		}
	}
}

// State returns the state of a job. Errors: ErrNoJob, ErrNoAnswer.
func (intake *Intake) State(ctx context.Context, id workflow.ID) (workflow.State, error) {
	state, known, err := intake.leader.State(ctx, id)
	if err == nil && known {
		return state, nil
	}
	if err != nil {
		klog.V(1).InfoS("Leader not asked", "Job", id, "Reason", err.Error())
	}
	return intake.storedState(ctx, id)
}

// Job reads a job with its tasks from the store; of one that ended a while ago only its state, queue and
// service. Errors: ErrNoJob, ErrNoAnswer, workflow.ErrCorrupt.
func (intake *Intake) Job(ctx context.Context, id workflow.ID) (*workflow.Job, error) {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return nil, err
	}
	if submission.Version == 0 {
		ended, err := intake.ended(ctx, id)
		if err != nil {
			return nil, err
		}
		job := workflow.New(workflow.Spec{ID: id, Queue: ended.Queue, Service: ended.Service})
		job.State = ended.State
		return job, nil
	}
	spec, err := workflow.DecodeSpec(id, submission.Value)
	if err != nil {
		return nil, err
	}
	stored, err := intake.read(ctx, store.Ref{Table: StateTable, Key: string(id)})
	if err != nil {
		return nil, err
	}
	if stored.Version == 0 {
		return workflow.New(spec), nil
	}
	return workflow.Restore(spec, stored.Value)
}

// storedState reads the state of a job from the store.
func (intake *Intake) storedState(ctx context.Context, id workflow.ID) (workflow.State, error) {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return "", err
	}
	if submission.Version == 0 {
		ended, err := intake.ended(ctx, id)
		return ended.State, err
	}
	stored, err := intake.read(ctx, store.Ref{Table: StateTable, Key: string(id)})
	if err != nil {
		return "", err
	}
	if stored.Version == 0 {
		return workflow.Queued, nil
	}
	return workflow.DecodeStateOf(id, stored.Value)
}

// ended reads what is kept of a job that is no longer in the inbox. Errors: ErrNoJob, ErrNoAnswer,
// workflow.ErrCorrupt.
func (intake *Intake) ended(ctx context.Context, id workflow.ID) (Ended, error) {
	row, err := intake.read(ctx, endedRef(id))
	if err != nil {
		return Ended{}, err
	}
	if row.Version == 0 {
		return Ended{}, ErrNoJob{ID: id}
	}
	return DecodeEnded(row)
}

// read returns a row, with Version 0 if it does not exist. Error: ErrNoAnswer.
func (intake *Intake) read(ctx context.Context, row store.Ref) (store.Row, error) {
	rows, err := intake.store.List(ctx, row.Table, row.Key, row.Key+"\x00")
	if err != nil {
		return store.Row{}, ErrNoAnswer{Reason: err.Error(), RetryAfter: retryAfter}
	}
	for _, found := range rows.Rows {
		if found.Ref == row {
			return found, nil
		}
	}
	return store.Row{Ref: row}, nil
}

// Cancel stores the cancellation of a job that has not ended. Errors: ErrNoJob, ErrNoAnswer, ErrUndecided,
// workflow.ErrCorrupt.
func (intake *Intake) Cancel(ctx context.Context, id workflow.ID) error {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return err
	}
	if submission.Version == 0 {
		_, err := intake.ended(ctx, id)
		return err
	}
	outcome, reason := intake.decide(ctx, store.Tx{
		Conditions: []store.Condition{{Ref: ref(Submission, id), Version: submission.Version}, {Ref: ref(Cancellation, id)}},
		Puts:       []store.Put{{Ref: ref(Cancellation, id), Value: []byte("{}")}},
	})
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_cancellations_total{outcome=%q}`, outcome)).Inc()
	klog.InfoS("Cancellation", "Job", id, "Outcome", outcome, "Reason", reason)
	switch outcome {
	case Stored:
		return nil
	case Refused:
		return ErrNoAnswer{Reason: reason, RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: reason}
	}
}

// Pending returns the number of jobs of a queue that have not started. Error: ErrNoAnswer.
func (intake *Intake) Pending(ctx context.Context, queue workflow.Queue) (int, error) {
	count, err := intake.leader.Pending(ctx, queue)
	if err != nil {
		return 0, ErrNoAnswer{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return count, nil
}
