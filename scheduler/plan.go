package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of placement. Penalties and weights apply to the score of a worker, which is a share of its CPU capacity.
const (
	// servingLoadPercent is the share of its reservation that a standing task is expected to use.
	servingLoadPercent = 60
	// headroomPercent is the share of a worker's CPU capacity that is kept free of standing tasks, for quick ones.
	headroomPercent = 6
	// headroomWait is how long a standing task waits before it may use the headroom too. It must start within
	// 3 s after it became ready if any worker has room for it.
	headroomWait = 1200 * clock.Millisecond
	// worthlessFactor times the objective is the age from which finishing a job has no value.
	worthlessFactor = 3
	// starvationAge is the age from which the filling tasks of a job without an active run may be placed on
	// workers without idle cores, while less than half of the CPU capacity of its service is reserved.
	starvationAge = 8 * clock.Second
	// replanInterval is how often waiting tasks are planned without an event, because quarantines end and
	// tail latencies fall.
	replanInterval = 250 * clock.Millisecond
	// remoteDataPenalty lowers the score of a worker outside the rack that holds the task's data.
	remoteDataPenalty = 0.5
	// minFillingSpeed is the share of its full speed that a filling task must be expected to reach on a worker. Tasks
	// that would be slower wait: while filling tasks request more cores than there are, more jobs meet their objective
	// if fewer of them run at a time.
	minFillingSpeed = 0.75
	// minLateSpeed is that share for a job that is late by its objective or more. Until then the share falls evenly, so
	// that no late job waits for good for a worker on which it would be fast. Jobs that are worth nothing more ask for as
	// little only while no others wait, because they would take room from jobs that are.
	minLateSpeed = 0.25
	// fillingSpeedWeight makes the expected speed of a filling task count more than a worker's free cores.
	fillingSpeedWeight = 2.0
	// imageAffinityWeight favours placing standing tasks beside those of the same image, because the same
	// filling images slow them.
	imageAffinityWeight = 0.5
	// failurePenalty lowers the score of a worker by each failure of the same job there.
	failurePenalty = 1.0
)

// candidate is a step of an occurrence that has waiting tasks.
type candidate struct {
	record     *jobRecord
	occurrence *workflow.Occurrence
	step       int
	rank       int
	// latestStart is the last time at which the remaining steps can start to meet the job's objective.
	latestStart clock.Time
	// remainingWork is that of the occurrence in thousandths of a core times milliseconds. It is set only
	// for filling tasks, of which those with less remaining work come first, also among those that are late.
	remainingWork int64
	indices       []int
	// minSpeed is the share of its full speed that a filling task must be expected to reach on a worker.
	minSpeed float64
}

// Ranks of candidates, in the order in which they are placed.
const (
	rankQuick = iota
	rankStanding
	rankFilling
	rankLate
	rankWorthless
)

// Plan places waiting tasks on workers. The time of day, in Unix milliseconds, decides which occurrences
// are due.
func (scheduler *Scheduler) Plan(now clock.Time, timeOfDay int64) {
	for _, record := range scheduler.open {
		if record.job.AddDueOccurrences(timeOfDay) {
			scheduler.dirty = true
			scheduler.dirtyJobs[record.job.Spec.ID] = record
		}
	}
	scheduler.learnFromReplicas(now)
	scheduler.quarantineStalled(now)
	scheduler.moveThrottled(now)
	scheduler.rebalanceServing(now)
	if !scheduler.dirty && now.Sub(scheduler.plannedAt) < replanInterval {
		return
	}
	scheduler.dirty, scheduler.plannedAt = false, now
	blocked := blockedNeeds{}
	valuableWaits := false
	for _, candidate := range scheduler.candidates(now) {
		switch {
		case candidate.rank == rankFilling || candidate.rank == rankLate:
			valuableWaits = true
		case candidate.rank == rankWorthless && !valuableWaits:
			candidate.minSpeed = minLateSpeed
		}
		scheduler.placeStep(candidate, blocked, now)
	}
}

// blockedNeeds holds, for requirements with which a task found no room, the lowest speed that was asked for. Other
// tasks with the same requirements that ask for this speed or a higher one are not tried.
type blockedNeeds map[blockKey]float64

// has reports whether a task with the requirements that asks for the speed would find no room.
func (blocked blockedNeeds) has(key blockKey, minSpeed float64) bool {
	lowest, ok := blocked[key]
	return ok && minSpeed >= lowest
}

// add records that a task with the requirements that asked for the speed found no room.
func (blocked blockedNeeds) add(key blockKey, minSpeed float64) {
	if !blocked.has(key, minSpeed) {
		blocked[key] = minSpeed
	}
}

// blockKey holds the requirements, other than a speed, that decide whether a task finds room on any worker.
type blockKey struct {
	need     unit.Resources
	fills    bool
	starved  bool
	standing bool
	service  workflow.Service
	label    string
	image    string
	dataRack string
}

// quarantineStalled quarantines workers with several stalled runs and no run that makes progress, and stops
// the stalled runs.
func (scheduler *Scheduler) quarantineStalled(now clock.Time) {
	for _, worker := range scheduler.workers {
		if !worker.reachable || now.Before(worker.health.quarantinedUntil) {
			continue
		}
		stalledRuns, hasProgress := []*activeRun{}, false
		for _, run := range worker.runs {
			if run.step.Standing || run.stopping || run.step.Gang {
				continue
			}
			if now.Sub(max(run.placedAt, run.progressAt)) > stallTimeout {
				stalledRuns = append(stalledRuns, run)
			} else if run.progressPercent > 0 {
				hasProgress = true
			}
		}
		if hasProgress || len(stalledRuns) < minStalledRuns {
			continue
		}
		worker.health.quarantine(now)
		scheduler.dirty = true
		for _, run := range stalledRuns {
			scheduler.stopRun(run)
		}
	}
}

// candidates returns the steps with waiting tasks in the order in which they are placed. It also updates
// since when each job has a waiting standing task.
func (scheduler *Scheduler) candidates(now clock.Time) []candidate {
	var list []candidate
	capacity := scheduler.fillingCapacity(now)
	for _, record := range scheduler.open {
		standing := false
		for _, occurrence := range record.job.Occurrences {
			for step := range occurrence.Steps {
				if occurrence.Unfinished(step) == 0 || !record.job.Ready(occurrence, step) {
					continue
				}
				var indices []int
				for index, task := range occurrence.Steps[step] {
					if task.Phase == workflow.Waiting {
						indices = append(indices, index)
					}
				}
				if len(indices) > 0 {
					standing = standing || record.job.Spec.Steps[step].Standing
					list = append(list, newCandidate(record, occurrence, step, indices, capacity, now))
				}
			}
		}
		switch {
		case !standing:
			record.standingWaitSince = 0
		case record.standingWaitSince == 0:
			record.standingWaitSince = now
		}
	}
	slices.SortFunc(list, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.remainingWork, right.remainingWork), cmp.Compare(left.latestStart, right.latestStart),
			strings.Compare(string(left.record.job.Spec.ID), string(right.record.job.Spec.ID)), cmp.Compare(left.step, right.step))
	})
	return list
}

// newCandidate returns a candidate with the rank that follows from its step and from its job's objective.
func newCandidate(record *jobRecord, occurrence *workflow.Occurrence, step int, indices []int, capacity coresByImage, now clock.Time) candidate {
	spec := &record.job.Spec
	acceptedAt := record.acceptedAt
	objective := spec.Objective()
	latestStart := acceptedAt.Add(objective - record.job.RemainingCriticalPath(occurrence, func(number int) float64 {
		return capacity.expectedSlowdown(&spec.Steps[number], occurrence.Unfinished(number))
	}))
	candidate := candidate{record: record, occurrence: occurrence, step: step, indices: indices, latestStart: latestStart, minSpeed: minFillingSpeed}
	switch stepSpec := spec.Steps[step]; {
	case stepSpec.Standing:
		candidate.rank = rankStanding
	case !stepSpec.Fills && spec.Policy.Priority == 0:
		candidate.rank = rankQuick
	case spec.Repetitions > 0 || !now.After(latestStart):
		candidate.rank, candidate.remainingWork = rankFilling, record.job.RemainingWork(occurrence)
	case now.Sub(acceptedAt) < worthlessFactor*objective:
		candidate.rank, candidate.remainingWork = rankLate, record.job.RemainingWork(occurrence)
		candidate.minSpeed = lateSpeed(now.Sub(latestStart), objective)
	default:
		candidate.rank = rankWorthless
	}
	return candidate
}

// lateSpeed returns the share of its full speed that a filling task must be expected to reach if its job is late by the
// given time.
func lateSpeed(late, objective clock.Millis) float64 {
	share := float64(late) / float64(max(1, objective))
	return minFillingSpeed - (minFillingSpeed-minLateSpeed)*min(share, 1)
}

// placeStep places the waiting tasks of a step until one finds no room, and records the requirements of that
// task in blocked. Standing tasks that are being moved are placed where room is held for them.
func (scheduler *Scheduler) placeStep(candidate candidate, blocked blockedNeeds, now clock.Time) {
	job := candidate.record.job
	step := &job.Spec.Steps[candidate.step]
	if step.Gang {
		scheduler.placeGang(candidate, now)
		return
	}
	starved := step.Fills && candidate.record.activeRuns == 0 && now.Sub(candidate.record.acceptedAt) > starvationAge && scheduler.isMostlyUnreserved(job.Spec.Service)
	key := blockKey{
		need: step.Need, fills: step.Fills, starved: starved, standing: step.Standing, service: job.Spec.Service, label: step.Label, image: step.Image, dataRack: step.DataRack,
	}
	// A limit per worker, and workers that are avoided after failures, depend on the job.
	dependsOnJob := step.PerWorker > 0 || len(candidate.record.failuresByWorker) > 0
	for _, index := range candidate.indices {
		name := workflow.Name{Job: job.Spec.ID, Occurrence: candidate.occurrence.Number, Step: candidate.step, Index: index}
		worker, waits := scheduler.transferTarget(candidate.record, name, now)
		if waits {
			continue
		}
		if worker == nil && (dependsOnJob || !blocked.has(key, candidate.minSpeed)) {
			worker = scheduler.chooseWorker(candidate.record, step, name, starved, candidate.minSpeed, now)
		}
		if worker == nil {
			if !dependsOnJob {
				blocked.add(key, candidate.minSpeed)
			}
			if step.Standing {
				continue // The room for the others may be held.
			}
			return
		}
		scheduler.placeTask(candidate.record, step, name, job.NextRun(name), worker, now)
	}
}

// placeGang places all tasks of a gang or none.
func (scheduler *Scheduler) placeGang(candidate candidate, now clock.Time) {
	job := candidate.record.job
	step := &job.Spec.Steps[candidate.step]
	if len(candidate.indices) < step.Count {
		return // Some members are still running or being stopped.
	}
	first := workflow.Name{Job: job.Spec.ID, Occurrence: candidate.occurrence.Number, Step: candidate.step}
	number := job.NextRun(first)
	var members []*activeRun
	for index := range step.Count {
		name := first
		name.Index = index
		worker := scheduler.chooseWorker(candidate.record, step, name, false, candidate.minSpeed, now)
		if worker == nil {
			for _, run := range members {
				run.worker.remove(run)
			}
			return
		}
		run := &activeRun{name: name, number: number, job: job, step: step, worker: worker, placedAt: now, progressAt: now}
		worker.add(run)
		members = append(members, run)
	}
	for _, run := range members {
		run.worker.remove(run)
		scheduler.placeTask(candidate.record, step, run.name, number, run.worker, now)
	}
}

// placeTask places a run of the task on the worker and orders its start.
func (scheduler *Scheduler) placeTask(record *jobRecord, step *workflow.Step, name workflow.Name, number workflow.Run, worker *workerState, now clock.Time) {
	record.job.Place(name, number, string(worker.Incarnation))
	record.activeRuns++
	run := &activeRun{name: name, number: number, job: record.job, step: step, worker: worker, placedAt: now, progressAt: now}
	worker.add(run)
	scheduler.dirtyJobs[record.job.Spec.ID] = record
	scheduler.orders = append(scheduler.orders, Order{Worker: worker.Incarnation, Name: name, Run: number, Job: record.job})
}

// chooseWorker returns the eligible worker with the highest score for the task, or nil.
func (scheduler *Scheduler) chooseWorker(
	record *jobRecord, step *workflow.Step, name workflow.Name, starved bool, minSpeed float64, now clock.Time,
) *workerState {
	var best *workerState
	bestScore := 0.0
	for _, worker := range scheduler.workers {
		if !scheduler.mayPlace(record, step, worker, now) || !worker.hasRoom(step, record.headroom(step, worker, now)) {
			continue
		}
		if step.PerWorker > 0 && worker.stepRuns(name) >= step.PerWorker {
			continue
		}
		if step.Fills && !starved && !hasIdleCores(step, worker) {
			continue
		}
		score := score(record, step, worker)
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
		if best == nil || score > bestScore || (score == bestScore && worker.Incarnation < best.Incarnation) {
			best, bestScore = worker, score
		}
	}
	return best
}

// mayPlace reports whether tasks of the step may be placed on the worker, whether or not there is room.
func (scheduler *Scheduler) mayPlace(record *jobRecord, step *workflow.Step, worker *workerState, now clock.Time) bool {
	return worker.isEligible(step, record.job.Spec.Service) && !scheduler.outDataCentres.Has(worker.DataCentre) && worker.acceptsRuns(now)
}

// headroom returns the resources that a task of the step must leave free on a worker. Only standing tasks
// must, and only during the first headroomWait.
func (record *jobRecord) headroom(step *workflow.Step, worker *workerState, now clock.Time) unit.Resources {
	if !step.Standing || record.standingWaitSince != 0 && now.Sub(record.standingWaitSince) >= headroomWait {
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

// score favours workers with a large share of free cores, workers in the rack that holds the data, and
// workers on which the job has not failed.
func score(record *jobRecord, step *workflow.Step, worker *workerState) float64 {
	capacity := float64(max(1, worker.Capacity.CPU))
	free := float64(worker.idleCPU()-worker.fillingCPU) / capacity
	if step.Standing {
		free = float64(worker.Capacity.CPU-worker.reserved.CPU) / capacity
	}
	if step.DataRack != "" && !slices.Contains(worker.Labels, step.DataRack) {
		free -= remoteDataPenalty
	}
	return free - failurePenalty*float64(record.failuresByWorker[worker.Incarnation])
}

func compareNames(left, right workflow.Name) int {
	return cmp.Or(strings.Compare(string(left.Job), string(right.Job)), cmp.Compare(left.Occurrence, right.Occurrence),
		cmp.Compare(left.Step, right.Step), cmp.Compare(left.Index, right.Index))
}
