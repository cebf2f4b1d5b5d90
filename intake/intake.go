// Package intake accepts jobs of callers, tells their state and cancels them. Any entry can do so at
// any time: what callers ask for is stored in rows of its own, which the leader follows.
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// retryAfter is what callers are told while the store does not answer. Most disruptions last for a few
// seconds, and callers have 3 s.
const retryAfter = clock.Second

const (
	// ownAttempt bounds this entry's attempt to store. The rest of the callers' 3 s is for other entries.
	ownAttempt = 1300 * clock.Millisecond
	// decidePause separates attempts while the outcome is open.
	decidePause = 200 * clock.Millisecond
	// cutOffMemory is how long after a failure other entries are asked first.
	cutOffMemory = 600 * clock.Millisecond
)

// Leader answers questions about jobs from the leader's memory. Its errors mean that it cannot be
// asked; they are of any type.
type Leader interface {
	// State returns the state of the job and whether the leader has it.
	State(ctx context.Context, id workflow.ID) (workflow.State, bool, error)
	// Pending returns the number of jobs of the queue that have not started.
	Pending(ctx context.Context, queue workflow.Queue) (int, error)
}

// Peers are other entries, which may reach the store when this one does not.
type Peers interface {
	// Store asks them in turn until one decides. The outcome is session.Refused if none could be asked.
	Store(ctx context.Context, request *session.StoreRequest) session.StoreReply
}

// Intake serves callers' calls. It is safe for concurrent use.
type Intake struct {
	store  store.Store
	clock  clock.Clock
	leader Leader
	peers  Peers
	// failedAt is when the store last failed to answer, or 0 if it answered since.
	failedAt atomic.Int64
}

// New returns an Intake.
func New(service store.Store, source clock.Clock, leader Leader, peers Peers) *Intake {
	return &Intake{store: service, clock: source, leader: leader, peers: peers}
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
	reply := intake.decide(ctx, &session.StoreRequest{ID: spec.ID, Spec: value})
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_submissions_total{outcome=%q}`, reply.Outcome)).Inc()
	klog.InfoS("Job submitted", "Job", spec.ID, "Queue", spec.Queue, "Steps", len(spec.Steps), "Outcome", reply.Outcome, "Reason", reply.Reason)
	switch reply.Outcome {
	case session.Stored:
		return nil
	case session.Refused:
		return ErrNotAccepted{Reason: reply.Reason, RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: reply.Reason}
	}
}

// decide stores what a caller wants, by way of another entry if this one does not reach the store. While
// an attempt may have taken effect it tries on until ctx ends, because only the store can tell.
func (intake *Intake) decide(ctx context.Context, request *session.StoreRequest) session.StoreReply {
	undecided := false
	for {
		reply := intake.attempt(ctx, request)
		switch reply.Outcome {
		case session.Stored, session.Missing:
			return reply
		case session.Undecided:
			undecided = true
		case session.Refused:
			if !undecided {
				return reply
			}
		}
		select {
		case <-intake.clock.After(decidePause):
		case <-ctx.Done():
			return session.StoreReply{Outcome: session.Undecided, Reason: reply.Reason}
		}
	}
}

// attempt tries once, here and at the other entries.
func (intake *Intake) attempt(ctx context.Context, request *session.StoreRequest) session.StoreReply {
	own := session.StoreReply{Outcome: session.Refused, Reason: "the store did not answer lately"}
	if !intake.isCutOff() {
		bounded, cancel := context.WithTimeout(ctx, ownAttempt.Duration())
		own = intake.Store(bounded, request)
		cancel()
		if own.Outcome == session.Stored || own.Outcome == session.Missing {
			return own
		}
	}
	reply := intake.peers.Store(ctx, request)
	if reply.Outcome == session.Refused && own.Outcome == session.Undecided {
		return own // The own attempt may still take effect.
	}
	return reply
}

// isCutOff reports whether the store failed to answer a moment ago.
func (intake *Intake) isCutOff() bool {
	failed := clock.Time(intake.failedAt.Load())
	return failed != 0 && intake.clock.Now().Sub(failed) < cutOffMemory
}

// Store stores what a caller of this or another entry wants.
func (intake *Intake) Store(ctx context.Context, request *session.StoreRequest) session.StoreReply {
	kind, value := Submission, []byte(request.Spec)
	if request.Cancel {
		kind, value = Cancellation, []byte("{}")
		submission, err := intake.read(ctx, ref(Submission, request.ID))
		if err != nil {
			intake.failedAt.Store(int64(intake.clock.Now()))
			return session.StoreReply{Outcome: session.Refused, Reason: err.Error()}
		}
		if submission.Version == 0 {
			return session.StoreReply{Outcome: session.Missing}
		}
	}
	row := ref(kind, request.ID)
	_, err := store.Settle(ctx, intake.store, intake.clock, store.Tx{
		Conditions: []store.Condition{{Ref: row}}, Puts: []store.Put{{Ref: row, Value: value}},
	})
	switch {
	case err == nil || errors.As(err, new(store.ErrConflict)):
		intake.failedAt.Store(0)
		return session.StoreReply{Outcome: session.Stored}
	case store.IsErrUnavailable(err):
		intake.failedAt.Store(int64(intake.clock.Now()))
		return session.StoreReply{Outcome: session.Refused, Reason: err.Error()}
	default:
		intake.failedAt.Store(int64(intake.clock.Now()))
		return session.StoreReply{Outcome: session.Undecided, Reason: err.Error()}
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

// Job reads a job with its tasks from the store. Errors: ErrNoJob, ErrNoAnswer, workflow.ErrCorrupt.
func (intake *Intake) Job(ctx context.Context, id workflow.ID) (*workflow.Job, error) {
	submission, err := intake.read(ctx, ref(Submission, id))
	if err != nil {
		return nil, err
	}
	if submission.Version == 0 {
		return nil, ErrNoJob{ID: id}
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
	reply := intake.decide(ctx, &session.StoreRequest{ID: id, Cancel: true})
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_cancellations_total{outcome=%q}`, reply.Outcome)).Inc()
	klog.InfoS("Cancellation", "Job", id, "Outcome", reply.Outcome, "Reason", reply.Reason)
	switch reply.Outcome {
	case session.Stored:
		return nil
	case session.Missing:
		return ErrNoJob{ID: id}
	case session.Refused:
		return ErrNoAnswer{Reason: reply.Reason, RetryAfter: retryAfter}
	default:
		return ErrUndecided{Reason: reply.Reason}
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
