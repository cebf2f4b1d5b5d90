package coordinator

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/intake"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Times of reading the store.
const (
	// changesWait is how long a call to the change feed waits for changes. Together with the timeout of a call it limits
	// the time after which a silent feed is noticed, and must be well below maxInboxAge.
	changesWait = 400 * clock.Millisecond
	// storeRetryPause is the pause between attempts while the store does not answer.
	storeRetryPause = 150 * clock.Millisecond
)

// stateTable holds the state of each job. Only the leader writes it.
const stateTable = intake.StateTable

// load reads jobs, states and learned weights, and returns the version after which the inbox must be
// followed. The tables can be read concurrently, because only the leader writes states and weights.
func (coordinator *Coordinator) load(ctx context.Context) (store.Version, error) {
	asOf := coordinator.deps.Clock.Now()
	var inbox, stateRows, weights store.Rows
	group, ctx := errgroup.WithContext(ctx)
	for table, rows := range map[store.Table]*store.Rows{intake.Table: &inbox, stateTable: &stateRows, weightsTable: &weights} {
		group.Go(func() error {
			var err error
			*rows, err = coordinator.listAll(ctx, table)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	states := map[workflow.ID]store.Row{}
	for _, row := range stateRows.Rows {
		states[workflow.ID(row.Key)] = row
	}
	coordinator.loop.Call(func() {
		coordinator.loadWeights(weights.Rows)
		coordinator.applyInbox(inbox.Rows, states)
		coordinator.addOrphanedStates(states)
		coordinator.inboxAsOf = asOf
	})
	return inbox.Version, nil
}

// addOrphanedStates schedules the removal of state rows whose jobs an earlier leader archived.
func (coordinator *Coordinator) addOrphanedStates(states map[workflow.ID]store.Row) {
	now := coordinator.deps.Clock.Now()
	for _, id := range set.SortedKeys(states) {
		if _, ok := coordinator.inboxVersions[id]; ok {
			continue
		}
		state, err := workflow.DecodeState(id, states[id].Value)
		if err != nil || !state.Final() {
			klog.InfoS("State row without a job ignored", "Job", id, "State", state, "Error", err)
			continue
		}
		coordinator.setJobState(id, state)
		coordinator.archivedJobs = append(coordinator.archivedJobs, archivedJob{id: id, version: states[id].Version, at: now})
	}
}

// listAll reads a table, with retries until ctx ends.
func (coordinator *Coordinator) listAll(ctx context.Context, table store.Table) (store.Rows, error) {
	for {
		rows, err := coordinator.deps.Store.List(ctx, table, "", "")
		if err == nil {
			return rows, nil
		}
		klog.ErrorS(err, "Could not read a table", "Table", table)
		select {
		case <-coordinator.deps.Clock.After(storeRetryPause):
		case <-ctx.Done():
			return store.Rows{}, errors.Join(err, ctx.Err())
		}
	}
}

// applyInbox applies rows of the inbox: submissions of new jobs and cancellations.
func (coordinator *Coordinator) applyInbox(rows []store.Row, states map[workflow.ID]store.Row) {
	now := coordinator.deps.Clock.Now()
	cancellations := map[workflow.ID]store.Version{}
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		kind, id, err := intake.ParseKey(row.Key)
		if err != nil {
			klog.ErrorS(err, "Row of the inbox ignored", "Key", row.Key)
			continue
		}
		switch kind {
		case intake.Cancellation:
			cancellations[id] = row.Version
		case intake.Submission:
			if coordinator.deps.Faults.isIgnored(jobSource(id)) {
				klog.InfoS("Job ignored: it made a leader fail", "Job", id)
				continue
			}
			coordinator.contain(jobSource(id), func() { coordinator.addJob(id, row, states[id], now) })
		}
	}
	for _, id := range set.SortedKeys(cancellations) {
		klog.InfoS("Job cancelled", "Job", id)
		coordinator.scheduler.Cancel(id)
		if versions, ok := coordinator.inboxVersions[id]; ok {
			versions.Cancellation = cancellations[id]
			coordinator.inboxVersions[id] = versions
		}
	}
}

// addJob passes a submitted job to the scheduler, with its stored state if it has one.
func (coordinator *Coordinator) addJob(id workflow.ID, row, state store.Row, now clock.Time) {
	// After a reconnection the change feed may repeat jobs that were archived in the meantime.
	if _, ok := coordinator.State(id); ok {
		return
	}
	spec, err := workflow.DecodeSpec(id, row.Value)
	if err != nil {
		klog.ErrorS(err, "Stored job ignored", "Job", id)
		return
	}
	coordinator.inboxVersions[id] = intake.Versions{Submission: row.Version}
	coordinator.backlog.Add(spec)
	age := max(0, coordinator.deps.Store.Now().Sub(spec.Accepted))
	if state.Version == 0 {
		coordinator.scheduler.Submit(spec, now.Add(-age))
		coordinator.setJobState(id, workflow.Queued)
		klog.V(1).InfoS("Job received", "Job", id, "Queue", spec.Queue, "Steps", len(spec.Steps), "AgeMillis", int64(age))
		return
	}
	job, err := workflow.Restore(spec, state.Value)
	if err != nil {
		klog.ErrorS(err, "Job ignored: its stored state cannot be decoded", "Job", id)
		return
	}
	coordinator.stateVersions[id] = state.Version
	coordinator.scheduler.Restore(job, now.Add(-age))
	coordinator.setJobState(id, job.State)
	if job.State.Final() {
		coordinator.endedAt[id] = now
	}
}

// followInbox passes changes of the inbox to the control loop until the term ends.
func (coordinator *Coordinator) followInbox(after store.Version) {
	healthy := true
	for coordinator.ctx.Err() == nil {
		sent := coordinator.deps.Clock.Now()
		changes, err := coordinator.deps.Store.Changes(coordinator.ctx, intake.Table, after, changesWait)
		if err == nil {
			if !healthy {
				klog.InfoS("Change feed of the inbox restored")
			}
			healthy, after = true, changes.Version
			coordinator.postInbox(changes.Rows, changesAsOf(sent, coordinator.deps.Clock.Now(), len(changes.Rows)))
			continue
		}
		if store.IsErrHistoryGone(err) {
			klog.InfoS("Inbox listed again: its change history is gone", "After", after)
			sent = coordinator.deps.Clock.Now()
			if inbox, err := coordinator.listAll(coordinator.ctx, intake.Table); err == nil {
				after = inbox.Version
				coordinator.postInbox(inbox.Rows, sent)
			}
			continue
		}
		if healthy && coordinator.ctx.Err() == nil {
			klog.ErrorS(err, "Change feed of the inbox lost", "After", after)
		}
		healthy = false
		select {
		case <-coordinator.deps.Clock.After(storeRetryPause):
		case <-coordinator.ctx.Done():
		}
	}
}

// postInbox passes rows of the inbox to the control loop. They include all rows that were stored before asOf.
func (coordinator *Coordinator) postInbox(rows []store.Row, asOf clock.Time) {
	coordinator.post(func() {
		coordinator.applyInbox(rows, nil)
		coordinator.inboxAsOf = max(coordinator.inboxAsOf, asOf)
	})
}

// changesAsOf returns a time before which no row was stored that an answer of the change feed lacks. An answer without
// changes that took changesWait was given after the store had waited as long.
func changesAsOf(sent, answered clock.Time, changes int) clock.Time {
	if changes == 0 && answered.Sub(sent) >= changesWait {
		return sent.Add(changesWait)
	}
	return sent
}
