package coordinator

import (
	"fmt"

	"k8s.io/klog/v2"

	"hyssopjunction/election"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// maxRowBytes returns the largest value of a row.
func (deps Dependencies) maxRowBytes() int {
	if deps.MaxRowBytes <= 0 {
		return defaultMaxRowBytes
	}
	return deps.MaxRowBytes
}

// encodeState encodes a job's state so that it fits in a row. The jobs that do not fit in any way are ignored for a while by
// later terms of this entry. Errors: workflow.ErrTooLarge, or that of the encoding.
func (coordinator *Coordinator) encodeState(job *workflow.Job) ([]byte, error) {
	fitted, err := workflow.FitState(job, coordinator.deps.maxRowBytes())
	if err != nil {
		coordinator.ignoreJob(job.Spec.ID, err)
		return nil, fmt.Errorf("encoding job %s: %w", job.Spec.ID, err)
	}
	if fitted.OmittedCrashes+fitted.OmittedCheckpoints > 0 || fitted.Compressed {
		coordinator.counters.fittedStates.Inc()
		klog.V(1).InfoS("State of a job fitted into a row", "Job", job.Spec.ID, "Bytes", len(fitted.Value),
			"OmittedCrashes", fitted.OmittedCrashes, "OmittedCheckpoints", fitted.OmittedCheckpoints, "Compressed", fitted.Compressed)
	}
	return fitted.Value, nil
}

// ignoreJob makes later terms of this entry ignore a job for a while, because it cannot be stored.
func (coordinator *Coordinator) ignoreJob(id workflow.ID, err error) {
	klog.ErrorS(err, "Job cannot be stored", "Job", id, "Term", coordinator.leadership.Term.Number,
		"IgnoredMillis", int64(coordinator.deps.Faults.record(jobSource(id))))
}

// isolateRejected ends the term after the store rejected a transaction for good: a repetition would keep every other job from
// being stored and the leader's lease from being renewed. It stores the states of the transaction one by one, so that a later
// term ignores only the jobs whose state is rejected. It runs outside the control loop.
func (coordinator *Coordinator) isolateRejected(rejected roundTx, cause error) {
	for _, put := range rejected.storeTx.Puts {
		if put.Table != stateTable {
			continue
		}
		single := store.Tx{Puts: []store.Put{put}}
		for _, condition := range rejected.storeTx.Conditions {
			if condition.Ref == put.Ref || condition.Ref == election.TermRef() {
				single.Conditions = append(single.Conditions, condition)
			}
		}
		if _, err := coordinator.commitUntilApplied(single); store.IsErrRejected(err) {
			coordinator.ignoreJob(workflow.ID(put.Key), err)
		}
	}
	coordinator.stepDown("store: " + cause.Error())
}
