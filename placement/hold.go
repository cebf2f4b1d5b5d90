package placement

import (
	"slices"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
)

// cancelHolds removes reservations of a gang that were added in this pass and are not requested
// yet.
func (scheduler *Scheduler) cancelHolds(holds []*taskHold, pass *placementPass) {
	for _, hold := range holds {
		batch := pass.byWorker[hold.worker]
		batch.holds = slices.DeleteFunc(batch.holds, func(other *taskHold) bool { return other == hold })
		delete(hold.view.holds, hold.index)
		scheduler.closeHold(hold)
		scheduler.addJobTasks(hold.worker, -1)
		hold.worker.addFree(hold.size)
		pass.budget++
	}
}

// closeHold removes a hold whose task will not be started from the sums and assignments.
func (scheduler *Scheduler) closeHold(hold *taskHold) {
	if !hold.answered {
		hold.answered = true
		hold.worker.unanswered = hold.worker.unanswered.Sub(hold.size)
	}
	team := scheduler.teamView(hold.view.row.Spec.Team)
	team.uncommitted = team.uncommitted.Sub(hold.size)
	if team.uncommitted.Negative() {
		panic(ErrInvariant{Reason: "sum of a team's holds is negative"})
	}
	scheduler.holdCount--
	if hold.view.assignedTo[hold.index] == hold.worker {
		scheduler.unassignTask(hold.view, hold.index)
	}
	hold.view.waitingStale = true
	scheduler.markQueueDirty(hold.view)
}

// matches reports whether the hold is for the task's next placement. It is not if another scheduler
// has recorded a newer checkpoint than the one from which the agent is to resume.
func (hold *taskHold) matches(task *job.Task) bool {
	return task.State == job.Waiting && hold.epoch == task.Epoch+1 && hold.checkpoint == task.Checkpoint
}

// releaseHold closes the hold and sends Release to the agent. The caller removes it from its job.
func (scheduler *Scheduler) releaseHold(hold *taskHold) {
	hold.worker.addFree(hold.size)
	scheduler.closeHold(hold)
	scheduler.holdsToRelease = append(scheduler.holdsToRelease, hold)
}

// emitReserves requests the reservations of the pass, one message per worker.
func (scheduler *Scheduler) emitReserves(pass *placementPass) {
	for _, batch := range pass.batches {
		if len(batch.holds) == 0 {
			continue
		}
		name := capacity.Reservation(scheduler.newID())
		scheduler.reserveBatches[name] = batch
		scheduler.unansweredBatches++
		specs := make([]TaskSpec, len(batch.holds))
		for position, hold := range batch.holds {
			hold.reservation = name
			spec := &hold.view.row.Spec
			specs[position] = TaskSpec{
				Task: hold.task(), Epoch: hold.epoch, Kind: spec.Kind, Size: hold.size, Payload: spec.Payload,
				Checkpoint: hold.checkpoint, Team: spec.Team, Urgent: spec.Urgent, Class: spec.Class,
			}
		}
		scheduler.stats.Placed += len(specs)
		scheduler.emit(Reserve{
			Worker: batch.worker.name, Incarnation: batch.worker.state.Incarnation, Reservation: name,
			Tasks: specs, Term: scheduler.settings.ReservationTerm,
		})
	}
}

// emitReleases sends the releases since the last event, one message per reservation.
func (scheduler *Scheduler) emitReleases() {
	if len(scheduler.holdsToRelease) == 0 {
		return
	}
	var order []capacity.Reservation
	grouped := make(map[capacity.Reservation]*Release)
	for _, hold := range scheduler.holdsToRelease {
		if hold.reservation == "" {
			continue
		}
		group, ok := grouped[hold.reservation]
		if !ok {
			group = &Release{Worker: hold.worker.name, Incarnation: hold.incarnation, Reservation: hold.reservation}
			grouped[hold.reservation] = group
			order = append(order, hold.reservation)
		}
		group.Tasks = append(group.Tasks, hold.ref())
	}
	for _, name := range order {
		scheduler.emit(*grouped[name])
	}
	scheduler.holdsToRelease = scheduler.holdsToRelease[:0]
}

// handleReserved applies an agent's answer. Once all reservations of a round are answered, their
// tasks are claimed.
func (scheduler *Scheduler) handleReserved(event Reserved) {
	batch, ok := scheduler.reserveBatches[event.Reservation]
	if !ok || batch.answered {
		return
	}
	batch.answered = true
	delete(scheduler.reserveBatches, event.Reservation)
	scheduler.unansweredBatches--
	results := make(map[ident.Task]ReserveResult, len(event.Results))
	for _, result := range event.Results {
		results[result.Task] = result
	}
	worker := batch.worker
	for _, hold := range batch.holds {
		if hold.view.holds[hold.index] != hold {
			continue
		}
		hold.answered = true
		worker.unanswered = worker.unanswered.Sub(hold.size)
		result, ok := results[hold.task()]
		if ok && result.OK && result.Epoch == hold.epoch {
			hold.granted = true
			continue
		}
		scheduler.stats.Refusals++
		delete(hold.view.holds, hold.index)
		if !ok {
			scheduler.releaseHold(hold)
		} else {
			worker.addFree(hold.size)
			scheduler.closeHold(hold)
		}
		hold.view.avoidUntil[worker.name] = scheduler.now.Add(refusalAvoidance)
		hold.view.reason = "Refused: " + result.Refusal
		scheduler.countRefusal(hold.view)
	}
	if event.FreeKnown && worker.hasState {
		worker.free = event.Free.Sub(worker.unanswered)
	}
	if scheduler.unansweredBatches == 0 {
		scheduler.commit()
	}
}

const (
	// maxRefusals is the number of refused reservations after which an urgent job avoids workers
	// with coarse states. Each refusal costs a round, and after many starts these workers may all
	// be full but still appear free.
	maxRefusals = 2
	// coarseAvoidance is how long the job avoids them. Meanwhile preemption makes room on workers
	// with precise states.
	coarseAvoidance = 4 * clock.Second
)

// countRefusal counts a refused reservation of an urgent job.
func (scheduler *Scheduler) countRefusal(view *jobView) {
	if !view.row.Spec.Urgent {
		return
	}
	if view.refusalCount++; view.refusalCount >= maxRefusals {
		view.refusalCount, view.avoidCoarseUntil = 0, scheduler.now.Add(coarseAvoidance)
	}
}

// mayUseState reports whether the job may use the worker although its state may be coarse.
func (scheduler *Scheduler) mayUseState(view *jobView, candidate *workerView) bool {
	return !candidate.state.Coarse || !scheduler.now.Before(view.avoidCoarseUntil)
}

// refusalAvoidance is how long a job does not try a worker again that refused its reservation. An
// agent that has fenced the epoch would refuse an immediate retry as well.
const refusalAvoidance = 2 * clock.Second

// expireHolds releases reservations that were not answered or not claimed within their term.
func (scheduler *Scheduler) expireHolds() {
	for _, name := range sortedReservations(scheduler.reserveBatches) {
		batch := scheduler.reserveBatches[name]
		if scheduler.now.Sub(batch.requestedAt) < scheduler.settings.ReservationTerm {
			continue
		}
		scheduler.handleReserved(Reserved{Worker: batch.worker.name, Reservation: name})
	}
	// Reservations that were not included in a transaction in time have expired at their agents.
	for _, name := range set.SortedKeys(scheduler.jobsWithHolds) {
		view := scheduler.jobsWithHolds[name]
		for _, index := range sortedIndices(view.holds) {
			if hold := view.holds[index]; scheduler.now.Sub(hold.requestedAt) >= scheduler.settings.ReservationTerm {
				delete(view.holds, index)
				scheduler.releaseHold(hold)
			}
		}
	}
}
