package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// committed takes a transaction's success.
func (scheduler *Scheduler) committed(event Committed) {
	done := scheduler.flight
	if done == nil || done.transaction.Write != event.Write {
		return
	}
	scheduler.settle(done, event.Result.Revisions)
}

// settle applies the effect of a transaction that took place. Revisions are of the written rows.
func (scheduler *Scheduler) settle(done *flight, revisions map[table.Key]table.Revision) {
	scheduler.flight = nil
	scheduler.ahead.conflicts = 0
	// The limit recovers after a transaction was too large, by an eighth per success.
	scheduler.rowLimit = min(scheduler.settings.MaxRows, scheduler.rowLimit+scheduler.rowLimit/8+1)
	done.accounts.Committed(table.Result{Revisions: revisions})
	recorded := make(map[ident.Worker][]TaskRef)
	for index := range done.jobs {
		item := &done.jobs[index]
		view := item.view
		if scheduler.jobs[view.name] != view {
			continue
		}
		view.base, view.revision = item.snapshot, revisions[job.Key(view.name)]
		view.loadedAt, view.seenAt = done.since, scheduler.now
		for _, included := range view.changes[:item.changes] {
			if included.report != "" {
				recorded[included.report] = append(recorded[included.report], TaskRef{Task: ident.Task{Job: view.name, Index: included.Index}, Epoch: included.Epoch})
			}
		}
		rest := copy(view.changes, view.changes[item.changes:])
		clear(view.changes[rest:])
		view.changes = view.changes[:rest]
		for _, claimed := range item.claims {
			scheduler.claimSettled(view, claimed)
		}
		if len(view.changes) > 0 && !view.dirty {
			view.dirty = true
			scheduler.dirty = append(scheduler.dirty, view)
		}
		scheduler.takeLater(view)
	}
	for _, name := range set.SortedKeys(recorded) {
		scheduler.emit(Recorded{Worker: name, Tasks: recorded[name]})
	}
}

// claimSettled starts a task whose claim is in the table.
func (scheduler *Scheduler) claimSettled(view *jobView, index int) {
	held, ok := view.claims[index]
	if !ok {
		return
	}
	delete(view.claims, index)
	team := scheduler.team(view.row.Spec.Team)
	team.asked = team.asked.Sub(held.size)
	scheduler.held--
	scheduler.stats.Claims++
	view.live[index] = &liveTask{epoch: held.epoch, reservation: held.reservation, asked: scheduler.now, since: scheduler.now}
	scheduler.open[held.task()] = struct{}{}
	scheduler.started = append(scheduler.started, held)
}

// takeLater loads the row that arrived while the job was in flight.
func (scheduler *Scheduler) takeLater(view *jobView) {
	if view.later == nil {
		return
	}
	later := *view.later
	view.later = nil
	scheduler.load(later)
}

// tooLargeRetry is when a row that was too large is tried again; ends of tasks make it smaller.
const tooLargeRetry = 30 * clock.Second

// commitFailed takes a transaction's failure.
func (scheduler *Scheduler) commitFailed(event CommitFailed) {
	failed := scheduler.flight
	if failed == nil || failed.transaction.Write != event.Write || failed.reading {
		return
	}
	switch {
	case table.IsErrUnavailable(event.Err):
		scheduler.tableAt = scheduler.now.Add(scheduler.settings.Retry)
		scheduler.putBack(failed, true)
	case table.IsErrTooLarge(event.Err):
		scheduler.rowLimit = max(1, len(failed.jobs)/2)
		if len(failed.jobs) == 1 {
			// The row alone is too large. It must not hold up the others.
			failed.jobs[0].view.reason = "TooLarge: the job's row exceeds the table's limit"
			failed.jobs[0].view.writeAt = scheduler.now.Add(tooLargeRetry)
		}
		scheduler.putBack(failed, true)
	default:
		if table.IsErrConflict(event.Err) {
			scheduler.stats.Conflicts++
			scheduler.noteConflict(event.Err)
		} else {
			scheduler.stats.Unknown++
		}
		scheduler.readBack(failed)
	}
}

// putBack returns the changes of a transaction that had no effect to the queue. During an outage
// its claims are given up, so that the agents' capacity is not held for nothing.
func (scheduler *Scheduler) putBack(failed *flight, giveUp bool) {
	scheduler.flight = nil
	for index := range failed.jobs {
		view := failed.jobs[index].view
		if scheduler.jobs[view.name] != view {
			continue
		}
		if giveUp {
			for _, claimed := range sortedIndices(view.claims) {
				held := view.claims[claimed]
				delete(view.claims, claimed)
				scheduler.release(held)
			}
			scheduler.rebuild(view)
		}
		if len(view.changes) > 0 && !view.dirty {
			view.dirty = true
			scheduler.dirty = append(scheduler.dirty, view)
		}
		scheduler.takeLater(view)
	}
}
