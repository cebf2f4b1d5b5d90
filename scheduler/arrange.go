package scheduler

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/workflow"
)

// Figures of arranging serving tasks so that those with the same sensitivities share workers.
const (
	// blocking is how much a rise per core keeps filling tasks off a worker: a rise of 0.1 leaves a third
	// of the worker's idle processors to the image, one of 0.3 a twentieth.
	blocking = 10.0
	// arrangeInterval separates moves of serving tasks. The figures show one after a few seconds.
	arrangeInterval = 1500 * clock.Millisecond
	// arrangeGain is the gain in cores for filling tasks that is worth the second in which the moved task
	// is away.
	arrangeGain = 1.5
	// settled is how long a serving task stays where it was placed.
	settled = 8 * clock.Second
	// arrangeWeight scales the loss in cores against the share of free processors.
	arrangeWeight = 0.15
)

// demand returns the cores that filling tasks of each image ask for, waiting or running.
func (book *Scheduler) demand() map[pacing.Image]float64 {
	demand := map[pacing.Image]float64{}
	for _, found := range book.open {
		for _, occurrence := range found.job.Occurrences {
			for position := range found.job.Spec.Steps {
				if step := &found.job.Spec.Steps[position]; step.Fills {
					demand[pacing.Image(step.Image)] += float64(occurrence.Left(position)) * float64(step.Need.CPU) / milli
				}
			}
		}
	}
	return demand
}

// worth returns how many idle cores of a worker filling tasks can use beside its serving tasks, with
// one of them left out and one added; both may be nil.
func (book *Scheduler) worth(target *worker, demand map[pacing.Image]float64, without *run, with *workflow.Step, now clock.Time) float64 {
	idle := float64(target.idle()) / milli
	if without != nil {
		idle += float64(without.step.Need.CPU) * servingLoadPercent / 100 / milli
	}
	if with != nil {
		idle -= float64(with.Need.CPU) * servingLoadPercent / 100 / milli
	}
	images := map[pacing.Image]struct{}{}
	for _, active := range target.runs {
		if active.step.Target > 0 && active != without {
			images[pacing.Image(active.step.Image)] = struct{}{}
		}
	}
	if with != nil && with.Target > 0 {
		images[pacing.Image(with.Image)] = struct{}{}
	}
	total, usable := 0.0, 0.0
	for filling, cores := range demand {
		worst := 0.0
		for serving := range images {
			worst = math.Max(worst, book.model.Weight(serving, filling, now))
		}
		total += cores
		usable += cores * math.Exp(-blocking*worst)
	}
	if total == 0 {
		return 0
	}
	return math.Max(0, idle) * usable / total
}

// cost returns the cores for filling tasks that are lost by placing a standing task on a worker, beyond
// those that it uses itself.
func (book *Scheduler) cost(step *workflow.Step, target *worker, now clock.Time) float64 {
	demand := book.demand()
	return book.worth(target, demand, nil, nil, now) - book.worth(target, demand, nil, step, now)
}

// arrange moves the serving task whose move gives filling tasks the most.
func (book *Scheduler) arrange(now clock.Time) {
	if now.Sub(book.arrangedAt) < arrangeInterval {
		return
	}
	book.arrangedAt = now
	demand := book.demand()
	var best *run
	bestGain := arrangeGain
	for _, from := range book.sortedWorkers() {
		source := book.workers[from]
		if !source.reachable {
			return // Standing tasks stay where they are while a worker is away.
		}
		before := book.worth(source, demand, nil, nil, now)
		for _, active := range sortedRuns(source) {
			if !active.step.Standing || active.step.Target == 0 || active.step.MayMiss > 0 || active.step.Gang || active.stopping || now.Sub(active.placedAt) < settled {
				continue
			}
			freed := book.worth(source, demand, active, nil, now) - before
			for _, to := range book.sortedWorkers() {
				target := book.workers[to]
				if to == from || !book.fits(active, target, now) {
					continue
				}
				gain := freed + book.worth(target, demand, nil, active.step, now) - book.worth(target, demand, nil, nil, now)
				if gain > bestGain {
					best, bestGain = active, gain
				}
			}
		}
	}
	if best != nil {
		book.stop(best)
	}
}

// fits reports whether an active task could be placed on the worker.
func (book *Scheduler) fits(active *run, target *worker, now clock.Time) bool {
	step := active.step
	if !target.suits(step, active.job.Spec.Service) || book.out.Has(target.DataCentre) || !target.allows(now) ||
		!target.admits(step, book.jobs[active.name.Job].headroom(step, target, now)) {
		return false
	}
	return step.PerWorker == 0 || target.count(active.name) < step.PerWorker
}

// crowded is the share of the time by the usable cores that a step is expected to take. The estimate of
// the cores is rough, so only jobs that are far from their objective count as late before it passed.
const crowded = 0.6

// cores are the processors that filling tasks of each image may use beside the serving tasks.
type cores map[pacing.Image]float64

// usable returns the cores for the images of the open jobs. It is estimated anew once a second.
func (book *Scheduler) usable(now clock.Time) cores {
	if book.usableCores != nil && now.Sub(book.usableAt) < clock.Second {
		return book.usableCores
	}
	book.usableAt, book.usableCores = now, cores{}
	for image := range book.demand() {
		total := 0.0
		for _, target := range book.workers {
			if target.reachable && !target.Draining && !book.out.Has(target.DataCentre) {
				total += book.worth(target, map[pacing.Image]float64{image: 1}, nil, nil, now)
			}
		}
		book.usableCores[image] = total
	}
	return book.usableCores
}

// stretch returns how many times its estimate a step of filling tasks is expected to take, because its
// tasks find processors one after the other.
func (usable cores) stretch(step *workflow.Step, left int) float64 {
	available, ok := usable[pacing.Image(step.Image)]
	if !step.Fills || !ok {
		return 1
	}
	wanted := float64(left) * float64(step.Need.CPU) / milli
	return math.Max(1, crowded*wanted/math.Max(available, 1))
}
