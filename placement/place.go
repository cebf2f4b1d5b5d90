package placement

import (
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
)

// tasksPerTurn is the number of tasks of a job that are placed before the next team has its turn.
const tasksPerTurn = 8

// maxJobsPerPass bounds the jobs examined in a pass, so that a long queue that cannot be placed
// does not make rounds longer. The next pass continues at the same position, so every job has its
// turn.
const maxJobsPerPass = 4000

// placementPass is the state of one pass over the queues.
type placementPass struct {
	// budget is the number of tasks that may still be reserved.
	budget int
	// jobsLeft is the number of jobs that may still be examined.
	jobsLeft int
	// batches are the reservations to request in this pass, in order of first use.
	batches  []*reserveBatch
	byWorker map[*workerView]*reserveBatch
}

// failedFit is a size for which no worker had room in this pass. Jobs with the same data centres
// are not tried with an equal or larger size.
type failedFit struct {
	size        unit.Resources
	dataCentres []ident.DataCentre
}

// place requests reservations for waiting tasks. With urgentOnly it serves only urgent jobs; this
// happens between rounds, after preemption has made room for them.
func (scheduler *Scheduler) place(urgentOnly bool) {
	scheduler.updateQueues()
	scheduler.failedFits = scheduler.failedFits[:0]
	if scheduler.now.Before(scheduler.tableRetryAt) {
		return
	}
	// While the table is slow, reservations requested now would expire before they can be claimed.
	if scheduler.pending != nil && scheduler.now.Sub(scheduler.pending.startedAt) >= scheduler.settings.Round {
		return
	}
	pass := &placementPass{budget: scheduler.settings.MaxStarts - scheduler.holdCount, jobsLeft: maxJobsPerPass, byWorker: make(map[*workerView]*reserveBatch)}
	if pass.budget <= 0 {
		return
	}
	starved := scheduler.starvedJobs()
	starvedBudget := 0
	if len(starved) > 0 && !urgentOnly {
		starvedBudget = pass.budget * scheduler.settings.StarvedShare / 100
		pass.budget -= starvedBudget
	}
	for _, queue := range scheduler.queues {
		if queue.urgent {
			scheduler.placeUrgent(queue, pass)
		}
	}
	pass.budget += starvedBudget
	if !urgentOnly {
		scheduler.placeStarved(starved, pass)
		scheduler.placeFair(pass)
	}
	scheduler.emitReserves(pass)
}

// starvedJobs returns the ordinary jobs that have waited for at least Settings.Starvation, most
// overdue first.
func (scheduler *Scheduler) starvedJobs() []*jobView {
	var starved []*jobView
	for _, queue := range scheduler.queues {
		if queue.urgent {
			continue
		}
		for _, view := range queue.jobs {
			if scheduler.waitingTime(view) < scheduler.settings.Starvation {
				// The queue key is at most Settings.Starvation after the submission, so no job with
				// a key in the future is starved.
				if view.queueKey.After(scheduler.now) {
					break
				}
				continue
			}
			starved = append(starved, view)
		}
	}
	slices.SortFunc(starved, compareQueueOrder)
	return starved
}

// placeUrgent places the urgent jobs of one team, and preempts other tasks for those without room.
func (scheduler *Scheduler) placeUrgent(queue *teamQueue, pass *placementPass) {
	// The queue does not change before the pass ends, so its slice can be iterated.
	for _, view := range queue.jobs {
		if pass.budget <= 0 || pass.jobsLeft <= 0 {
			return
		}
		if !scheduler.placeJob(view, pass, pass.budget) {
			scheduler.preempt(view)
		}
	}
}

// maxKeptFreeWorkers bounds the workers kept free per pass for starved jobs that do not fit.
const maxKeptFreeWorkers = 2

// placeStarved places starved jobs, and keeps workers free for those without room.
func (scheduler *Scheduler) placeStarved(starved []*jobView, pass *placementPass) {
	keptFree := 0
	for _, view := range starved {
		if pass.budget <= 0 || pass.jobsLeft <= 0 {
			return
		}
		if !scheduler.placeJob(view, pass, pass.budget) && keptFree < maxKeptFreeWorkers {
			if scheduler.keepFree(view) {
				keptFree++
			}
		}
	}
}

// placeFair places the jobs of the remaining queues, always serving the team with the smallest
// dominant share next.
func (scheduler *Scheduler) placeFair(pass *placementPass) {
	type turn struct {
		queue   *teamQueue
		team    *teamView
		share   int64
		visited int
	}
	var turns []turn
	for _, queue := range scheduler.queues {
		if !queue.urgent && len(queue.jobs) > 0 {
			team := scheduler.teamView(queue.team)
			if queue.nextIndex >= len(queue.jobs) {
				queue.nextIndex = 0
			}
			turns = append(turns, turn{queue: queue, team: team, share: scheduler.dominantShare(team)})
		}
	}
	for len(turns) > 0 && pass.budget > 0 && pass.jobsLeft > 0 {
		best := 0
		for index := range turns {
			if turns[index].share < turns[best].share {
				best = index
			}
		}
		current := &turns[best]
		view := current.queue.jobs[(current.queue.nextIndex+current.visited)%len(current.queue.jobs)]
		budgetBefore := pass.budget
		placedAll := scheduler.placeJob(view, pass, min(pass.budget, tasksPerTurn))
		if budgetBefore == pass.budget || placedAll {
			current.visited++
		}
		current.share = scheduler.dominantShare(current.team)
		if current.visited >= len(current.queue.jobs) {
			current.queue.nextIndex = 0
			turns = slices.Delete(turns, best, best+1)
		}
	}
	if pass.jobsLeft <= 0 {
		for _, current := range turns {
			current.queue.nextIndex += current.visited
		}
	} else {
		for _, current := range turns {
			current.queue.nextIndex = 0
		}
	}
}

// placeJob requests reservations for up to limit waiting tasks of the job. It reports whether all
// its waiting tasks have a reservation or may not be placed at present.
func (scheduler *Scheduler) placeJob(view *jobView, pass *placementPass, limit int) bool {
	pass.jobsLeft--
	indices := scheduler.waitingTasks(view)
	if len(indices) == 0 {
		return true
	}
	spec := &view.row.Spec
	if reason, parked := scheduler.dependencies.Health.Parked(view.name, scheduler.now); parked {
		view.reason = "Blocked: " + reason
		scheduler.parkJob(view, view.reason)
		return true
	}
	if scheduler.now.Before(view.rowRetryAt) {
		return true
	}
	team := scheduler.teamView(spec.Team)
	if !team.loaded {
		view.reason = "TeamUnknown: the team's usage row was not read yet"
		return true
	}
	if spec.Gang {
		limit = len(indices)
		if limit > pass.budget && pass.budget < scheduler.settings.MaxStarts-scheduler.holdCount {
			view.reason = "RoundFull: the tasks must run together and the round has no room for all"
			return true
		}
	}
	size := scheduler.sizeForJob(view)
	if !spec.Urgent && scheduler.knownNotToFit(spec, size) {
		view.reason = "NoRoom: no worker has room for " + size.String()
		return false
	}
	scheduler.countJobTasks(view)
	holds := make([]*taskHold, 0, min(limit, len(indices)))
	complete := true
	for _, index := range append([]int(nil), indices...) {
		if len(holds) >= limit {
			complete = false
			break
		}
		if until, ok := view.retryAt[index]; ok {
			if scheduler.now.Before(until) {
				view.reason = "Backoff: the last placement failed"
				continue
			}
			delete(view.retryAt, index)
		}
		if reason, ok := scheduler.dependencies.Quotas.Admit(spec.Team, team.uncommitted.Add(size), spec.Urgent); !ok {
			view.reason = "Quota: " + reason
			scheduler.parkIfNeverFits(view, size)
			complete = true
			if spec.Gang {
				scheduler.cancelHolds(holds, pass)
				return true
			}
			break
		}
		hold := scheduler.placeTask(view, index, size, pass)
		if hold == nil {
			if spec.Gang {
				scheduler.cancelHolds(holds, pass)
			}
			scheduler.noteFailedFit(view, size)
			return false
		}
		holds = append(holds, hold)
	}
	return complete
}

// placeTask chooses a worker and adds the task to the reservation to request from it. It returns
// nil if no worker can take the task.
func (scheduler *Scheduler) placeTask(view *jobView, index int, size unit.Resources, pass *placementPass) *taskHold {
	decision := Decision{Kind: "Place", Task: ident.Task{Job: view.name, Index: index}, Epoch: view.row.Tasks[index].Epoch + 1, Size: size}
	worker := scheduler.chooseWorker(view, size, &decision)
	if worker == nil {
		view.reason = decision.Reason
		return nil
	}
	batch, ok := pass.byWorker[worker]
	if !ok {
		batch = &reserveBatch{worker: worker, requestedAt: scheduler.now}
		pass.byWorker[worker] = batch
		pass.batches = append(pass.batches, batch)
	}
	hold := &taskHold{
		view: view, index: index, epoch: decision.Epoch, size: size, worker: worker,
		incarnation: worker.state.Incarnation, checkpoint: view.row.Tasks[index].Checkpoint, requestedAt: scheduler.now,
	}
	batch.holds = append(batch.holds, hold)
	view.holds[index] = hold
	view.waitingStale = true
	scheduler.markQueueDirty(view)
	scheduler.assignTask(view, index, worker, size)
	scheduler.addJobTasks(worker, 1)
	scheduler.jobsWithHolds[view.name] = view
	worker.free = worker.free.Sub(size)
	worker.unanswered = worker.unanswered.Add(size)
	scheduler.teamView(view.row.Spec.Team).uncommitted = scheduler.teamView(view.row.Spec.Team).uncommitted.Add(size)
	if centre := scheduler.dataCentreView(worker.state.DataCentre); centre.rampStart != 0 {
		centre.rampPlaced = centre.rampPlaced.Add(size)
	}
	delete(scheduler.drainedSizes, hold.task())
	scheduler.holdCount++
	pass.budget--
	view.reason = ""
	decision.Worker = worker.name
	scheduler.emit(decision)
	return hold
}

// parkJob parks the job's waiting tasks.
func (scheduler *Scheduler) parkJob(view *jobView, reason string) {
	for _, index := range append([]int(nil), scheduler.waitingTasks(view)...) {
		scheduler.applyChange(view, job.Change{Step: job.StepPark, Index: index, Epoch: view.row.Tasks[index].Epoch, Reason: reason}, "")
	}
	scheduler.parked[view.name] = view
	scheduler.emit(Park{Job: view.name, Reason: reason})
}
