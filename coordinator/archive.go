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

// Times of archiving. A new leader reads what is not archived, over links of as little as 10 Mbit/s.
const (
	// archiveInterval separates batches, and archiveBatch bounds one: the busiest site ends 20 jobs a second.
	archiveInterval = clock.Second
	archiveBatch    = 50
	// archiveWriters bounds the transactions at the same time.
	archiveWriters = 4
	// archiveTimeout bounds a batch.
	archiveTimeout = 3 * time.Second
	// calmRound is the longest round of writes on a calm day; archiving waits while rounds take longer.
	calmRound = 60 * clock.Millisecond
	// dropBatch bounds the removals in a transaction.
	dropBatch = 20
)

// Retention is how long what is known of jobs that ended is kept.
type Retention struct {
	// Inbox is how long the job stays in the inbox.
	Inbox clock.Millis
	// State separates the archiving of a job from the removal of its state, for readers of both rows.
	State clock.Millis
	// Ended is how long the end of a job is told to callers, and its id refused to other jobs.
	Ended clock.Millis
}

// DefaultRetention returns the retention of deployments. A leader that was replaced may believe for 8 s
// that it leads; a list of rows may be 3 s behind; callers may ask for 120 s.
func DefaultRetention() Retention {
	return Retention{Inbox: 8 * clock.Second, State: 15 * clock.Second, Ended: 600 * clock.Second}
}

// archived is a job whose state row is to be removed.
type archived struct {
	id      workflow.ID
	version store.Version
	at      clock.Time
}

// archive moves jobs that ended a while ago out of the inbox.
func (leader *Coordinator) archive(now clock.Time) {
	if leader.archiving || now.Sub(leader.archivedAt) < archiveInterval || leader.roundTook > calmRound {
		return
	}
	leader.archivedAt = now
	at := leader.need.Store.Now()
	if at == 0 {
		return // The end would seem to be as old as the store.
	}
	batch := map[workflow.ID]store.Tx{}
	for _, id := range set.SortedKeys(leader.endedAt) {
		if now.Sub(leader.endedAt[id]) < leader.need.Retention.Inbox || !leader.book.Idle(id) {
			continue
		}
		state, queue, service := leader.book.Summary(id)
		tx, err := intake.ArchiveTx(id, leader.inbox[id], intake.Ended{
			State: state, At: at, Queue: queue, Service: service,
		})
		if err != nil {
			klog.ErrorS(err, "Job not archived", "Job", id)
			continue
		}
		if batch[id] = tx; len(batch) == archiveBatch {
			break
		}
	}
	if len(batch) == 0 {
		return
	}
	leader.archiving = true
	leader.background(func() { leader.archiveBatch(batch) })
}

// archiveBatch runs outside the control loop.
func (leader *Coordinator) archiveBatch(batch map[workflow.ID]store.Tx) {
	ctx, cancel := context.WithTimeout(leader.base, archiveTimeout)
	defer cancel()
	results := make(chan workflow.ID, len(batch))
	var group errgroup.Group
	group.SetLimit(archiveWriters)
	for id, tx := range batch {
		group.Go(func() error {
			_, err := leader.need.Store.Commit(ctx, tx)
			var conflict store.ErrConflict
			if err == nil || errors.As(err, &conflict) && intake.IsArchived(id, conflict) {
				results <- id
				return nil
			}
			klog.V(1).InfoS("Job not archived yet", "Job", id, "Reason", err.Error())
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors: what failed is tried again.
	close(results)
	leader.post(func() {
		leader.archiving = false
		now := leader.need.Clock.Now()
		count := 0
		for id := range results {
			count++
			leader.forget(id, now)
		}
		klog.InfoS("Jobs archived", "Count", count, "Of", len(batch), "Open", leader.book.Open())
	})
}

// forget drops what the leader remembers of an archived job, except its state.
func (leader *Coordinator) forget(id workflow.ID, now clock.Time) {
	if !leader.book.Forget(id) {
		return
	}
	delete(leader.endedAt, id)
	delete(leader.inbox, id)
	if version := leader.rows[id]; version != 0 {
		leader.dropped = append(leader.dropped, archived{id: id, version: version, at: now})
		delete(leader.rows, id)
	}
}

// drop adds the removal of states of archived jobs to a transaction of the leader.
func (leader *Coordinator) drop(tx *store.Tx, now clock.Time) {
	count := 0
	for count < min(len(leader.dropped), dropBatch) && now.Sub(leader.dropped[count].at) >= leader.need.Retention.State {
		item := leader.dropped[count]
		ref := store.Ref{Table: runTable, Key: string(item.id)}
		tx.Conditions = append(tx.Conditions, store.Condition{Ref: ref, Version: item.version})
		tx.Removes = append(tx.Removes, ref)
		count++
	}
	leader.dropped = leader.dropped[count:]
}

// remember reads the ends that are told, so that they are while the store is away, and without asking it.
func (leader *Coordinator) remember() {
	rows, err := leader.listAll(leader.base, intake.EndedTable)
	if err != nil {
		return // The term ended.
	}
	for _, row := range rows.Rows {
		ended, err := intake.DecodeEnded(row)
		if err != nil {
			klog.ErrorS(err, "Ended job ignored")
			continue
		}
		leader.show(workflow.ID(row.Key), ended.State)
	}
}

// sweep removes the ends that were told long enough, until the term ends.
func (leader *Coordinator) sweep() {
	for {
		select {
		case <-leader.need.Clock.After(leader.need.Retention.Ended / 2):
		case <-leader.base.Done():
			return
		}
		rows, err := leader.need.Store.List(leader.base, intake.EndedTable, "", "")
		if err != nil {
			klog.ErrorS(err, "Could not read the ended jobs")
			continue
		}
		var gone []workflow.ID
		now := leader.need.Store.Now()
		for _, row := range rows.Rows {
			ended, err := intake.DecodeEnded(row)
			if err != nil {
				klog.ErrorS(err, "Ended job ignored")
				continue
			}
			if now.Sub(ended.At) < leader.need.Retention.Ended {
				continue
			}
			if _, err := leader.need.Store.Commit(leader.base, intake.ForgetTx(row)); err != nil {
				klog.ErrorS(err, "Ended job kept", "Job", row.Key)
				continue
			}
			gone = append(gone, workflow.ID(row.Key))
		}
		leader.shownMu.Lock()
		for _, id := range gone {
			delete(leader.shown, id)
		}
		leader.shownMu.Unlock()
		klog.InfoS("Ended jobs forgotten", "Count", len(gone), "Of", len(rows.Rows))
	}
}
