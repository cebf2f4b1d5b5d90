package scheduler

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

// Parameters of the relief of workers whose capacity has shrunk below what their runs reserve.
const (
	// relieveDelay is how long a worker must be overfilled before it is relieved: until its next report confirms the capacity.
	relieveDelay = 700 * clock.Millisecond
	// relieveInterval is the time between two rounds. The end of a stopped run is known by then.
	relieveInterval = 600 * clock.Millisecond
	// workersPerRelief is the number of workers for each run that a round stops, so that few tasks are missing at a time.
	workersPerRelief = 4
	// shrunkTime is for how long after its capacity has shrunk a worker gets no standing tasks, so that no task wanders to a
	// worker whose capacity changes again and again.
	shrunkTime = 10 * clock.Second
)

// recordCapacity records a new capacity of a worker.
func (worker *workerState) recordCapacity(capacity unit.Resources, now clock.Time) {
	if capacity.CPU < worker.Capacity.CPU || capacity.Memory < worker.Capacity.Memory {
		worker.shrunkAt = now
	}
}

// hasShrunk reports whether the capacity of the worker has shrunk a short time ago.
func (worker *workerState) hasShrunk(now clock.Time) bool {
	return worker.shrunkAt != 0 && now.Sub(worker.shrunkAt) < shrunkTime
}

// relieveShrunk stops runs on workers that hold more than their capacity. Memory comes before processors. Filling runs go first,
// those with checkpoints before others; then standing tasks that have room elsewhere. Quick runs end by themselves.
func (scheduler *Scheduler) relieveShrunk(now clock.Time) {
	if now.Sub(scheduler.relievedAt) < relieveInterval {
		return
	}
	scheduler.relievedAt = now
	limit := max(1, len(scheduler.workers)/workersPerRelief)
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		excess := worker.excess()
		if excess == (unit.Resources{}) {
			worker.overfullSince = 0
			continue
		}
		if worker.overfullSince == 0 {
			worker.overfullSince = now
		}
		if limit == 0 || !worker.reachable || worker.overdue || worker.Draining || now.Sub(worker.overfullSince) < relieveDelay {
			continue
		}
		if scheduler.relieve(worker, excess, now) {
			limit--
		}
	}
}

// excess returns by how much the runs that do not end by themselves exceed the capacity of a worker: by the memory that they
// reserve, and by the processors that standing tasks are expected to use. What these reserve beyond that they can do without, and
// a move interrupts them. Runs that are being stopped do not count.
func (worker *workerState) excess() unit.Resources {
	held := unit.Resources{}
	for _, run := range worker.runs {
		switch {
		case run.stopping:
		case run.step.Standing:
			held = held.Add(unit.Resources{CPU: run.step.Need.CPU * servingLoadPercent / 100, Memory: run.step.Need.Memory})
		case run.step.Fills:
			held.Memory += run.step.Need.Memory
		}
	}
	return unit.Resources{CPU: max(0, held.CPU-worker.Capacity.CPU), Memory: max(0, held.Memory-worker.Capacity.Memory)}
}

// relieve stops one run on a worker, and reports whether it did.
func (scheduler *Scheduler) relieve(worker *workerState, excess unit.Resources, now clock.Time) bool {
	if excess.Memory > 0 {
		if run := fillingRunToStop(worker); run != nil {
			scheduler.stopRun(run)
			return true
		}
	}
	var best *activeRun
	var bestTarget *workerState
	for _, run := range sortedRuns(worker) {
		if !run.step.Standing || run.step.MayMiss > 0 || run.step.Gang || run.stopping || run.job.HasCrashes(run.name) {
			continue
		}
		if best != nil && compareRelief(run, best, excess) >= 0 {
			continue
		}
		if target := scheduler.reliefTarget(run, now); target != nil {
			best, bestTarget = run, target
		}
	}
	if best == nil {
		return false
	}
	scheduler.transferRun(best, bestTarget, now)
	return true
}

// fillingRunToStop returns the filling run that loses least: one with checkpoints, or else the one with the least progress. It
// returns nil if there is none.
func fillingRunToStop(worker *workerState) *activeRun {
	var best *activeRun
	for _, run := range sortedRuns(worker) {
		if !run.step.Fills || run.step.Gang || run.stopping {
			continue
		}
		if best == nil || run.step.Checkpoints && !best.step.Checkpoints || run.step.Checkpoints == best.step.Checkpoints && run.progressPercent < best.progressPercent {
			best = run
		}
	}
	return best
}

// compareRelief orders standing runs by how well their end relieves a worker: the smallest that suffices first, then the
// largest.
func compareRelief(left, right *activeRun, excess unit.Resources) int {
	suffices := func(run *activeRun) int {
		if need := run.step.Reserved(); need.CPU >= excess.CPU && need.Memory >= excess.Memory {
			return 0
		}
		return 1
	}
	if order := cmp.Compare(suffices(left), suffices(right)); order != 0 {
		return order
	}
	if suffices(left) == 0 {
		return cmp.Compare(left.step.Need.CPU, right.step.Need.CPU)
	}
	return cmp.Compare(right.step.Need.CPU, left.step.Need.CPU)
}

// reliefTarget returns the worker with the most room for the task of a standing run, or nil if none has room.
func (scheduler *Scheduler) reliefTarget(run *activeRun, now clock.Time) *workerState {
	var targets []*workerState
	for _, incarnation := range scheduler.sortedWorkers() {
		target := scheduler.workers[incarnation]
		if target != run.worker && !target.hasShrunk(now) && scheduler.mayPlaceRun(run, target, now) && scheduler.fitsAfter(run, target, nil, now) {
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		return nil
	}
	return slices.MaxFunc(targets, func(left, right *workerState) int {
		return cmp.Compare(left.Capacity.CPU-left.reserved.CPU, right.Capacity.CPU-right.reserved.CPU)
	})
}
