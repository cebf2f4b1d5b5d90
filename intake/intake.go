// Package intake accepts jobs of callers, tells their state and cancels them. Any entry can do so at
// any time: what callers ask for is stored in rows of its own, which the leader follows.
package intake

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// retryAfter is what callers are told while the store does not answer. Most disruptions last for a few
// seconds, and callers have 3 s.
const retryAfter = clock.Second

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
	row := ref(Submission, spec.ID)
	_, err = store.Settle(ctx, intake.store, intake.clock, store.Tx{
		Conditions: []store.Condition{{Ref: row}}, Puts: []store.Put{{Ref: row, Value: value}},
	})
	outcome := outcomeOf(err)
	klog.InfoS("Job submitted", "Job", spec.ID, "Queue", spec.Queue, "Steps", len(spec.Steps), "Outcome", outcome)
	switch outcome {
	case "stored", "repeated":
		return nil
	case "refused":
		return ErrNotAccepted{Reason: err.Error(), RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: err.Error()}
	}
}

// outcomeOf names the outcome of storing a row that must not exist.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "stored"
	case errors.As(err, new(store.ErrConflict)):
		return "repeated"
	case store.IsErrUnavailable(err):
		return "refused"
	default:
		return "undecided"
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

// storedState reads the state of a job from the store.
func (intake *Intake) storedState(ctx context.Context, id workflow.ID) (workflow.State, error) {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return "", err
	}
	if submission.Version == 0 {
		return "", ErrNoJob{ID: id}
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

// Cancel stores the cancellation of a job. Errors: ErrNoJob, ErrNoAnswer, ErrUndecided.
func (intake *Intake) Cancel(ctx context.Context, id workflow.ID) error {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return err
	}
	if submission.Version == 0 {
		return ErrNoJob{ID: id}
	}
	row := ref(Cancellation, id)
	_, err = store.Settle(ctx, intake.store, intake.clock, store.Tx{
		Conditions: []store.Condition{{Ref: row}}, Puts: []store.Put{{Ref: row, Value: []byte("{}")}},
	})
	outcome := outcomeOf(err)
	klog.InfoS("Cancellation", "Job", id, "Outcome", outcome)
	switch outcome {
	case "stored", "repeated":
		return nil
	case "refused":
		return ErrNoAnswer{Reason: err.Error(), RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: err.Error()}
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
