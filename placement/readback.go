package placement

import (
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// readBack reads all rows of a transaction that conflicted or whose outcome is unknown.
func (scheduler *Scheduler) readBack(pending *pendingTransaction) {
	pending.readingBack = true
	pending.unreadKeys = make(map[table.Key]struct{}, len(pending.transaction.Conditions))
	pending.rows = make(map[table.Key]table.Row, len(pending.transaction.Conditions))
	keys := make([]table.Key, 0, len(pending.transaction.Conditions))
	for _, condition := range pending.transaction.Conditions {
		pending.unreadKeys[condition.Key] = struct{}{}
		keys = append(keys, condition.Key)
	}
	scheduler.readRows(keys)
}

// readRows requests rows. retryReads repeats the request until they arrive.
func (scheduler *Scheduler) readRows(keys []table.Key) {
	for _, key := range keys {
		scheduler.pendingReads[key] = scheduler.now
	}
	scheduler.emit(Read{Keys: keys})
}

// retryReads repeats the reads that were not answered within Settings.Retry.
func (scheduler *Scheduler) retryReads() {
	var overdue []table.Key
	for _, key := range set.SortedKeys(scheduler.pendingReads) {
		if scheduler.now.Sub(scheduler.pendingReads[key]) >= scheduler.settings.Retry {
			overdue = append(overdue, key)
		}
	}
	if len(overdue) > 0 {
		scheduler.readRows(overdue)
	}
}

// requestTeam reads the team's usage row unless it is loaded or already requested.
func (scheduler *Scheduler) requestTeam(name ident.Team) {
	if scheduler.teamView(name).loaded {
		return
	}
	key := TeamKey(name)
	if _, requested := scheduler.pendingReads[key]; !requested {
		scheduler.readRows([]table.Key{key})
	}
}

// handleRowsRead applies rows from the table. Rows of a transaction that is read back are collected
// until all of them have arrived.
func (scheduler *Scheduler) handleRowsRead(rows []table.Row) {
	for _, row := range rows {
		delete(scheduler.pendingReads, row.Key)
		pending := scheduler.pending
		if pending != nil && pending.readingBack {
			if _, unread := pending.unreadKeys[row.Key]; unread {
				delete(pending.unreadKeys, row.Key)
				pending.rows[row.Key] = row
				continue
			}
		}
		scheduler.loadRow(row)
		if scheduler.readAhead.unread.Has(row.Key) {
			scheduler.readAhead.unread.Remove(row.Key)
			if scheduler.readAhead.unread.Len() == 0 {
				defer scheduler.commitAfterReadAhead()
			}
		}
	}
	if scheduler.pending != nil && scheduler.pending.readingBack && len(scheduler.pending.unreadKeys) == 0 {
		scheduler.finishReadBack(scheduler.pending)
	}
}

// loadRow applies a single row of a team, a job or a data centre.
func (scheduler *Scheduler) loadRow(row table.Row) {
	name := string(row.Key)
	switch {
	case strings.HasPrefix(name, TeamKeyPrefix):
		if err := scheduler.dependencies.Accounts.Load(row); err != nil {
			scheduler.stats.BadRows++
			return
		}
		scheduler.teamView(ident.Team(name[len(TeamKeyPrefix):])).loaded = true
	case strings.HasPrefix(name, job.KeyPrefix):
		if row.Exists() {
			scheduler.loadJob(row)
		} else if row.Deleted {
			scheduler.removeJob(ident.Job(name[len(job.KeyPrefix):]))
		}
	default:
		for _, centre := range scheduler.dataCentres {
			if centre.key == row.Key {
				// The content of the newer revision arrives with DataCentreChanged.
				centre.newestRevision = max(centre.newestRevision, row.Revision)
			}
		}
	}
}

// finishReadBack determines from the rows whether the transaction took effect, and rebuilds the
// state from them.
func (scheduler *Scheduler) finishReadBack(pending *pendingTransaction) {
	tookEffect := false
	revisions := make(map[table.Key]table.Revision, len(pending.transaction.Operations))
	for _, operation := range pending.transaction.Operations {
		row := pending.rows[operation.Key]
		if row.Write == pending.transaction.Write {
			tookEffect = true
			revisions[operation.Key] = row.Revision
		}
	}
	if tookEffect {
		// A row that was overwritten since had the revision after the one in the condition. Its newer
		// content is loaded below.
		for _, condition := range pending.transaction.Conditions {
			if _, ok := revisions[condition.Key]; !ok {
				revisions[condition.Key] = condition.Revision + 1
			}
		}
		scheduler.applyCommitted(pending, revisions)
	} else {
		scheduler.requeueChanges(pending, false)
	}
	for _, condition := range pending.transaction.Conditions {
		scheduler.loadRow(pending.rows[condition.Key])
	}
	if scheduler.unansweredBatches == 0 && scheduler.readAhead.conflicts <= maxConflictRetries {
		// The teams' rows were just read.
		scheduler.readAhead.rowsFresh = true
		scheduler.commit()
		scheduler.readAhead.rowsFresh = false
	}
}
