package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Weights of the placement.
const (
	// servingLoadPercent is the share of its reservation that a standing task is expected to use.
	servingLoadPercent = 60
	// headroomPercent of a worker's processors stays free of standing tasks, for quick ones.
	headroomPercent = 6
	// headroomWait is how long a standing task waits before it takes that share too. It must run within 3 s
	// of its turn where it fits.
	headroomWait = 1200 * clock.Millisecond
	// lateFactor times the objective is the age at which a job is worth nothing more.
	lateFactor = 3
	// starvedAfter is the age at which a job without an active run may share processors that are taken, while less than half of the service's processors are reserved.
	starvedAfter = 8 * clock.Second
	// replan is how often waiting tasks are looked at although no event concerned them: suspensions end,
	// and tails fall.
	replan = 250 * clock.Millisecond
	// farPenalty is what a worker off the data's rack costs against a share of free processors.
	farPenalty = 0.5
	// minSpeed is the share of its speed with which a filling task must be expected to work.
	minSpeed = 0.5
	// speedWeight makes the expected speed more important than the unused processors.
	speedWeight = 2.0
	// neighbourWeight is the worth of placing serving tasks beside those of the same image, which the
	// same filling images disturb.
	neighbourWeight = 0.5
	// failedPenalty is what each failure of the same job on a worker costs.
	failedPenalty = 1.0
)

// candidate is a step of an occurrence with waiting tasks.
type candidate struct {
	found      *entry
	occurrence *workflow.Occurrence
	step       int
	rank       int
	latest     clock.Time
	// work is the remaining work of the job in thousandths of a core times milliseconds.
	work    int64
	waiting []int
}

// Ranks of candidates, in the order in which they are served.
const (
	rankQuick = iota
	rankStanding
	rankFill
	rankLate
	rankWorthless
)

// Plan places waiting tasks on workers. The time of day decides which occurrences are due.
func (book *Scheduler) Plan(now clock.Time, timeOfDay int64) {
	for _, found := range book.open {
		if found.job.Occur(timeOfDay) {
			book.stirred = true
			book.changed[found.job.Spec.ID] = found
		}
	}
	book.compareSiblings(now)
	book.relieve(now)
	book.move(now)
	book.arrange(now)
	if !book.stirred && now.Sub(book.plannedAt) < replan {
		return
	}
	book.stirred, book.plannedAt = false, now
	// A step that found no room shows that equal or larger tasks find none either.
	blocked := map[blockKey]bool{}
	for _, waiting := range book.candidates(now) {
		book.serve(waiting, blocked, now)
	}
}

type blockKey struct {
	need    unit.Resources
	fills   bool
	starved bool
	service workflow.Service
}

// relieve suspends workers on which nothing moves and stops their runs.
func (book *Scheduler) relieve(now clock.Time) {
	for _, target := range book.workers {
		if !target.reachable || now.Before(target.health.until) {
			continue
		}
		stalled, moving := []*run{}, false
		for _, active := range target.runs {
			if active.step.Standing || active.stopping || active.step.Gang {
				continue
			}
			if now.Sub(max(active.placedAt, active.movedAt)) > stallAfter {
				stalled = append(stalled, active)
			} else if active.percent > 0 {
				moving = true
			}
		}
		if moving || len(stalled) < stalledRuns {
			continue
		}
		target.health.suspend(now)
		book.stirred = true
		for _, active := range stalled {
			book.stop(active)
		}
	}
}

// candidates returns what waits, in the order in which it is served.
func (book *Scheduler) candidates(now clock.Time) []candidate {
	var list []candidate
	usable := book.usable(now)
	for _, found := range book.open {
		standing := false
		for _, occurrence := range found.job.Occurrences {
			for step := range occurrence.Steps {
				if occurrence.Left(step) == 0 || !found.job.Ready(occurrence, step) {
					continue
				}
				var waiting []int
				for index, task := range occurrence.Steps[step] {
					if task.Phase == workflow.Waiting {
						waiting = append(waiting, index)
					}
				}
				if len(waiting) > 0 {
					standing = standing || found.job.Spec.Steps[step].Standing
					list = append(list, newCandidate(found, occurrence, step, waiting, usable, now))
				}
			}
		}
		switch {
		case !standing:
			found.standingSince = 0
		case found.standingSince == 0:
			found.standingSince = now
		}
	}
	slices.SortFunc(list, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.work, right.work), cmp.Compare(left.latest, right.latest),
			strings.Compare(string(left.found.job.Spec.ID), string(right.found.job.Spec.ID)), cmp.Compare(left.step, right.step))
	})
	return list
}

func newCandidate(found *entry, occurrence *workflow.Occurrence, step int, waiting []int, usable cores, now clock.Time) candidate {
	spec := &found.job.Spec
	begin := found.arrived
	objective := spec.Objective()
	latest := begin.Add(objective - found.job.RemainingChain(occurrence, func(number int) float64 {
		return usable.stretch(&spec.Steps[number], occurrence.Left(number))
	}))
	added := candidate{found: found, occurrence: occurrence, step: step, waiting: waiting, latest: latest}
	switch shape := spec.Steps[step]; {
	case shape.Standing:
		added.rank = rankStanding
	case !shape.Fills && spec.Policy.Priority == 0:
		added.rank = rankQuick
	case spec.Repetitions > 0 || !now.After(latest):
		added.rank, added.work = rankFill, found.job.RemainingWork(occurrence)
	case now.Sub(begin) < lateFactor*objective:
		added.rank = rankLate
	default:
		added.rank = rankWorthless
	}
	return added
}

// serve places the waiting tasks of a step while there is room.
func (book *Scheduler) serve(waiting candidate, blocked map[blockKey]bool, now clock.Time) {
	job := waiting.found.job
	step := &job.Spec.Steps[waiting.step]
	if step.Gang {
		book.serveGang(waiting, now)
		return
	}
	starved := step.Fills && waiting.found.active == 0 && now.Sub(waiting.found.arrived) > starvedAfter && book.slack(job.Spec.Service)
	key := blockKey{need: step.Need, fills: step.Fills, starved: starved, service: job.Spec.Service}
	for _, index := range waiting.waiting {
		if step.PerWorker == 0 && step.Label == "" && blocked[key] {
			return
		}
		name := workflow.Name{Job: job.Spec.ID, Occurrence: waiting.occurrence.Number, Step: waiting.step, Index: index}
		target := book.choose(waiting.found, step, name, starved, now)
		if target == nil {
			if len(waiting.found.avoid) == 0 {
				blocked[key] = true
			}
			return
		}
		book.place(waiting.found, step, name, job.NextRun(name), target, now)
	}
}

// serveGang places all tasks of a gang or none.
func (book *Scheduler) serveGang(waiting candidate, now clock.Time) {
	job := waiting.found.job
	step := &job.Spec.Steps[waiting.step]
	if len(waiting.waiting) < step.Count {
		return // Other members still run or are being stopped.
	}
	first := workflow.Name{Job: job.Spec.ID, Occurrence: waiting.occurrence.Number, Step: waiting.step}
	number := job.NextRun(first)
	var placed []*run
	for index := range step.Count {
		name := first
		name.Index = index
		target := book.choose(waiting.found, step, name, false, now)
		if target == nil {
			for _, active := range placed {
				active.worker.remove(active)
			}
			return
		}
		active := &run{name: name, number: number, job: job, step: step, worker: target, placedAt: now, movedAt: now}
		target.add(active)
		placed = append(placed, active)
	}
	for _, active := range placed {
		active.worker.remove(active)
		book.place(waiting.found, step, active.name, number, active.worker, now)
	}
}

func (book *Scheduler) place(found *entry, step *workflow.Step, name workflow.Name, number workflow.Run, target *worker, now clock.Time) {
	found.job.Place(name, number, string(target.Incarnation))
	found.active++
	active := &run{name: name, number: number, job: found.job, step: step, worker: target, placedAt: now, movedAt: now}
	target.add(active)
	book.changed[found.job.Spec.ID] = found
	book.orders = append(book.orders, Order{Worker: target.Incarnation, Name: name, Run: number, Job: found.job})
}

// choose returns the best worker with room for the task, or nil.
func (book *Scheduler) choose(found *entry, step *workflow.Step, name workflow.Name, starved bool, now clock.Time) *worker {
	var best *worker
	bestScore := 0.0
	for _, target := range book.workers {
		if !target.suits(step, found.job.Spec.Service) || book.out.Has(target.DataCentre) ||
			!target.allows(now) || !target.admits(step, found.headroom(step, target, now)) {
			continue
		}
		if step.PerWorker > 0 && target.count(name) >= step.PerWorker {
			continue
		}
		if step.Fills && !starved && !hasIdle(step, target) {
			continue
		}
		score := score(found, step, target)
		if step.Fills {
			speed := book.speed(step, target, nil, now)
			if speed < minSpeed && !starved {
				continue
			}
			score += speed * speedWeight
		}
		if step.Standing {
			score += neighbourWeight*neighbours(step, target) - arrangeWeight*book.cost(step, target, now)
		}
		if best == nil || score > bestScore || (score == bestScore && target.Incarnation < best.Incarnation) {
			best, bestScore = target, score
		}
	}
	return best
}

// headroom returns what standing tasks leave free on a worker. Those that waited for a while leave nothing.
func (found *entry) headroom(step *workflow.Step, target *worker, now clock.Time) unit.Resources {
	if !step.Standing || found.standingSince != 0 && now.Sub(found.standingSince) >= headroomWait {
		return unit.Resources{}
	}
	return unit.Resources{CPU: target.Capacity.CPU * headroomPercent / 100}
}

// hasIdle reports whether a filling task would find processors that nothing else uses.
func hasIdle(step *workflow.Step, target *worker) bool {
	idle := target.idle()
	return target.filling == 0 && idle > 0 || target.filling+step.Need.CPU <= idle
}

// score prefers workers with the largest share of unused processors, the data's rack, and those on
// which the job has not failed.
func score(found *entry, step *workflow.Step, target *worker) float64 {
	capacity := float64(max(1, target.Capacity.CPU))
	free := float64(target.idle()-target.filling) / capacity
	if step.Standing {
		free = float64(target.Capacity.CPU-target.reserved.CPU) / capacity
	}
	if step.DataRack != "" && !slices.Contains(target.Labels, step.DataRack) {
		free -= farPenalty
	}
	return free - failedPenalty*float64(found.avoid[target.Incarnation])
}

func compareNames(left, right workflow.Name) int {
	return cmp.Or(strings.Compare(string(left.Job), string(right.Job)), cmp.Compare(left.Occurrence, right.Occurrence),
		cmp.Compare(left.Step, right.Step), cmp.Compare(left.Index, right.Index))
}
