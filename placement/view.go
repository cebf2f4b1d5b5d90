package placement

import (
	"slices"
	"strings"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// workerView is the last known state of a worker. A worker that is only named in a job row has no
// state yet.
type workerView struct {
	name ident.Worker
	// hasState is set while state holds a report of an incarnation that is not over.
	hasState bool
	state    WorkerState
	// free estimates what can be reserved: what the agent last reported, less the reservations
	// requested since.
	free       unit.Resources
	dataCentre *dataCentreView
	// unanswered is the sum of the reservations without an answer.
	unanswered unit.Resources
	// unresponsive workers have not reported for some time and get no new work.
	unresponsive bool
	// endedIncarnation is the newest incarnation that is certainly over.
	endedIncarnation ident.Incarnation
	// drainDeadline is when the worker must be empty; 0 means that it is not drained. From
	// drainBatchFrom on its batch tasks are moved as well.
	drainDeadline, drainBatchFrom clock.Time
	// keptFreeFor is a job for which the worker is kept free until keptFreeUntil.
	keptFreeFor   ident.Job
	keptFreeUntil clock.Time
	// assigned are the live and reserved tasks of this scheduler's jobs on the worker.
	assigned map[ident.Task]*assignedTask
	// classes are the classes of all work on the worker in ascending order; valid unless
	// classesStale.
	classes      []string
	classesStale bool
	rack         *rackView
	jobTasks     taskCounter
}

// rackView is a rack of a data centre.
type rackView struct{ jobTasks taskCounter }

// taskCounter counts tasks of the job that is being placed. It is valid for one generation, so that
// the next job needs no reset.
type taskCounter struct {
	generation uint64
	tasks      int
}

// value returns the number of tasks, or 0 if they were counted in another generation.
func (counter *taskCounter) value(generation uint64) int {
	if counter.generation != generation {
		return 0
	}
	return counter.tasks
}

func (counter *taskCounter) add(generation uint64, tasks int) {
	if counter.generation != generation {
		counter.generation, counter.tasks = generation, 0
	}
	counter.tasks += tasks
}

// assignedTask is a task that runs or may run on a worker, or is reserved there.
type assignedTask struct {
	view  *jobView
	index int
	size  unit.Resources
}

// dataCentreView is the last known state of a data centre's row, at revision.
type dataCentreView struct {
	name     ident.DataCentre
	open     bool
	key      table.Key
	revision table.Revision
	// newestRevision is the newest revision read from the table. While it is higher than revision,
	// the content of the row is unknown and no claim is made.
	newestRevision table.Revision
	// drainDeadline and drainBatchFrom have the same meaning as for a worker.
	drainDeadline, drainBatchFrom clock.Time
	// rampStart is when the data centre returned to service, and rampPlaced what was placed there
	// since; 0 means that it is not being filled gradually.
	rampStart  clock.Time
	rampPlaced unit.Resources
	capacity   unit.Resources
	jobTasks   taskCounter
}

// teamView is a team with jobs at this scheduler.
type teamView struct {
	name ident.Team
	// loaded is set once the team's usage row was read, and cleared to have it read again.
	loaded bool
	// refundFailed is set when a refund fails, until one succeeds or is corrected.
	refundFailed bool
	// uncommitted is the sum of this scheduler's holds that are not in the table yet.
	uncommitted unit.Resources
}

// jobView is a job of which this entry is home.
type jobView struct {
	name ident.Job
	// base is the content of the table at revision; row is base with changes applied.
	base     *job.Row
	revision table.Revision
	row      *job.Row
	changes  []change
	dirty    bool
	// newerRow is a newer row that arrived while the job was part of the pending transaction.
	newerRow *table.Row
	// loadedAt is the time from which waiting is counted in addition to base.Waited: when the job was
	// loaded, or when the last committed transaction with its row began.
	loadedAt clock.Time
	// queueKey orders the queue: the time by which the job should start, less the credit of its
	// priority.
	queueKey clock.Time
	queue    *teamQueue
	// queued is set while the job is in its queue.
	queued bool
	// waiting are the indices of the tasks that can be placed; valid unless waitingStale.
	waiting      []int
	waitingStale bool
	// holds are the reservations that are not claimed yet, claims those claimed but not in the
	// table, and live the tasks that are live in the table, all by task index.
	holds      map[int]*taskHold
	claims     map[int]*taskHold
	live       map[int]*liveTask
	assignedTo map[int]*workerView
	// retryAt is when each failed task may be placed again; avoidUntil is how long each worker that
	// refused a reservation is not tried.
	retryAt    map[int]clock.Time
	avoidUntil map[ident.Worker]clock.Time
	// refusalCount counts refused reservations of an urgent job. Until avoidCoarseUntil the job
	// uses no worker whose state is coarse.
	refusalCount     int
	avoidCoarseUntil clock.Time
	// preemptRetryAt is when the last preemption for this job must have made room; no other is
	// started before it.
	preemptRetryAt clock.Time
	// reason is the latest reason why a task was not placed or started. It is cleared when a worker is
	// chosen for a task.
	reason string
	// finalAt is when all tasks were first seen in a final state; 0 means that they were not.
	finalAt    clock.Time
	queueDirty bool
	// rowRetryAt is when a row that was too large may be written again.
	rowRetryAt clock.Time
	// revisionSeenAt is when the table was last known to hold revision.
	revisionSeenAt clock.Time
}

// change is a change of the row that is not in the table yet.
type change struct {
	job.Change
	// reporter is the worker whose agent waits for the change to be recorded; empty if none does.
	reporter ident.Worker
}

// liveTask is the state of a live task that the row does not hold.
type liveTask struct {
	epoch       ident.Epoch
	reservation capacity.Reservation
	// startConfirmed is set once the agent has confirmed the start.
	startConfirmed bool
	startSentAt    clock.Time
	stop           *stopRequest
	// liveSince is when this scheduler committed the claim or loaded the row with it.
	liveSince clock.Time
}

// stopRequest is a stop of a live task that is to be sent or was sent attempts times.
type stopRequest struct {
	checkpoint bool
	reason     string
	sentAt     clock.Time
	attempts   int
}

// taskHold is a reservation of one task that is not in the table yet.
type taskHold struct {
	view        *jobView
	index       int
	epoch       ident.Epoch
	size        unit.Resources
	worker      *workerView
	incarnation ident.Incarnation
	reservation capacity.Reservation
	// checkpoint is the one from which the agent is to resume the task.
	checkpoint  worker.Checkpoint
	requestedAt clock.Time
	answered    bool
	// granted is set if the agent accepted the reservation and nothing has revoked it.
	granted bool
}

func (hold *taskHold) task() ident.Task { return ident.Task{Job: hold.view.name, Index: hold.index} }

func (hold *taskHold) ref() TaskRef { return TaskRef{Task: hold.task(), Epoch: hold.epoch} }

// reserveBatch holds the tasks of one reservation at one worker.
type reserveBatch struct {
	worker      *workerView
	holds       []*taskHold
	answered    bool
	requestedAt clock.Time
}

// workerView returns the view of a worker and creates it if the worker was only named in a row so
// far.
func (scheduler *Scheduler) workerView(name ident.Worker) *workerView {
	if view, ok := scheduler.workers[name]; ok {
		return view
	}
	view := &workerView{name: name, assigned: make(map[ident.Task]*assignedTask)}
	scheduler.workers[name] = view
	position, _ := slices.BinarySearchFunc(scheduler.sortedWorkers, name, func(other *workerView, name ident.Worker) int {
		return strings.Compare(string(other.name), string(name))
	})
	scheduler.sortedWorkers = slices.Insert(scheduler.sortedWorkers, position, view)
	return view
}

// dataCentreView returns the view of a data centre, which it creates if needed.
func (scheduler *Scheduler) dataCentreView(name ident.DataCentre) *dataCentreView {
	view, ok := scheduler.dataCentres[name]
	if !ok {
		view = &dataCentreView{name: name}
		scheduler.dataCentres[name] = view
	}
	return view
}

// teamView returns the view of a team, which it creates if needed.
func (scheduler *Scheduler) teamView(name ident.Team) *teamView {
	view, ok := scheduler.teams[name]
	if !ok {
		view = &teamView{name: name}
		scheduler.teams[name] = view
	}
	return view
}

// assignTask records that the task is, or is about to be, on the worker.
func (scheduler *Scheduler) assignTask(view *jobView, index int, worker *workerView, size unit.Resources) {
	scheduler.unassignTask(view, index)
	worker.assigned[ident.Task{Job: view.name, Index: index}] = &assignedTask{view: view, index: index, size: size}
	worker.classesStale = true
	view.assignedTo[index] = worker
}

// unassignTask records that the task is on no worker.
func (scheduler *Scheduler) unassignTask(view *jobView, index int) {
	worker, ok := view.assignedTo[index]
	if !ok {
		return
	}
	delete(worker.assigned, ident.Task{Job: view.name, Index: index})
	worker.classesStale = true
	delete(view.assignedTo, index)
}

// workClasses returns the classes of the work on the worker in ascending order.
func (worker *workerView) workClasses() []string {
	if !worker.classesStale {
		return worker.classes
	}
	worker.classesStale = false
	worker.classes = append(worker.classes[:0], worker.state.Classes...)
	for _, resident := range worker.state.Residents {
		worker.classes = append(worker.classes, resident.Class)
	}
	for _, task := range worker.assigned {
		worker.classes = append(worker.classes, task.view.row.Spec.Class)
	}
	slices.Sort(worker.classes)
	return worker.classes
}

// assignedTasks returns the assigned tasks in ascending order.
func (worker *workerView) assignedTasks() []ident.Task {
	tasks := make([]ident.Task, 0, len(worker.assigned))
	for task := range worker.assigned {
		tasks = append(tasks, task)
	}
	sortTasks(tasks)
	return tasks
}

func sortTasks(tasks []ident.Task) {
	slices.SortFunc(tasks, compareTasks)
}

func compareTasks(first, second ident.Task) int {
	if order := strings.Compare(string(first.Job), string(second.Job)); order != 0 {
		return order
	}
	return first.Index - second.Index
}

// handleWorkerChanged applies an agent's report unless its incarnation is older than the last known
// one or already over.
func (scheduler *Scheduler) handleWorkerChanged(state WorkerState) {
	worker := scheduler.workerView(state.Worker)
	if (worker.hasState && state.Incarnation < worker.state.Incarnation) || state.Incarnation <= worker.endedIncarnation {
		return
	}
	if !worker.hasState || worker.state.Capacity != state.Capacity || worker.state.DataCentre != state.DataCentre {
		scheduler.updateCapacity(worker, state.DataCentre, state.Capacity)
	}
	if state.Incarnation > worker.state.Incarnation {
		// The tasks of older incarnations are unconfirmed until the new one confirms them.
		for task := range worker.assigned {
			scheduler.unconfirmed[task] = struct{}{}
		}
	}
	// The agent's home entry lists all tasks of the worker. Those of this scheduler's jobs are
	// already in assigned.
	state.Residents = slices.DeleteFunc(slices.Clone(state.Residents), func(resident Resident) bool {
		_, isOwn := scheduler.jobs[resident.Task.Job]
		return isOwn
	})
	worker.hasState, worker.unresponsive, worker.state, worker.classesStale = true, false, state, true
	worker.free = state.Capacity.Sub(state.Used).Sub(worker.unanswered)
	worker.dataCentre = scheduler.dataCentreView(state.DataCentre)
	rack := [2]string{string(state.DataCentre), string(state.Rack)}
	if scheduler.racks[rack] == nil {
		scheduler.racks[rack] = &rackView{}
	}
	worker.rack = scheduler.racks[rack]
}

// updateCapacity replaces the worker's capacity in the sums of its data centre and of all workers.
func (scheduler *Scheduler) updateCapacity(worker *workerView, centre ident.DataCentre, capacity unit.Resources) {
	if worker.hasState {
		old := scheduler.dataCentreView(worker.state.DataCentre)
		old.capacity = old.capacity.Sub(worker.state.Capacity)
		scheduler.totalCapacity = scheduler.totalCapacity.Sub(worker.state.Capacity)
	}
	view := scheduler.dataCentreView(centre)
	view.capacity = view.capacity.Add(capacity)
	scheduler.totalCapacity = scheduler.totalCapacity.Add(capacity)
	scheduler.fleetVersion++
	scheduler.fleetChangedAt = scheduler.now
}

// handleWorkerGone ends all placements on the incarnation and on earlier ones.
func (scheduler *Scheduler) handleWorkerGone(name ident.Worker, incarnation ident.Incarnation) {
	worker := scheduler.workerView(name)
	worker.endedIncarnation = max(worker.endedIncarnation, incarnation)
	if worker.hasState && worker.state.Incarnation <= worker.endedIncarnation {
		scheduler.updateCapacity(worker, worker.state.DataCentre, unit.Resources{})
		worker.hasState, worker.state, worker.free = false, WorkerState{Worker: name}, unit.Resources{}
	}
	for _, task := range worker.assignedTasks() {
		scheduler.markLostIfEnded(scheduler.jobs[task.Job], task.Index)
	}
}

// markLostIfEnded ends the placement as lost if its incarnation is over, and reports whether it
// did. A hold on such an incarnation is abandoned.
func (scheduler *Scheduler) markLostIfEnded(view *jobView, index int) bool {
	worker, ok := view.assignedTo[index]
	if !ok {
		return false
	}
	for _, holds := range []map[int]*taskHold{view.holds, view.claims} {
		if hold, ok := holds[index]; ok {
			if hold.incarnation <= worker.endedIncarnation {
				hold.granted = false
				if !scheduler.inTransaction(view) {
					scheduler.abandonTask(view, index)
				}
			}
			return false
		}
	}
	task := view.row.Tasks[index]
	if !task.State.Live() || task.Placement.Incarnation > worker.endedIncarnation {
		return false
	}
	if scheduler.applyChange(view, job.Change{Step: job.StepLose, Index: index, Epoch: task.Epoch, Checkpoint: task.Checkpoint}, "") {
		scheduler.stats.Losses++
		return true
	}
	return false
}

// addFree adds size to the estimate of what is free on a worker with a state.
func (worker *workerView) addFree(size unit.Resources) {
	if worker.hasState {
		worker.free = worker.free.Add(size).Min(worker.state.Capacity)
	}
}

// sortedIndices returns the keys in ascending order.
func sortedIndices[Value any](values map[int]Value) []int { return set.SortedKeys(values) }
