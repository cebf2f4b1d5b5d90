package scheduler

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
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
	// sourcesPerRound is the number of workers from which moves are considered in a round, which limits its processor
	// time. A worker is considered again after sourceInterval.
	sourcesPerRound = 4
	sourceInterval  = 4 * clock.Second
	// workersPerMove is the number of workers for each move of a round, so that few tasks are missing at a time.
	workersPerMove = 16
	// minGainPerTask is how many usable cores filling tasks must gain for each task that is moved. A moved task does
	// not run for about a second.
	minGainPerTask = 1.0
	// minServingStay is how long a serving task stays on a worker before it may be moved.
	minServingStay = 8 * clock.Second
	// unreachablePercent is the share of unreachable workers above which no task is moved.
	unreachablePercent = 5
	// lostCoresWeight is how much a lost core lowers the score of a worker, relative to its share of
	// unreserved cores.
	lostCoresWeight = 0.15
)

// servingMove moves a serving task to another worker, in exchange for one of its tasks unless back is nil.
type servingMove struct {
	run         *activeRun
	destination *workerState
	back        *activeRun
	// gain is how many usable cores filling tasks gain for each task that is moved.
	gain float64
}

// rebalanceServing starts the moves of serving tasks that gain the most cores for filling tasks. Most workers are full,
// so most moves are exchanges of two tasks.
func (scheduler *Scheduler) rebalanceServing(now clock.Time) {
	scheduler.expireTransfers(now)
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
	moves := scheduler.servingMoves(now)
	slices.SortStableFunc(moves, func(left, right servingMove) int { return cmp.Compare(right.gain, left.gain) })
	involved := set.New[Incarnation]()
	moveLimit := max(1, len(scheduler.workers)/workersPerMove)
	for _, move := range moves {
		if involved.Len() >= 2*moveLimit {
			break
		}
		source := move.run.worker
		if involved.Has(source.Incarnation) || involved.Has(move.destination.Incarnation) {
			continue
		}
		involved.Add(source.Incarnation)
		involved.Add(move.destination.Incarnation)
		scheduler.transferRun(move.run, move.destination, now)
		if move.back != nil {
			scheduler.transferRun(move.back, source, now)
		}
	}
}

// ratedWorker is a worker with what filling tasks can use there, by position of the filling image.
type ratedWorker struct {
	*workerState
	idleCores float64
	shares    []float64
	usable    float64
	movable   []ratedRun
	// highestGain is the highest gain of the movable runs.
	highestGain float64
}

// ratedRun is a serving run that may be moved, with what filling tasks can use on its worker without it.
type ratedRun struct {
	*activeRun
	idleCores float64
	shares    []float64
	// gain is how many usable cores filling tasks gain if the run is removed.
	gain float64
}

// rateWorkers rates all workers and their movable runs.
func (scheduler *Scheduler) rateWorkers(view *fillingView, now clock.Time) []ratedWorker {
	workers := make([]ratedWorker, 0, len(scheduler.workers))
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		tasks := view.neighbourhoodOf(worker, nil, nil)
		rated := ratedWorker{workerState: worker, idleCores: tasks.idleCores, shares: view.smallestShares(tasks)}
		rated.usable = view.usableCores(rated.idleCores, rated.shares, nil)
		for _, run := range movableRuns(worker, now) {
			without := view.neighbourhoodOf(worker, run, nil)
			item := ratedRun{activeRun: run, idleCores: without.idleCores, shares: view.smallestShares(without)}
			item.gain = view.usableCores(item.idleCores, item.shares, nil) - rated.usable
			rated.highestGain = math.Max(rated.highestGain, item.gain)
			rated.movable = append(rated.movable, item)
		}
		workers = append(workers, rated)
	}
	return workers
}

// servingMoves returns the best move from each of the workers from which a move can gain most, if it gains enough.
func (scheduler *Scheduler) servingMoves(now clock.Time) []servingMove {
	view := scheduler.fillingView(now)
	workers := scheduler.rateWorkers(view, now)
	sources := make([]*ratedWorker, 0, len(workers))
	for position := range workers {
		// An exchange gains at most what the removal of both tasks does.
		if source := &workers[position]; source.highestGain > minGainPerTask && now.Sub(source.consideredAt) >= sourceInterval {
			sources = append(sources, source)
		}
	}
	slices.SortStableFunc(sources, func(left, right *ratedWorker) int { return cmp.Compare(right.highestGain, left.highestGain) })
	var moves []servingMove
	for _, source := range sources[:min(sourcesPerRound, len(sources))] {
		source.consideredAt = now
		best := servingMove{gain: minGainPerTask}
		for _, run := range source.movable {
			for position := range workers {
				destination := &workers[position]
				if destination.workerState != source.workerState && (run.gain > best.gain || (run.gain+destination.highestGain)/2 > best.gain) && scheduler.mayPlaceRun(run.activeRun, destination.workerState, now) {
					scheduler.rateMoves(view, source, run, destination, &best, now)
				}
			}
		}
		if best.run != nil {
			moves = append(moves, best)
		}
	}
	return moves
}

// rateMoves replaces best by a move of the run to the destination, alone or in exchange for a run there, that gains more.
func (scheduler *Scheduler) rateMoves(view *fillingView, source *ratedWorker, run ratedRun, destination *ratedWorker, best *servingMove, now clock.Time) {
	shares, load := view.sharesBeside(pacing.Image(run.step.Image)), servingLoad(run.step)
	if run.gain > best.gain && scheduler.fitsAfter(run.activeRun, destination.workerState, nil, now) {
		gain := run.gain + view.usableCores(destination.idleCores-load, destination.shares, shares) - destination.usable
		if gain > best.gain {
			*best = servingMove{run: run.activeRun, destination: destination.workerState, gain: gain}
		}
	}
	for _, back := range destination.movable {
		if (run.gain+back.gain)/2 <= best.gain || back.step.Image == run.step.Image {
			continue
		}
		gain := view.usableCores(run.idleCores-servingLoad(back.step), run.shares, view.sharesBeside(pacing.Image(back.step.Image))) - source.usable +
			view.usableCores(back.idleCores-load, back.shares, shares) - destination.usable
		if gain/2 > best.gain && scheduler.mayPlaceRun(back.activeRun, source.workerState, now) &&
			scheduler.fitsAfter(run.activeRun, destination.workerState, back.activeRun, now) && scheduler.fitsAfter(back.activeRun, source.workerState, run.activeRun, now) {
			*best = servingMove{run: run.activeRun, destination: destination.workerState, back: back.activeRun, gain: gain / 2}
		}
	}
}

// movableRuns returns one run of each step on a worker that may be moved.
func movableRuns(worker *workerState, now clock.Time) []*activeRun {
	var runs []*activeRun
	for _, run := range sortedRuns(worker) {
		if !run.step.Standing || run.step.Target == 0 || run.step.MayMiss > 0 || run.step.Gang || run.stopping || now.Sub(run.placedAt) < minServingStay {
			continue
		}
		if len(runs) == 0 || runs[len(runs)-1].step != run.step {
			runs = append(runs, run)
		}
	}
	return runs
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
	headroom := scheduler.jobs[run.name.Job].headroom(run.step, worker, now)
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
