package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/workflow"
)

// Parameters of moving slow filling runs.
const (
	// slowPercent is the share of its full speed, in percent, below which a run may be moved.
	slowPercent = 35
	// minSlowTime is how long a run must be throttled before it is moved: more than one listing, so that short load peaks
	// move little. A job is late with its slowest task, and wide steps always have a throttled one.
	minSlowTime = 700 * clock.Millisecond
	// minSlowTimeWithLoss is that time for a run without checkpoints that has done more than maxLostProgressPercent, which
	// the move would discard. Most throttled runs go on before, when the load of the serving tasks falls.
	minSlowTimeWithLoss    = 4 * clock.Second
	maxLostProgressPercent = 15
	// moveInterval is the time between two rounds of moves. The effect of a round shows in the samples after
	// about a second.
	moveInterval = 600 * clock.Millisecond
	// workersPerThrottledMove is the number of workers for each run that a round stops, and minMovesPerRound the number
	// of runs on few workers.
	workersPerThrottledMove = 6
	minMovesPerRound        = 4
	// moveReserve is for how long after the time to stop the room for a moved task is held.
	moveReserve = clock.Second
)

// fillingMove is the move of a filling task whose run is being stopped. Its room on the target is held.
type fillingMove struct {
	target *workerState
	until  clock.Time
}

// moveCandidate is a slow run with the highest gain that a move can have.
type moveCandidate struct {
	*activeRun
	course assignment.Course
	gain   clock.Millis
}

// moveSlow stops filling runs that are throttled, or on slow workers, if their task ends sooner on another worker, counting
// the stop, the restore and the lost progress. Their tasks resume there from their checkpoints.
func (scheduler *Scheduler) moveSlow(now clock.Time) {
	if now.Sub(scheduler.movedAt) < moveInterval {
		return
	}
	scheduler.movedAt = now
	scheduler.expireFillingMoves(now)
	candidates := scheduler.moveCandidates(now)
	if len(candidates) == 0 {
		return
	}
	moveLimit := max(minMovesPerRound, len(scheduler.workers)/workersPerThrottledMove)
	round := scheduler.newFillingRound(nil, now)
	moveCount := 0
	for _, candidate := range candidates {
		if moveCount >= moveLimit {
			break
		}
		record := scheduler.jobs[candidate.name.Job]
		position, gain := scheduler.bestMove(round, candidate, record, now)
		if position < 0 {
			scheduler.assignments.NoGain++
			continue
		}
		target := round.workers[position]
		if group, ok := scheduler.groupOf(candidate.step, minFillingSpeed); ok {
			round.Place(position, group)
		}
		if record.moves == nil {
			record.moves = map[workflow.Name]assignment.History{}
		}
		record.moves[candidate.name] = record.moves[candidate.name].Add(string(candidate.worker.Incarnation), now)
		scheduler.fillingMoves[candidate.name] = &fillingMove{target: target, until: now.Add(scheduler.bounds.StopTimeout + moveReserve)}
		scheduler.assignments.addMove(candidate, target.Incarnation, gain, now)
		record.recordDecision(explanation.Moved, fmt.Sprintf("%s from %s to %s, gain %d ms", candidate.name, candidate.worker.Incarnation, target.Incarnation, gain), now)
		scheduler.stopRun(candidate.activeRun, StopSlow)
		moveCount++
	}
}

// moveCandidates returns the filling runs that may be moved, those with most to gain first.
func (scheduler *Scheduler) moveCandidates(now clock.Time) []moveCandidate {
	var list []moveCandidate
	for _, worker := range scheduler.workers {
		if !worker.reachable || worker.overdue {
			continue // Its runs may not be slow any more.
		}
		for _, run := range worker.runs {
			if !run.step.Fills || run.step.Gang || run.stopping || run.course.reportedAt == 0 || run.job.State.Final() || run.job.HasCrashes(run.name) {
				continue
			}
			course := scheduler.courseOf(run, now)
			if course.Speed*100 >= slowPercent || now.Sub(max(run.placedAt, run.throttledSince)) < run.minSlowTime() {
				continue
			}
			gain := scheduler.bounds.Gain(course, 1)
			if record := scheduler.jobs[run.name.Job]; gain < scheduler.bounds.MinGain() || !record.moves[run.name].MayMove(now) {
				continue
			}
			list = append(list, moveCandidate{activeRun: run, course: course, gain: gain})
		}
	}
	slices.SortFunc(list, func(left, right moveCandidate) int {
		return cmp.Or(cmp.Compare(right.gain, left.gain), compareNames(left.name, right.name))
	})
	return list
}

// minSlowTime returns how long the run must be slow before it may be moved.
func (run *activeRun) minSlowTime() clock.Millis {
	if !run.step.Checkpoints && run.progressPercent > maxLostProgressPercent {
		return minSlowTimeWithLoss
	}
	return minSlowTime
}

// bestMove returns the position of the worker on which the task of a run ends soonest and its gain there, or a negative
// position if no worker is worth the move.
func (scheduler *Scheduler) bestMove(round *fillingRound, candidate moveCandidate, record *jobRecord, now clock.Time) (best int, gain clock.Millis) {
	best, gain = -1, scheduler.bounds.MinGain()
	bestValue, step := 0.0, candidate.step
	group, ok := scheduler.groupOf(step, minFillingSpeed)
	if !ok {
		return -1, 0
	}
	history := record.moves[candidate.name]
	for position, worker := range round.workers {
		if worker == candidate.worker || !worker.isEligible(step, record.job.Spec.Service) || !worker.hasRoom(step, scheduler.headroom(record, step, worker, now)) ||
			step.PerWorker > 0 && worker.stepRuns(candidate.name) >= step.PerWorker || history.Left(string(worker.Incarnation), now) {
			continue
		}
		dataFactor := scheduler.bounds.DataFactor(isRemote(step, worker))
		value, ok := round.Value(position, group, dataFactor, record.failuresByWorker[worker.Incarnation])
		if !ok || best >= 0 && value <= bestValue {
			continue
		}
		if got := scheduler.bounds.Gain(candidate.course, round.Speed(position, group)/dataFactor); got >= scheduler.bounds.MinGain() {
			best, bestValue, gain = position, value, got
		}
	}
	return best, gain
}

// expireFillingMoves gives up the room of moved tasks whose run took too long to stop, or whose job ended.
func (scheduler *Scheduler) expireFillingMoves(now clock.Time) {
	for name, move := range scheduler.fillingMoves {
		_, open := scheduler.open[name.Job]
		if !open || !now.Before(move.until) || scheduler.workers[move.target.Incarnation] != move.target {
			delete(scheduler.fillingMoves, name)
		}
	}
}

// holdMoves takes the room of moved tasks whose run has not stopped yet.
func (scheduler *Scheduler) holdMoves(round *fillingRound) {
	for name, move := range scheduler.fillingMoves {
		record, open := scheduler.open[name.Job]
		if !open {
			continue
		}
		group, ok := scheduler.groupOf(&record.job.Spec.Steps[name.Step], 0)
		if position := slices.Index(round.workers, move.target); ok && position >= 0 {
			round.Place(position, group)
		}
	}
}

// moveTarget returns the position of the worker to which a waiting task is moved, or a negative position. The room that is
// held for the task is released. The task may be slower there than expected, because a wait would cost it more.
func (scheduler *Scheduler) moveTarget(round *fillingRound, record *jobRecord, step *workflow.Step, name workflow.Name, now clock.Time) int {
	move, ok := scheduler.fillingMoves[name]
	if !ok {
		return -1
	}
	delete(scheduler.fillingMoves, name)
	worker := move.target
	position := slices.Index(round.workers, worker)
	if position < 0 {
		return -1
	}
	group, ok := scheduler.groupOf(step, minLateSpeed)
	if !ok {
		return -1
	}
	round.Release(position, group)
	if !worker.isEligible(step, record.job.Spec.Service) || !worker.hasRoom(step, scheduler.headroom(record, step, worker, now)) ||
		step.PerWorker > 0 && worker.stepRuns(name) >= step.PerWorker {
		return -1
	}
	if _, ok := round.Value(position, group, 1, 0); !ok {
		return -1
	}
	return position
}

// isMostlyUnreserved reports whether less than half of the CPU capacity of a service is reserved.
func (scheduler *Scheduler) isMostlyUnreserved(service workflow.Service) bool {
	reservedCPU, totalCPU := int64(0), int64(0)
	for _, worker := range scheduler.workers {
		if worker.Service == service && worker.reachable {
			reservedCPU += int64(worker.reserved.CPU)
			totalCPU += int64(worker.Capacity.CPU)
		}
	}
	return 2*reservedCPU < totalCPU
}
