package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/mechanism"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of the choice of a worker. Penalties and weights apply to the score of a worker, which is a share of its CPU
// capacity.
const (
	// servingLoadPercent is the share of its reservation that a standing task is expected to use on average. It reserves for
	// its peaks, which do not come on all workers at the same time.
	servingLoadPercent = 50
	// headroomPercent is the share of a worker's CPU capacity that is kept free of standing tasks, for quick ones.
	headroomPercent = 6
	// headroomWait is how long a standing task waits before it may use the headroom too. It must start within
	// 3 s after it became ready if any worker has room for it.
	headroomWait = 1200 * clock.Millisecond
	// fillingSpeedWeight makes the expected speed of a filling task count more than a worker's free cores.
	fillingSpeedWeight = 2.0
	// imageAffinityWeight favours placing standing tasks beside those of the same image, because the same
	// filling images slow them.
	imageAffinityWeight = 0.5
	// failurePenalty lowers the score of a worker by each failure of the same job there.
	failurePenalty = 1.0
	// slowWorkerSpeed is the speed up to which a worker counts as slow for tasks with reserved cores. Their durations are
	// known to about a quarter, because ends are listed twice a second.
	slowWorkerSpeed = 0.7
	// hotRackPenalty lowers the score of a worker on a rack for which tasks wait, for tasks whose data is not there. It is
	// worth half of a worker's cores: other racks are preferred until they are almost full.
	hotRackPenalty = 0.5
)

// chooseWorker returns the eligible worker with the highest score for the task, or nil. A task with reserved cores goes to a
// worker on which it ends soonest: on the rack of its data, and not on a slow worker.
func (scheduler *Scheduler) chooseWorker(
	record *jobRecord, step *workflow.Step, name workflow.Name, starved bool, minSpeed float64, now clock.Time,
) *workerState {
	return scheduler.chooseWorkerAmong(record, step, name, starved, minSpeed, now, func(*workerState) bool { return true })
}

// chooseWorkerAmong returns the eligible worker with the highest score for the task among those that mayUse accepts, or
// nil.
func (scheduler *Scheduler) chooseWorkerAmong(
	record *jobRecord, step *workflow.Step, name workflow.Name, starved bool, minSpeed float64, now clock.Time, mayUse func(*workerState) bool,
) *workerState {
	var best *workerState
	bestScore, bestDuration := 0.0, 0
	for _, worker := range scheduler.workers {
		if !mayUse(worker) || !scheduler.mayPlace(record, step, worker, now) || !worker.hasRoom(step, scheduler.headroom(record, step, worker, now)) {
			continue
		}
		if step.PerWorker > 0 && worker.stepRuns(name) >= step.PerWorker {
			continue
		}
		if step.Fills && !starved && !hasIdleCores(step, worker) {
			continue
		}
		score, duration := scheduler.score(record, step, worker, now), scheduler.relativeDuration(step, worker, now)
		if step.Fills {
			speed := scheduler.expectedSpeed(step, worker, now)
			if speed < minSpeed && !starved {
				continue
			}
			score += speed * fillingSpeedWeight
		}
		if step.Standing {
			score += imageAffinityWeight*imageAffinity(step, worker) - lostCoresWeight*scheduler.fillingView(now).lossByAdding(step, worker)
		}
		if best == nil || duration < bestDuration || duration == bestDuration && (score > bestScore || score == bestScore && worker.Incarnation < best.Incarnation) {
			best, bestScore, bestDuration = worker, score, duration
		}
	}
	return best
}

// relativeDuration returns the expected duration of a run with reserved cores as a multiple of half of its estimate, so that
// small differences between workers leave the choice to the score. It is 0 for filling tasks, whose score holds their speed,
// and for standing ones.
func (scheduler *Scheduler) relativeDuration(step *workflow.Step, worker *workerState, now clock.Time) int {
	if step.Fills || step.Standing {
		return 0
	}
	speed := scheduler.speedOf(worker, false, now)
	if speed > slowWorkerSpeed {
		speed = 1
	}
	return int(math.Round(2 * scheduler.bounds.DataFactor(isRemote(step, worker)) / speed))
}

// mayPlace reports whether tasks of the step may be placed on the worker, whether or not there is room.
func (scheduler *Scheduler) mayPlace(record *jobRecord, step *workflow.Step, worker *workerState, now clock.Time) bool {
	accepts := worker.acceptsRuns
	if step.Standing {
		accepts = worker.acceptsStanding
	}
	return worker.isEligible(step, record.job.Spec.Service) && !scheduler.outDataCentres.Has(worker.DataCentre) && accepts(now)
}

// headroom returns the resources that a task of the step must leave free on a worker. Only standing tasks
// must, and only during the first headroomWait.
func (scheduler *Scheduler) headroom(record *jobRecord, step *workflow.Step, worker *workerState, now clock.Time) unit.Resources {
	if !step.Standing || !scheduler.uses(mechanism.QuickHeadroom) || record.standingWaitSince != 0 && now.Sub(record.standingWaitSince) >= headroomWait {
		return unit.Resources{}
	}
	return unit.Resources{CPU: worker.Capacity.CPU * headroomPercent / 100}
}

// hasIdleCores reports whether a worker has idle cores for a filling task. A worker without filling tasks
// takes a first one of any size.
func hasIdleCores(step *workflow.Step, worker *workerState) bool {
	idle := worker.idleCPU()
	return worker.fillingCPU == 0 && idle > 0 || worker.fillingCPU+step.Need.CPU <= idle
}

// score favours workers with a large share of free cores, workers in the rack that holds the data, and workers on which
// the job has not failed. It keeps tasks that need no data away from racks for which other tasks wait.
func (scheduler *Scheduler) score(record *jobRecord, step *workflow.Step, worker *workerState, now clock.Time) float64 {
	capacity := float64(max(1, worker.Capacity.CPU))
	free := float64(worker.idleCPU()-worker.fillingCPU) / capacity
	if step.Standing {
		free = float64(worker.Capacity.CPU-worker.reserved.CPU) / capacity
	}
	remote := isRemote(step, worker)
	if remote {
		free -= scheduler.bounds.RemoteFactor - 1
	}
	if !step.Fills && (remote || step.DataRack == "") && scheduler.uses(mechanism.HotRacks) && scheduler.racks.isHot(worker, now) {
		free -= hotRackPenalty
	}
	return free - failurePenalty*float64(record.failuresByWorker[worker.Incarnation])
}

// isRemote reports whether the worker is outside the rack that holds the step's data.
func isRemote(step *workflow.Step, worker *workerState) bool {
	return step.DataRack != "" && !slices.Contains(worker.Labels, step.DataRack)
}

func compareNames(left, right workflow.Name) int {
	return cmp.Or(strings.Compare(string(left.Job), string(right.Job)), cmp.Compare(left.Occurrence, right.Occurrence),
		cmp.Compare(left.Step, right.Step), cmp.Compare(left.Index, right.Index))
}
