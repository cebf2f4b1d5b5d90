package coordinator

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/intake"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Limits of archiving. Jobs that ended are archived because a new leader reads all jobs that are not, over
// links of as little as 10 Mbit/s.
const (
	// archiveInterval is the time between batches and maxArchiveBatch the number of jobs in one. They
	// exceed the rate of the busiest site, where 20 jobs end per second.
	archiveInterval = clock.Second
	maxArchiveBatch = 50
	// maxArchiveWriters limits the concurrent transactions of a batch.
	maxArchiveWriters = 4
	// archiveTimeout limits the duration of a batch.
	archiveTimeout = 3 * time.Second
	// maxRoundToArchive is the longest duration of a round of writes under ordinary load. Archiving is
	// postponed while rounds take longer.
	maxRoundToArchive = 60 * clock.Millisecond
	// maxStateRemovals limits the rows of job states that one transaction removes.
	maxStateRemovals = 20
)

// Retention is how long records of jobs that ended are kept.
type Retention struct {
	// Inbox is how long a job stays in the inbox after its end was stored.
	Inbox clock.Millis
	// State is the time from the archiving of a job to the removal of its state row. It allows for
	// readers that have read the row of the inbox and read the state row next.
	State clock.Millis
	// Ended is how long after archiving callers can read the final state of a job, and its id is
	// refused for other jobs.
	Ended clock.Millis
}

// DefaultRetention returns the retention that deployments use. A replaced leader may not notice
// for 8 s that it no longer leads; a list of rows may be 3 s old; callers may ask for a job's state for 120 s.
func DefaultRetention() Retention {
	return Retention{Inbox: 8 * clock.Second, State: 15 * clock.Second, Ended: 600 * clock.Second}
}

// archivedJob is an archived job whose state row must be removed. It was archived at the time at.
type archivedJob struct {
	id      workflow.ID
	version store.Version
	at      clock.Time
}

// archive starts moving jobs out of the inbox that ended at least Retention.Inbox ago.
func (coordinator *Coordinator) archive(now clock.Time) {
	if coordinator.archiving || now.Sub(coordinator.archivedAt) < archiveInterval || coordinator.roundDuration > maxRoundToArchive {
		return
	}
	coordinator.archivedAt = now
	at := coordinator.deps.Store.Now()
	if at == 0 {
		return // With time 0 the archived row would expire at once.
	}
	batch := map[workflow.ID]store.Tx{}
	for _, id := range set.SortedKeys(coordinator.endedAt) {
		if now.Sub(coordinator.endedAt[id]) < coordinator.deps.Retention.Inbox || !coordinator.scheduler.Removable(id) {
			continue
		}
		state, queue, service := coordinator.scheduler.Summary(id)
		tx, err := intake.ArchiveTx(id, coordinator.inboxVersions[id], intake.Ended{
			State: state, At: at, Queue: queue, Service: service,
		})
		if err != nil {
			klog.ErrorS(err, "Job not archived", "Job", id)
			continue
		}
		if batch[id] = tx; len(batch) == maxArchiveBatch {
			break
		}
	}
	if len(batch) == 0 {
		return
	}
	coordinator.archiving = true
	coordinator.background(func() { coordinator.archiveBatch(batch) })
}

// archiveBatch commits the transactions of a batch. It runs outside the control loop.
func (coordinator *Coordinator) archiveBatch(batch map[workflow.ID]store.Tx) {
	ctx, cancel := context.WithTimeout(coordinator.ctx, archiveTimeout)
	defer cancel()
	results := make(chan workflow.ID, len(batch))
	var group errgroup.Group
	group.SetLimit(maxArchiveWriters)
	for id, tx := range batch {
		group.Go(func() error {
			_, err := coordinator.deps.Store.Commit(ctx, tx)
			var conflict store.ErrConflict
			if err == nil || errors.As(err, &conflict) && intake.IsArchived(id, conflict) {
				results <- id
				return nil
			}
			klog.V(1).InfoS("Job not archived yet", "Job", id, "Reason", err.Error())
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors: a job that failed is in a later batch.
	close(results)
	coordinator.post(func() {
		coordinator.archiving = false
		now := coordinator.deps.Clock.Now()
		count := 0
		for id := range results {
			count++
			coordinator.removeArchived(id, now)
		}
		klog.InfoS("Jobs archived", "Count", count, "Of", len(batch), "Open", coordinator.scheduler.OpenJobCount())
	})
}

// removeArchived removes an archived job from memory except for its final state, and schedules the removal
// of its state row.
func (coordinator *Coordinator) removeArchived(id workflow.ID, now clock.Time) {
	if !coordinator.scheduler.Remove(id) {
		return
	}
	delete(coordinator.endedAt, id)
	delete(coordinator.inboxVersions, id)
	coordinator.backlog.Remove(id)
	if version := coordinator.stateVersions[id]; version != 0 {
		coordinator.archivedJobs = append(coordinator.archivedJobs, archivedJob{id: id, version: version, at: now})
		delete(coordinator.stateVersions, id)
	}
}

// addStateRemovals adds the removal of state rows of archived jobs to tx, oldest first.
func (coordinator *Coordinator) addStateRemovals(tx *store.Tx, now clock.Time) {
	count := 0
	for count < min(len(coordinator.archivedJobs), maxStateRemovals) && now.Sub(coordinator.archivedJobs[count].at) >= coordinator.deps.Retention.State {
		item := coordinator.archivedJobs[count]
		ref := store.Ref{Table: stateTable, Key: string(item.id)}
		tx.Conditions = append(tx.Conditions, store.Condition{Ref: ref, Version: item.version})
		tx.Removes = append(tx.Removes, ref)
		count++
	}
	coordinator.archivedJobs = coordinator.archivedJobs[count:]
}

// loadEndedJobs reads the final states of archived jobs into memory, so that the leader can answer for them
// without the store and during its outages.
func (coordinator *Coordinator) loadEndedJobs() {
	rows, err := coordinator.listAll(coordinator.ctx, intake.EndedTable)
	if err != nil {
		return // The term ended.
	}
	for _, row := range rows.Rows {
		ended, err := intake.DecodeEnded(row)
		if err != nil {
			klog.ErrorS(err, "Ended job ignored")
			continue
		}
		if ended.Tombstone {
			continue // Callers are told that there is no such job.
		}
		coordinator.setJobState(workflow.ID(row.Key), ended.State)
	}
}

// expireEndedJobs removes the rows of archived jobs whose retention has passed, until the term ends.
func (coordinator *Coordinator) expireEndedJobs() {
	for {
		select {
		case <-coordinator.deps.Clock.After(coordinator.deps.Retention.Ended / 2):
		case <-coordinator.ctx.Done():
			return
		}
		rows, err := coordinator.deps.Store.List(coordinator.ctx, intake.EndedTable, "", "")
		if err != nil {
			klog.ErrorS(err, "Could not read the ended jobs")
			continue
		}
		expired := coordinator.expiredJobs(rows.Rows)
		removedIDs := coordinator.removeEndedJobs(expired)
		coordinator.jobStatesMu.Lock()
		for _, id := range removedIDs {
			delete(coordinator.jobStates, id)
		}
		coordinator.jobStatesMu.Unlock()
		klog.InfoS("Ended jobs removed", "Count", len(removedIDs), "Of", len(rows.Rows))
	}
}

// expiredJobs returns the rows whose retention has passed.
func (coordinator *Coordinator) expiredJobs(rows []store.Row) []store.Row {
	var expired []store.Row
	now := coordinator.deps.Store.Now()
	for _, row := range rows {
		ended, err := intake.DecodeEnded(row)
		if err != nil {
			klog.ErrorS(err, "Ended job ignored")
			continue
		}
		if now.Sub(ended.At) >= ended.Retention(coordinator.deps.Retention.Ended) {
			expired = append(expired, row)
		}
	}
	return expired
}

// removeEndedJobs removes rows of archived jobs and returns the jobs whose rows were removed.
func (coordinator *Coordinator) removeEndedJobs(expired []store.Row) []workflow.ID {
	txs := make([]store.Tx, 0, len(expired))
	for _, row := range expired {
		txs = append(txs, intake.RemoveEndedTx(row))
	}
	var removed []workflow.ID
	var lastErr error
	for position, err := range store.NewGroup(coordinator.deps.Store).CommitAll(coordinator.ctx, txs) {
		if err != nil {
			lastErr = err
			continue
		}
		removed = append(removed, workflow.ID(expired[position].Key))
	}
	if lastErr != nil {
		klog.ErrorS(lastErr, "Could not remove ended jobs", "Count", len(expired)-len(removed))
	}
	return removed
}
