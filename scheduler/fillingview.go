package scheduler

import (
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// fillingViewInterval is how long a fillingView is used. Demand and weights change little in that time.
const fillingViewInterval = 250 * clock.Millisecond

// fillingView is a snapshot of the demand of filling tasks, for estimates of the cores that they can use beside
// serving tasks. Comparing all workers for all images is cheap with it.
type fillingView struct {
	at clock.Time
	// images holds the filling images of the open jobs, and demand the cores that their waiting and active tasks
	// request, by the same position.
	images      []pacing.Image
	demand      []float64
	totalDemand float64
	// usableShares holds, by serving image, the share of a worker's idle cores that each filling image can use
	// beside it.
	usableShares map[pacing.Image][]float64
	// weights holds, by serving image, the weight of each filling image.
	weights map[pacing.Image][]float64
	model   *pacing.Model
}

// fillingView returns a view that is at most fillingViewInterval old.
func (scheduler *Scheduler) fillingView(now clock.Time) *fillingView {
	if scheduler.view != nil && now.Sub(scheduler.view.at) < fillingViewInterval {
		return scheduler.view
	}
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
	view := &fillingView{at: now, model: scheduler.model, images: set.SortedKeys(demand), usableShares: map[pacing.Image][]float64{}, weights: map[pacing.Image][]float64{}}
	for _, image := range view.images {
		view.demand = append(view.demand, demand[image])
		view.totalDemand += demand[image]
	}
	scheduler.view = view
	return view
}

// sharesBeside returns the usable shares beside a serving image.
func (view *fillingView) sharesBeside(serving pacing.Image) []float64 {
	shares, ok := view.usableShares[serving]
	if !ok {
		shares = make([]float64, len(view.images))
		for position, filling := range view.images {
			shares[position] = math.Exp(-interferenceExponent * view.model.Weight(serving, filling, view.at))
		}
		view.usableShares[serving] = shares
	}
	return shares
}

// weightsBeside returns the weights of the filling images for a serving image.
func (view *fillingView) weightsBeside(serving pacing.Image) []float64 {
	weights, ok := view.weights[serving]
	if !ok {
		weights = make([]float64, len(view.images))
		for position, filling := range view.images {
			weights[position] = view.model.Weight(serving, filling, view.at)
		}
		view.weights[serving] = weights
	}
	return weights
}

// position returns the position of a filling image, or false if no job that was open when the view was made has it.
func (view *fillingView) position(image string) (int, bool) {
	return slices.BinarySearch(view.images, pacing.Image(image))
}

// neighbourhood is the set of serving tasks on a worker, possibly after a change.
type neighbourhood struct {
	idleCores float64
	// shares holds the usable shares beside each of the serving images.
	shares [][]float64
}

// neighbourhoodOf returns the serving tasks of a worker without one run and with a task of one more step. Both may
// be nil.
func (view *fillingView) neighbourhoodOf(worker *workerState, without *activeRun, with *workflow.Step) neighbourhood {
	result := neighbourhood{idleCores: float64(worker.idleCPU()) / milliPerCore, shares: make([][]float64, 0, len(worker.servingImages)+1)}
	var missing pacing.Image
	if without != nil {
		result.idleCores += servingLoad(without.step)
		if image := pacing.Image(without.step.Image); without.step.Target > 0 && worker.servingImages[image] == 1 {
			missing = image
		}
	}
	for image := range worker.servingImages {
		if image != missing {
			result.shares = append(result.shares, view.sharesBeside(image))
		}
	}
	if with != nil {
		result.idleCores -= servingLoad(with)
		if with.Target > 0 {
			result.shares = append(result.shares, view.sharesBeside(pacing.Image(with.Image)))
		}
	}
	return result
}

// servingLoad returns the cores that a standing task is expected to use.
func servingLoad(step *workflow.Step) float64 {
	return float64(step.Need.CPU) * servingLoadPercent / 100 / milliPerCore
}

// smallestShares returns the smallest of the usable shares for each filling image.
func (view *fillingView) smallestShares(tasks neighbourhood) []float64 {
	smallest := make([]float64, len(view.images))
	for position := range smallest {
		smallest[position] = 1
	}
	for _, shares := range tasks.shares {
		for position, share := range shares {
			smallest[position] = min(smallest[position], share)
		}
	}
	return smallest
}

// usableCores estimates how many idle cores filling tasks can use where they can use the shares, averaged over the
// demand. The shares beside one more serving task may be given too.
func (view *fillingView) usableCores(idleCores float64, shares, more []float64) float64 {
	if view.totalDemand == 0 || idleCores <= 0 {
		return 0
	}
	usable := 0.0
	for position, cores := range view.demand {
		share := shares[position]
		if more != nil && more[position] < share {
			share = more[position]
		}
		usable += cores * share
	}
	return idleCores * usable / view.totalDemand
}

// usableOn estimates how many idle cores of a worker filling tasks can use, without one run and with a task of one more
// step. Both may be nil.
func (view *fillingView) usableOn(worker *workerState, without *activeRun, with *workflow.Step) float64 {
	tasks := view.neighbourhoodOf(worker, without, with)
	return view.usableCores(tasks.idleCores, view.smallestShares(tasks), nil)
}

// lossByAdding returns how many usable cores filling tasks lose if a task of the step is added to a worker.
func (view *fillingView) lossByAdding(step *workflow.Step, worker *workerState) float64 {
	return view.usableOn(worker, nil, nil) - view.usableOn(worker, nil, step)
}
