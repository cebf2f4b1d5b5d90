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

// Weights of the score, in its own unit. Packing ranges to about 200, so a neighbour of the same job
// on the worker outweighs packing for work whose loss is felt, and decides only between equals for
// batch work.
const (
	standingSameWorker = 120
	standingSameRack   = 50
	standingSameCentre = 20
	batchSameWorker    = 4
	batchSameRack      = 2
	batchSameCentre    = 1
	// acceleratorWaste keeps work without accelerators off workers whose accelerators are free.
	acceleratorWaste = 150
	// slowdownWeight is the score of one percent of predicted slowdown.
	slowdownWeight = 4
	// loggedCandidates is the number of candidates in a decision.
	loggedCandidates = 3
)

func sortedNames(holds map[capacity.Reservation]*reservation) []capacity.Reservation {
	return set.SortedKeys(holds)
}

// usable reports whether the worker may get new work at all.
func (scheduler *Scheduler) usable(candidate *workerView) bool {
	if !candidate.known || candidate.silent || candidate.state.Draining || candidate.drainAt != 0 {
		return false
	}
	return scheduler.claimable(candidate.centre) &&
		scheduler.dependencies.Health.Usable(candidate.name, scheduler.now)
}

// claimable reports whether claims in the data centre can be made conditional on its open state.
func (scheduler *Scheduler) claimable(centre *centreView) bool {
	return centre != nil && centre.open && centre.key != "" && centre.seen <= centre.revision
}

// ramped reports whether a returning data centre may take size now. Its load grows evenly over the
// ramp, so that caches and links warm up and a relapse costs little.
func (scheduler *Scheduler) ramped(centre *centreView, size unit.Resources) bool {
	if centre.rampFrom == 0 {
		return true
	}
	elapsed := scheduler.now.Sub(centre.rampFrom)
	if elapsed >= scheduler.settings.Ramp {
		centre.rampFrom = 0
		return true
	}
	part := func(whole int64) int64 {
		return whole * int64(elapsed+scheduler.settings.Ramp/20) / int64(scheduler.settings.Ramp)
	}
	allowed := unit.Resources{
		CPU:          unit.MilliCPU(part(int64(centre.capacity.CPU))),
		Memory:       unit.Mebibytes(part(int64(centre.capacity.Memory))),
		Accelerators: unit.Accelerators(part(int64(centre.capacity.Accelerators))),
	}
	return centre.rampPlaced.Add(size).FitsIn(allowed)
}

// choose returns the best worker among the first few that fit, starting at a random one, and
// describes the choice in decision.
func (scheduler *Scheduler) choose(view *jobView, size unit.Resources, decision *Decision) *workerView {
	spec := &view.row.Spec
	count := len(scheduler.order)
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
	disturbed, closed := false, true
	for step := 0; step < count; step++ {
		candidate := scheduler.order[(offset+step)%count]
		if !size.FitsIn(candidate.free) || !spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) ||
			!scheduler.believes(view, candidate) {
			continue
		}
		closed = false
		if candidate.heldFor != "" && candidate.heldFor != view.name && scheduler.now.Before(candidate.heldUntil) {
			continue
		}
		if until, ok := view.avoid[candidate.name]; ok && scheduler.now.Before(until) {
			continue
		}
		if !scheduler.ramped(candidate.centre, size) {
			continue
		}
		if scheduler.settings.FirstFit {
			decision.Reason = "FirstFit"
			return candidate
		}
		score, tolerable := scheduler.score(view, candidate, size)
		if !tolerable && !spec.Urgent && scheduler.waited(view) < scheduler.settings.DisturbanceWait {
			disturbed = true
			continue
		}
		decision.Considered++
		decision.note(Candidate{Worker: candidate.name, Score: score})
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
		if best.heldFor == view.name {
			best.heldFor = ""
		}
	case disturbed:
		decision.Reason = "Interference: every worker with room would be slowed down too much"
	case closed:
		decision.Reason = "NoRoom: no worker has room for " + size.String()
	default:
		decision.Reason = "Reserved: the workers with room are kept for other work or returning"
	}
	return best
}

// note keeps the best candidates in order.
func (decision *Decision) note(candidate Candidate) {
	// Among equals the first one found is chosen, so it stays first.
	position, _ := slices.BinarySearchFunc(decision.Candidates, candidate, func(other, wanted Candidate) int {
		if other.Score <= wanted.Score {
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

// score rates the worker for a task; lower is better. It is not tolerable if the predicted slowdown
// of the task or of what runs there is above the limit.
func (scheduler *Scheduler) score(view *jobView, candidate *workerView, size unit.Resources) (score int, tolerable bool) {
	spec := &view.row.Spec
	left := candidate.free.Sub(size)
	whole := candidate.state.Capacity
	processor := part(int64(left.CPU), int64(whole.CPU))
	memory := part(int64(left.Memory), int64(whole.Memory))
	// Fuller workers first, so that large tasks keep finding room, and workers whose processor and
	// memory run out together.
	score = (processor+memory)/20 + max(processor-memory, memory-processor)/10
	if size.Accelerators == 0 && candidate.free.Accelerators > 0 {
		score += acceleratorWaste
	}
	sameWorker, sameRack, sameCentre := batchSameWorker, batchSameRack, batchSameCentre
	if spec.Kind == worker.Standing || spec.Urgent {
		sameWorker, sameRack, sameCentre = standingSameWorker, standingSameRack, standingSameCentre
	}
	score += sameWorker*min(candidate.load.count(scheduler.visit), 10) +
		sameRack*min(candidate.rack.load.count(scheduler.visit), 10) +
		sameCentre*min(candidate.centre.load.count(scheduler.visit), 10)
	if _, none := scheduler.dependencies.Interference.(NoInterference); none {
		return score, true
	}
	slowdown := scheduler.dependencies.Interference.Slowdown(spec.Class, candidate.residents())
	for _, class := range candidate.state.Classes {
		slowdown = max(slowdown, scheduler.dependencies.Interference.Slowdown(class, []string{spec.Class}))
	}
	return score + max(0, slowdown-100)*slowdownWeight, slowdown <= scheduler.settings.MaxSlowdown
}

// part returns amount in thousandths of whole.
func part(amount, whole int64) int {
	if whole <= 0 {
		return 0
	}
	return int(amount * 1000 / whole)
}

// countLoads counts the job's tasks per worker, rack and data centre.
func (scheduler *Scheduler) countLoads(view *jobView) {
	scheduler.visit++
	for _, at := range view.occupied {
		scheduler.addLoad(at, 1)
	}
}

func (scheduler *Scheduler) addLoad(at *workerView, tasks int) {
	if !at.known {
		return
	}
	at.load.add(scheduler.visit, tasks)
	at.rack.load.add(scheduler.visit, tasks)
	at.centre.load.add(scheduler.visit, tasks)
}

// missed reports whether a size no larger than this one found no room in this pass.
func (scheduler *Scheduler) missed(spec *job.Spec, size unit.Resources) bool {
	for index := range scheduler.misses {
		known := &scheduler.misses[index]
		if known.size.FitsIn(size) && slices.Equal(known.centres, spec.DataCentres) {
			return true
		}
	}
	return false
}

// noteMiss remembers a size without room, and parks the job if it can never have room. Misses for
// other reasons than room, such as interference, do not carry over to other jobs.
func (scheduler *Scheduler) noteMiss(view *jobView, size unit.Resources) {
	spec := &view.row.Spec
	if scheduler.parkHopeless(view, size) {
		return
	}
	if len(view.avoid) == 0 && !spec.Gang && !spec.Urgent && len(scheduler.misses) < maxMisses &&
		len(view.reason) >= len(noRoom) && view.reason[:len(noRoom)] == noRoom {
		scheduler.misses = append(scheduler.misses, miss{size: size, centres: spec.DataCentres})
	}
	for name, until := range view.avoid {
		if !scheduler.now.Before(until) {
			delete(view.avoid, name)
		}
	}
}

// parkHopeless parks the job if no known worker could ever hold it, and reports whether it did. It
// waits until the set of workers has settled, so that a start or a lost data centre parks nothing.
func (scheduler *Scheduler) parkHopeless(view *jobView, size unit.Resources) bool {
	if scheduler.now.Sub(scheduler.shapedAt) < scheduler.settings.ParkAfter {
		return false
	}
	reason, ok := scheduler.fitsEver(&view.row.Spec, size)
	if !ok {
		view.reason = reason
		scheduler.park(view, reason)
	}
	return !ok
}

const (
	noRoom = "NoRoom:"
	// maxMisses bounds the comparison per job of a long queue.
	maxMisses = 32
)

// heldTerm is how long a worker is kept free for a job before the choice is reviewed.
const heldTerm = 10 * clock.Second

// keepFree stops other ordinary work from using the worker that is closest to having room.
func (scheduler *Scheduler) keepFree(view *jobView) bool {
	spec, size := &view.row.Spec, scheduler.sizeOf(view)
	var best *workerView
	bestMissing := 0
	for _, candidate := range scheduler.order {
		if !size.FitsIn(candidate.state.Capacity) || !spec.Allows(candidate.state.DataCentre) || !scheduler.usable(candidate) {
			continue
		}
		if candidate.heldFor == view.name && scheduler.now.Before(candidate.heldUntil) {
			candidate.heldUntil = scheduler.now.Add(heldTerm)
			return true
		}
		if candidate.heldFor != "" && scheduler.now.Before(candidate.heldUntil) {
			continue
		}
		lacking := size.Sub(candidate.free).Max(unit.Resources{})
		missing := part(int64(lacking.CPU), int64(size.CPU)) + part(int64(lacking.Memory), int64(size.Memory)) +
			part(int64(lacking.Accelerators), int64(size.Accelerators))
		if best == nil || missing < bestMissing {
			best, bestMissing = candidate, missing
		}
	}
	if best == nil {
		return false
	}
	best.heldFor, best.heldUntil = view.name, scheduler.now.Add(heldTerm)
	return true
}

// centreChanged takes the state of a data centre's row. A closed data centre is drained; one that
// was closed and opens is filled gradually.
func (scheduler *Scheduler) centreChanged(event DataCentreChanged) {
	centre := scheduler.centre(event.DataCentre)
	if centre.key == event.Key && event.Revision < centre.revision {
		return
	}
	known := centre.key != ""
	switch {
	case !event.Open && (centre.open || !known || centre.drainAt == 0):
		bound := event.Bound
		if bound <= 0 {
			bound = scheduler.settings.DrainBound
		}
		centre.drainAt, centre.drainHalf = scheduler.now.Add(bound), scheduler.now.Add(bound/2)
		centre.rampFrom = 0
	case event.Open && known && !centre.open:
		centre.drainAt = 0
		centre.rampFrom, centre.rampPlaced = scheduler.now, unit.Resources{}
	case event.Open:
		centre.drainAt = 0
	}
	centre.open, centre.key, centre.revision = event.Open, event.Key, event.Revision
	centre.seen = max(centre.seen, event.Revision)
	if !centre.open {
		scheduler.releaseIn(event.DataCentre)
	}
}

// releaseIn gives up reservations in a data centre that was closed. Claims in flight are left to
// their condition.
func (scheduler *Scheduler) releaseIn(name ident.DataCentre) {
	for _, owner := range set.SortedKeys(scheduler.holding) {
		view := scheduler.holding[owner]
		for _, index := range sortedIndices(view.reserving) {
			if held := view.reserving[index]; held.worker.state.DataCentre == name {
				scheduler.release(held)
				delete(view.reserving, index)
			}
		}
	}
}
