package intake

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// maxCancelAttempts limits how often a cancellation begins anew because the job is stored or archived meanwhile, each of which
// happens to a job once.
const maxCancelAttempts = 4

// Cancel stores the cancellation of a job. It has no effect on a job that has ended. A job that is not stored will not be stored for
// TombstoneRetention after ErrNoJob. Errors: ErrNoJob, ErrNoAnswer, ErrUndecided, workflow.ErrCorrupt.
func (intake *Intake) Cancel(ctx context.Context, id workflow.ID) error {
	if !workflow.ValidID(string(id)) {
		return ErrNoJob{ID: id} // No submission can have it.
	}
	for range maxCancelAttempts {
		row, err := intake.readRow(ctx, ref(Submission, id))
		if err != nil {
			return err
		}
		var outcome Outcome
		if row.Version == 0 {
			outcome, err = intake.cancelUnstored(ctx, id)
		} else {
			outcome, err = intake.cancelStored(ctx, id, row.Version)
		}
		if outcome != Conflicting {
			return err
		}
	}
	return ErrUndecided{Reason: "the rows of the job changed during each attempt"}
}

// cancelStored cancels a job whose submission has the version. The outcome is Conflicting if the job has been archived since: its id may
// name another job now.
func (intake *Intake) cancelStored(ctx context.Context, id workflow.ID, version store.Version) (Outcome, error) {
	decided := commitUntilDecided(ctx, intake.retrier, store.Tx{
		Conditions: []store.Condition{{Ref: ref(Submission, id), Version: version}, {Ref: ref(Cancellation, id)}},
		Puts:       []store.Put{{Ref: ref(Cancellation, id), Value: []byte("{}")}},
	})
	if decided.outcome == Conflicting && decided.conflict.Row(ref(Cancellation, id)).Version != 0 {
		decided.outcome = Stored // By an earlier call.
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_cancellations_total{outcome=%q}`, decided.outcome)).Inc()
	klog.InfoS("Cancellation", "Job", id, "Outcome", decided.outcome, "Reason", decided.reason)
	switch decided.outcome {
	case Stored, Conflicting:
		return decided.outcome, nil
	case Refused:
		return decided.outcome, ErrNoAnswer{Reason: decided.reason, RetryAfter: storeRetryAfter}
	default:
		return decided.outcome, ErrUndecided{Reason: decided.reason}
	}
}

// cancelUnstored cancels a job without a submission, which has been archived or is not stored. In the second case it writes a
// tombstone, because a submission may be on its way. The outcome is Conflicting if the job has been stored since.
func (intake *Intake) cancelUnstored(ctx context.Context, id workflow.ID) (Outcome, error) {
	row, err := intake.readRow(ctx, endedRef(id))
	if err != nil {
		return Undecided, err
	}
	if row.Version != 0 {
		ended, err := DecodeEnded(row)
		if err != nil || !ended.Tombstone {
			klog.InfoS("Cancellation of a job that is not open", "Job", id, "Archived", err == nil, "Error", err)
			return Stored, err
		}
		if ended.keptFor(intake.store.Now()) > TombstoneRetention/2 {
			klog.InfoS("Cancellation of a job that is not open", "Job", id, "Archived", false, "Outcome", Stored)
			return Stored, ErrNoJob{ID: id}
		}
	}
	decided, retryAfter := intake.tombstones.write(ctx, id, row.Version)
	klog.InfoS("Cancellation of a job that is not open", "Job", id, "Archived", false, "Outcome", decided.outcome, "Reason", decided.reason,
		"RetryAfterMillis", int64(retryAfter))
	switch decided.outcome {
	case Stored:
		return Stored, ErrNoJob{ID: id}
	case Conflicting:
		return Conflicting, nil
	case Refused, Limited:
		return decided.outcome, ErrNoAnswer{Reason: decided.reason, RetryAfter: max(retryAfter, storeRetryAfter)}
	default:
		return decided.outcome, ErrUndecided{Reason: decided.reason}
	}
}
