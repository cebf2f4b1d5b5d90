package scheduler

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
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

// fillingDemand returns the cores requested by the waiting and running filling tasks, by image.
func (scheduler *Scheduler) fillingDemand() map[pacing.Image]float64 {
	demand := map[pacing.Image]float64{}
	for _, record := range scheduler.open {
		for _, occurrence := range record.job.Occurrences {
			for position := range record.job.Spec.Steps {
				if step := &record.job.Spec.Steps[position]; step.Fills {
					demand[pacing.Image(step.Image)] += float64(occurrence.Unfinished(position)) * float64(step.Need.CPU) / milliPerCore
				}
			}
		}
	}
	return demand
}

// availableToFilling estimates how many idle cores of a worker filling tasks can use beside its serving
// tasks, assuming that the run "without" is gone and that a task of the step "with" is added. Both may be nil.
func (scheduler *Scheduler) availableToFilling(worker *workerState, demand map[pacing.Image]float64, without *activeRun, with *workflow.Step, now clock.Time) float64 {
	idleCores := float64(worker.idleCPU()) / milliPerCore
	if without != nil {
		idleCores += float64(without.step.Need.CPU) * servingLoadPercent / 100 / milliPerCore
	}
	if with != nil {
		idleCores -= float64(with.Need.CPU) * servingLoadPercent / 100 / milliPerCore
	}
	images := map[pacing.Image]struct{}{}
	for _, run := range worker.runs {
		if run.step.Target > 0 && run != without {
			images[pacing.Image(run.step.Image)] = struct{}{}
		}
	}
	if with != nil && with.Target > 0 {
		images[pacing.Image(with.Image)] = struct{}{}
	}
	totalDemand, usableDemand := 0.0, 0.0
	for filling, cores := range demand {
		maxWeight := 0.0
		for serving := range images {
			maxWeight = math.Max(maxWeight, scheduler.model.Weight(serving, filling, now))
		}
		totalDemand += cores
		usableDemand += cores * math.Exp(-interferenceExponent*maxWeight)
	}
	if totalDemand == 0 {
		return 0
	}
	return math.Max(0, idleCores) * usableDemand / totalDemand
}

// lostToFilling returns how many cores filling tasks lose if a standing task is placed on a worker.
func (scheduler *Scheduler) lostToFilling(step *workflow.Step, worker *workerState, now clock.Time) float64 {
	demand := scheduler.fillingDemand()
	return scheduler.availableToFilling(worker, demand, nil, nil, now) - scheduler.availableToFilling(worker, demand, nil, step, now)
}

// rebalanceServing stops the serving task whose move to another worker gains the most cores for filling
// tasks, so that it is placed again. It moves at most one task per rebalanceInterval.
func (scheduler *Scheduler) rebalanceServing(now clock.Time) {
	if now.Sub(scheduler.rebalancedAt) < rebalanceInterval {
		return
	}
	scheduler.rebalancedAt = now
	demand := scheduler.fillingDemand()
	var best *activeRun
	bestGain := minRebalanceGainCores
	for _, from := range scheduler.sortedWorkers() {
		source := scheduler.workers[from]
		if !source.reachable {
			return // No standing task is moved while a worker is unreachable.
		}
		before := scheduler.availableToFilling(source, demand, nil, nil, now)
		for _, run := range sortedRuns(source) {
			if !run.step.Standing || run.step.Target == 0 || run.step.MayMiss > 0 || run.step.Gang || run.stopping || now.Sub(run.placedAt) < minServingStay {
				continue
			}
			sourceGain := scheduler.availableToFilling(source, demand, run, nil, now) - before
			for _, to := range scheduler.sortedWorkers() {
				destination := scheduler.workers[to]
				if to == from || !scheduler.canMoveTo(run, destination, now) {
					continue
				}
				gain := sourceGain + scheduler.availableToFilling(destination, demand, nil, run.step, now) - scheduler.availableToFilling(destination, demand, nil, nil, now)
				if gain > bestGain {
					best, bestGain = run, gain
				}
			}
		}
	}
	if best != nil {
		scheduler.stopRun(best)
	}
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
	for image := range scheduler.fillingDemand() {
		total := 0.0
		for _, worker := range scheduler.workers {
			if worker.reachable && !worker.Draining && !scheduler.outDataCentres.Has(worker.DataCentre) {
				total += scheduler.availableToFilling(worker, map[pacing.Image]float64{image: 1}, nil, nil, now)
			}
		}
		scheduler.fillingCores[image] = total
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
