package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// handleCommitted applies the success of the pending transaction.
func (scheduler *Scheduler) handleCommitted(event Committed) {
	pending := scheduler.pending
	if pending == nil || pending.transaction.Write != event.Write {
		return
	}
	scheduler.applyCommitted(pending, event.Result.Revisions)
}

// applyCommitted applies the effect of a transaction that was committed; revisions are those of the
// written rows.
func (scheduler *Scheduler) applyCommitted(pending *pendingTransaction, revisions map[table.Key]table.Revision) {
	scheduler.pending = nil
	scheduler.readAhead.conflicts = 0
	// The limit recovers by an eighth per success after a transaction was too large.
	scheduler.rowLimit = min(scheduler.settings.MaxRows, scheduler.rowLimit+scheduler.rowLimit/8+1)
	pending.accounts.Committed(table.Result{Revisions: revisions})
	recorded := make(map[ident.Worker][]TaskRef)
	for index := range pending.jobs {
		item := &pending.jobs[index]
		view := item.view
		if scheduler.jobs[view.name] != view {
			continue
		}
		view.base, view.revision = item.snapshot, revisions[job.Key(view.name)]
		view.loadedAt, view.revisionSeenAt = pending.startedAt, scheduler.now
		for _, change := range view.changes[:item.changeCount] {
			if change.reporter != "" {
				recorded[change.reporter] = append(recorded[change.reporter], TaskRef{Task: ident.Task{Job: view.name, Index: change.Index}, Epoch: change.Epoch})
			}
		}
		remaining := copy(view.changes, view.changes[item.changeCount:])
		clear(view.changes[remaining:])
		view.changes = view.changes[:remaining]
		for _, taskIndex := range item.claims {
			scheduler.claimCommitted(view, taskIndex)
		}
		if len(view.changes) > 0 && !view.dirty {
			view.dirty = true
			scheduler.dirty = append(scheduler.dirty, view)
		}
		scheduler.loadNewerRow(view)
	}
	for _, name := range set.SortedKeys(recorded) {
		scheduler.emit(Recorded{Worker: name, Tasks: recorded[name]})
	}
}

// claimCommitted makes a task live whose claim is in the table, and has its start sent.
func (scheduler *Scheduler) claimCommitted(view *jobView, index int) {
	hold, ok := view.claims[index]
	if !ok {
		return
	}
	delete(view.claims, index)
	team := scheduler.teamView(view.row.Spec.Team)
	team.uncommitted = team.uncommitted.Sub(hold.size)
	scheduler.holdCount--
	scheduler.stats.Claims++
	view.live[index] = &liveTask{epoch: hold.epoch, reservation: hold.reservation, startSentAt: scheduler.now, liveSince: scheduler.now}
	scheduler.unconfirmed[hold.task()] = struct{}{}
	scheduler.holdsToStart = append(scheduler.holdsToStart, hold)
}

// loadNewerRow loads the row that arrived while the job was part of a transaction.
func (scheduler *Scheduler) loadNewerRow(view *jobView) {
	if view.newerRow == nil {
		return
	}
	newer := *view.newerRow
	view.newerRow = nil
	scheduler.loadJob(newer)
}

// tooLargeRetry is the interval at which a row that was too large is written again. Ends of tasks
// make it smaller.
const tooLargeRetry = 30 * clock.Second

// handleCommitFailed handles the failure of the pending transaction.
func (scheduler *Scheduler) handleCommitFailed(event CommitFailed) {
	pending := scheduler.pending
	if pending == nil || pending.transaction.Write != event.Write || pending.readingBack {
		return
	}
	switch {
	case table.IsErrUnavailable(event.Err):
		scheduler.tableRetryAt = scheduler.now.Add(scheduler.settings.Retry)
		scheduler.requeueChanges(pending, true)
	case table.IsErrTooLarge(event.Err):
		scheduler.rowLimit = max(1, len(pending.jobs)/2)
		if len(pending.jobs) == 1 {
			// The row alone is too large. It must not block the others.
			pending.jobs[0].view.reason = "TooLarge: the job's row exceeds the table's limit"
			pending.jobs[0].view.rowRetryAt = scheduler.now.Add(tooLargeRetry)
		}
		scheduler.requeueChanges(pending, true)
	default:
		if table.IsErrConflict(event.Err) {
			scheduler.stats.Conflicts++
			scheduler.noteConflict(event.Err)
		} else {
			scheduler.stats.Unknown++
		}
		scheduler.readBack(pending)
	}
}

// requeueChanges makes the changes of a transaction that had no effect dirty again. With
// releaseClaims it releases the claims, so that agents do not hold capacity during an outage.
func (scheduler *Scheduler) requeueChanges(pending *pendingTransaction, releaseClaims bool) {
	scheduler.pending = nil
	for index := range pending.jobs {
		view := pending.jobs[index].view
		if scheduler.jobs[view.name] != view {
			continue
		}
		if releaseClaims {
			for _, taskIndex := range sortedIndices(view.claims) {
				hold := view.claims[taskIndex]
				delete(view.claims, taskIndex)
				scheduler.releaseHold(hold)
			}
			scheduler.rebuildRow(view)
		}
		if len(view.changes) > 0 && !view.dirty {
			view.dirty = true
			scheduler.dirty = append(scheduler.dirty, view)
		}
		scheduler.loadNewerRow(view)
	}
}
