package scheduler

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of rebalancing: serving tasks that are sensitive to the same images are moved together, so
// that the cores beside the others stay usable for filling tasks.
const (
	// interferenceExponent determines how fast the cores that are usable by an image decrease with its weight:
	// a weight of 0.1 leaves it a third of a worker's idle cores, one of 0.3 a twentieth.
	interferenceExponent = 10.0
	// rebalanceInterval is the time between two moves of serving tasks. Samples show the effect of a move only
	// after a few seconds.
	rebalanceInterval = 1500 * clock.Millisecond
	// minRebalanceGainCores is how many usable cores filling tasks must gain by a move. The moved task does
	// not run for about a second.
	minRebalanceGainCores = 1.5
	// minServingStay is how long a serving task stays on a worker before it may be moved.
	minServingStay = 8 * clock.Second
	// lostCoresWeight is how much a lost core lowers the score of a worker, relative to its share of
	// unreserved cores.
	lostCoresWeight = 0.15
)

// servingKind is what decides the effect of a serving task on filling tasks.
type servingKind struct {
	image pacing.Image
	cpu   unit.MilliCPU
}

// rebalanceServing stops the serving task whose move to another worker gains the most cores for filling
// tasks, so that it is placed again. It moves at most one task per rebalanceInterval.
func (scheduler *Scheduler) rebalanceServing(now clock.Time) {
	if now.Sub(scheduler.rebalancedAt) < rebalanceInterval {
		return
	}
	scheduler.rebalancedAt = now
	for _, worker := range scheduler.workers {
		if !worker.reachable {
			return // No standing task is moved while a worker is unreachable.
		}
	}
	view := scheduler.fillingView(now)
	workers := scheduler.sortedWorkers()
	losses := map[servingKind][]float64{}
	var best *activeRun
	bestGain := minRebalanceGainCores
	for _, from := range workers {
		for _, run := range sortedRuns(scheduler.workers[from]) {
			if !run.step.Standing || run.step.Target == 0 || run.step.MayMiss > 0 || run.step.Gang || run.stopping || now.Sub(run.placedAt) < minServingStay {
				continue
			}
			gain := view.gainByRemoving(run)
			if gain <= bestGain {
				continue // A move cannot gain more, because the task takes cores at its destination too.
			}
			for position, loss := range scheduler.lossesByAdding(run.step, workers, losses, view) {
				destination := scheduler.workers[workers[position]]
				if gain-loss > bestGain && destination != run.worker && scheduler.canMoveTo(run, destination, now) {
					best, bestGain = run, gain-loss
				}
			}
		}
	}
	if best != nil {
		scheduler.stopRun(best)
	}
}

// lossesByAdding returns the usable cores that filling tasks lose by a task of the step on each of the workers.
// Results are kept in losses.
func (scheduler *Scheduler) lossesByAdding(step *workflow.Step, workers []Incarnation, losses map[servingKind][]float64, view *fillingView) []float64 {
	kind := servingKind{image: pacing.Image(step.Image), cpu: step.Need.CPU}
	if _, ok := losses[kind]; !ok {
		for _, incarnation := range workers {
			losses[kind] = append(losses[kind], view.lossByAdding(step, scheduler.workers[incarnation]))
		}
	}
	return losses[kind]
}

// canMoveTo reports whether the task of an active run could be placed on the worker.
func (scheduler *Scheduler) canMoveTo(run *activeRun, worker *workerState, now clock.Time) bool {
	step := run.step
	if !worker.isEligible(step, run.job.Spec.Service) || scheduler.outDataCentres.Has(worker.DataCentre) || !worker.acceptsRuns(now) ||
		!worker.hasRoom(step, scheduler.jobs[run.name.Job].headroom(step, worker, now)) {
		return false
	}
	return step.PerWorker == 0 || worker.stepRuns(run.name) < step.PerWorker
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
		for position, image := range view.images {
			scheduler.fillingCores[image] += math.Max(0, tasks.idleCores) * tasks.share(position)
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
