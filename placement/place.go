package placement

import (
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
)

// laneChunk is how many tasks of a job are placed before the next team has its turn.
const laneChunk = 8

// maxVisits bounds the jobs looked at in a round, so that a long queue that cannot be placed does
// not make rounds longer. The position is kept, so every job has its turn.
const maxVisits = 4000

// search is the state of one pass over the queue.
type search struct {
	budget int
	visits int
	// batches are the reservations asked in this pass, in order of first use.
	batches []*reservation
	byName  map[*workerView]*reservation
}

// miss is a size that fitted nowhere in this pass. Larger sizes under the same limits are not
// tried.
type miss struct {
	size    unit.Resources
	centres []ident.DataCentre
}

// place asks agents to reserve room for waiting tasks. With urgentOnly it serves only urgent jobs,
// between rounds, after room was made for them.
func (scheduler *Scheduler) place(urgentOnly bool) {
	scheduler.reviewQueue()
	scheduler.misses = scheduler.misses[:0]
	if scheduler.now.Before(scheduler.tableAt) {
		return
	}
	// With a slow table, reservations asked now would expire before they can be claimed.
	if scheduler.flight != nil && scheduler.now.Sub(scheduler.flight.since) >= scheduler.settings.Round {
		return
	}
	pass := &search{budget: scheduler.settings.MaxStarts - scheduler.held, visits: maxVisits, byName: make(map[*workerView]*reservation)}
	if pass.budget <= 0 {
		return
	}
	starved := scheduler.starved()
	kept := 0
	if len(starved) > 0 && !urgentOnly {
		kept = pass.budget * scheduler.settings.StarvedShare / 100
		pass.budget -= kept
	}
	for _, queue := range scheduler.lanes {
		if queue.urgent {
			scheduler.placeUrgent(queue, pass)
		}
	}
	pass.budget += kept
	if !urgentOnly {
		scheduler.placeStarved(starved, pass)
		scheduler.placeFair(pass)
	}
	scheduler.emitReserves(pass)
}

// starved returns the ordinary jobs that have waited too long, most overdue first.
func (scheduler *Scheduler) starved() []*jobView {
	var starved []*jobView
	for _, queue := range scheduler.lanes {
		if queue.urgent {
			continue
		}
		for _, view := range queue.jobs {
			if scheduler.waited(view) < scheduler.settings.Starvation {
				// A key is at most the starvation time after the submission, so no job with a key in the
				// future is starved.
				if view.key.After(scheduler.now) {
					break
				}
				continue
			}
			starved = append(starved, view)
		}
	}
	slices.SortFunc(starved, compareViews)
	return starved
}

func (scheduler *Scheduler) placeUrgent(queue *lane, pass *search) {
	// Placing does not change the lane before the pass ends, so the slice can be walked.
	for _, view := range queue.jobs {
		if pass.budget <= 0 || pass.visits <= 0 {
			return
		}
		if !scheduler.placeJob(view, pass, pass.budget) {
			scheduler.preempt(view)
		}
	}
}

// maxHeldWorkers bounds how many workers are kept free for starved jobs that do not fit.
const maxHeldWorkers = 2

func (scheduler *Scheduler) placeStarved(starved []*jobView, pass *search) {
	held := 0
	for _, view := range starved {
		if pass.budget <= 0 || pass.visits <= 0 {
			return
		}
		if !scheduler.placeJob(view, pass, pass.budget) && held < maxHeldWorkers {
			if scheduler.keepFree(view) {
				held++
			}
		}
	}
}

// placeFair serves the team with the smallest dominant share first.
func (scheduler *Scheduler) placeFair(pass *search) {
	type turn struct {
		queue *lane
		team  *teamView
		share int64
		seen  int
	}
	var turns []turn
	for _, queue := range scheduler.lanes {
		if !queue.urgent && len(queue.jobs) > 0 {
			team := scheduler.team(queue.team)
			if queue.next >= len(queue.jobs) {
				queue.next = 0
			}
			turns = append(turns, turn{queue: queue, team: team, share: scheduler.share(team)})
		}
	}
	for len(turns) > 0 && pass.budget > 0 && pass.visits > 0 {
		best := 0
		for index := range turns {
			if turns[index].share < turns[best].share {
				best = index
			}
		}
		current := &turns[best]
		view := current.queue.jobs[(current.queue.next+current.seen)%len(current.queue.jobs)]
		before := pass.budget
		all := scheduler.placeJob(view, pass, min(pass.budget, laneChunk))
		if before == pass.budget || all {
			current.seen++
		}
		current.share = scheduler.share(current.team)
		if current.seen >= len(current.queue.jobs) {
			current.queue.next = 0
			turns = slices.Delete(turns, best, best+1)
		}
	}
	if pass.visits <= 0 {
		for _, current := range turns {
			current.queue.next += current.seen
		}
	} else {
		for _, current := range turns {
			current.queue.next = 0
		}
	}
}

// placeJob asks for room for up to limit waiting tasks of the job and reports whether all its
// waiting tasks have room now or may not be placed at present.
func (scheduler *Scheduler) placeJob(view *jobView, pass *search, limit int) bool {
	pass.visits--
	indices := scheduler.waiting(view)
	if len(indices) == 0 {
		return true
	}
	spec := &view.row.Spec
	if reason, blocked := scheduler.dependencies.Health.Blocked(view.name, scheduler.now); blocked {
		view.reason = "Blocked: " + reason
		scheduler.park(view, view.reason)
		return true
	}
	if scheduler.now.Before(view.writeAt) {
		return true
	}
	team := scheduler.team(spec.Team)
	if !team.known {
		view.reason = "TeamUnknown: the team's usage row was not read yet"
		return true
	}
	if spec.Gang {
		limit = len(indices)
		if limit > pass.budget && pass.budget < scheduler.settings.MaxStarts-scheduler.held {
			view.reason = "RoundFull: the tasks must run together and the round has no room for all"
			return true
		}
	}
	size := scheduler.sizeOf(view)
	if !spec.Urgent && scheduler.missed(spec, size) {
		view.reason = "NoRoom: no worker has room for " + size.String()
		return false
	}
	scheduler.countLoads(view)
	asked := make([]*hold, 0, min(limit, len(indices)))
	complete := true
	for _, index := range append([]int(nil), indices...) {
		if len(asked) >= limit {
			complete = false
			break
		}
		if until, ok := view.delay[index]; ok {
			if scheduler.now.Before(until) {
				view.reason = "Backoff: the last placement failed"
				continue
			}
			delete(view.delay, index)
		}
		if reason, ok := scheduler.dependencies.Quotas.Admit(spec.Team, team.asked.Add(size), spec.Urgent); !ok {
			view.reason = "Quota: " + reason
			scheduler.parkHopeless(view, size)
			complete = true
			if spec.Gang {
				scheduler.undo(asked, pass)
				return true
			}
			break
		}
		held := scheduler.placeTask(view, index, size, pass)
		if held == nil {
			if spec.Gang {
				scheduler.undo(asked, pass)
			}
			scheduler.noteMiss(view, size)
			return false
		}
		asked = append(asked, held)
	}
	return complete
}

// placeTask chooses a worker and notes the reservation that is to be asked, or returns nil.
func (scheduler *Scheduler) placeTask(view *jobView, index int, size unit.Resources, pass *search) *hold {
	decision := Decision{Kind: "Place", Task: ident.Task{Job: view.name, Index: index}, Epoch: view.row.Tasks[index].Epoch + 1, Size: size}
	worker := scheduler.choose(view, size, &decision)
	if worker == nil {
		view.reason = decision.Reason
		return nil
	}
	batch, ok := pass.byName[worker]
	if !ok {
		batch = &reservation{worker: worker, asked: scheduler.now}
		pass.byName[worker] = batch
		pass.batches = append(pass.batches, batch)
	}
	held := &hold{
		view: view, index: index, epoch: decision.Epoch, size: size, worker: worker,
		incarnation: worker.state.Incarnation, checkpoint: view.row.Tasks[index].Checkpoint, asked: scheduler.now,
	}
	batch.holds = append(batch.holds, held)
	view.reserving[index] = held
	view.stale = true
	scheduler.noteQueue(view)
	scheduler.occupy(view, index, worker, size)
	scheduler.addLoad(worker, 1)
	scheduler.holding[view.name] = view
	worker.free = worker.free.Sub(size)
	worker.asked = worker.asked.Add(size)
	scheduler.team(view.row.Spec.Team).asked = scheduler.team(view.row.Spec.Team).asked.Add(size)
	if centre := scheduler.centre(worker.state.DataCentre); centre.rampFrom != 0 {
		centre.rampPlaced = centre.rampPlaced.Add(size)
	}
	delete(scheduler.moved, held.task())
	scheduler.held++
	pass.budget--
	view.reason = ""
	decision.Worker = worker.name
	scheduler.emit(decision)
	return held
}

// park sets the job's waiting tasks aside.
func (scheduler *Scheduler) park(view *jobView, reason string) {
	for _, index := range append([]int(nil), scheduler.waiting(view)...) {
		scheduler.apply(view, job.Change{Step: job.StepPark, Index: index, Epoch: view.row.Tasks[index].Epoch, Reason: reason}, "")
	}
	scheduler.parked[view.name] = view
	scheduler.emit(Park{Job: view.name, Reason: reason})
}
