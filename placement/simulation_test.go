package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// simulation runs one scheduler against workers and a table that answer at once and never fail.
// Tasks have an actual size and a duration, and slow each other down when a worker's CPU is
// overcommitted.
type simulation struct {
	t         testing.TB
	scheduler *Scheduler
	random    *rand.Rand
	now       clock.Time
	rows      map[table.Key]table.Row
	workers   []*simWorker
	byName    map[ident.Worker]*simWorker
	// allTasks are the actual properties of all tasks submitted.
	allTasks  map[ident.Task]*simTask
	events    []Event
	commits   int
	starts    int
	finished  int
	evictions int
	// completedWork is the duration of all finished tasks.
	completedWork clock.Millis
	// checkpointTime is how long a stop with a checkpoint takes; negative means that it never
	// completes.
	checkpointTime clock.Millis
	delayedStops   []delayedStop
	observe        func(action Action)
	// commitError returns the error with which a commit fails, or nil.
	commitError func(action Commit) error
	// startedAt is the time of the first start of each job.
	startedAt map[ident.Job]clock.Time
}

type simWorker struct {
	state WorkerState
	holds map[ident.Task]simHold
	tasks map[ident.Task]*simTask
}

type simHold struct {
	size        unit.Resources
	reservation capacity.Reservation
}

// simTask is a task with its actual size and progress. Progress beyond checkpointed is lost when it
// is stopped without a checkpoint or fails.
type simTask struct {
	epoch        ident.Epoch
	actual       unit.Resources
	duration     clock.Millis
	progress     clock.Millis
	checkpointed clock.Millis
}

func newSimulation(t testing.TB, settings Settings, dependencies Dependencies, workers int, capacity unit.Resources) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, now: 100_000, random: rand.New(rand.NewPCG(1, 2)), rows: make(map[table.Key]table.Row),
		byName: make(map[ident.Worker]*simWorker), allTasks: make(map[ident.Task]*simTask), startedAt: make(map[ident.Job]clock.Time),
	}
	dependencies.Entry = "bench"
	sim.scheduler = New(settings, dependencies)
	for index, name := range centreNames {
		sim.rows[centreKey(name)] = table.Row{Key: centreKey(name), Revision: 1}
		sim.setDataCentre(centreNames[index], true, 0)
	}
	for index := range workers {
		machine := &simWorker{holds: make(map[ident.Task]simHold), tasks: make(map[ident.Task]*simTask), state: WorkerState{
			Worker: ident.Worker(fmt.Sprintf("w%04d", index)), Incarnation: 1, DataCentre: centreNames[index%3],
			Rack: ident.Rack(fmt.Sprintf("r%03d", index/9)), Capacity: capacity,
		}}
		sim.workers = append(sim.workers, machine)
		sim.byName[machine.state.Worker] = machine
	}
	sim.announce()
	return sim
}

// setDataCentre changes the row of a data centre and sends it to the scheduler.
func (sim *simulation) setDataCentre(name ident.DataCentre, open bool, bound clock.Millis) {
	row := sim.rows[centreKey(name)]
	row.Revision++
	sim.rows[centreKey(name)] = row
	sim.handle(DataCentreChanged{DataCentre: name, Open: open, Key: row.Key, Revision: row.Revision, Bound: bound})
}

func (machine *simWorker) reservedSize() unit.Resources {
	var sum unit.Resources
	for _, hold := range machine.holds {
		sum = sum.Add(hold.size)
	}
	return sum
}

// announce sends the state of all workers to the scheduler.
func (sim *simulation) announce() {
	for _, machine := range sim.workers {
		machine.state.Used = machine.reservedSize()
		sim.handle(WorkerChanged{State: machine.state})
	}
}

func (sim *simulation) submit(spec job.Spec, actual unit.Resources, duration clock.Millis) {
	if spec.Region == "" {
		spec.Region, spec.Team = "flanders", ident.Team(fmt.Sprintf("team-%d", len(sim.rows)%20))
	}
	row, err := job.New(spec)
	if err != nil {
		sim.t.Fatal(err)
	}
	for index := range spec.Count {
		sim.allTasks[ident.Task{Job: spec.Job, Index: index}] = &simTask{actual: actual, duration: duration}
	}
	stored := table.Row{Key: job.Key(spec.Job), Value: row.Encode(), Revision: 1, Write: "submit"}
	sim.rows[stored.Key] = stored
	sim.handle(JobLoaded{Row: stored})
}

// handle passes the event, and the answers to the resulting actions, to the scheduler.
func (sim *simulation) handle(event Event) {
	sim.events = append(sim.events, event)
	for len(sim.events) > 0 {
		next := sim.events[0]
		sim.events = sim.events[1:]
		for _, action := range sim.scheduler.Handle(next, sim.now) {
			if sim.observe != nil {
				sim.observe(action)
			}
			if answer := sim.perform(action); answer != nil {
				sim.events = append(sim.events, answer)
			}
		}
	}
}

func (sim *simulation) perform(action Action) Event {
	switch action := action.(type) {
	case Reserve:
		machine := sim.byName[action.Worker]
		answer := Reserved{Worker: action.Worker, Reservation: action.Reservation, FreeKnown: true}
		reserved := machine.reservedSize()
		for _, spec := range action.Tasks {
			result := ReserveResult{Task: spec.Task, Epoch: spec.Epoch}
			if reserved.Add(spec.Size).FitsIn(machine.state.Capacity) {
				reserved, result.OK = reserved.Add(spec.Size), true
				machine.holds[spec.Task] = simHold{size: spec.Size, reservation: action.Reservation}
			}
			answer.Results = append(answer.Results, result)
		}
		answer.Free = machine.state.Capacity.Sub(reserved)
		return answer
	case Release:
		for _, ref := range action.Tasks {
			if holds := sim.byName[action.Worker].holds; holds[ref.Task].reservation == action.Reservation {
				delete(holds, ref.Task)
			}
		}
	case Commit:
		if sim.commitError != nil {
			if err := sim.commitError(action); err != nil {
				return CommitFailed{Write: action.Transaction.Write, Err: err}
			}
		}
		sim.commits++
		revisions := make(map[table.Key]table.Revision)
		for _, operation := range action.Transaction.Operations {
			row := sim.rows[operation.Key]
			sim.rows[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: row.Revision + 1, Write: action.Transaction.Write}
			revisions[operation.Key] = row.Revision + 1
		}
		return Committed{Write: action.Transaction.Write, Result: table.Result{Revisions: revisions}}
	case Read:
		var rows []table.Row
		for _, key := range action.Keys {
			row := sim.rows[key]
			row.Key = key
			rows = append(rows, row)
		}
		return RowsRead{Rows: rows}
	case Start:
		machine := sim.byName[action.Worker]
		answer := Started{Worker: action.Worker, Incarnation: 1}
		for _, ref := range action.Tasks {
			task := sim.allTasks[ref.Task]
			task.epoch, task.progress = ref.Epoch, task.checkpointed
			machine.tasks[ref.Task] = task
			sim.starts++
			if _, ok := sim.startedAt[ref.Task.Job]; !ok {
				sim.startedAt[ref.Task.Job] = sim.now
			}
			answer.Results = append(answer.Results, StartResult{Task: ref.Task, Epoch: ref.Epoch, OK: true})
		}
		return answer
	case Stop:
		if action.Checkpoint && sim.checkpointTime != 0 {
			if sim.checkpointTime > 0 {
				sim.delayedStops = append(sim.delayedStops, delayedStop{finishesAt: sim.now.Add(sim.checkpointTime), action: action})
			}
			return nil
		}
		return sim.stop(action)
	}
	return nil
}

// delayedStop is a stop whose checkpoint is being written.
type delayedStop struct {
	finishesAt clock.Time
	action     Stop
}

func (sim *simulation) stop(action Stop) Event {
	answer := Stopped{Worker: action.Worker, Incarnation: 1}
	for _, ref := range action.Tasks {
		result := StopResult{Task: ref.Task, Epoch: ref.Epoch, Stopped: true}
		if _, running := sim.byName[action.Worker].tasks[ref.Task]; !running {
			continue
		}
		if action.Checkpoint {
			sim.allTasks[ref.Task].checkpointed = sim.allTasks[ref.Task].progress
			result.Checkpoint = worker.Checkpoint{Epoch: ref.Epoch, Name: "saved"}
		}
		sim.removeTask(sim.byName[action.Worker], ref.Task)
		sim.evictions++
		answer.Results = append(answer.Results, result)
	}
	return answer
}

func (sim *simulation) removeTask(machine *simWorker, task ident.Task) {
	delete(machine.tasks, task)
	delete(machine.holds, task)
}

// step advances the tasks, ends those that are complete or exceed the worker's memory, and runs a
// round.
func (sim *simulation) step(millis clock.Millis) {
	until := sim.now.Add(millis)
	for _, machine := range sim.workers {
		sim.stepWorker(machine, millis)
	}
	for len(sim.delayedStops) > 0 && !sim.delayedStops[0].finishesAt.After(until) {
		next := sim.delayedStops[0]
		sim.delayedStops = sim.delayedStops[1:]
		sim.now = next.finishesAt
		sim.handle(sim.stop(next.action))
	}
	sim.now = until
	sim.handle(Round{})
}

func (sim *simulation) stepWorker(machine *simWorker, millis clock.Millis) {
	var sum unit.Resources
	for _, task := range machine.tasks {
		sum = sum.Add(task.actual)
	}
	progress := millis
	if sum.CPU > machine.state.Capacity.CPU {
		progress = millis * clock.Millis(machine.state.Capacity.CPU) / clock.Millis(sum.CPU)
	}
	for _, name := range sortedTasks(machine.tasks) {
		task := machine.tasks[name]
		task.progress += progress
		status := worker.Status{Task: name, Epoch: task.epoch, State: worker.Finished}
		switch {
		case task.progress >= task.duration:
			sim.finished++
			sim.completedWork += task.duration
		case sum.Memory > machine.state.Capacity.Memory:
			// The platform kills a task when memory runs out; its progress since the last
			// checkpoint is lost.
			sum = sum.Sub(task.actual)
			status.State, status.Reason = worker.Failed, "out of memory"
			sim.evictions++
		default:
			continue
		}
		sim.removeTask(machine, name)
		sim.handle(TaskEnded{Worker: machine.state.Worker, Status: status})
	}
}

// workKept returns the work of finished tasks, the progress of running ones and the checkpoints of
// waiting ones.
func (sim *simulation) workKept() clock.Millis {
	sum := sim.completedWork
	running := make(map[ident.Task]bool)
	for _, machine := range sim.workers {
		for name, task := range machine.tasks {
			running[name] = true
			sum += task.progress
		}
	}
	for name, task := range sim.allTasks {
		if !running[name] && task.progress < task.duration {
			sum += task.checkpointed
		}
	}
	return sum
}
