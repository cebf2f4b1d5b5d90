package placement

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// claimReserve is how long before its reservation expires a task is still claimed. A claim
// committed later would be refused at the start.
const claimReserve = 300 * clock.Millisecond

// flight is the transaction that is being committed or read back. There is at most one, so a job's
// row changes only through it or through someone else's write, which makes it conflict.
type flight struct {
	transaction table.Transaction
	since       clock.Time
	jobs        []flightJob
	teams       map[ident.Team]unit.Resources
	// missing are the rows still to be read back; nil while committing.
	missing map[table.Key]struct{}
	rows    map[table.Key]table.Row
	reading bool
}

// flightJob is one job row of a transaction: its new content and the changes it includes.
type flightJob struct {
	view     *jobView
	snapshot *job.Row
	changes  int
	claims   []int
}

func (scheduler *Scheduler) flying(view *jobView) bool {
	if scheduler.flight == nil {
		return false
	}
	return slices.ContainsFunc(scheduler.flight.jobs, func(item flightJob) bool { return item.view == view })
}

// commit writes what agents reserved and reported since the last transaction.
func (scheduler *Scheduler) commit() {
	if scheduler.flight != nil || scheduler.now.Before(scheduler.tableAt) {
		return
	}
	scheduler.claimReserved()
	next := &flight{since: scheduler.now, teams: make(map[ident.Team]unit.Resources)}
	var rest []*jobView
	centres := make(map[ident.DataCentre]struct{})
	claims := 0
	for _, view := range scheduler.dirty {
		switch {
		case scheduler.jobs[view.name] != view || len(view.changes) == 0:
			view.dirty = false
			continue
		case len(next.jobs) >= scheduler.rowLimit, !scheduler.team(view.row.Spec.Team).known:
			rest = append(rest, view)
			continue
		}
		view.dirty = false
		item := flightJob{view: view, snapshot: view.row.Clone(), changes: len(view.changes), claims: sortedIndices(view.claims)}
		item.snapshot.Waited = scheduler.waited(view)
		delta := item.snapshot.Usage().Sub(view.usage)
		next.teams[view.row.Spec.Team] = next.teams[view.row.Spec.Team].Add(delta)
		for _, index := range item.claims {
			centres[view.row.Tasks[index].Placement.DataCentre] = struct{}{}
		}
		claims += len(item.claims)
		next.jobs = append(next.jobs, item)
	}
	clear(scheduler.dirty)
	scheduler.dirty = append(scheduler.dirty[:0], rest...)
	if len(next.jobs) == 0 {
		return
	}
	scheduler.flight = next
	next.transaction = scheduler.transaction(next, centres)
	scheduler.stats.Transactions++
	scheduler.emit(Commit{Transaction: next.transaction, Claims: claims})
}

func (scheduler *Scheduler) transaction(next *flight, centres map[ident.DataCentre]struct{}) table.Transaction {
	transaction := table.Transaction{Write: ident.Write(scheduler.name())}
	for index := range next.jobs {
		item := &next.jobs[index]
		key := job.Key(item.view.name)
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: key, Revision: item.view.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: item.snapshot.Encode()})
	}
	for _, name := range set.SortedKeys(next.teams) {
		delta := next.teams[name]
		if delta.IsZero() {
			delete(next.teams, name)
			continue
		}
		team := scheduler.team(name)
		used := team.used.Add(delta)
		if used.Negative() {
			// Someone else changed the counter. It must not stop the recording of ends.
			scheduler.stats.TeamRepairs++
			used = used.Max(unit.Resources{})
		}
		next.teams[name] = used
		key := TeamKey(name)
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: key, Revision: team.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: EncodeTeamUsage(used)})
	}
	seen := make(map[table.Key]struct{})
	for _, name := range set.SortedKeys(centres) {
		centre := scheduler.centres[name]
		if !scheduler.claimable(centre) {
			panic(ErrInvariant{Reason: "claim in data centre " + string(name) + " that is not open"})
		}
		if _, ok := seen[centre.key]; ok {
			continue
		}
		seen[centre.key] = struct{}{}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: centre.key, Revision: centre.revision})
	}
	return transaction
}

// claimReserved turns reservations that agents hold into claims. Claims left from a transaction
// that did not take effect are reviewed as well.
func (scheduler *Scheduler) claimReserved() {
	extra := make(map[ident.Team]unit.Resources)
	for _, name := range set.SortedKeys(scheduler.holding) {
		view := scheduler.holding[name]
		if scheduler.jobs[name] != view || (len(view.claims) == 0 && len(view.reserving) == 0) {
			delete(scheduler.holding, name)
			continue
		}
		scheduler.reviewClaims(view, extra)
		scheduler.claimJob(view, extra)
	}
}

// valid reports whether the hold can still be claimed, and notes its size for the quota.
func (scheduler *Scheduler) valid(held *hold, extra map[ident.Team]unit.Resources) bool {
	spec := &held.view.row.Spec
	if !held.ok || held.view.row.Cancelled || held.incarnation <= held.worker.gone ||
		held.incarnation != held.worker.state.Incarnation ||
		!scheduler.claimable(scheduler.centres[held.worker.state.DataCentre]) ||
		scheduler.now.Sub(held.asked) > scheduler.settings.ReservationTerm-claimReserve {
		return false
	}
	// The usage in the team's row may have grown since the task was chosen.
	want := extra[spec.Team].Add(held.size)
	if reason, ok := scheduler.dependencies.Quotas.Admit(spec.Team, want, spec.Urgent); !ok {
		held.view.reason = "Quota: " + reason
		return false
	}
	extra[spec.Team] = want
	return true
}

func (scheduler *Scheduler) reviewClaims(view *jobView, extra map[ident.Team]unit.Resources) {
	if len(view.claims) == 0 {
		return
	}
	indices := sortedIndices(view.claims)
	var dropped []int
	for _, index := range indices {
		if !scheduler.valid(view.claims[index], extra) {
			dropped = append(dropped, index)
		}
	}
	if len(dropped) == 0 {
		return
	}
	if view.row.Spec.Gang {
		dropped = indices
	}
	for _, index := range dropped {
		held := view.claims[index]
		delete(view.claims, index)
		scheduler.release(held)
	}
	scheduler.rebuild(view)
}

// abandon gives up a task that is reserved or claimed but not in the table.
func (scheduler *Scheduler) abandon(view *jobView, index int) {
	if held, ok := view.reserving[index]; ok {
		delete(view.reserving, index)
		scheduler.release(held)
	}
	if held, ok := view.claims[index]; ok {
		delete(view.claims, index)
		scheduler.release(held)
		scheduler.rebuild(view)
	}
}

func (scheduler *Scheduler) claimJob(view *jobView, extra map[ident.Team]unit.Resources) {
	if len(view.reserving) == 0 {
		return
	}
	indices := sortedIndices(view.reserving)
	if view.row.Spec.Gang && !scheduler.gangReady(view, indices, extra) {
		return
	}
	for _, index := range indices {
		held := view.reserving[index]
		if !held.answered {
			continue
		}
		if !view.row.Spec.Gang && !scheduler.valid(held, extra) {
			delete(view.reserving, index)
			scheduler.release(held)
			continue
		}
		delete(view.reserving, index)
		view.claims[index] = held
		claim := job.Change{
			Step: job.StepClaim, Index: index, Epoch: held.epoch, Size: held.size,
			Placement: job.Placement{Worker: held.worker.name, Incarnation: held.incarnation, DataCentre: held.worker.state.DataCentre},
		}
		if !scheduler.apply(view, claim, "") {
			delete(view.claims, index)
			scheduler.release(held)
		}
	}
}

// gangReady reports whether all waiting tasks of the job are reserved. If one was refused, the
// others are released.
func (scheduler *Scheduler) gangReady(view *jobView, indices []int, extra map[ident.Team]unit.Resources) bool {
	all := len(scheduler.waiting(view)) == 0
	for _, index := range indices {
		if held := view.reserving[index]; !held.answered {
			return false
		}
	}
	for _, index := range indices {
		all = all && scheduler.valid(view.reserving[index], extra)
	}
	if all {
		return true
	}
	for _, index := range indices {
		held := view.reserving[index]
		delete(view.reserving, index)
		scheduler.release(held)
	}
	return false
}

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
	for _, name := range set.SortedKeys(done.teams) {
		scheduler.learnTeam(name, done.teams[name], revisions[TeamKey(name)])
	}
	recorded := make(map[ident.Worker][]TaskRef)
	for index := range done.jobs {
		item := &done.jobs[index]
		view := item.view
		if scheduler.jobs[view.name] != view {
			continue
		}
		view.base, view.revision, view.usage = item.snapshot, revisions[job.Key(view.name)], item.snapshot.Usage()
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
		scheduler.putBack(failed, false)
	default:
		if table.IsErrConflict(event.Err) {
			scheduler.stats.Conflicts++
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
