package placement

import (
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

// finalKeep is how long a job whose tasks are all final is kept, so that repeated reports of its
// tasks are answered without reading the table.
const finalKeep = 10 * clock.Minute

// load takes over the content of a job's row.
func (scheduler *Scheduler) load(stored table.Row) {
	if !stored.Exists() {
		return
	}
	if known, ok := scheduler.jobs[ident.Job(strings.TrimPrefix(string(stored.Key), job.KeyPrefix))]; ok && stored.Revision <= known.revision {
		if stored.Revision == known.revision {
			known.seenAt = scheduler.now
		}
		return
	}
	decoded, err := job.Decode(stored.Value)
	if err != nil {
		scheduler.stats.BadRows++
		return
	}
	name := decoded.Spec.Job
	view, ok := scheduler.jobs[name]
	if !ok {
		view = &jobView{
			name: name, loadedAt: scheduler.now,
			reserving: make(map[int]*hold), claims: make(map[int]*hold),
			live: make(map[int]*liveTask), occupied: make(map[int]*workerView),
			delay: make(map[int]clock.Time), avoid: make(map[ident.Worker]clock.Time),
		}
		scheduler.jobs[name] = view
		scheduler.refreshes = append(scheduler.refreshes, refresh{view: view, due: scheduler.now.Add(firstRefresh)})
		scheduler.wantTeam(decoded.Spec.Team)
	}
	if scheduler.flying(view) {
		view.later = &stored
		return
	}
	scheduler.rebase(view, decoded, stored.Revision)
}

// rebase replaces the content of the table and applies the changes that are not in it again. Those
// that no longer apply are dropped: someone else made them, or they speak of an older placement.
func (scheduler *Scheduler) rebase(view *jobView, base *job.Row, revision table.Revision) {
	view.base, view.revision = base, revision
	view.seenAt = scheduler.now
	scheduler.rebuild(view)
	if view.lane == nil {
		scheduler.enqueue(view)
	}
}

// rebuild computes the row from base and changes, and the views that depend on it.
func (scheduler *Scheduler) rebuild(view *jobView) {
	view.row = view.base.Clone()
	kept := view.changes[:0]
	claimed := make(map[int]bool)
	for _, pending := range view.changes {
		if pending.Step == job.StepClaim {
			held, ok := view.claims[pending.Index]
			if !ok || !held.matches(&view.row.Tasks[pending.Index]) {
				continue
			}
		}
		if err := view.row.Apply(pending.Change); err != nil {
			continue
		}
		if pending.Step == job.StepClaim {
			claimed[pending.Index] = true
		}
		kept = append(kept, pending)
	}
	clear(view.changes[len(kept):])
	view.changes = kept
	for _, index := range sortedIndices(view.claims) {
		if !claimed[index] {
			scheduler.release(view.claims[index])
			delete(view.claims, index)
		}
	}
	for _, index := range sortedIndices(view.reserving) {
		held := view.reserving[index]
		if !held.matches(&view.row.Tasks[index]) {
			scheduler.release(held)
			delete(view.reserving, index)
		}
	}
	scheduler.syncLive(view)
	view.stale = true
	scheduler.noteQueue(view)
}

// syncLive makes live, open and occupied match the row.
func (scheduler *Scheduler) syncLive(view *jobView) {
	for index := range view.row.Tasks {
		task := &view.row.Tasks[index]
		_, reserving := view.reserving[index]
		_, claiming := view.claims[index]
		if reserving || claiming {
			continue
		}
		if task.State == job.Parked {
			scheduler.parked[view.name] = view
		}
		if !task.State.Live() {
			delete(view.live, index)
			scheduler.vacate(view, index)
			continue
		}
		worker := scheduler.worker(task.Placement.Worker)
		if view.occupied[index] != worker {
			scheduler.occupy(view, index, worker, task.Size)
		}
		state, ok := view.live[index]
		if !ok || state.epoch != task.Epoch {
			// A claim found in the table may belong to another scheduler whose start is under way.
			// Asking once its reservation has expired does not disturb it.
			state = &liveTask{
				epoch: task.Epoch, resolved: task.State != job.Claimed, since: scheduler.now,
				asked: scheduler.now + clock.Time(scheduler.settings.ReservationTerm-scheduler.settings.Retry),
			}
			view.live[index] = state
		}
		if task.State == job.Evicting && state.stop == nil {
			state.stop = &stopping{checkpoint: true, reason: "Evicting"}
		}
		if !state.resolved || state.stop != nil || view.row.Cancelled || task.Placement.Incarnation != worker.state.Incarnation {
			scheduler.open[ident.Task{Job: view.name, Index: index}] = struct{}{}
		}
	}
}

// apply changes the row and remembers the change until it is in the table. It reports whether the
// change applied.
func (scheduler *Scheduler) apply(view *jobView, wanted job.Change, report ident.Worker) bool {
	var before job.Task
	if wanted.Step != job.StepCancel {
		if wanted.Index < 0 || wanted.Index >= len(view.row.Tasks) {
			return false
		}
		before = view.row.Tasks[wanted.Index]
	}
	if err := view.row.Apply(wanted); err != nil {
		return false
	}
	view.changes = append(view.changes, change{Change: wanted, report: report})
	if !view.dirty {
		view.dirty = true
		scheduler.dirty = append(scheduler.dirty, view)
	}
	view.stale = true
	if wanted.Step != job.StepCancel && wanted.Step != job.StepClaim {
		after := &view.row.Tasks[wanted.Index]
		if before.State.Live() && !after.State.Live() {
			worker := view.occupied[wanted.Index]
			scheduler.vacate(view, wanted.Index)
			delete(view.live, wanted.Index)
			delete(scheduler.open, ident.Task{Job: view.name, Index: wanted.Index})
			if worker != nil && wanted.Step != job.StepLose {
				worker.giveBack(before.Size)
			}
		}
	}
	scheduler.noteQueue(view)
	return true
}

// drop forgets a job that has another home now.
func (scheduler *Scheduler) drop(name ident.Job) {
	view, ok := scheduler.jobs[name]
	if !ok {
		return
	}
	for _, holds := range []map[int]*hold{view.reserving, view.claims} {
		for _, index := range sortedIndices(holds) {
			scheduler.release(holds[index])
		}
		clear(holds)
	}
	for _, index := range sortedIndices(view.occupied) {
		scheduler.vacate(view, index)
		delete(scheduler.open, ident.Task{Job: name, Index: index})
	}
	if view.lane != nil {
		scheduler.unqueue(view)
	}
	view.changes, view.dirty = nil, false
	delete(scheduler.jobs, name)
}

// cancel cancels the job. Live tasks are stopped with the next round.
func (scheduler *Scheduler) cancel(name ident.Job) {
	view, ok := scheduler.jobs[name]
	if !ok || view.row.Cancelled {
		return
	}
	for _, index := range sortedIndices(view.reserving) {
		scheduler.release(view.reserving[index])
		delete(view.reserving, index)
	}
	if !scheduler.flying(view) {
		for _, index := range sortedIndices(view.claims) {
			scheduler.abandon(view, index)
		}
	}
	scheduler.apply(view, job.Change{Step: job.StepCancel}, "")
	for index := range view.live {
		scheduler.open[ident.Task{Job: name, Index: index}] = struct{}{}
	}
	scheduler.emit(Decision{Kind: "Cancel", Task: ident.Task{Job: name}, Reason: "Cancelled"})
}

// retire forgets jobs whose tasks have all been final for some time.
func (scheduler *Scheduler) retire() {
	for len(scheduler.retired) > 0 {
		view := scheduler.retired[0]
		if scheduler.jobs[view.name] == view && scheduler.now.Sub(view.finalAt) < finalKeep {
			return
		}
		scheduler.retired = scheduler.retired[1:]
		if scheduler.jobs[view.name] == view && !view.dirty && view.row.Final() {
			scheduler.drop(view.name)
		}
	}
}
