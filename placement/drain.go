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

// parkReview is how often jobs set aside for another reason than room are looked at.
const parkReview = 5 * clock.Second

// drainWorker takes an operator's request for one worker.
func (scheduler *Scheduler) drainWorker(event DrainWorker) {
	at := scheduler.worker(event.Worker)
	if !event.Drain {
		at.drainAt = 0
		return
	}
	bound := event.Bound
	if bound <= 0 {
		bound = scheduler.settings.DrainBound
	}
	at.drainAt, at.drainHalf = scheduler.now.Add(bound), scheduler.now.Add(bound/2)
}

// drain evicts tasks from closed data centres and drained workers at a pace that empties them
// within the bound, so that not all checkpoints and new placements come at once. Batch tasks are left
// alone in the first half of the bound: many end in it, and while work waits elsewhere, a task that
// moves early only takes the room of another.
func (scheduler *Scheduler) drain() {
	for _, name := range set.SortedKeys(scheduler.centres) {
		centre := scheduler.centres[name]
		if centre.open || centre.drainAt == 0 {
			continue
		}
		var tasks []*occupant
		for _, at := range scheduler.order {
			if at.known && at.state.DataCentre == name {
				tasks = at.drainable(tasks)
			}
		}
		scheduler.drainTasks(tasks, centre.drainHalf, centre.drainAt, "DataCentreOut")
	}
	for _, at := range scheduler.order {
		if at.drainAt != 0 && at.known {
			scheduler.drainTasks(at.drainable(nil), at.drainHalf, at.drainAt, "WorkerDrain")
		}
	}
}

// drainable appends the running tasks that are not being stopped yet.
func (at *workerView) drainable(tasks []*occupant) []*occupant {
	for _, occupant := range at.occupants {
		state, live := occupant.view.live[occupant.index]
		if live && state.stop == nil && occupant.view.row.Tasks[occupant.index].State == job.Running {
			tasks = append(tasks, occupant)
		}
	}
	return tasks
}

func (scheduler *Scheduler) drainTasks(tasks []*occupant, half, until clock.Time, reason string) {
	left := until.Sub(scheduler.now) - scheduler.settings.CheckpointBound
	if scheduler.settings.NoDrain {
		if scheduler.now.Before(until) {
			return
		}
		for _, occupant := range tasks {
			occupant.view.live[occupant.index].stop = &stopping{reason: reason}
			scheduler.open[ident.Task{Job: occupant.view.name, Index: occupant.index}] = struct{}{}
		}
		return
	}
	if scheduler.now.Before(half) {
		tasks = slices.DeleteFunc(tasks, func(occupant *occupant) bool { return occupant.view.row.Spec.Kind == worker.Batch })
	}
	if len(tasks) == 0 {
		return
	}
	slices.SortFunc(tasks, func(first, second *occupant) int {
		// Work that someone waits for moves first. Of the rest, the youngest do: the oldest are the most
		// likely to end in time and lose the most if their checkpoint fails.
		return cmp.Or(
			compareBool(second.view.row.Spec.Urgent, first.view.row.Spec.Urgent),
			cmp.Compare(second.since(), first.since()),
			compareTasks(first.name(), second.name()),
		)
	})
	// The pace covers the remaining tasks in four fifths of the remaining time, which leaves the
	// rest for tasks that find no room elsewhere and for repeated stops.
	rounds := max(1, int(left*4/5/scheduler.settings.Round))
	pace := (len(tasks) + rounds - 1) / rounds
	forced := left <= scheduler.settings.Round*roundsFor(len(tasks), scheduler.settings.MaxStarts)
	room := scheduler.roomElsewhere()
	for _, occupant := range tasks {
		if pace <= 0 && !forced {
			return
		}
		if !forced && !room.take(occupant.size) {
			continue
		}
		scheduler.moved[occupant.name()] = occupant.size
		scheduler.evict(occupant.view, occupant.index, "Drain", reason)
		pace--
	}
}

// roundsFor returns how many rounds it takes to place count tasks, at least two.
func roundsFor(count, perRound int) clock.Millis {
	return clock.Millis(2 + count/perRound)
}

func (occupant *occupant) name() ident.Task {
	return ident.Task{Job: occupant.view.name, Index: occupant.index}
}

// since returns when the placement was claimed, as far as this scheduler knows.
func (occupant *occupant) since() clock.Time { return occupant.view.live[occupant.index].since }

// elsewhere is the free room of usable workers, consumed as tasks are evicted, so that a drain does
// not stop more tasks than can run on.
type elsewhere struct{ rooms []unit.Resources }

func (scheduler *Scheduler) roomElsewhere() *elsewhere {
	rooms := &elsewhere{}
	for _, at := range scheduler.order {
		if scheduler.usable(at) {
			rooms.rooms = append(rooms.rooms, at.free)
		}
	}
	// Tasks that were moved before and are not placed again need room first.
	moved := make([]ident.Task, 0, len(scheduler.moved))
	for name := range scheduler.moved {
		moved = append(moved, name)
	}
	sortTasks(moved)
	for _, name := range moved {
		view, ok := scheduler.jobs[name.Job]
		if !ok || view.row.Tasks[name.Index].State != job.Waiting && view.row.Tasks[name.Index].State != job.Evicting {
			delete(scheduler.moved, name)
			continue
		}
		rooms.take(scheduler.moved[name])
	}
	return rooms
}

func (rooms *elsewhere) take(size unit.Resources) bool {
	for index := range rooms.rooms {
		if size.FitsIn(rooms.rooms[index]) {
			rooms.rooms[index] = rooms.rooms[index].Sub(size)
			return true
		}
	}
	return false
}

// reviewParked returns jobs to the queue whose reason no longer holds.
func (scheduler *Scheduler) reviewParked() {
	if len(scheduler.parked) == 0 || (scheduler.shape == scheduler.parkShape && scheduler.now.Sub(scheduler.parkedAt) < parkReview) {
		return
	}
	scheduler.parkShape, scheduler.parkedAt = scheduler.shape, scheduler.now
	for _, name := range set.SortedKeys(scheduler.parked) {
		view := scheduler.parked[name]
		if scheduler.jobs[name] != view || view.row.Cancelled {
			delete(scheduler.parked, name)
			continue
		}
		if _, blocked := scheduler.dependencies.Health.Blocked(name, scheduler.now); blocked {
			continue
		}
		if _, ok := scheduler.fitsEver(&view.row.Spec, scheduler.sizeOf(view)); !ok {
			continue
		}
		delete(scheduler.parked, name)
		for index := range view.row.Tasks {
			if task := &view.row.Tasks[index]; task.State == job.Parked {
				scheduler.apply(view, job.Change{Step: job.StepUnpark, Index: index, Epoch: task.Epoch}, "")
			}
		}
	}
}
