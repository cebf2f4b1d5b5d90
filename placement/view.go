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

// workerView is what the scheduler knows of a worker. A worker that is only known from a job row
// has no state yet.
type workerView struct {
	name  ident.Worker
	known bool
	state WorkerState
	// free estimates what can be reserved: what the agent last said, less what was asked since.
	free   unit.Resources
	centre *centreView
	// asked is the sum of reservations without an answer.
	asked  unit.Resources
	silent bool
	// gone is the newest incarnation that is certainly over.
	gone ident.Incarnation
	// drainAt is when an operator wants the worker empty; 0 means no drain. From drainHalf on its batch
	// tasks are moved.
	drainAt, drainHalf clock.Time
	// heldFor is a job that the worker is kept free for until heldUntil.
	heldFor   ident.Job
	heldUntil clock.Time
	// occupants are this scheduler's live and reserved tasks.
	occupants map[ident.Task]*occupant
	classes   []string
	stale     bool
	rack      *rackView
	load      load
}

// rackView is a rack of a data centre.
type rackView struct{ load load }

// load counts the tasks of the job that is being placed; visit tells for which job it was counted.
type load struct {
	visit uint64
	tasks int
}

// count returns the number of tasks, which is 0 if they were counted for another job.
func (at *load) count(visit uint64) int {
	if at.visit != visit {
		return 0
	}
	return at.tasks
}

func (at *load) add(visit uint64, tasks int) {
	if at.visit != visit {
		at.visit, at.tasks = visit, 0
	}
	at.tasks += tasks
}

// occupant is a task that occupies a worker, or is about to.
type occupant struct {
	view  *jobView
	index int
	size  unit.Resources
}

type centreView struct {
	name     ident.DataCentre
	open     bool
	key      table.Key
	revision table.Revision
	// seen is the newest revision read from the table. No claim is made while it is not known what
	// that revision says.
	seen table.Revision
	// drainAt and drainHalf are as those of a worker.
	drainAt, drainHalf clock.Time
	// rampFrom is when the data centre returned; 0 means that it is not returning.
	rampFrom   clock.Time
	rampPlaced unit.Resources
	capacity   unit.Resources
	load       load
}

type teamView struct {
	name  ident.Team
	known bool
	// doubted is set when a refund failed, until one succeeds or the row was read again.
	doubted bool
	// asked is the sum of this scheduler's holds that are not in the table yet.
	asked unit.Resources
}

// jobView is a job this entry is home of.
type jobView struct {
	name ident.Job
	// base is the content of the table at revision; row is base with changes applied.
	base     *job.Row
	revision table.Revision
	row      *job.Row
	changes  []change
	dirty    bool
	// later is a newer row that arrived while the job was part of the transaction in flight.
	later    *table.Row
	loadedAt clock.Time
	// key orders the queue: when the job is due, less its priority's credit.
	key  clock.Time
	lane *lane
	// queued tells whether the job is in its lane.
	queued bool
	// waiting are the indices of tasks that can be placed; valid unless stale.
	waiting   []int
	stale     bool
	reserving map[int]*hold
	claims    map[int]*hold
	live      map[int]*liveTask
	occupied  map[int]*workerView
	delay     map[int]clock.Time
	avoid     map[ident.Worker]clock.Time
	// refusals counts refused reservations of an urgent job, and until preciseUntil it uses no worker
	// whose state is coarse.
	refusals     int
	preciseUntil clock.Time
	// preemptUntil is when the last preemption for this job must have helped.
	preemptUntil clock.Time
	reason       string
	// finalAt is when all tasks were first seen in a final state.
	finalAt clock.Time
	touched bool
	// writeAt is when the row may be written again after it was too large.
	writeAt clock.Time
	// seenAt is when the table was last known to hold revision.
	seenAt clock.Time
}

// change is a change of the row that is not in the table yet.
type change struct {
	job.Change
	// report names the agent that waits for the change to be recorded.
	report ident.Worker
}

// liveTask is what is known beyond the row about a task that is live in the table.
type liveTask struct {
	epoch       ident.Epoch
	reservation capacity.Reservation
	// resolved is set once the task is known to have started.
	resolved bool
	asked    clock.Time
	stop     *stopping
	since    clock.Time
}

type stopping struct {
	checkpoint bool
	reason     string
	asked      clock.Time
	attempts   int
}

// hold is a reservation of one task that is not in the table yet.
type hold struct {
	view        *jobView
	index       int
	epoch       ident.Epoch
	size        unit.Resources
	worker      *workerView
	incarnation ident.Incarnation
	reservation capacity.Reservation
	// checkpoint is the one the agent was told to resume from.
	checkpoint worker.Checkpoint
	asked      clock.Time
	answered   bool
	ok         bool
}

func (held *hold) task() ident.Task { return ident.Task{Job: held.view.name, Index: held.index} }

func (held *hold) ref() TaskRef { return TaskRef{Task: held.task(), Epoch: held.epoch} }

type reservation struct {
	worker   *workerView
	holds    []*hold
	answered bool
	asked    clock.Time
}

// worker returns the view of a worker, which it creates if the worker is only known from a row.
func (scheduler *Scheduler) worker(name ident.Worker) *workerView {
	if view, ok := scheduler.workers[name]; ok {
		return view
	}
	view := &workerView{name: name, occupants: make(map[ident.Task]*occupant)}
	scheduler.workers[name] = view
	position, _ := slices.BinarySearchFunc(scheduler.order, name, func(other *workerView, name ident.Worker) int {
		return strings.Compare(string(other.name), string(name))
	})
	scheduler.order = slices.Insert(scheduler.order, position, view)
	return view
}

func (scheduler *Scheduler) centre(name ident.DataCentre) *centreView {
	view, ok := scheduler.centres[name]
	if !ok {
		view = &centreView{name: name}
		scheduler.centres[name] = view
	}
	return view
}

func (scheduler *Scheduler) team(name ident.Team) *teamView {
	view, ok := scheduler.teams[name]
	if !ok {
		view = &teamView{name: name}
		scheduler.teams[name] = view
	}
	return view
}

// occupy notes that the task is, or is about to be, on the worker.
func (scheduler *Scheduler) occupy(view *jobView, index int, worker *workerView, size unit.Resources) {
	scheduler.vacate(view, index)
	worker.occupants[ident.Task{Job: view.name, Index: index}] = &occupant{view: view, index: index, size: size}
	worker.stale = true
	view.occupied[index] = worker
}

// vacate notes that the task is nowhere.
func (scheduler *Scheduler) vacate(view *jobView, index int) {
	worker, ok := view.occupied[index]
	if !ok {
		return
	}
	delete(worker.occupants, ident.Task{Job: view.name, Index: index})
	worker.stale = true
	delete(view.occupied, index)
}

// residents returns the classes of the work on the worker in ascending order.
func (worker *workerView) residents() []string {
	if !worker.stale {
		return worker.classes
	}
	worker.stale = false
	worker.classes = append(worker.classes[:0], worker.state.Classes...)
	for _, resident := range worker.state.Residents {
		worker.classes = append(worker.classes, resident.Class)
	}
	for _, occupant := range worker.occupants {
		worker.classes = append(worker.classes, occupant.view.row.Spec.Class)
	}
	slices.Sort(worker.classes)
	return worker.classes
}

// tasks returns the occupants' tasks in ascending order.
func (worker *workerView) tasks() []ident.Task {
	tasks := make([]ident.Task, 0, len(worker.occupants))
	for task := range worker.occupants {
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

func (scheduler *Scheduler) workerChanged(state WorkerState) {
	worker := scheduler.worker(state.Worker)
	if (worker.known && state.Incarnation < worker.state.Incarnation) || state.Incarnation <= worker.gone {
		return
	}
	if !worker.known || worker.state.Capacity != state.Capacity || worker.state.DataCentre != state.DataCentre {
		scheduler.reshape(worker, state.DataCentre, state.Capacity)
	}
	if state.Incarnation > worker.state.Incarnation {
		// The tasks of older incarnations are unresolved until the new one confirms them.
		for task := range worker.occupants {
			scheduler.open[task] = struct{}{}
		}
	}
	// The home of an agent hears of all its tasks. Those of this scheduler's jobs are occupants.
	state.Residents = slices.DeleteFunc(slices.Clone(state.Residents), func(resident Resident) bool {
		_, own := scheduler.jobs[resident.Task.Job]
		return own
	})
	worker.known, worker.silent, worker.state, worker.stale = true, false, state, true
	worker.free = state.Capacity.Sub(state.Used).Sub(worker.asked)
	worker.centre = scheduler.centre(state.DataCentre)
	rack := [2]string{string(state.DataCentre), string(state.Rack)}
	if scheduler.racks[rack] == nil {
		scheduler.racks[rack] = &rackView{}
	}
	worker.rack = scheduler.racks[rack]
}

func (scheduler *Scheduler) reshape(worker *workerView, centre ident.DataCentre, resources unit.Resources) {
	if worker.known {
		old := scheduler.centre(worker.state.DataCentre)
		old.capacity = old.capacity.Sub(worker.state.Capacity)
		scheduler.total = scheduler.total.Sub(worker.state.Capacity)
	}
	view := scheduler.centre(centre)
	view.capacity = view.capacity.Add(resources)
	scheduler.total = scheduler.total.Add(resources)
	scheduler.shape++
	scheduler.shapedAt = scheduler.now
}

// workerGone ends all placements on the incarnation and earlier ones.
func (scheduler *Scheduler) workerGone(name ident.Worker, incarnation ident.Incarnation) {
	worker := scheduler.worker(name)
	worker.gone = max(worker.gone, incarnation)
	if worker.known && worker.state.Incarnation <= worker.gone {
		scheduler.reshape(worker, worker.state.DataCentre, unit.Resources{})
		worker.known, worker.state, worker.free = false, WorkerState{Worker: name}, unit.Resources{}
	}
	for _, task := range worker.tasks() {
		scheduler.loseIfGone(scheduler.jobs[task.Job], task.Index)
	}
}

// loseIfGone ends the placement if its incarnation is over, and reports whether it did.
func (scheduler *Scheduler) loseIfGone(view *jobView, index int) bool {
	worker, ok := view.occupied[index]
	if !ok {
		return false
	}
	for _, holds := range []map[int]*hold{view.reserving, view.claims} {
		if held, ok := holds[index]; ok {
			if held.incarnation <= worker.gone {
				held.ok = false
				if !scheduler.flying(view) {
					scheduler.abandon(view, index)
				}
			}
			return false
		}
	}
	task := view.row.Tasks[index]
	if !task.State.Live() || task.Placement.Incarnation > worker.gone {
		return false
	}
	if scheduler.apply(view, job.Change{Step: job.StepLose, Index: index, Epoch: task.Epoch, Checkpoint: task.Checkpoint}, "") {
		scheduler.stats.Losses++
		return true
	}
	return false
}

// giveBack adds size to the estimate of what is free on a known worker.
func (worker *workerView) giveBack(size unit.Resources) {
	if worker.known {
		worker.free = worker.free.Add(size).Min(worker.state.Capacity)
	}
}

// sortedIndices returns the keys in ascending order.
func sortedIndices[Value any](values map[int]Value) []int { return set.SortedKeys(values) }
