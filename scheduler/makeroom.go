package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/packing"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of making room for standing tasks that wait.
const (
	// makeRoomInterval is the time between two rounds of moves. A moved task does not run for about a second.
	makeRoomInterval = clock.Second
	// workersPerRoom is the number of workers for each move of a round.
	workersPerRoom = 16
)

// waitingTask is a standing task that found no worker with room in the last round of planning.
type waitingTask struct {
	record *jobRecord
	step   *workflow.Step
	name   workflow.Name
}

// makeRoom moves standing tasks away from workers on which larger ones that wait then fit, and holds the room there. Without
// that, tasks that come later and are smaller take the room that ends leave, in pieces in which the larger ones never fit.
func (scheduler *Scheduler) makeRoom(now clock.Time) {
	waiting := scheduler.unplaced
	scheduler.unplaced = nil
	if len(waiting) == 0 || now.Sub(scheduler.madeRoomAt) < makeRoomInterval {
		return
	}
	scheduler.madeRoomAt = now
	limit := max(1, len(scheduler.workers)/workersPerRoom)
	// hopeless holds the steps for whose tasks no move makes room.
	hopeless := set.New[*workflow.Step]()
	for _, task := range waiting {
		if limit == 0 {
			return
		}
		if hopeless.Has(task.step) || now.Sub(task.record.standingWaitSince) < headroomWait {
			continue // The second holds for a task that does not use the headroom yet.
		}
		if scheduler.makeRoomFor(task, now) {
			limit--
		} else {
			hopeless.Add(task.step)
		}
	}
}

// makeRoomFor makes room for a task and reports whether it did.
func (scheduler *Scheduler) makeRoomFor(task waitingTask, now clock.Time) bool {
	workers, runs, free := []packing.Worker(nil), [][]*activeRun(nil), unit.Resources{}
	var states []*workerState
	for _, incarnation := range scheduler.sortedWorkers() {
		state := scheduler.workers[incarnation]
		if !state.reserved.FitsIn(state.Capacity) {
			continue // It waits for the end of a task that moves away, or has shrunk.
		}
		worker := packing.Worker{Free: state.Capacity.Sub(state.reserved)}
		var movable []*activeRun
		for _, run := range sortedRuns(state) {
			if _, moves := scheduler.transfers[run.name]; !moves && run.step.Reserved().CPU < task.step.Need.CPU && isServingRunMovable(run, now) {
				worker.Tasks, movable = append(worker.Tasks, run.step.Reserved()), append(movable, run)
			}
		}
		workers, states, runs = append(workers, worker), append(states, state), append(runs, movable)
		if scheduler.mayPlace(task.record, task.step, state, now) {
			free = free.Add(worker.Free)
		}
	}
	if !task.step.Reserved().FitsIn(free) {
		return false
	}
	move, ok := packing.Choose(workers, task.step.Reserved(), packing.Rules{
		MayHost: func(worker int) bool {
			return scheduler.mayPlace(task.record, task.step, states[worker], now) && (task.step.PerWorker == 0 || states[worker].stepRuns(task.name) < task.step.PerWorker)
		},
		MayMove: func(from, moved, to int) bool {
			run := runs[from][moved]
			return scheduler.mayPlaceRun(run, states[to], now) && (run.step.PerWorker == 0 || states[to].stepRuns(run.name) < run.step.PerWorker)
		},
	})
	if !ok {
		return false
	}
	scheduler.transferRun(runs[move.From][move.Task], states[move.To], StopRoom, now)
	scheduler.holdRoom(task.name, task.step, states[move.From], now)
	return true
}
