// Package colocation decides which serving tasks change workers so that those that are sensitive to the same filling
// images share workers. The other images then have workers on which they disturb nobody. The package starts no
// goroutine, does no I/O and reads no clock.
package colocation

import (
	"cmp"
	"slices"
)

// Task is a serving task on a worker. Tasks of a worker with the same Profile are equal for the decision.
type Task struct {
	// Profile is the position of the task's serving image in Demand.Shares.
	Profile int
	// Load is the number of cores that the task is expected to use.
	Load float64
	// Movable reports whether the task may be moved now.
	Movable bool
}

// Worker is a worker with its serving tasks.
type Worker struct {
	// IdleCores are the cores that the tasks leave to filling tasks.
	IdleCores float64
	Tasks     []Task
}

// Demand describes the filling tasks that want the idle cores, by position of the filling image.
type Demand struct {
	Cores []float64
	// Shares holds, by profile, the share of a worker's idle cores that each filling image can use beside it.
	Shares [][]float64
}

// Move moves a task to another worker, in exchange for one of its tasks if Back is not NoTask. Tasks and workers are
// given by position.
type Move struct {
	From, Task int
	To, Back   int
	// Gain is the increase of the potential, in cores.
	Gain float64
}

// NoTask is the value of Move.Back for a move without an exchange.
const NoTask = -1

// FitsFunc reports whether a task of a worker fits on another one once the task back has left it, which may be NoTask.
type FitsFunc func(from, task, to, back int) bool

// placement is a worker during a decision. sums holds, by filling image, the sum of the shares beside its tasks.
type placement struct {
	*Worker
	sums      []float64
	potential float64
	// tasks holds the first movable task of each profile.
	tasks []int
	// removalGain is the highest gain of the potential by the removal of a movable task.
	removalGain float64
	isSource    bool
}

// maxSources is the number of workers from which moves are considered at a time. It limits the processor time of a
// decision, which grows with sources times workers.
const maxSources = 16

// potential estimates how many idle cores filling tasks can use: the demand of each image times the cube of the mean share
// beside the serving tasks. The smallest share would be exact, but does not change while a worker keeps a second task of
// the kind that is moved away, so that no single move would lead to a better state.
func (demand Demand) potential(idleCores float64, sums []float64, count int) float64 {
	total, usable := 0.0, 0.0
	for image, cores := range demand.Cores {
		total += cores
		share := 1.0
		if count > 0 {
			share = sums[image] / float64(count)
		}
		usable += cores * share * share * share
	}
	if total == 0 || idleCores <= 0 {
		return 0
	}
	return idleCores * usable / total
}

// Choose returns the moves with the highest gains of at least minGain for each moved task, at most limit and at most one
// for each worker.
func Choose(workers []Worker, demand Demand, fits FitsFunc, minGain float64, limit int) []Move {
	placements := make([]placement, len(workers))
	for position := range workers {
		placements[position] = newPlacement(&workers[position], demand)
	}
	sources := make([]int, len(placements))
	for position := range placements {
		sources[position] = position
	}
	slices.SortStableFunc(sources, func(left, right int) int {
		return cmp.Compare(placements[right].removalGain, placements[left].removalGain)
	})
	sources = sources[:min(maxSources, len(sources))]
	for _, source := range sources {
		placements[source].isSource = true
	}
	var moves []Move
	scratch := [2][]float64{make([]float64, len(demand.Cores)), make([]float64, len(demand.Cores))}
	for _, from := range sources {
		for _, task := range placements[from].tasks {
			for to := range placements {
				if to != from {
					moves = appendMoves(moves, placements, demand, from, task, to, minGain, scratch)
				}
			}
		}
	}
	slices.SortStableFunc(moves, func(left, right Move) int { return cmp.Compare(right.Gain, left.Gain) })
	involved := make([]bool, len(workers))
	var chosen []Move
	for _, move := range moves {
		if len(chosen) >= limit {
			break
		}
		if involved[move.From] || involved[move.To] || !fits(move.From, move.Task, move.To, move.Back) ||
			move.Back != NoTask && !fits(move.To, move.Back, move.From, move.Task) {
			continue
		}
		involved[move.From], involved[move.To] = true, true
		chosen = append(chosen, move)
	}
	return chosen
}

func newPlacement(worker *Worker, demand Demand) placement {
	placement := placement{Worker: worker, sums: make([]float64, len(demand.Cores))}
	seen := map[int]bool{}
	for position, task := range worker.Tasks {
		for image, share := range demand.Shares[task.Profile] {
			placement.sums[image] += share
		}
		if task.Movable && !seen[task.Profile] {
			seen[task.Profile] = true
			placement.tasks = append(placement.tasks, position)
		}
	}
	placement.potential = demand.potential(worker.IdleCores, placement.sums, len(worker.Tasks))
	without := make([]float64, len(placement.sums))
	for _, position := range placement.tasks {
		task := worker.Tasks[position]
		for image, share := range demand.Shares[task.Profile] {
			without[image] = placement.sums[image] - share
		}
		gain := demand.potential(worker.IdleCores, without, len(worker.Tasks)-1) - placement.potential
		placement.removalGain = max(placement.removalGain, gain)
	}
	return placement
}

// appendMoves appends the moves of a task to a worker that gain enough. Exchanges of two sources are listed
// once.
func appendMoves(moves []Move, placements []placement, demand Demand, from, task, to int, minGain float64, scratch [2][]float64) []Move {
	source, target := &placements[from], &placements[to]
	moved := source.Tasks[task]
	shares := demand.Shares[moved.Profile]
	gainOf := func(back *Task) float64 {
		sourceSums, targetSums := scratch[0], scratch[1]
		sourceIdle, targetIdle := source.IdleCores+moved.Load, target.IdleCores-moved.Load
		sourceCount, targetCount := len(source.Tasks)-1, len(target.Tasks)+1
		for image := range sourceSums {
			sourceSums[image] = source.sums[image] - shares[image]
			targetSums[image] = target.sums[image] + shares[image]
		}
		if back != nil {
			sourceIdle, targetIdle = sourceIdle-back.Load, targetIdle+back.Load
			sourceCount, targetCount = sourceCount+1, targetCount-1
			for image, share := range demand.Shares[back.Profile] {
				sourceSums[image] += share
				targetSums[image] -= share
			}
		}
		return demand.potential(sourceIdle, sourceSums, sourceCount) + demand.potential(targetIdle, targetSums, targetCount) -
			source.potential - target.potential
	}
	if gain := gainOf(nil); gain >= minGain {
		moves = append(moves, Move{From: from, Task: task, To: to, Back: NoTask, Gain: gain})
	}
	if target.isSource && to < from {
		return moves
	}
	for _, back := range target.tasks {
		if target.Tasks[back].Profile == moved.Profile {
			continue
		}
		if gain := gainOf(&target.Tasks[back]); gain >= 2*minGain {
			moves = append(moves, Move{From: from, Task: task, To: to, Back: back, Gain: gain})
		}
	}
	return moves
}
