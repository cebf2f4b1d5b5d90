package placement

import (
	"fmt"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// fakeAgent is an agent with the real ledger and lease, and the runtime of its worker.
type fakeAgent struct {
	world    *world
	name     ident.Worker
	centre   ident.DataCentre
	rack     ident.Rack
	capacity unit.Resources
	// skew is the worker's clock less the world's.
	skew        worker.Instant
	incarnation ident.Incarnation
	granted     ident.Incarnation
	ledger      *capacity.Ledger
	holder      *lease.Holder
	sequence    ident.Sequence
	nextBeat    clock.Time
	fenced      bool
	// dead machines and agents that are cut off or paused until the given times.
	deadUntil  clock.Time
	cut        bool
	pauseUntil clock.Time
	// The runtime.
	tasks  map[ident.Task]*fakeTask
	ended  map[ident.Task]worker.Status
	expiry worker.Instant
	specs  map[ident.Task]TaskSpec
}

type fakeTask struct {
	epoch      ident.Epoch
	size       unit.Resources
	checkpoint worker.Checkpoint
}

func (agent *fakeAgent) dead() bool { return agent.world.now.Before(agent.deadUntil) }

func (agent *fakeAgent) paused() bool { return agent.world.now.Before(agent.pauseUntil) }

func (agent *fakeAgent) reachable() bool { return !agent.dead() && !agent.cut && !agent.paused() }

func (agent *fakeAgent) clock() worker.Instant {
	return worker.Instant(agent.world.now) + agent.skew
}

// boot starts a new incarnation of the agent, which rebuilds its ledger from the worker's list.
func (agent *fakeAgent) boot() {
	agent.incarnation++
	agent.fenced = false
	agent.ledger = capacity.New(capacity.Settings{})
	agent.holder = lease.NewHolder()
	agent.specs = make(map[ident.Task]TaskSpec)
	agent.nextBeat = agent.world.now
	var running, ended []capacity.Entry
	for _, name := range sortedTasks(agent.tasks) {
		task := agent.tasks[name]
		running = append(running, capacity.Entry{Task: name, Epoch: task.epoch, Size: task.size})
	}
	for _, name := range sortedTasks(agent.ended) {
		ended = append(ended, capacity.Entry{Task: name, Epoch: agent.ended[name].Epoch})
	}
	agent.ledger.Rebuild(agent.capacity, running, ended, agent.world.now)
}

// expire is the runtime's own check: it stops all tasks when the lease lapses.
func (agent *fakeAgent) expire() {
	if len(agent.tasks) == 0 || agent.clock() < agent.expiry {
		return
	}
	for _, name := range sortedTasks(agent.tasks) {
		agent.end(name, worker.Stopped)
	}
}

// end removes a running task from the runtime and records its end.
func (agent *fakeAgent) end(name ident.Task, state worker.State) {
	task := agent.tasks[name]
	delete(agent.tasks, name)
	delete(agent.world.running, name)
	agent.ended[name] = worker.Status{Task: name, Epoch: task.epoch, State: state, Checkpoint: task.checkpoint}
	if !agent.dead() {
		agent.ledger.Ended(name, task.epoch, agent.world.now)
	}
}

func (agent *fakeAgent) forget(ref TaskRef) {
	if status, ok := agent.ended[ref.Task]; ok && status.Epoch <= ref.Epoch {
		delete(agent.ended, ref.Task)
	}
	agent.ledger.Forget(ref.Task, ref.Epoch)
}

// tick sends heartbeats, announcements and reports.
func (agent *fakeAgent) tick() {
	world := agent.world
	if agent.dead() {
		return
	}
	if agent.deadUntil != 0 {
		agent.deadUntil = 0
		agent.boot()
	}
	if agent.paused() || world.now.Before(agent.nextBeat) {
		return
	}
	agent.nextBeat = world.now.Add(2 * clock.Second)
	agent.ledger.Expire(world.now)
	if agent.fenced {
		for _, name := range sortedTasks(agent.tasks) {
			agent.end(name, worker.Stopped)
		}
		agent.boot()
	}
	agent.sequence++
	sequence, incarnation := agent.sequence, agent.incarnation
	agent.holder.Sent(sequence, world.now)
	world.later(true, func() { agent.beat(sequence, incarnation) })
	if agent.cut || !agent.holder.Valid(world.now) {
		return
	}
	state := WorkerState{
		Worker: agent.name, Incarnation: incarnation, DataCentre: agent.centre, Rack: agent.rack,
		Capacity: agent.capacity, Used: agent.ledger.Used(),
	}
	var ends []worker.Status
	for _, name := range sortedTasks(agent.ended) {
		ends = append(ends, agent.ended[name])
	}
	for _, home := range world.homes {
		world.later(true, func() {
			home.handle(WorkerChanged{State: state})
			for _, status := range ends {
				home.handle(TaskEnded{Worker: agent.name, Status: status})
			}
		})
	}
}

// beat is the arrival of a heartbeat at the agent's home, and the reply.
func (agent *fakeAgent) beat(sequence ident.Sequence, incarnation ident.Incarnation) {
	world := agent.world
	if agent.cut {
		return
	}
	term, err := world.granter.Grant(agent.name, incarnation, 0, world.now)
	if lease.IsErrNotGranter(err) {
		if world.table.down {
			return // the home cannot record itself as granter
		}
		if err = world.granter.Record(agent.name, incarnation, 1, nil, world.now); err == nil {
			agent.granted = incarnation
			term, err = world.granter.Grant(agent.name, incarnation, 0, world.now)
		}
	}
	world.later(true, func() {
		if agent.cut || agent.dead() || agent.paused() || agent.incarnation != incarnation {
			return
		}
		if lease.IsErrFenced(err) {
			agent.fenced = true
			return
		}
		if err == nil && agent.holder.Granted(sequence, term, 1, world.now) {
			sent := world.now
			agent.holder.Sampled(sent, world.now, agent.clock())
			if expiry, ok := agent.holder.WorkerExpiry(); ok {
				agent.expiry = max(agent.expiry, expiry)
			}
		}
	})
}

func (agent *fakeAgent) reserve(action Reserve) Event {
	now := agent.world.now
	answer := Reserved{Worker: agent.name, Reservation: action.Reservation}
	for _, spec := range action.Tasks {
		result := ReserveResult{Task: spec.Task, Epoch: spec.Epoch}
		switch {
		case action.Incarnation != agent.incarnation:
			result.Refusal = "ErrIncarnation"
		case !agent.holder.Valid(now):
			result.Refusal = "ErrLease"
		default:
			if err := agent.ledger.Reserve(action.Reservation, spec.Task, spec.Epoch, spec.Size, action.Term, now); err != nil {
				result.Refusal = fmt.Sprintf("%T", err)
				break
			}
			result.OK = true
			agent.specs[spec.Task] = spec
		}
		answer.Results = append(answer.Results, result)
	}
	answer.Free, answer.FreeKnown = agent.ledger.Free(), true
	return answer
}

func (agent *fakeAgent) start(action Start) Event {
	now := agent.world.now
	if action.Incarnation != agent.incarnation || !agent.holder.Valid(now) {
		return nil
	}
	answer := Started{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		already, err := agent.ledger.Start(action.Reservation, ref.Task, ref.Epoch, now)
		result := StartResult{Task: ref.Task, Epoch: ref.Epoch, OK: err == nil}
		if err != nil {
			result.Refusal = fmt.Sprintf("%T", err)
		} else if !already {
			agent.run(agent.specs[ref.Task], ref)
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}

// run is the start in the runtime, where all that must never happen is checked.
func (agent *fakeAgent) run(spec TaskSpec, ref TaskRef) {
	world := agent.world
	world.starts++
	stored, row := world.table.task(ref.Task)
	sum := spec.Size
	for _, task := range agent.tasks {
		sum = sum.Add(task.size)
	}
	switch other := world.running[ref.Task]; {
	case other != nil:
		world.failf("I2: task %s epoch %d starts on %s and runs on %s", ref.Task, ref.Epoch, agent.name, other.name)
	case world.started[ref.Task] >= ref.Epoch:
		world.failf("I3: task %s epoch %d starts after epoch %d", ref.Task, ref.Epoch, world.started[ref.Task])
	case !sum.FitsIn(agent.capacity):
		world.failf("I1: worker %s holds %s of %s", agent.name, sum, agent.capacity)
	case stored.State == job.Cancelled || stored.State == job.Finished || stored.Epoch != ref.Epoch || stored.Placement.Worker != agent.name:
		world.failf("task %s epoch %d starts on %s without a claim: %+v cancelled %t", ref.Task, ref.Epoch, agent.name, stored, row.Cancelled)
	case stored.Checkpoint != spec.Checkpoint:
		world.failf("I3: task %s resumes from %v, newest is %v", ref.Task, spec.Checkpoint, stored.Checkpoint)
	}
	if closed := world.closedAt[agent.centre]; closed != 0 && world.now.Sub(closed) > capacity.DefaultReservationTerm {
		world.failf("I4: task %s starts in %s %s after it was taken out", ref.Task, agent.centre, world.now.Sub(closed))
	}
	world.started[ref.Task] = ref.Epoch
	world.running[ref.Task] = agent
	agent.tasks[ref.Task] = &fakeTask{epoch: ref.Epoch, size: spec.Size, checkpoint: spec.Checkpoint}
}

func (agent *fakeAgent) stop(action Stop) Event {
	if action.Incarnation != agent.incarnation {
		return nil
	}
	answer := Stopped{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		result := StopResult{Task: ref.Task, Epoch: ref.Epoch}
		running := agent.ledger.Fence(ref.Task, ref.Epoch, agent.world.now)
		task, ok := agent.tasks[ref.Task]
		switch {
		case running && ok && task.epoch == ref.Epoch:
			if action.Checkpoint {
				task.checkpoint = worker.Checkpoint{Epoch: ref.Epoch, Name: fmt.Sprintf("%s-%d", ref.Task, ref.Epoch)}
			}
			agent.end(ref.Task, worker.Stopped)
			result.Stopped, result.Checkpoint = true, task.checkpoint
		case !running && !agent.ledger.EndedUnrecorded(ref.Task, ref.Epoch):
			result.Absent = true
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}
