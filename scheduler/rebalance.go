package scheduler

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/colocation"
	"hyssopjunction/pacing"
	"hyssopjunction/workflow"
)

// Parameters of rebalancing: serving tasks that are sensitive to the same images are moved together, so
// that the cores beside the others stay usable for filling tasks.
const (
	// interferenceExponent determines how fast the cores that are usable by an image decrease with its weight:
	// a weight of 0.1 leaves it a third of a worker's idle cores, one of 0.3 a twentieth.
	interferenceExponent = 10.0
	// rebalanceInterval is the time between two rounds of moves.
	rebalanceInterval = clock.Second
	// workersPerMove is the number of workers for each move of a round, so that few tasks are missing at a time: of about
	// five tasks on a worker, a round stops at most one in twenty.
	workersPerMove = 8
	// minGainPerTask is how many usable cores filling tasks must gain for each task that is moved. A moved task does
	// not run for about a second.
	minGainPerTask = 0.3
	// minServingStay is how long a serving task stays on a worker before it may be moved.
	minServingStay = 8 * clock.Second
	// unreachablePercent is the share of unreachable workers above which no task is moved.
	unreachablePercent = 5
	// lostCoresWeight is how much a lost core lowers the score of a worker, relative to its share of
	// unreserved cores.
	lostCoresWeight = 0.15
)

// rebalanceServing starts the moves of serving tasks that gain the most cores for filling tasks. Most workers are full,
// so most moves are exchanges of two tasks.
func (scheduler *Scheduler) rebalanceServing(now clock.Time) {
	if now.Sub(scheduler.rebalancedAt) < rebalanceInterval || len(scheduler.workers) == 0 {
		return
	}
	scheduler.rebalancedAt = now
	unreachable := 0
	for _, worker := range scheduler.workers {
		if !worker.reachable {
			unreachable++
		}
	}
	if 100*unreachable > unreachablePercent*len(scheduler.workers) {
		return
	}
	for _, move := range scheduler.servingMoves(now) {
		scheduler.transferRun(move.run, move.destination, StopColocation, now)
		if move.back != nil {
			scheduler.transferRun(move.back, move.source, StopColocation, now)
		}
	}
}

// servingMove moves a serving task to another worker, in exchange for one of its tasks unless back is nil.
type servingMove struct {
	run                 *activeRun
	source, destination *workerState
	back                *activeRun
}

// servingMoves returns the moves of a round.
func (scheduler *Scheduler) servingMoves(now clock.Time) []servingMove {
	view := scheduler.fillingView(now)
	if view.totalDemand == 0 {
		return nil
	}
	demand := colocation.Demand{Cores: view.demand}
	profiles := map[string]int{}
	var workers []colocation.Worker
	var states []*workerState
	var runs [][]*activeRun
	for _, incarnation := range scheduler.sortedWorkers() {
		state := scheduler.workers[incarnation]
		worker := colocation.Worker{IdleCores: float64(state.idleCPU()) / milliPerCore}
		var listed []*activeRun
		for _, run := range sortedRuns(state) {
			if run.step.Target == 0 {
				continue
			}
			profile, ok := profiles[run.step.Image]
			if !ok {
				profile = len(demand.Shares)
				profiles[run.step.Image] = profile
				demand.Shares = append(demand.Shares, view.sharesBeside(pacing.Image(run.step.Image)))
			}
			worker.Tasks = append(worker.Tasks, colocation.Task{Profile: profile, Load: servingLoad(run.step), Movable: isServingRunMovable(run, now)})
			listed = append(listed, run)
		}
		workers, states, runs = append(workers, worker), append(states, state), append(runs, listed)
	}
	fits := func(from, task, to, back int) bool {
		var leaving *activeRun
		if back != colocation.NoTask {
			leaving = runs[to][back]
		}
		return scheduler.mayPlaceRun(runs[from][task], states[to], now) && scheduler.fitsAfter(runs[from][task], states[to], leaving, now)
	}
	limit := max(1, len(scheduler.workers)/workersPerMove)
	var moves []servingMove
	for _, move := range colocation.Choose(workers, demand, fits, minGainPerTask, limit) {
		chosen := servingMove{run: runs[move.From][move.Task], source: states[move.From], destination: states[move.To]}
		if move.Back != colocation.NoTask {
			chosen.back = runs[move.To][move.Back]
		}
		moves = append(moves, chosen)
	}
	return moves
}

// isServingRunMovable reports whether a serving run may be moved. Steps with MayMiss limit planned interruptions, so their
// runs stay.
func isServingRunMovable(run *activeRun, now clock.Time) bool {
	return run.step.Standing && run.step.MayMiss == 0 && !run.step.Gang && !run.stopping && now.Sub(run.placedAt) >= minServingStay && !run.job.HasCrashes(run.name)
}

// mayPlaceRun reports whether the task of an active run may be placed on a worker, whether or not there is room.
func (scheduler *Scheduler) mayPlaceRun(run *activeRun, worker *workerState, now clock.Time) bool {
	return scheduler.mayPlace(scheduler.jobs[run.name.Job], run.step, worker, now)
}

// fitsAfter reports whether the task of a run fits on a worker once another run there, which may be nil, has ended. It
// must leave the headroom for quick tasks, or take no more room than that run.
func (scheduler *Scheduler) fitsAfter(run *activeRun, worker *workerState, back *activeRun, now clock.Time) bool {
	reserved := worker.reserved.Add(run.step.Reserved())
	stepRuns := worker.stepRuns(run.name)
	if back != nil {
		reserved = reserved.Sub(back.step.Reserved())
		if back.step == run.step {
			stepRuns--
		}
	}
	if run.step.PerWorker > 0 && stepRuns >= run.step.PerWorker {
		return false
	}
	if !reserved.FitsIn(worker.Capacity) {
		return false
	}
	headroom := scheduler.headroom(scheduler.jobs[run.name.Job], run.step, worker, now)
	return reserved.CPU <= worker.reserved.CPU || reserved.Add(headroom).FitsIn(worker.Capacity)
}

// slowdownScale is the factor applied to the slowdown that follows from the usable cores. The estimate of
// the cores is rough, so only jobs that are far behind count as late before their objective has passed.
const slowdownScale = 0.6

// coresByImage holds the cores that filling tasks can use beside the serving tasks, by image.
type coresByImage map[pacing.Image]float64

// fillingCapacity returns the usable cores for the images of the open jobs. The estimate is cached for a
// second.
func (scheduler *Scheduler) fillingCapacity(now clock.Time) coresByImage {
	if scheduler.fillingCores != nil && now.Sub(scheduler.fillingCoresAt) < clock.Second {
		return scheduler.fillingCores
	}
	scheduler.fillingCoresAt, scheduler.fillingCores = now, coresByImage{}
	view := scheduler.fillingView(now)
	for _, worker := range scheduler.workers {
		if !worker.reachable || worker.Draining || scheduler.outDataCentres.Has(worker.DataCentre) {
			continue
		}
		tasks := view.neighbourhoodOf(worker, nil, nil)
		for position, share := range view.smallestShares(tasks) {
			scheduler.fillingCores[view.images[position]] += math.Max(0, tasks.idleCores) * share
		}
	}
	return scheduler.fillingCores
}

// expectedSlowdown returns the factor, at least 1, by which a step of filling tasks exceeds its estimated run
// time because there are fewer cores than its tasks request. The parameter left is the number of its tasks
// that are not done.
func (capacity coresByImage) expectedSlowdown(step *workflow.Step, left int) float64 {
	available, ok := capacity[pacing.Image(step.Image)]
	if !step.Fills || !ok {
		return 1
	}
	demand := float64(left) * float64(step.Need.CPU) / milliPerCore
	return math.Max(1, slowdownScale*demand/math.Max(available, 1))
}
