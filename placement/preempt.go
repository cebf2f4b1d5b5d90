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

// victim is a task that may be evicted for urgent work: a task of this scheduler's jobs, or a
// resident.
type victim struct {
	view     *jobView
	index    int
	resident *Resident
	size     unit.Resources
	// priority and liveSince order the victims: the least important first, then the youngest, which
	// loses the least work if its checkpoint fails.
	priority  int
	liveSince clock.Time
}

// maxPreemptions bounds the tasks of one job for which room is made in one round.
const maxPreemptions = 128

// preemptionPlan is the state of one preemption. extraRoom is the room that the chosen victims will
// leave on a worker beyond what is free, less what is intended for waiting tasks.
type preemptionPlan struct {
	extraRoom        map[*workerView]unit.Resources
	evictedResidents map[ident.Task]bool
}

// preempt evicts tasks to make room for the waiting tasks of an urgent job. The workers are kept
// free for the job until the evictions must have completed.
func (scheduler *Scheduler) preempt(view *jobView) {
	if !view.row.Spec.Urgent || scheduler.now.Before(view.preemptRetryAt) {
		return
	}
	size := scheduler.sizeForJob(view)
	plan := preemptionPlan{extraRoom: make(map[*workerView]unit.Resources), evictedResidents: make(map[ident.Task]bool)}
	var stops messageGroups
	until := scheduler.now.Add(scheduler.settings.CheckpointBound + 3*scheduler.settings.Round)
	for range min(len(scheduler.waitingTasks(view)), maxPreemptions) {
		best, victims := scheduler.cheapestWorker(view, size, plan)
		if best == nil {
			break
		}
		best.keptFreeFor, best.keptFreeUntil = view.name, until
		view.preemptRetryAt = until
		room := plan.extraRoom[best].Sub(size)
		for _, victim := range victims {
			room = room.Add(victim.size)
			if victim.resident != nil {
				plan.evictedResidents[victim.resident.Task] = true
			}
			scheduler.evictVictim(best, victim, &stops)
		}
		plan.extraRoom[best] = room
	}
	scheduler.emitMessages(nil, &stops)
}

// cheapestWorker returns the worker on which the fewest tasks must be evicted, among the first
// Settings.Candidates on which it is possible, and these tasks.
func (scheduler *Scheduler) cheapestWorker(view *jobView, size unit.Resources, plan preemptionPlan) (*workerView, []victim) {
	var best *workerView
	var bestVictims []victim
	feasible, count := 0, len(scheduler.sortedWorkers)
	offset := scheduler.random.IntN(max(1, count))
	for step := 0; step < count && feasible < scheduler.settings.Candidates; step++ {
		candidate := scheduler.sortedWorkers[(offset+step)%count]
		if !size.FitsIn(candidate.state.Capacity) || !view.row.Spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) ||
			!scheduler.mayUseState(view, candidate) ||
			(candidate.keptFreeFor != "" && candidate.keptFreeFor != view.name && scheduler.now.Before(candidate.keptFreeUntil)) {
			continue
		}
		victims, ok := scheduler.victimsOn(candidate, size, plan)
		if !ok {
			continue
		}
		feasible++
		if best == nil || len(victims) < len(bestVictims) {
			best, bestVictims = candidate, victims
			if len(victims) <= 1 {
				break
			}
		}
	}
	return best, bestVictims
}

// victimsOn returns tasks whose eviction makes room for size, and false if that is impossible.
func (scheduler *Scheduler) victimsOn(candidate *workerView, size unit.Resources, plan preemptionPlan) ([]victim, bool) {
	room := candidate.free.Add(plan.extraRoom[candidate])
	if size.FitsIn(room) {
		return nil, true
	}
	var evictable []victim
	sum := room
	for _, assigned := range candidate.assigned {
		view, index := assigned.view, assigned.index
		task := &view.row.Tasks[index]
		state, live := view.live[index]
		if !live || !state.startConfirmed || state.stop != nil || task.State != job.Running || view.row.Spec.Urgent ||
			view.row.Spec.Kind != worker.Batch || task.Evictions >= scheduler.settings.MaxEvictions {
			continue
		}
		evictable = append(evictable, victim{view: view, index: index, size: task.Size, priority: view.row.Spec.Priority, liveSince: state.liveSince})
		sum = sum.Add(task.Size)
	}
	for index := range candidate.state.Residents {
		resident := &candidate.state.Residents[index]
		if resident.Preemptible && !plan.evictedResidents[resident.Task] {
			evictable = append(evictable, victim{resident: resident, size: resident.Size})
			sum = sum.Add(resident.Size)
		}
	}
	if !size.FitsIn(sum) {
		return nil, false
	}
	slices.SortFunc(evictable, func(first, second victim) int {
		return cmp.Or(
			cmp.Compare(first.priority, second.priority), cmp.Compare(second.liveSince, first.liveSince),
			compareTasks(first.task(), second.task()),
		)
	})
	var chosen []victim
	for _, next := range evictable {
		if size.FitsIn(room) {
			break
		}
		if shortfall := size.Sub(room).Max(unit.Resources{}); next.size.Min(shortfall).IsZero() {
			continue
		}
		room = room.Add(next.size)
		chosen = append(chosen, next)
	}
	// A later, larger victim may have made earlier ones unnecessary.
	for index := 0; index < len(chosen); {
		if remaining := room.Sub(chosen[index].size); size.FitsIn(remaining) {
			room = remaining
			chosen = slices.Delete(chosen, index, index+1)
			continue
		}
		index++
	}
	return chosen, size.FitsIn(room)
}

func (victim victim) task() ident.Task {
	if victim.resident != nil {
		return victim.resident.Task
	}
	return ident.Task{Job: victim.view.name, Index: victim.index}
}

// evictVictim stops a victim after a checkpoint. If it is a task of another scheduler's job, the
// home of that job receives the agent's report.
func (scheduler *Scheduler) evictVictim(worker *workerView, victim victim, stops *messageGroups) {
	scheduler.stats.Preemptions++
	key := messageKey{worker: worker.name, incarnation: worker.state.Incarnation, checkpoint: true, reason: "Preempted"}
	if victim.resident != nil {
		scheduler.emit(Decision{Kind: "Preempt", Task: victim.resident.Task, Epoch: victim.resident.Epoch, Worker: worker.name, Size: victim.size, Reason: "Preempted"})
		stops.add(key, TaskRef{Task: victim.resident.Task, Epoch: victim.resident.Epoch})
		return
	}
	scheduler.evict(victim.view, victim.index, "Preempt", "Preempted")
	state := victim.view.live[victim.index]
	if state.stop == nil {
		return
	}
	scheduler.sendStop(state.stop, worker, worker.state.Incarnation, TaskRef{Task: victim.task(), Epoch: victim.view.row.Tasks[victim.index].Epoch}, stops)
}

// residentStopped adds the room of another scheduler's task that was stopped.
func (scheduler *Scheduler) residentStopped(worker *workerView, result StopResult) {
	for index := range worker.state.Residents {
		if resident := &worker.state.Residents[index]; resident.Task == result.Task && resident.Epoch == result.Epoch {
			worker.addFree(resident.Size)
			worker.state.Residents = slices.Delete(slices.Clone(worker.state.Residents), index, index+1)
			worker.classesStale = true
			return
		}
	}
}
