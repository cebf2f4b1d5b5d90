package scheduler

import (
	"hyssopjunction/account"
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/mechanism"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Times of planning.
const (
	// starvationAge is the age from which the filling tasks of a job without an active run may be placed on
	// workers without idle cores, while less than half of the CPU capacity of its service is reserved.
	starvationAge = 8 * clock.Second
	// replanInterval is how often waiting tasks are planned without an event, because quarantines end and
	// tail latencies fall.
	replanInterval = 250 * clock.Millisecond
)

// Plan places waiting tasks on workers. The time of day, in Unix milliseconds, decides which occurrences
// are due.
func (scheduler *Scheduler) Plan(now clock.Time, timeOfDay int64) {
	scheduler.plan(now, timeOfDay)
	scheduler.considered = ""
}

func (scheduler *Scheduler) plan(now clock.Time, timeOfDay int64) {
	scheduler.now = now
	scheduler.addDueOccurrences(timeOfDay)
	scheduler.giveUpCulprits(now)
	scheduler.blockNodes(now)
	scheduler.learnFromReplicas(now)
	if scheduler.uses(mechanism.StallQuarantine) {
		scheduler.quarantineStalled(now)
	}
	if scheduler.uses(mechanism.Moves) {
		scheduler.moveSlow(now)
	}
	scheduler.expireTransfers(now) // Also without colocation, because packing holds rooms too.
	if scheduler.uses(mechanism.Colocation) {
		scheduler.rebalanceServing(now)
	}
	if !scheduler.dirty && now.Sub(scheduler.plannedAt) < replanInterval {
		return
	}
	scheduler.dirty, scheduler.plannedAt = false, now
	scheduler.racks.startRound(now)
	blocked := blockedNeeds{}
	valuableWaits := false
	var filling []candidate
	candidates, suspects := scheduler.separateSuspects(scheduler.candidates(now), now)
	for _, suspect := range suspects {
		suspect.accountWait(account.Held, now)
	}
	scheduler.placeTrials(suspects, now)
	for _, candidate := range candidates {
		scheduler.considered = candidate.record.job.Spec.ID
		switch {
		case candidate.rank == rankFilling || candidate.rank == rankLate:
			valuableWaits = true
		case candidate.rank == rankWorthless && !valuableWaits:
			candidate.minSpeed = minLateSpeed
		}
		if step := candidate.spec(); step.Fills && !step.Gang {
			filling = append(filling, candidate)
			continue
		}
		scheduler.placeStep(candidate, blocked, now)
	}
	scheduler.assignFilling(filling, blocked, now)
	scheduler.makeRoom(now)
	scheduler.considered = ""
	if scheduler.uses(mechanism.Copies) {
		scheduler.placeCopies(now)
	}
}

// blockedNeeds holds, for requirements with which a task found no room, the lowest speed that was asked for. Other
// tasks with the same requirements that ask for this speed or a higher one are not tried.
type blockedNeeds map[blockKey]blockedNeed

// blockedNeed is the lowest speed with which a task found no room, and what it waits for.
type blockedNeed struct {
	speed float64
	cause account.Cause
}

// has reports whether a task with the requirements that asks for the speed would find no room.
func (blocked blockedNeeds) has(key blockKey, minSpeed float64) bool {
	lowest, ok := blocked[key]
	return ok && minSpeed >= lowest.speed
}

// add records that a task with the requirements that asked for the speed found no room.
func (blocked blockedNeeds) add(key blockKey, minSpeed float64, cause account.Cause) {
	if !blocked.has(key, minSpeed) {
		blocked[key] = blockedNeed{speed: minSpeed, cause: cause}
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

// newBlockKey returns the requirements of a step of a job of the service.
func newBlockKey(service workflow.Service, step *workflow.Step, starved bool) blockKey {
	return blockKey{
		need: step.Need, fills: step.Fills, starved: starved, standing: step.Standing, service: service, label: step.Label, image: step.Image, dataRack: step.DataRack,
	}
}

// quarantineStalled quarantines workers with several stalled runs and no run that makes progress, and stops
// the stalled runs. Time without reports does not count.
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
			if worker.listedAt.Sub(max(run.placedAt, run.progressAt)) > scheduler.stallTime(run) {
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
			scheduler.stopRun(run, StopStalled)
		}
	}
}

// stallTime returns the time without progress after which a run counts as stalled: its progress is known in whole percent, and a percent
// of a long task takes long.
func (scheduler *Scheduler) stallTime(run *activeRun) clock.Millis {
	return max(stallTimeout, stallPercents*scheduler.calibration.Expected(string(run.job.Spec.Queue), run.step.Estimate)/100)
}

// placeStep places the waiting tasks of a step that does not fill, or is a gang, until one finds no room, and records the requirements of that
// task in blocked. Standing tasks that are being moved are placed where room is held for them.
func (scheduler *Scheduler) placeStep(candidate candidate, blocked blockedNeeds, now clock.Time) {
	job := candidate.record.job
	step := &job.Spec.Steps[candidate.step]
	if step.Gang {
		scheduler.placeGang(candidate, now)
		return
	}
	key := newBlockKey(job.Spec.Service, step, false)
	// A limit per worker, and workers that are avoided after failures, depend on the job.
	dependsOnJob := step.PerWorker > 0 || len(candidate.record.failuresByWorker) > 0
	for _, index := range candidate.indices {
		name := workflow.Name{Job: job.Spec.ID, Occurrence: candidate.occurrence.Number, Step: candidate.step, Index: index}
		candidate.accountWait(account.Room, now)
		worker, waits := scheduler.transferTarget(candidate.record, name, now)
		if waits {
			continue
		}
		if worker == nil && (dependsOnJob || !blocked.has(key, candidate.minSpeed)) {
			worker, waits = scheduler.chooseOrWait(candidate, step, name, key, now)
			if waits {
				candidate.accountWait(account.Rack, now)
				scheduler.copies.recordWaiting(candidate, step.DataRack, now)
			}
		}
		if waits {
			continue
		}
		if worker == nil {
			scheduler.copies.recordWaiting(candidate, "", now)
			if !dependsOnJob {
				blocked.add(key, candidate.minSpeed, account.Room)
			}
			if step.Standing {
				scheduler.unplaced = append(scheduler.unplaced, waitingTask{record: candidate.record, step: step, name: name})
				continue // The room for the others may be held.
			}
			return
		}
		scheduler.placeTask(candidate.record, step, name, job.NextRun(name), worker, now)
	}
}

// placeGang places all tasks of a gang or none.
func (scheduler *Scheduler) placeGang(candidate candidate, now clock.Time) {
	step := candidate.spec()
	for _, run := range scheduler.chooseGang(candidate, now, func(*workerState) bool { return true }) {
		scheduler.placeTask(candidate.record, step, run.name, run.number, run.worker, now)
	}
}

// chooseGang returns runs of all tasks of a gang on workers that mayUse accepts. It returns none if there is no room for all, or
// if some members are still running or being stopped.
func (scheduler *Scheduler) chooseGang(candidate candidate, now clock.Time, mayUse func(*workerState) bool) []*activeRun {
	job, step := candidate.record.job, candidate.spec()
	if len(candidate.indices) < step.Count {
		return nil
	}
	number := job.NextRun(candidate.taskName(0))
	var members []*activeRun
	defer func() {
		for _, run := range members {
			run.worker.remove(run)
		}
	}()
	for index := range step.Count {
		name := candidate.taskName(index)
		worker := scheduler.chooseWorkerAmong(candidate.record, step, name, false, candidate.minSpeed, now, mayUse)
		if worker == nil {
			scheduler.copies.recordWaiting(candidate, "", now)
			return nil
		}
		run := &activeRun{name: name, number: number, job: job, step: step, worker: worker, placedAt: now, progressAt: now}
		worker.add(run)
		members = append(members, run)
	}
	return members
}

// placeTask places a run of the task on the worker and orders its start.
func (scheduler *Scheduler) placeTask(record *jobRecord, step *workflow.Step, name workflow.Name, number workflow.Run, worker *workerState, now clock.Time) {
	isCopy := record.job.Task(name).Phase != workflow.Waiting
	record.job.Place(name, number, string(worker.Incarnation))
	delete(record.rackWaits, name)
	record.activeRuns++
	run := &activeRun{name: name, number: number, job: record.job, step: step, worker: worker, placedAt: now, observedAt: now, progressAt: now, isCopy: isCopy}
	worker.add(run)
	record.accountPlacement(run, now)
	worker.lastPlacedAt = now
	scheduler.copies.add(run)
	record.runs.Add(run)
	scheduler.dirtyJobs[record.job.Spec.ID] = record
	record.recordDecision(explanation.Placed, "last on "+string(worker.Incarnation), now)
	scheduler.orders = append(scheduler.orders, Order{Worker: worker.Incarnation, Name: name, Run: number, Job: record.job})
}
