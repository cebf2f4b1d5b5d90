// Package packing decides which task moves to another worker so that a larger one, which waits although the workers together
// have room for it, finds room on one of them. It holds no clock and does no I/O.
package packing

import "hyssopjunction/unit"

// Worker is a worker with its unreserved resources. Tasks holds the resources of the tasks on it that may move.
type Worker struct {
	Free  unit.Resources
	Tasks []unit.Resources
}

// Move moves a task of a worker to another worker. All are positions.
type Move struct{ From, Task, To int }

// Rules tells what besides resources decides where tasks may run.
type Rules struct {
	// MayHost reports whether the waiting task may run on a worker.
	MayHost func(worker int) bool
	// MayMove reports whether a task of a worker may run on another one.
	MayMove func(from, task, to int) bool
}

// Choose returns the move of the smallest task after which a task with the need fits on the worker that it leaves, or false if
// no single move suffices. The moved task goes where it leaves the least processors unreserved, so that large rooms stay whole.
func Choose(workers []Worker, need unit.Resources, rules Rules) (Move, bool) {
	best, found := Move{}, false
	var bestSize, bestLeft unit.MilliCPU
	for from := range workers {
		if !rules.MayHost(from) {
			continue
		}
		for task, size := range workers[from].Tasks {
			if found && size.CPU > bestSize || !need.FitsIn(workers[from].Free.Add(size)) {
				continue
			}
			for to := range workers {
				left := workers[to].Free.CPU - size.CPU
				if to == from || found && size.CPU == bestSize && left >= bestLeft || !size.FitsIn(workers[to].Free) || !rules.MayMove(from, task, to) {
					continue
				}
				best, bestSize, bestLeft, found = Move{From: from, Task: task, To: to}, size.CPU, left, true
			}
		}
	}
	return best, found
}
