package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// transferTimeout is how long a moved task waits for its place. A standing task must start within 3 s after it became
// ready if any worker has room for it.
const transferTimeout = 1500 * clock.Millisecond

// transfer is the move of a standing task to another worker. Its resources are held there until it starts, so that no
// other task takes the room that a move in the opposite direction leaves.
type transfer struct {
	target *workerState
	held   unit.Resources
	until  clock.Time
}

// transferRun stops a run and holds room for its task on the target.
func (scheduler *Scheduler) transferRun(run *activeRun, target *workerState, reason StopReason, now clock.Time) {
	scheduler.holdRoom(run.name, run.step, target, now)
	scheduler.stopRun(run, reason)
}

// holdRoom holds room for a standing task on the target.
func (scheduler *Scheduler) holdRoom(name workflow.Name, step *workflow.Step, target *workerState, now clock.Time) {
	held := step.Reserved()
	target.reserved = target.reserved.Add(held)
	scheduler.transfers[name] = &transfer{target: target, held: held, until: now.Add(transferTimeout)}
}

// endTransfer releases what is held for a task.
func (scheduler *Scheduler) endTransfer(name workflow.Name) {
	if transfer, ok := scheduler.transfers[name]; ok {
		transfer.target.reserved = transfer.target.reserved.Sub(transfer.held)
		delete(scheduler.transfers, name)
	}
}

// expireTransfers releases what is held for tasks that did not get their place in time.
func (scheduler *Scheduler) expireTransfers(now clock.Time) {
	for name, transfer := range scheduler.transfers {
		if !now.Before(transfer.until) {
			scheduler.endTransfer(name)
			scheduler.dirty = true
		}
	}
}

// transferTarget returns the worker that a task is moved to once it has room, which ends the transfer. It reports
// whether the task must wait for that.
func (scheduler *Scheduler) transferTarget(record *jobRecord, name workflow.Name, now clock.Time) (target *workerState, waits bool) {
	transfer, ok := scheduler.transfers[name]
	if !ok {
		return nil, false
	}
	step := &record.job.Spec.Steps[name.Step]
	target = transfer.target
	if scheduler.workers[target.Incarnation] != target || !scheduler.mayPlace(record, step, target, now) {
		scheduler.endTransfer(name)
		return nil, false
	}
	if !target.reserved.FitsIn(target.Capacity) || step.PerWorker > 0 && target.stepRuns(name) >= step.PerWorker {
		return nil, true // The task that moves away has not ended yet.
	}
	scheduler.endTransfer(name)
	return target, false
}
