package placement

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// victim is a task that urgent work may displace.
type victim struct {
	view    *jobView
	index   int
	foreign *Resident
	size    unit.Resources
	// priority and since order the victims: least important first, then the youngest, which loses
	// the least work if its checkpoint fails.
	priority int
	since    clock.Time
}

// maxPreemptions bounds the tasks for which room is made for one job in one round.
const maxPreemptions = 128

// plan is the room that the victims chosen so far will leave beyond what is free, less what is
// promised to waiting tasks.
type plan struct {
	extra   map[*workerView]unit.Resources
	foreign map[ident.Task]bool
}

// preempt makes room for the waiting tasks of an urgent job. The workers are kept free for the job
// until its tasks are placed.
func (scheduler *Scheduler) preempt(view *jobView) {
	if !view.row.Spec.Urgent || scheduler.now.Before(view.preemptUntil) {
		return
	}
	size := scheduler.sizeOf(view)
	planned := plan{extra: make(map[*workerView]unit.Resources), foreign: make(map[ident.Task]bool)}
	var stops messages
	until := scheduler.now.Add(scheduler.settings.CheckpointBound + 3*scheduler.settings.Round)
	for range min(len(scheduler.waiting(view)), maxPreemptions) {
		best, victims := scheduler.cheapest(view, size, planned)
		if best == nil {
			break
		}
		best.heldFor, best.heldUntil = view.name, until
		view.preemptUntil = until
		room := planned.extra[best].Sub(size)
		for _, chosen := range victims {
			room = room.Add(chosen.size)
			if chosen.foreign != nil {
				planned.foreign[chosen.foreign.Task] = true
			}
			scheduler.displace(best, chosen, &stops)
		}
		planned.extra[best] = room
	}
	scheduler.emitMessages(nil, &stops)
}

// cheapest returns the worker on which the fewest tasks must be displaced, among the first few on
// which it is possible.
func (scheduler *Scheduler) cheapest(view *jobView, size unit.Resources, planned plan) (*workerView, []victim) {
	var best *workerView
	var bestVictims []victim
	possible, count := 0, len(scheduler.order)
	offset := scheduler.random.IntN(max(1, count))
	for step := 0; step < count && possible < scheduler.settings.Candidates; step++ {
		candidate := scheduler.order[(offset+step)%count]
		if !size.FitsIn(candidate.state.Capacity) || !view.row.Spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) ||
			!scheduler.believes(view, candidate) ||
			(candidate.heldFor != "" && candidate.heldFor != view.name && scheduler.now.Before(candidate.heldUntil)) {
			continue
		}
		victims, ok := scheduler.victims(candidate, size, planned)
		if !ok {
			continue
		}
		possible++
		if best == nil || len(victims) < len(bestVictims) {
			best, bestVictims = candidate, victims
			if len(victims) <= 1 {
				break
			}
		}
	}
	return best, bestVictims
}

// victims returns tasks whose displacement makes room for size, and false if that is impossible.
func (scheduler *Scheduler) victims(candidate *workerView, size unit.Resources, planned plan) ([]victim, bool) {
	room := candidate.free.Add(planned.extra[candidate])
	if size.FitsIn(room) {
		return nil, true
	}
	var possible []victim
	sum := room
	for _, occupant := range candidate.occupants {
		view, index := occupant.view, occupant.index
		task := &view.row.Tasks[index]
		state, live := view.live[index]
		if !live || !state.resolved || state.stop != nil || task.State != job.Running || view.row.Spec.Urgent ||
			view.row.Spec.Kind != worker.Batch || task.Evictions >= scheduler.settings.MaxEvictions {
			continue
		}
		possible = append(possible, victim{view: view, index: index, size: task.Size, priority: view.row.Spec.Priority, since: state.since})
		sum = sum.Add(task.Size)
	}
	for index := range candidate.state.Residents {
		resident := &candidate.state.Residents[index]
		if resident.Preemptible && !planned.foreign[resident.Task] {
			possible = append(possible, victim{foreign: resident, size: resident.Size})
			sum = sum.Add(resident.Size)
		}
	}
	if !size.FitsIn(sum) {
		return nil, false
	}
	slices.SortFunc(possible, func(first, second victim) int {
		return cmp.Or(
			cmp.Compare(first.priority, second.priority), cmp.Compare(second.since, first.since),
			compareTasks(first.task(), second.task()),
		)
	})
	var chosen []victim
	for _, next := range possible {
		if size.FitsIn(room) {
			break
		}
		if lacking := size.Sub(room).Max(unit.Resources{}); next.size.Min(lacking).IsZero() {
			continue
		}
		room = room.Add(next.size)
		chosen = append(chosen, next)
	}
	// A later, larger victim may have made earlier ones unnecessary.
	for index := 0; index < len(chosen); {
		if smaller := room.Sub(chosen[index].size); size.FitsIn(smaller) {
			room = smaller
			chosen = slices.Delete(chosen, index, index+1)
			continue
		}
		index++
	}
	return chosen, size.FitsIn(room)
}

func (chosen victim) task() ident.Task {
	if chosen.foreign != nil {
		return chosen.foreign.Task
	}
	return ident.Task{Job: chosen.view.name, Index: chosen.index}
}

// displace stops a victim after a checkpoint. The home of another scheduler's job learns of it from
// the agent's report.
func (scheduler *Scheduler) displace(at *workerView, chosen victim, stops *messages) {
	scheduler.stats.Preemptions++
	group := message{worker: at.name, incarnation: at.state.Incarnation, checkpoint: true, reason: "Preempted"}
	if chosen.foreign != nil {
		scheduler.emit(Decision{Kind: "Preempt", Task: chosen.foreign.Task, Epoch: chosen.foreign.Epoch, Worker: at.name, Size: chosen.size, Reason: "Preempted"})
		stops.add(group, TaskRef{Task: chosen.foreign.Task, Epoch: chosen.foreign.Epoch})
		return
	}
	scheduler.evict(chosen.view, chosen.index, "Preempt", "Preempted")
	state := chosen.view.live[chosen.index]
	if state.stop == nil {
		return
	}
	scheduler.resolveStop(state.stop, at, at.state.Incarnation, TaskRef{Task: chosen.task(), Epoch: chosen.view.row.Tasks[chosen.index].Epoch}, stops)
}

// foreignStopped notes the room that the stop of another scheduler's task made.
func (scheduler *Scheduler) foreignStopped(at *workerView, result StopResult) {
	for index := range at.state.Residents {
		if resident := &at.state.Residents[index]; resident.Task == result.Task && resident.Epoch == result.Epoch {
			at.giveBack(resident.Size)
			at.state.Residents = slices.Delete(slices.Clone(at.state.Residents), index, index+1)
			at.stale = true
			return
		}
	}
}
