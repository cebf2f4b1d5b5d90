package scheduler

import (
	"cmp"
	"slices"

	"hyssopjunction/blame"
	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of trials. A trial is the start of tasks that may crash their worker, on a worker where no other run starts
// shortly before or after them, so that a crash tells whether they cause it.
const (
	// workersPerTrial is the number of workers for each trial at a time.
	workersPerTrial = 4
	// trialStartTime is how long the start of a run takes from its placement until the worker has it.
	trialStartTime = 100 * clock.Millisecond
	// standingRestartCost is how much work of a standing run is lost with its worker, as time.
	standingRestartCost = 3 * clock.Second
)

// trialKey identifies the step whose tasks are tried together. If one of them is given up, the job fails with all of them, so
// they need not be told apart.
type trialKey struct {
	job        workflow.ID
	occurrence int
	step       int
}

// trialState holds the workers that are reserved for trials.
type trialState struct {
	reserved map[trialKey]*workerState
}

func newTrialState() trialState { return trialState{reserved: map[trialKey]*workerState{}} }

// separateSuspects separates the tasks that may only be started as a trial from the other candidates.
func (scheduler *Scheduler) separateSuspects(candidates []candidate, now clock.Time) (healthy, suspects []candidate) {
	if len(scheduler.crashes.jobs) == 0 {
		return candidates, nil
	}
	for _, waiting := range candidates {
		others, tried := scheduler.splitSuspects(waiting, now)
		if len(others.indices) > 0 {
			healthy = append(healthy, others)
		}
		if len(tried.indices) > 0 {
			suspects = append(suspects, tried)
		}
	}
	return healthy, suspects
}

// splitSuspects removes the tasks that may only be started as a trial, or not at all for now, from a candidate. It returns
// those for a trial. All members of a gang are tried if one of them is a suspect.
func (scheduler *Scheduler) splitSuspects(waiting candidate, now clock.Time) (healthy, suspects candidate) {
	record := waiting.record
	if len(record.job.Crashes) == 0 {
		return waiting, candidate{}
	}
	healthy, suspects = waiting, waiting
	healthy.indices, suspects.indices = nil, nil
	isHeld := false
	for _, index := range waiting.indices {
		name := waiting.taskName(index)
		switch scheduler.assess(record, name, now) {
		case blame.Culprit:
			isHeld = true // The job fails unless another crash turns out to have the same cause.
		case blame.Suspect:
			suspects.indices = append(suspects.indices, index)
		default:
			healthy.indices = append(healthy.indices, index)
		}
	}
	if waiting.spec().Gang {
		if isHeld {
			return candidate{}, candidate{}
		}
		if len(suspects.indices) > 0 {
			return candidate{}, waiting
		}
	}
	return healthy, suspects
}

// taskName returns the name of a task of the candidate.
func (waiting *candidate) taskName(index int) workflow.Name {
	return workflow.Name{Job: waiting.record.job.Spec.ID, Occurrence: waiting.occurrence.Number, Step: waiting.step, Index: index}
}

// placeTrials places tasks that may crash their worker. Those that are least likely to do so come first: they are needed, and
// each crash takes a worker away from the others.
func (scheduler *Scheduler) placeTrials(candidates []candidate, now clock.Time) {
	trials := &scheduler.crashes.trials
	slices.SortStableFunc(candidates, func(left, right candidate) int {
		return cmp.Compare(blame.Weight(left.crashes()), blame.Weight(right.crashes()))
	})
	current := map[trialKey]struct{}{}
	for _, suspects := range candidates {
		current[suspects.trialKey()] = struct{}{}
	}
	for key := range trials.reserved {
		if _, ok := current[key]; !ok {
			scheduler.endReservation(key)
		}
	}
	for _, suspects := range candidates {
		scheduler.considered = suspects.record.job.Spec.ID
		if suspects.spec().Gang {
			scheduler.placeGangTrial(suspects, now)
			continue
		}
		scheduler.placeTrial(suspects, now)
	}
}

func (waiting *candidate) trialKey() trialKey {
	return trialKey{job: waiting.record.job.Spec.ID, occurrence: waiting.occurrence.Number, step: waiting.step}
}

// endReservation opens a reserved worker for other runs.
func (scheduler *Scheduler) endReservation(key trialKey) {
	if worker, ok := scheduler.crashes.trials.reserved[key]; ok {
		worker.isReserved = false
		delete(scheduler.crashes.trials.reserved, key)
		scheduler.dirty = true
	}
}

// placeTrial reserves a worker for the tasks of a step, and places them there once no run has started on it for a while.
func (scheduler *Scheduler) placeTrial(suspects candidate, now clock.Time) {
	record, step, key := suspects.record, suspects.spec(), suspects.trialKey()
	window := blame.Window(suspects.crashes())
	worker, ok := scheduler.crashes.trials.reserved[key]
	if ok && (scheduler.workers[worker.Incarnation] != worker || !scheduler.mayTry(record, step, worker, now) || !worker.hasRoom(step, unit.Resources{})) {
		scheduler.endReservation(key)
		ok = false
	}
	if !ok {
		if worker = scheduler.reserveWorker(suspects, now); worker == nil {
			return
		}
	}
	if now.Sub(worker.lastPlacedAt) < trialStartTime+window {
		return
	}
	scheduler.endReservation(key)
	atRisk := worker.workAtRisk(now)
	for _, index := range suspects.indices {
		name := suspects.taskName(index)
		if !worker.hasRoom(step, unit.Resources{}) || step.PerWorker > 0 && worker.stepRuns(name) >= step.PerWorker {
			break // The others are tried next.
		}
		scheduler.placeSuspect(record, step, name, record.job.NextRun(name), worker, atRisk, now)
	}
	worker.trialUntil = now.Add(trialStartTime + window)
}

// placeGangTrial places all members of a gang, on workers on which no run has started for a while, or none.
func (scheduler *Scheduler) placeGangTrial(suspects candidate, now clock.Time) {
	window := blame.Window(suspects.crashes())
	members := scheduler.chooseGang(suspects, now, func(worker *workerState) bool { return now.Sub(worker.lastPlacedAt) >= trialStartTime+window })
	for _, run := range members {
		scheduler.placeSuspect(suspects.record, run.step, run.name, run.number, run.worker, run.worker.workAtRisk(now), now)
	}
	for _, run := range members {
		run.worker.trialUntil = now.Add(trialStartTime + window)
	}
}

// placeSuspect places a task as part of a trial.
func (scheduler *Scheduler) placeSuspect(
	record *jobRecord, step *workflow.Step, name workflow.Name, number workflow.Run, worker *workerState, atRisk float64, now clock.Time,
) {
	scheduler.endTransfer(name)
	delete(scheduler.fillingMoves, name)
	scheduler.placeTask(record, step, name, number, worker, now)
	crashes := record.job.CrashesOf(name)
	scheduler.crashes.events = append(scheduler.crashes.events, CrashEvent{
		Kind: CrashTried, Name: name, Run: number, Worker: worker.Incarnation, Crashes: len(crashes), Verdict: scheduler.assess(record, name, now), AtRisk: atRisk,
	})
}

// reserveWorker keeps the worker with the least work from other starts for a trial, or returns nil if none is to be had.
func (scheduler *Scheduler) reserveWorker(suspects candidate, now clock.Time) *workerState {
	record, step := suspects.record, suspects.spec()
	inUse, usable := 0, 0
	var best *workerState
	bestCost := 0.0
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		if worker.isReserved || now.Before(worker.trialUntil) {
			inUse++
		}
		if worker.reachable && !worker.overdue {
			usable++
		}
		if worker.isReserved || !scheduler.mayTry(record, step, worker, now) || !worker.hasRoom(step, unit.Resources{}) {
			continue
		}
		if step.PerWorker > 0 && worker.stepRuns(suspects.taskName(suspects.indices[0])) >= step.PerWorker {
			continue
		}
		cost := worker.workAtRisk(now)
		if suspects.hasCrashed(incarnation.Node()) || scheduler.crashes.ledger.IsUnreliable(incarnation.Node()) {
			cost += float64(worker.Capacity.CPU) * float64(standingRestartCost) // A crash there would prove little.
		}
		if best == nil || cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	if best == nil || inUse >= max(1, usable/workersPerTrial) {
		return nil
	}
	best.isReserved = true
	scheduler.crashes.trials.reserved[suspects.trialKey()] = best
	return best
}

// crashes returns the crashes that the tasks of the candidate may have caused.
func (waiting *candidate) crashes() []workflow.Crash {
	var crashes []workflow.Crash
	for _, index := range waiting.indices {
		crashes = append(crashes, waiting.record.job.CrashesOf(waiting.taskName(index))...)
	}
	return crashes
}

// hasCrashed reports whether a task of the candidate may have caused a crash of the node's worker.
func (waiting *candidate) hasCrashed(node string) bool {
	return slices.ContainsFunc(waiting.crashes(), func(crash workflow.Crash) bool { return Incarnation(crash.Worker).Node() == node })
}

// mayTry reports whether a trial of the step may be placed on the worker, whether or not there is room. The worker may be
// reserved for it.
func (scheduler *Scheduler) mayTry(record *jobRecord, step *workflow.Step, worker *workerState, now clock.Time) bool {
	return worker.isEligible(step, record.job.Spec.Service) && !scheduler.outDataCentres.Has(worker.DataCentre) &&
		!now.Before(worker.trialUntil) && worker.isInService(now) && !worker.hasTrialRun()
}

// workAtRisk returns the work on a worker that its crash would cost, in thousandths of a core times milliseconds. Runs with
// checkpoints lose about a second.
func (worker *workerState) workAtRisk(now clock.Time) float64 {
	total := 0.0
	for _, run := range worker.runs {
		lost := now.Sub(run.placedAt)
		switch {
		case run.step.Standing:
			lost = standingRestartCost
		case run.step.Checkpoints:
			lost = min(lost, clock.Second)
		}
		total += float64(run.step.Need.CPU) * float64(lost)
	}
	return total
}
