package placement

import (
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

// finalJobRetention is how long a job stays in memory after all its tasks became final, so that
// repeated reports of its tasks are answered without reading the table.
const finalJobRetention = 10 * clock.Minute

// loadJob applies the content of a job's row. It ignores older revisions than the loaded one, and
// defers a newer one while the job is part of a pending transaction.
func (scheduler *Scheduler) loadJob(row table.Row) {
	if !row.Exists() {
		return
	}
	if view, ok := scheduler.jobs[ident.Job(strings.TrimPrefix(string(row.Key), job.KeyPrefix))]; ok && row.Revision <= view.revision {
		if row.Revision == view.revision {
			view.revisionSeenAt = scheduler.now
		}
		return
	}
	content, err := job.Decode(row.Value)
	if err != nil {
		scheduler.stats.BadRows++
		return
	}
	name := content.Spec.Job
	view, ok := scheduler.jobs[name]
	if !ok {
		view = &jobView{
			name: name, loadedAt: scheduler.now,
			holds: make(map[int]*taskHold), claims: make(map[int]*taskHold),
			live: make(map[int]*liveTask), assignedTo: make(map[int]*workerView),
			retryAt: make(map[int]clock.Time), avoidUntil: make(map[ident.Worker]clock.Time),
		}
		scheduler.jobs[name] = view
		scheduler.refreshQueue = append(scheduler.refreshQueue, rowRefresh{view: view, due: scheduler.now.Add(firstRefreshDelay)})
		scheduler.requestTeam(content.Spec.Team)
	}
	if scheduler.inTransaction(view) {
		view.newerRow = &row
		return
	}
	scheduler.rebase(view, content, row.Revision)
}

// rebase replaces the base content and applies the uncommitted changes to it again. Changes that no
// longer apply are removed: someone else made them, or they concern an older placement.
func (scheduler *Scheduler) rebase(view *jobView, base *job.Row, revision table.Revision) {
	if view.base != nil {
		// The row's writer has counted the wait up to its write, so that time must not be added again.
		waited := max(scheduler.waitingTime(view), base.Waited)
		view.loadedAt = scheduler.now.Add(base.Waited - waited)
	}
	view.base, view.revision = base, revision
	view.revisionSeenAt = scheduler.now
	scheduler.rebuildRow(view)
	if view.queue == nil {
		scheduler.assignQueue(view)
	}
}

// rebuildRow computes the row from base and changes, and updates what depends on it. It releases
// holds and claims that no longer match the row.
func (scheduler *Scheduler) rebuildRow(view *jobView) {
	view.row = view.base.Clone()
	changes := view.changes[:0]
	claimed := make(map[int]bool)
	for _, change := range view.changes {
		if change.Step == job.StepClaim {
			hold, ok := view.claims[change.Index]
			if !ok || !hold.matches(&view.row.Tasks[change.Index]) {
				continue
			}
		}
		if err := view.row.Apply(change.Change); err != nil {
			continue
		}
		if change.Step == job.StepClaim {
			claimed[change.Index] = true
		}
		changes = append(changes, change)
	}
	clear(view.changes[len(changes):])
	view.changes = changes
	for _, index := range sortedIndices(view.claims) {
		if !claimed[index] {
			scheduler.releaseHold(view.claims[index])
			delete(view.claims, index)
		}
	}
	for _, index := range sortedIndices(view.holds) {
		hold := view.holds[index]
		if !hold.matches(&view.row.Tasks[index]) {
			scheduler.releaseHold(hold)
			delete(view.holds, index)
		}
	}
	scheduler.syncLive(view)
	view.waitingStale = true
	scheduler.markQueueDirty(view)
}

// syncLive updates live, assignedTo, and the scheduler's unconfirmed and parked sets to match the
// row.
func (scheduler *Scheduler) syncLive(view *jobView) {
	for index := range view.row.Tasks {
		task := &view.row.Tasks[index]
		_, held := view.holds[index]
		_, claimed := view.claims[index]
		if held || claimed {
			continue
		}
		if task.State == job.Parked {
			scheduler.parked[view.name] = view
		}
		if !task.State.Live() {
			delete(view.live, index)
			scheduler.unassignTask(view, index)
			continue
		}
		worker := scheduler.workerView(task.Placement.Worker)
		if view.assignedTo[index] != worker {
			scheduler.assignTask(view, index, worker, task.Size)
		}
		live, ok := view.live[index]
		if !ok || live.epoch != task.Epoch {
			// The claim may be of another scheduler that is just starting the task. Asking only
			// after its reservation has expired does not interfere with that start.
			live = &liveTask{
				epoch: task.Epoch, startConfirmed: task.State != job.Claimed, liveSince: scheduler.now,
				startSentAt: scheduler.now + clock.Time(scheduler.settings.ReservationTerm-scheduler.settings.Retry),
			}
			view.live[index] = live
		}
		if task.State == job.Evicting && live.stop == nil {
			live.stop = &stopRequest{checkpoint: true, reason: "Evicting"}
		}
		if !live.startConfirmed || live.stop != nil || view.row.Cancelled || task.Placement.Incarnation != worker.state.Incarnation {
			scheduler.unconfirmed[ident.Task{Job: view.name, Index: index}] = struct{}{}
		}
	}
}

// applyChange applies the change to the row and keeps it until it is in the table. It returns false
// if the change does not apply. A reporter is sent Recorded once the change is committed.
func (scheduler *Scheduler) applyChange(view *jobView, newChange job.Change, reporter ident.Worker) bool {
	var before job.Task
	if newChange.Step != job.StepCancel {
		if newChange.Index < 0 || newChange.Index >= len(view.row.Tasks) {
			return false
		}
		before = view.row.Tasks[newChange.Index]
	}
	if err := view.row.Apply(newChange); err != nil {
		return false
	}
	view.changes = append(view.changes, change{Change: newChange, reporter: reporter})
	if !view.dirty {
		view.dirty = true
		scheduler.dirty = append(scheduler.dirty, view)
	}
	view.waitingStale = true
	if newChange.Step != job.StepCancel && newChange.Step != job.StepClaim {
		after := &view.row.Tasks[newChange.Index]
		if before.State.Live() && !after.State.Live() {
			worker := view.assignedTo[newChange.Index]
			scheduler.unassignTask(view, newChange.Index)
			delete(view.live, newChange.Index)
			delete(scheduler.unconfirmed, ident.Task{Job: view.name, Index: newChange.Index})
			if worker != nil && newChange.Step != job.StepLose {
				worker.addFree(before.Size)
			}
		}
	}
	scheduler.markQueueDirty(view)
	return true
}

// removeJob removes a job of which this entry is no longer home, and releases its holds.
func (scheduler *Scheduler) removeJob(name ident.Job) {
	view, ok := scheduler.jobs[name]
	if !ok {
		return
	}
	for _, holds := range []map[int]*taskHold{view.holds, view.claims} {
		for _, index := range sortedIndices(holds) {
			scheduler.releaseHold(holds[index])
		}
		clear(holds)
	}
	for _, index := range sortedIndices(view.assignedTo) {
		scheduler.unassignTask(view, index)
		delete(scheduler.unconfirmed, ident.Task{Job: name, Index: index})
	}
	if view.queue != nil {
		scheduler.dequeue(view)
	}
	view.changes, view.dirty = nil, false
	delete(scheduler.jobs, name)
}

// cancelJob cancels the job. Live tasks are stopped in the next round.
func (scheduler *Scheduler) cancelJob(name ident.Job) {
	view, ok := scheduler.jobs[name]
	if !ok || view.row.Cancelled {
		return
	}
	for _, index := range sortedIndices(view.holds) {
		scheduler.releaseHold(view.holds[index])
		delete(view.holds, index)
	}
	if !scheduler.inTransaction(view) {
		for _, index := range sortedIndices(view.claims) {
			scheduler.abandonTask(view, index)
		}
	}
	scheduler.applyChange(view, job.Change{Step: job.StepCancel}, "")
	for index := range view.live {
		scheduler.unconfirmed[ident.Task{Job: name, Index: index}] = struct{}{}
	}
	scheduler.emit(Decision{Kind: "Cancel", Task: ident.Task{Job: name}, Reason: "Cancelled"})
}

// removeFinalJobs removes jobs whose tasks have all been final for finalJobRetention.
func (scheduler *Scheduler) removeFinalJobs() {
	for len(scheduler.finalJobs) > 0 {
		view := scheduler.finalJobs[0]
		if scheduler.jobs[view.name] == view && scheduler.now.Sub(view.finalAt) < finalJobRetention {
			return
		}
		scheduler.finalJobs = scheduler.finalJobs[1:]
		if scheduler.jobs[view.name] == view && !view.dirty && view.row.Final() {
			scheduler.removeJob(view.name)
		}
	}
}
