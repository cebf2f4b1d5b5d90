package placement

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// parkReviewInterval is how often parked jobs are reviewed while the set of workers is unchanged.
const parkReviewInterval = 5 * clock.Second

// handleDrainWorker starts or revokes the drain of one worker.
func (scheduler *Scheduler) handleDrainWorker(event DrainWorker) {
	worker := scheduler.workerView(event.Worker)
	if !event.Drain {
		worker.drainDeadline = 0
		return
	}
	bound := event.Bound
	if bound <= 0 {
		bound = scheduler.settings.DrainBound
	}
	worker.drainDeadline, worker.drainBatchFrom = scheduler.now.Add(bound), scheduler.now.Add(bound/2)
}

// drain evicts tasks from closed data centres and drained workers at a pace that empties them by
// the deadline, so that not all checkpoints and new placements happen at once. Batch tasks stay
// during the first half of the time: many end in it, and while other work waits, a task that moves
// early only takes the room of another.
func (scheduler *Scheduler) drain() {
	for _, name := range set.SortedKeys(scheduler.dataCentres) {
		centre := scheduler.dataCentres[name]
		if centre.open || centre.drainDeadline == 0 {
			continue
		}
		var tasks []*assignedTask
		for _, worker := range scheduler.sortedWorkers {
			if worker.hasState && worker.state.DataCentre == name {
				tasks = worker.drainable(tasks)
			}
		}
		scheduler.drainTasks(tasks, centre.drainBatchFrom, centre.drainDeadline, "DataCentreOut")
	}
	for _, worker := range scheduler.sortedWorkers {
		if worker.drainDeadline != 0 && worker.hasState {
			scheduler.drainTasks(worker.drainable(nil), worker.drainBatchFrom, worker.drainDeadline, "WorkerDrain")
		}
	}
}

// drainable appends the running tasks on the worker that are not being stopped yet.
func (worker *workerView) drainable(tasks []*assignedTask) []*assignedTask {
	for _, task := range worker.assigned {
		state, live := task.view.live[task.index]
		if live && state.stop == nil && task.view.row.Tasks[task.index].State == job.Running {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// drainTasks evicts as many of the tasks as the pace requires and as have room elsewhere. Shortly
// before the deadline it evicts all of them. With Settings.NoDrain it only stops them at the
// deadline.
func (scheduler *Scheduler) drainTasks(tasks []*assignedTask, batchFrom, deadline clock.Time, reason string) {
	remaining := deadline.Sub(scheduler.now) - scheduler.settings.CheckpointBound
	if scheduler.settings.NoDrain {
		if scheduler.now.Before(deadline) {
			return
		}
		for _, task := range tasks {
			task.view.live[task.index].stop = &stopRequest{reason: reason}
			scheduler.unconfirmed[ident.Task{Job: task.view.name, Index: task.index}] = struct{}{}
		}
		return
	}
	if scheduler.now.Before(batchFrom) {
		tasks = slices.DeleteFunc(tasks, func(task *assignedTask) bool { return task.view.row.Spec.Kind == worker.Batch })
	}
	if len(tasks) == 0 {
		return
	}
	slices.SortFunc(tasks, func(first, second *assignedTask) int {
		// Urgent work moves first. Of the rest, the youngest tasks do: the oldest are the most
		// likely to end in time and lose the most if their checkpoint fails.
		return cmp.Or(
			compareBool(second.view.row.Spec.Urgent, first.view.row.Spec.Urgent),
			cmp.Compare(second.liveSince(), first.liveSince()),
			compareTasks(first.id(), second.id()),
		)
	})
	// The pace covers the remaining tasks in four fifths of the remaining time, which leaves the
	// rest for tasks that find no room elsewhere and for repeated stops.
	rounds := max(1, int(remaining*4/5/scheduler.settings.Round))
	evictions := (len(tasks) + rounds - 1) / rounds
	forced := remaining <= scheduler.settings.Round*roundsToPlace(len(tasks), scheduler.settings.MaxStarts)
	rooms := scheduler.roomOnUsableWorkers()
	for _, task := range tasks {
		if evictions <= 0 && !forced {
			return
		}
		if !forced && !rooms.take(task.size) {
			continue
		}
		scheduler.drainedSizes[task.id()] = task.size
		scheduler.evict(task.view, task.index, "Drain", reason)
		evictions--
	}
}

// roundsToPlace returns how many rounds it takes to place count tasks, and at least two.
func roundsToPlace(count, perRound int) clock.Millis {
	return clock.Millis(2 + count/perRound)
}

func (task *assignedTask) id() ident.Task {
	return ident.Task{Job: task.view.name, Index: task.index}
}

// liveSince returns when the placement was claimed, according to this scheduler's view.
func (task *assignedTask) liveSince() clock.Time { return task.view.live[task.index].liveSince }

// freeRooms is the free room of the usable workers. A drain takes from it for each evicted task, so
// that it does not stop more tasks than can run elsewhere.
type freeRooms struct{ free []unit.Resources }

// roomOnUsableWorkers returns the free room less that of drained tasks which are not placed again.
func (scheduler *Scheduler) roomOnUsableWorkers() *freeRooms {
	rooms := &freeRooms{}
	for _, worker := range scheduler.sortedWorkers {
		if scheduler.usable(worker) {
			rooms.free = append(rooms.free, worker.free)
		}
	}
	// Tasks that were evicted before and are not placed again are placed first.
	drained := make([]ident.Task, 0, len(scheduler.drainedSizes))
	for name := range scheduler.drainedSizes {
		drained = append(drained, name)
	}
	sortTasks(drained)
	for _, name := range drained {
		view, ok := scheduler.jobs[name.Job]
		if !ok || view.row.Tasks[name.Index].State != job.Waiting && view.row.Tasks[name.Index].State != job.Evicting {
			delete(scheduler.drainedSizes, name)
			continue
		}
		rooms.take(scheduler.drainedSizes[name])
	}
	return rooms
}

// take takes size from the first worker with room, and returns false if there is none.
func (rooms *freeRooms) take(size unit.Resources) bool {
	for index := range rooms.free {
		if size.FitsIn(rooms.free[index]) {
			rooms.free[index] = rooms.free[index].Sub(size)
			return true
		}
	}
	return false
}

// reviewParked returns parked jobs to the queue once their reason no longer applies.
func (scheduler *Scheduler) reviewParked() {
	if len(scheduler.parked) == 0 || (scheduler.fleetVersion == scheduler.parkReviewVersion && scheduler.now.Sub(scheduler.parkReviewedAt) < parkReviewInterval) {
		return
	}
	scheduler.parkReviewVersion, scheduler.parkReviewedAt = scheduler.fleetVersion, scheduler.now
	for _, name := range set.SortedKeys(scheduler.parked) {
		view := scheduler.parked[name]
		if scheduler.jobs[name] != view || view.row.Cancelled {
			delete(scheduler.parked, name)
			continue
		}
		if _, parked := scheduler.dependencies.Health.Parked(name, scheduler.now); parked {
			continue
		}
		if _, ok := scheduler.couldFit(&view.row.Spec, scheduler.sizeForJob(view)); !ok {
			continue
		}
		delete(scheduler.parked, name)
		for index := range view.row.Tasks {
			if task := &view.row.Tasks[index]; task.State == job.Parked {
				scheduler.applyChange(view, job.Change{Step: job.StepUnpark, Index: index, Epoch: task.Epoch}, "")
			}
		}
	}
}
