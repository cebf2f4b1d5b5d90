package placement

import (
	"slices"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Penalties of the score, in its own unit. The packing part of the score is at most about 200. For
// standing and urgent work, a task of the same job on the worker therefore outweighs packing, which
// spreads the job so that one failure affects few of its tasks. For batch work it only decides
// between workers that pack equally well.
const (
	standingSameWorkerPenalty = 120
	standingSameRackPenalty   = 50
	standingSameCentrePenalty = 20
	batchSameWorkerPenalty    = 4
	batchSameRackPenalty      = 2
	batchSameCentrePenalty    = 1
	// acceleratorPenalty keeps work without accelerators off workers with free accelerators.
	acceleratorPenalty = 150
	// slowdownPenaltyPerPercent applies to each percent of predicted slowdown.
	slowdownPenaltyPerPercent = 4
	// loggedCandidates is the maximum number of candidates in a Decision.
	loggedCandidates = 3
)

// sortedReservations returns the keys in ascending order.
func sortedReservations(batches map[capacity.Reservation]*reserveBatch) []capacity.Reservation {
	return set.SortedKeys(batches)
}

// usable reports whether the worker may get new work at all.
func (scheduler *Scheduler) usable(candidate *workerView) bool {
	if !candidate.hasState || candidate.unresponsive || candidate.state.Draining || candidate.drainDeadline != 0 {
		return false
	}
	return scheduler.acceptsClaims(candidate.dataCentre) &&
		scheduler.dependencies.Health.Usable(candidate.name, scheduler.now)
}

// acceptsClaims reports whether claims in the data centre are allowed: it is open, and its newest
// revision is loaded, so that claims can be made conditional on it.
func (scheduler *Scheduler) acceptsClaims(centre *dataCentreView) bool {
	return centre != nil && centre.open && centre.key != "" && centre.newestRevision <= centre.revision
}

// withinRamp reports whether a data centre that returned to service may take size now. Its load
// grows evenly over Settings.Ramp, so that caches and links warm up and little is lost if it fails
// again.
func (scheduler *Scheduler) withinRamp(centre *dataCentreView, size unit.Resources) bool {
	if centre.rampStart == 0 {
		return true
	}
	elapsed := scheduler.now.Sub(centre.rampStart)
	if elapsed >= scheduler.settings.Ramp {
		centre.rampStart = 0
		return true
	}
	rampShare := func(whole int64) int64 {
		return whole * int64(elapsed+scheduler.settings.Ramp/20) / int64(scheduler.settings.Ramp)
	}
	allowed := unit.Resources{
		CPU:          unit.MilliCPU(rampShare(int64(centre.capacity.CPU))),
		Memory:       unit.Mebibytes(rampShare(int64(centre.capacity.Memory))),
		Accelerators: unit.Accelerators(rampShare(int64(centre.capacity.Accelerators))),
	}
	return centre.rampPlaced.Add(size).FitsIn(allowed)
}

// chooseWorker returns the best of the first Settings.Candidates workers that fit, starting at a
// random one, and describes the choice in decision. It returns nil if no worker can take the task.
func (scheduler *Scheduler) chooseWorker(view *jobView, size unit.Resources, decision *Decision) *workerView {
	spec := &view.row.Spec
	count := len(scheduler.sortedWorkers)
	if count == 0 {
		decision.Reason = "NoWorkers: no worker is known"
		return nil
	}
	offset := 0
	if !scheduler.settings.FirstFit {
		offset = scheduler.random.IntN(count)
	}
	var best *workerView
	bestScore := 0
	interferes, noneFits := false, true
	for step := 0; step < count; step++ {
		candidate := scheduler.sortedWorkers[(offset+step)%count]
		if !size.FitsIn(candidate.free) || !spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) ||
			!scheduler.mayUseState(view, candidate) {
			continue
		}
		noneFits = false
		if candidate.keptFreeFor != "" && candidate.keptFreeFor != view.name && scheduler.now.Before(candidate.keptFreeUntil) {
			continue
		}
		if until, ok := view.avoidUntil[candidate.name]; ok && scheduler.now.Before(until) {
			continue
		}
		if !scheduler.withinRamp(candidate.dataCentre, size) {
			continue
		}
		if scheduler.settings.FirstFit {
			decision.Reason = "FirstFit"
			return candidate
		}
		score, tolerable := scheduler.score(view, candidate, size)
		if !tolerable && !spec.Urgent && scheduler.waitingTime(view) < scheduler.settings.DisturbanceWait {
			interferes = true
			continue
		}
		decision.Considered++
		decision.addCandidate(Candidate{Worker: candidate.name, Score: score})
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
		if decision.Considered >= scheduler.settings.Candidates {
			break
		}
	}
	switch {
	case best != nil:
		decision.Reason = "BestScore"
		if best.keptFreeFor == view.name {
			best.keptFreeFor = ""
		}
	case interferes:
		decision.Reason = "Interference: every worker with room would be slowed down too much"
	case noneFits:
		decision.Reason = "NoRoom: no worker has room for " + size.String()
	default:
		decision.Reason = "Reserved: the workers with room are kept for other work or returning"
	}
	return best
}

// addCandidate inserts the candidate in order of score and keeps the best loggedCandidates.
func (decision *Decision) addCandidate(candidate Candidate) {
	// Of equal scores the first one found is chosen, so it stays first.
	position, _ := slices.BinarySearchFunc(decision.Candidates, candidate, func(other, added Candidate) int {
		if other.Score <= added.Score {
			return -1
		}
		return 1
	})
	if position >= loggedCandidates {
		return
	}
	if len(decision.Candidates) == loggedCandidates {
		decision.Candidates = decision.Candidates[:loggedCandidates-1]
	}
	decision.Candidates = slices.Insert(decision.Candidates, position, candidate)
}

// score rates the worker for a task of the job; lower is better. The choice is not tolerable if the
// predicted slowdown of the task or of the work on the worker exceeds Settings.MaxSlowdown.
func (scheduler *Scheduler) score(view *jobView, candidate *workerView, size unit.Resources) (score int, tolerable bool) {
	spec := &view.row.Spec
	remaining := candidate.free.Sub(size)
	capacity := candidate.state.Capacity
	cpu := perMille(int64(remaining.CPU), int64(capacity.CPU))
	memory := perMille(int64(remaining.Memory), int64(capacity.Memory))
	// Prefer fuller workers, so that large tasks keep finding room, and workers whose CPU and
	// memory run out together.
	score = (cpu+memory)/20 + max(cpu-memory, memory-cpu)/10
	if size.Accelerators == 0 && candidate.free.Accelerators > 0 {
		score += acceleratorPenalty
	}
	sameWorker, sameRack, sameCentre := batchSameWorkerPenalty, batchSameRackPenalty, batchSameCentrePenalty
	if spec.Kind == worker.Standing || spec.Urgent {
		sameWorker, sameRack, sameCentre = standingSameWorkerPenalty, standingSameRackPenalty, standingSameCentrePenalty
	}
	score += sameWorker*min(candidate.jobTasks.value(scheduler.countGeneration), 10) +
		sameRack*min(candidate.rack.jobTasks.value(scheduler.countGeneration), 10) +
		sameCentre*min(candidate.dataCentre.jobTasks.value(scheduler.countGeneration), 10)
	if _, disabled := scheduler.dependencies.Interference.(NoInterference); disabled {
		return score, true
	}
	slowdown := scheduler.dependencies.Interference.Slowdown(spec.Class, candidate.workClasses())
	for _, class := range candidate.state.Classes {
		slowdown = max(slowdown, scheduler.dependencies.Interference.Slowdown(class, []string{spec.Class}))
	}
	return score + max(0, slowdown-100)*slowdownPenaltyPerPercent, slowdown <= scheduler.settings.MaxSlowdown
}

// perMille returns amount in thousandths of whole, or 0 if whole is not positive.
func perMille(amount, whole int64) int {
	if whole <= 0 {
		return 0
	}
	return int(amount * 1000 / whole)
}

// countJobTasks counts the job's tasks per worker, rack and data centre, which the score uses to
// spread them.
func (scheduler *Scheduler) countJobTasks(view *jobView) {
	scheduler.countGeneration++
	for _, worker := range view.assignedTo {
		scheduler.addJobTasks(worker, 1)
	}
}

func (scheduler *Scheduler) addJobTasks(worker *workerView, tasks int) {
	if !worker.hasState {
		return
	}
	worker.jobTasks.add(scheduler.countGeneration, tasks)
	worker.rack.jobTasks.add(scheduler.countGeneration, tasks)
	worker.dataCentre.jobTasks.add(scheduler.countGeneration, tasks)
}

// knownNotToFit reports whether an equal or smaller size with the same data centres found no room
// in this pass.
func (scheduler *Scheduler) knownNotToFit(spec *job.Spec, size unit.Resources) bool {
	for index := range scheduler.failedFits {
		failed := &scheduler.failedFits[index]
		if failed.size.FitsIn(size) && slices.Equal(failed.dataCentres, spec.DataCentres) {
			return true
		}
	}
	return false
}

// noteFailedFit parks the job if it can never fit. Otherwise it records the size, so that other
// jobs of this pass skip it, provided that the cause was lack of room: causes such as interference
// depend on the job. It also removes the entries of avoidUntil that have expired.
func (scheduler *Scheduler) noteFailedFit(view *jobView, size unit.Resources) {
	spec := &view.row.Spec
	if scheduler.parkIfNeverFits(view, size) {
		return
	}
	if len(view.avoidUntil) == 0 && !spec.Gang && !spec.Urgent && len(scheduler.failedFits) < maxFailedFits &&
		len(view.reason) >= len(noRoomPrefix) && view.reason[:len(noRoomPrefix)] == noRoomPrefix {
		scheduler.failedFits = append(scheduler.failedFits, failedFit{size: size, dataCentres: spec.DataCentres})
	}
	for name, until := range view.avoidUntil {
		if !scheduler.now.Before(until) {
			delete(view.avoidUntil, name)
		}
	}
}

// parkIfNeverFits parks the job if no worker with a reported state could hold it even when empty,
// and reports whether it did. It waits until the set of workers has been unchanged for
// Settings.ParkAfter, so that the start of an entry or the loss of a data centre parks nothing.
func (scheduler *Scheduler) parkIfNeverFits(view *jobView, size unit.Resources) bool {
	if scheduler.now.Sub(scheduler.fleetChangedAt) < scheduler.settings.ParkAfter {
		return false
	}
	reason, ok := scheduler.couldFit(&view.row.Spec, size)
	if !ok {
		view.reason = reason
		scheduler.parkJob(view, reason)
	}
	return !ok
}

const (
	noRoomPrefix = "NoRoom:"
	// maxFailedFits bounds the comparisons per job when the queue is long.
	maxFailedFits = 32
)

// keepFreeTerm is how long a worker is kept free for a job before the choice is made again.
const keepFreeTerm = 10 * clock.Second

// keepFree keeps the worker that is closest to having room free for the job: other ordinary work
// cannot use it. It returns false if there is no such worker.
func (scheduler *Scheduler) keepFree(view *jobView) bool {
	spec, size := &view.row.Spec, scheduler.sizeForJob(view)
	var best *workerView
	bestDeficit := 0
	for _, candidate := range scheduler.sortedWorkers {
		if !size.FitsIn(candidate.state.Capacity) || !spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) {
			continue
		}
		if candidate.keptFreeFor == view.name && scheduler.now.Before(candidate.keptFreeUntil) {
			candidate.keptFreeUntil = scheduler.now.Add(keepFreeTerm)
			return true
		}
		if candidate.keptFreeFor != "" && scheduler.now.Before(candidate.keptFreeUntil) {
			continue
		}
		shortfall := size.Sub(candidate.free).Max(unit.Resources{})
		deficit := perMille(int64(shortfall.CPU), int64(size.CPU)) + perMille(int64(shortfall.Memory), int64(size.Memory)) +
			perMille(int64(shortfall.Accelerators), int64(size.Accelerators))
		if best == nil || deficit < bestDeficit {
			best, bestDeficit = candidate, deficit
		}
	}
	if best == nil {
		return false
	}
	best.keptFreeFor, best.keptFreeUntil = view.name, scheduler.now.Add(keepFreeTerm)
	return true
}

// handleDataCentreChanged applies the state of a data centre's row. A data centre that closes is
// drained; one that opens again is filled gradually.
func (scheduler *Scheduler) handleDataCentreChanged(event DataCentreChanged) {
	centre := scheduler.dataCentreView(event.DataCentre)
	if centre.key == event.Key && event.Revision < centre.revision {
		return
	}
	configured := centre.key != ""
	switch {
	case !event.Open && (centre.open || !configured || centre.drainDeadline == 0):
		bound := event.Bound
		if bound <= 0 {
			bound = scheduler.settings.DrainBound
		}
		centre.drainDeadline, centre.drainBatchFrom = scheduler.now.Add(bound), scheduler.now.Add(bound/2)
		centre.rampStart = 0
	case event.Open && configured && !centre.open:
		centre.drainDeadline = 0
		centre.rampStart, centre.rampPlaced = scheduler.now, unit.Resources{}
	case event.Open:
		centre.drainDeadline = 0
	}
	centre.open, centre.key, centre.revision = event.Open, event.Key, event.Revision
	centre.newestRevision = max(centre.newestRevision, event.Revision)
	if !centre.open {
		scheduler.releaseHoldsIn(event.DataCentre)
	}
}

// releaseHoldsIn releases the unclaimed reservations in a data centre that was closed. Claims in a
// pending transaction fail by their condition on the data centre's row.
func (scheduler *Scheduler) releaseHoldsIn(name ident.DataCentre) {
	for _, jobName := range set.SortedKeys(scheduler.jobsWithHolds) {
		view := scheduler.jobsWithHolds[jobName]
		for _, index := range sortedIndices(view.holds) {
			if hold := view.holds[index]; hold.worker.state.DataCentre == name {
				scheduler.releaseHold(hold)
				delete(view.holds, index)
			}
		}
	}
}
