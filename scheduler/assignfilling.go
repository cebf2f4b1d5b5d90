package scheduler

import (
	"hyssopjunction/account"
	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// roomsPerWorker is the usual number of serving images on a worker, for which a round allocates.
const roomsPerWorker = 4

// fillingRound is the joint assignment of the waiting filling tasks of a round.
type fillingRound struct {
	*assignment.Round
	// workers holds the workers that take filling tasks, by their position in the round.
	workers []*workerState
	// values and eligible are those of the workers for the present group.
	values   []float64
	eligible []bool
}

// assignFilling places the waiting tasks of filling steps that are not gangs, in the order of the candidates. Their workers
// are chosen from one view: where tasks end early, and where cores are free.
func (scheduler *Scheduler) assignFilling(candidates []candidate, blocked blockedNeeds, now clock.Time) {
	if len(candidates) == 0 {
		return
	}
	round := scheduler.newFillingRound(candidates, now)
	scheduler.assignments.Rounds++
	scheduler.assignments.DemandAge = max(scheduler.assignments.DemandAge, now.Sub(scheduler.view.at))
	for _, candidate := range candidates {
		scheduler.considered = candidate.record.job.Spec.ID
		scheduler.assignGroup(round, candidate, blocked, now)
	}
}

// newFillingRound returns a round with the workers that may take filling tasks now.
func (scheduler *Scheduler) newFillingRound(candidates []candidate, now clock.Time) *fillingRound {
	view := scheduler.fillingView(now)
	for _, candidate := range candidates {
		if _, ok := view.position(candidate.spec().Image); !ok {
			scheduler.view = nil // A job came after the view was made.
			view = scheduler.fillingView(now)
			break
		}
	}
	round := &fillingRound{workers: make([]*workerState, 0, len(scheduler.workers))}
	workers := make([]assignment.Worker, 0, len(scheduler.workers))
	rooms := make([]assignment.Room, 0, roomsPerWorker*len(scheduler.workers))
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		if !worker.reachable || worker.overdue || worker.Draining || scheduler.outDataCentres.Has(worker.DataCentre) || !worker.acceptsRuns(now) {
			continue
		}
		round.workers = append(round.workers, worker)
		first := len(rooms)
		for _, room := range scheduler.servingRooms(worker, now) {
			rooms = append(rooms, assignment.Room{Left: room.Left, Weights: view.weightsBeside(room.image)})
		}
		workers = append(workers, assignment.Worker{
			Capacity: float64(worker.Capacity.CPU) / milliPerCore, Idle: float64(worker.idleCPU()) / milliPerCore,
			Filling: float64(worker.fillingCPU) / milliPerCore, Speed: scheduler.speedOf(worker, true, now), Rooms: rooms[first:len(rooms):len(rooms)],
		})
	}
	round.values, round.eligible = make([]float64, len(workers)), make([]bool, len(workers))
	round.Round = assignment.NewRound(workers)
	scheduler.holdMoves(round)
	return round
}

// assignGroup places the waiting tasks of a step until one finds no room, and records the requirements of that task in
// blocked. The value of a worker is computed once for all tasks, and again after each task that is placed there.
func (scheduler *Scheduler) assignGroup(round *fillingRound, candidate candidate, blocked blockedNeeds, now clock.Time) {
	record, step, job := candidate.record, candidate.spec(), candidate.record.job
	starved := record.activeRuns == 0 && now.Sub(record.acceptedAt) > starvationAge && scheduler.isMostlyUnreserved(job.Spec.Service)
	key := newBlockKey(job.Spec.Service, step, starved)
	dependsOnJob := step.PerWorker > 0 || len(record.failuresByWorker) > 0
	if !dependsOnJob && blocked.has(key, candidate.minSpeed) && len(record.moves) == 0 {
		scheduler.assignments.Unplaced++
		candidate.accountWait(blocked[key].cause, now)
		return
	}
	group, ok := scheduler.groupOf(step, candidate.minSpeed)
	if !ok {
		return
	}
	group.Anywhere = starved
	values, eligible := round.values, round.eligible
	candidate.accountWait(account.Room, now)
	// cause is what the tasks wait for if no worker is eligible.
	cause := account.Room
	rate := func(position int) {
		worker := round.workers[position]
		eligible[position] = false
		if !starved && !round.HasIdleCores(position, group) || !worker.isEligible(step, job.Spec.Service) || !worker.hasRoom(step, unit.Resources{}) {
			return
		}
		values[position], eligible[position] = round.Value(position, group, scheduler.bounds.DataFactor(isRemote(step, worker)), record.failuresByWorker[worker.Incarnation])
		if !eligible[position] {
			cause = account.Slow
		}
	}
	for position := range round.workers {
		rate(position)
	}
	for _, index := range candidate.indices {
		name := workflow.Name{Job: job.Spec.ID, Occurrence: candidate.occurrence.Number, Step: candidate.step, Index: index}
		best, history := scheduler.moveTarget(round, record, step, name, now), record.moves[name]
		if best < 0 {
			for position, worker := range round.workers {
				if eligible[position] && (best < 0 || values[position] > values[best]) && (step.PerWorker == 0 || worker.stepRuns(name) < step.PerWorker) &&
					!history.Left(string(worker.Incarnation), now) {
					best = position
				}
			}
		}
		if best < 0 && len(record.moves) > 0 {
			continue // Other tasks may return to the workers that this one left, or have room held for them.
		}
		if best < 0 {
			scheduler.assignments.Unplaced++
			candidate.accountWait(cause, now)
			if !dependsOnJob {
				blocked.add(key, candidate.minSpeed, cause)
			}
			return
		}
		if worker := round.workers[best]; isRemote(step, worker) && len(history) == 0 {
			if scheduler.waitsForRack(record, step, name, candidate.latestStart, now) {
				candidate.accountWait(account.Rack, now)
				continue
			}
			scheduler.assignments.RemoteRuns++
		}
		scheduler.assignments.Placed++
		round.Place(best, group)
		scheduler.placeTask(record, step, name, job.NextRun(name), round.workers[best], now)
		if !round.workers[best].acceptsRuns(now) {
			eligible[best] = false
			continue
		}
		rate(best)
	}
}

// groupOf returns the group of the equal tasks of a step, or false if the view of the round lacks their image.
func (scheduler *Scheduler) groupOf(step *workflow.Step, minSpeed float64) (assignment.Group, bool) {
	image, ok := scheduler.view.position(step.Image)
	return assignment.Group{Image: image, Cores: cores(step), MinSpeed: minSpeed}, ok
}

// spec returns the specification of the candidate's step.
func (candidate *candidate) spec() *workflow.Step {
	return &candidate.record.job.Spec.Steps[candidate.step]
}

// cores returns the cores that a task of the step requests.
func cores(step *workflow.Step) float64 { return float64(step.Need.CPU) / milliPerCore }
