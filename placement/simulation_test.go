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

// sim runs one scheduler against workers and a table that answer at once and never fail. Tasks have
// an actual size and an amount of work, and slow each other down when a processor is overcommitted.
type sim struct {
	t         testing.TB
	scheduler *Scheduler
	random    *rand.Rand
	now       clock.Time
	rows      map[table.Key]table.Row
	workers   []*simWorker
	byName    map[ident.Worker]*simWorker
	profiles  map[ident.Task]*simTask
	pending   []Event
	commits   int
	starts    int
	finished  int
	evictions int
	// work is the progress that counts: of finished tasks and of what was kept, in milliseconds.
	work clock.Millis
	// checkpointTime is how long a stop with a checkpoint takes; negative means for ever.
	checkpointTime clock.Millis
	delayed        []delayedStop
	observe        func(action Action)
	// refuse returns the error of a commit, if it is to fail.
	refuse func(action Commit) error
	// startedAt is the first start of each job.
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

type simTask struct {
	epoch  ident.Epoch
	actual unit.Resources
	need   clock.Millis
	done   clock.Millis
	saved  clock.Millis
}

func newSim(t testing.TB, settings Settings, dependencies Dependencies, workers int, capacity unit.Resources) *sim {
	t.Helper()
	world := &sim{
		t: t, now: 100_000, random: rand.New(rand.NewPCG(1, 2)), rows: make(map[table.Key]table.Row),
		byName: make(map[ident.Worker]*simWorker), profiles: make(map[ident.Task]*simTask), startedAt: make(map[ident.Job]clock.Time),
	}
	dependencies.Entry = "bench"
	world.scheduler = New(settings, dependencies)
	for index, name := range centreNames {
		world.rows[centreKey(name)] = table.Row{Key: centreKey(name), Revision: 1}
		world.centre(centreNames[index], true, 0)
	}
	for index := range workers {
		at := &simWorker{holds: make(map[ident.Task]simHold), tasks: make(map[ident.Task]*simTask), state: WorkerState{
			Worker: ident.Worker(fmt.Sprintf("w%04d", index)), Incarnation: 1, DataCentre: centreNames[index%3],
			Rack: ident.Rack(fmt.Sprintf("r%03d", index/9)), Capacity: capacity,
		}}
		world.workers = append(world.workers, at)
		world.byName[at.state.Worker] = at
	}
	world.announce()
	return world
}

func (world *sim) centre(name ident.DataCentre, open bool, bound clock.Millis) {
	row := world.rows[centreKey(name)]
	row.Revision++
	world.rows[centreKey(name)] = row
	world.handle(DataCentreChanged{DataCentre: name, Open: open, Key: row.Key, Revision: row.Revision, Bound: bound})
}

func (at *simWorker) used() unit.Resources {
	var sum unit.Resources
	for _, held := range at.holds {
		sum = sum.Add(held.size)
	}
	return sum
}

func (world *sim) announce() {
	for _, at := range world.workers {
		at.state.Used = at.used()
		world.handle(WorkerChanged{State: at.state})
	}
}

func (world *sim) submit(spec job.Spec, actual unit.Resources, need clock.Millis) {
	if spec.Region == "" {
		spec.Region, spec.Team = "flanders", ident.Team(fmt.Sprintf("team-%d", len(world.rows)%20))
	}
	row, err := job.New(spec)
	if err != nil {
		world.t.Fatal(err)
	}
	for index := range spec.Count {
		world.profiles[ident.Task{Job: spec.Job, Index: index}] = &simTask{actual: actual, need: need}
	}
	stored := table.Row{Key: job.Key(spec.Job), Value: row.Encode(), Revision: 1, Write: "submit"}
	world.rows[stored.Key] = stored
	world.handle(JobLoaded{Row: stored})
}

func (world *sim) handle(event Event) {
	world.pending = append(world.pending, event)
	for len(world.pending) > 0 {
		next := world.pending[0]
		world.pending = world.pending[1:]
		for _, action := range world.scheduler.Handle(next, world.now) {
			if world.observe != nil {
				world.observe(action)
			}
			if answer := world.perform(action); answer != nil {
				world.pending = append(world.pending, answer)
			}
		}
	}
}

func (world *sim) perform(action Action) Event {
	switch action := action.(type) {
	case Reserve:
		at := world.byName[action.Worker]
		answer := Reserved{Worker: action.Worker, Reservation: action.Reservation, FreeKnown: true}
		used := at.used()
		for _, spec := range action.Tasks {
			result := ReserveResult{Task: spec.Task, Epoch: spec.Epoch}
			if used.Add(spec.Size).FitsIn(at.state.Capacity) {
				used, result.OK = used.Add(spec.Size), true
				at.holds[spec.Task] = simHold{size: spec.Size, reservation: action.Reservation}
			}
			answer.Results = append(answer.Results, result)
		}
		answer.Free = at.state.Capacity.Sub(used)
		return answer
	case Release:
		for _, ref := range action.Tasks {
			if holds := world.byName[action.Worker].holds; holds[ref.Task].reservation == action.Reservation {
				delete(holds, ref.Task)
			}
		}
	case Commit:
		if world.refuse != nil {
			if err := world.refuse(action); err != nil {
				return CommitFailed{Write: action.Transaction.Write, Err: err}
			}
		}
		world.commits++
		revisions := make(map[table.Key]table.Revision)
		for _, operation := range action.Transaction.Operations {
			row := world.rows[operation.Key]
			world.rows[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: row.Revision + 1, Write: action.Transaction.Write}
			revisions[operation.Key] = row.Revision + 1
		}
		return Committed{Write: action.Transaction.Write, Result: table.Result{Revisions: revisions}}
	case Read:
		var rows []table.Row
		for _, key := range action.Keys {
			row := world.rows[key]
			row.Key = key
			rows = append(rows, row)
		}
		return RowsRead{Rows: rows}
	case Start:
		at := world.byName[action.Worker]
		answer := Started{Worker: action.Worker, Incarnation: 1}
		for _, ref := range action.Tasks {
			task := world.profiles[ref.Task]
			task.epoch, task.done = ref.Epoch, task.saved
			at.tasks[ref.Task] = task
			world.starts++
			if _, ok := world.startedAt[ref.Task.Job]; !ok {
				world.startedAt[ref.Task.Job] = world.now
			}
			answer.Results = append(answer.Results, StartResult{Task: ref.Task, Epoch: ref.Epoch, OK: true})
		}
		return answer
	case Stop:
		if action.Checkpoint && world.checkpointTime != 0 {
			if world.checkpointTime > 0 {
				world.delayed = append(world.delayed, delayedStop{at: world.now.Add(world.checkpointTime), action: action})
			}
			return nil
		}
		return world.stop(action)
	}
	return nil
}

// delayedStop is a stop whose checkpoint is being written.
type delayedStop struct {
	at     clock.Time
	action Stop
}

func (world *sim) stop(action Stop) Event {
	answer := Stopped{Worker: action.Worker, Incarnation: 1}
	for _, ref := range action.Tasks {
		result := StopResult{Task: ref.Task, Epoch: ref.Epoch, Stopped: true}
		if _, running := world.byName[action.Worker].tasks[ref.Task]; !running {
			continue
		}
		if action.Checkpoint {
			world.profiles[ref.Task].saved = world.profiles[ref.Task].done
			result.Checkpoint = worker.Checkpoint{Epoch: ref.Epoch, Name: "saved"}
		}
		world.leave(world.byName[action.Worker], ref.Task)
		world.evictions++
		answer.Results = append(answer.Results, result)
	}
	return answer
}

func (world *sim) leave(at *simWorker, task ident.Task) {
	delete(at.tasks, task)
	delete(at.holds, task)
}

// step lets the tasks work for a while, ends those that are done or exceed the worker's memory, and
// runs a round.
func (world *sim) step(millis clock.Millis) {
	until := world.now.Add(millis)
	for _, at := range world.workers {
		world.stepWorker(at, millis)
	}
	for len(world.delayed) > 0 && !world.delayed[0].at.After(until) {
		due := world.delayed[0]
		world.delayed = world.delayed[1:]
		world.now = due.at
		world.handle(world.stop(due.action))
	}
	world.now = until
	world.handle(Round{})
}

func (world *sim) stepWorker(at *simWorker, millis clock.Millis) {
	var sum unit.Resources
	for _, task := range at.tasks {
		sum = sum.Add(task.actual)
	}
	progress := millis
	if sum.CPU > at.state.Capacity.CPU {
		progress = millis * clock.Millis(at.state.Capacity.CPU) / clock.Millis(sum.CPU)
	}
	for _, name := range sortedTasks(at.tasks) {
		task := at.tasks[name]
		task.done += progress
		status := worker.Status{Task: name, Epoch: task.epoch, State: worker.Finished}
		switch {
		case task.done >= task.need:
			world.finished++
			world.work += task.need
		case sum.Memory > at.state.Capacity.Memory:
			// The platform kills a task when memory runs out; its progress is lost.
			sum = sum.Sub(task.actual)
			status.State, status.Reason = worker.Failed, "out of memory"
			world.evictions++
		default:
			continue
		}
		world.leave(at, name)
		world.handle(TaskEnded{Worker: at.state.Worker, Status: status})
	}
}

// kept returns the work of finished tasks and the progress of running and waiting ones.
func (world *sim) kept() clock.Millis {
	sum := world.work
	running := make(map[ident.Task]bool)
	for _, at := range world.workers {
		for name, task := range at.tasks {
			running[name] = true
			sum += task.done
		}
	}
	for name, task := range world.profiles {
		if !running[name] && task.done < task.need {
			sum += task.saved
		}
	}
	return sum
}
