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
	view := scheduler.newPackingView(task, now)
	need := task.step.Reserved()
	if !need.FitsIn(view.free) {
		return false
	}
	move, ok := packing.Choose(view.workers, need, packing.Rules{
		MayHost: func(worker int) bool { return view.mayHost[worker] },
		MayMove: func(from, moved, to int) bool {
			run := view.runs[from][moved]
			return scheduler.mayPlaceRun(run, view.states[to], now) && hasStepRoom(run.step, run.name, view.states[to])
		},
	})
	if !ok {
		return false
	}
	scheduler.transferRun(view.runs[move.From][move.Task], view.states[move.To], StopRoom, now)
	scheduler.holdRoom(task.name, task.step, view.states[move.From], now)
	return true
}

// packingView is what package packing decides on. All lists have one entry for each worker.
type packingView struct {
	workers []packing.Worker
	states  []*workerState
	// runs holds the runs whose tasks may move, in the order of those of the packing.Worker.
	runs [][]*activeRun
	// mayHost tells where the waiting task may run, and free sums up what is unreserved there.
	mayHost []bool
	free    unit.Resources
}

// newPackingView returns the view for a waiting task. Only smaller tasks than that may move.
func (scheduler *Scheduler) newPackingView(task waitingTask, now clock.Time) packingView {
	var view packingView
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
		mayPlace := scheduler.mayPlace(task.record, task.step, state, now)
		if mayPlace {
			view.free = view.free.Add(worker.Free)
		}
		view.workers, view.states, view.runs = append(view.workers, worker), append(view.states, state), append(view.runs, movable)
		view.mayHost = append(view.mayHost, mayPlace && hasStepRoom(task.step, task.name, state))
	}
	return view
}

// hasStepRoom reports whether a worker may get one more task of a step.
func hasStepRoom(step *workflow.Step, name workflow.Name, worker *workerState) bool {
	return step.PerWorker == 0 || worker.stepRuns(name) < step.PerWorker
}
