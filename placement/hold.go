package placement

import (
	"slices"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
)

// undo takes back reservations of a gang that were noted in this pass and not asked yet.
func (scheduler *Scheduler) undo(holds []*hold, pass *search) {
	for _, held := range holds {
		batch := pass.byName[held.worker]
		batch.holds = slices.DeleteFunc(batch.holds, func(other *hold) bool { return other == held })
		delete(held.view.reserving, held.index)
		scheduler.settleHold(held)
		scheduler.addLoad(held.worker, -1)
		held.worker.giveBack(held.size)
		pass.budget++
	}
}

// settleHold ends the bookkeeping of a hold that is neither claimed nor wanted any more.
func (scheduler *Scheduler) settleHold(held *hold) {
	if !held.answered {
		held.answered = true
		held.worker.asked = held.worker.asked.Sub(held.size)
	}
	team := scheduler.team(held.view.row.Spec.Team)
	team.asked = team.asked.Sub(held.size)
	if team.asked.Negative() {
		panic(ErrInvariant{Reason: "team asks for less than nothing"})
	}
	scheduler.held--
	if held.view.occupied[held.index] == held.worker {
		scheduler.vacate(held.view, held.index)
	}
	held.view.stale = true
	scheduler.noteQueue(held.view)
}

// matches reports whether the hold is for the task's next placement. Another scheduler may have
// recorded a newer checkpoint since the agent was told which one to resume from.
func (held *hold) matches(task *job.Task) bool {
	return task.State == job.Waiting && held.epoch == task.Epoch+1 && held.checkpoint == task.Checkpoint
}

// release gives up a hold and tells the agent. The caller removes it from its job.
func (scheduler *Scheduler) release(held *hold) {
	held.worker.giveBack(held.size)
	scheduler.settleHold(held)
	scheduler.released = append(scheduler.released, held)
}

func (scheduler *Scheduler) emitReserves(pass *search) {
	for _, batch := range pass.batches {
		if len(batch.holds) == 0 {
			continue
		}
		name := capacity.Reservation(scheduler.name())
		scheduler.holds[name] = batch
		scheduler.outstanding++
		specs := make([]TaskSpec, len(batch.holds))
		for position, held := range batch.holds {
			held.reservation = name
			spec := &held.view.row.Spec
			specs[position] = TaskSpec{
				Task: held.task(), Epoch: held.epoch, Kind: spec.Kind, Size: held.size, Payload: spec.Payload,
				Checkpoint: held.checkpoint, Team: spec.Team, Urgent: spec.Urgent, Class: spec.Class,
			}
		}
		scheduler.stats.Placed += len(specs)
		scheduler.emit(Reserve{
			Worker: batch.worker.name, Incarnation: batch.worker.state.Incarnation, Reservation: name,
			Tasks: specs, Term: scheduler.settings.ReservationTerm,
		})
	}
}

// emitReleases sends the releases noted since the last event, one message per reservation.
func (scheduler *Scheduler) emitReleases() {
	if len(scheduler.released) == 0 {
		return
	}
	var order []capacity.Reservation
	grouped := make(map[capacity.Reservation]*Release)
	for _, held := range scheduler.released {
		if held.reservation == "" {
			continue
		}
		group, ok := grouped[held.reservation]
		if !ok {
			group = &Release{Worker: held.worker.name, Incarnation: held.incarnation, Reservation: held.reservation}
			grouped[held.reservation] = group
			order = append(order, held.reservation)
		}
		group.Tasks = append(group.Tasks, held.ref())
	}
	for _, name := range order {
		scheduler.emit(*grouped[name])
	}
	scheduler.released = scheduler.released[:0]
}

// reserved takes an agent's answer. Once all answers of a round are in, their tasks are claimed.
func (scheduler *Scheduler) reserved(event Reserved) {
	batch, ok := scheduler.holds[event.Reservation]
	if !ok || batch.answered {
		return
	}
	batch.answered = true
	delete(scheduler.holds, event.Reservation)
	scheduler.outstanding--
	results := make(map[ident.Task]ReserveResult, len(event.Results))
	for _, result := range event.Results {
		results[result.Task] = result
	}
	worker := batch.worker
	for _, held := range batch.holds {
		if held.view.reserving[held.index] != held {
			continue
		}
		held.answered = true
		worker.asked = worker.asked.Sub(held.size)
		result, ok := results[held.task()]
		if ok && result.OK && result.Epoch == held.epoch {
			held.ok = true
			continue
		}
		scheduler.stats.Refusals++
		delete(held.view.reserving, held.index)
		if !ok {
			scheduler.release(held)
		} else {
			worker.giveBack(held.size)
			scheduler.settleHold(held)
		}
		held.view.avoid[worker.name] = scheduler.now.Add(avoidAfterRefusal)
		held.view.reason = "Refused: " + result.Refusal
		scheduler.countRefusal(held.view)
	}
	if event.FreeKnown && worker.known {
		worker.free = event.Free.Sub(worker.asked)
	}
	if scheduler.outstanding == 0 {
		scheduler.commit()
	}
}

const (
	// maxRefusals is how many reservations of an urgent job may be refused before it leaves the workers
	// alone whose state is coarse. Each refusal takes a round, and after a wave of starts all of these
	// workers may seem free that are full.
	maxRefusals = 2
	// preciseTerm is for how long it does. Room is made on workers with precise states meanwhile.
	preciseTerm = 4 * clock.Second
)

// countRefusal notes a refused reservation of an urgent job.
func (scheduler *Scheduler) countRefusal(view *jobView) {
	if !view.row.Spec.Urgent {
		return
	}
	if view.refusals++; view.refusals >= maxRefusals {
		view.refusals, view.preciseUntil = 0, scheduler.now.Add(preciseTerm)
	}
}

// believes reports whether the job may rely on the known state of a worker.
func (scheduler *Scheduler) believes(view *jobView, candidate *workerView) bool {
	return !candidate.state.Coarse || !scheduler.now.Before(view.preciseUntil)
}

// avoidAfterRefusal is how long a job does not try a worker again that refused its reservation. The
// agent may remember a fenced epoch, which a repetition at once would meet again.
const avoidAfterRefusal = 2 * clock.Second

// pruneHolds gives up reservations that were not answered within their term.
func (scheduler *Scheduler) pruneHolds() {
	for _, name := range sortedNames(scheduler.holds) {
		batch := scheduler.holds[name]
		if scheduler.now.Sub(batch.asked) < scheduler.settings.ReservationTerm {
			continue
		}
		scheduler.reserved(Reserved{Worker: batch.worker.name, Reservation: name})
	}
	// Reservations that found no place in a transaction in time have expired at their agents.
	for _, name := range set.SortedKeys(scheduler.holding) {
		view := scheduler.holding[name]
		for _, index := range sortedIndices(view.reserving) {
			if held := view.reserving[index]; scheduler.now.Sub(held.asked) >= scheduler.settings.ReservationTerm {
				delete(view.reserving, index)
				scheduler.release(held)
			}
		}
	}
}
