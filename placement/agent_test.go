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

// fakeAgent is an agent with the real ledger and lease, and a fake runtime of its worker.
type fakeAgent struct {
	harness    *harness
	name       ident.Worker
	dataCentre ident.DataCentre
	rack       ident.Rack
	capacity   unit.Resources
	// clockOffset is the worker's clock minus the harness's.
	clockOffset        worker.Instant
	incarnation        ident.Incarnation
	grantedIncarnation ident.Incarnation
	ledger             *capacity.Ledger
	holder             *lease.Holder
	sequence           ident.Sequence
	nextHeartbeat      clock.Time
	fenced             bool
	// A machine is dead until deadUntil, and an agent paused until pauseUntil. An isolated agent
	// reaches no entry.
	deadUntil  clock.Time
	isolated   bool
	pauseUntil clock.Time
	// State of the worker runtime, which survives restarts of the agent.
	tasks  map[ident.Task]*fakeTask
	ended  map[ident.Task]worker.Status
	expiry worker.Instant
	// specs are the reserved tasks; they are lost when the agent restarts.
	specs map[ident.Task]TaskSpec
}

type fakeTask struct {
	epoch      ident.Epoch
	size       unit.Resources
	checkpoint worker.Checkpoint
}

func (agent *fakeAgent) dead() bool { return agent.harness.now.Before(agent.deadUntil) }

func (agent *fakeAgent) paused() bool { return agent.harness.now.Before(agent.pauseUntil) }

func (agent *fakeAgent) reachable() bool { return !agent.dead() && !agent.isolated && !agent.paused() }

func (agent *fakeAgent) clock() worker.Instant {
	return worker.Instant(agent.harness.now) + agent.clockOffset
}

// restart starts a new incarnation of the agent, which rebuilds its ledger from the worker's tasks.
func (agent *fakeAgent) restart() {
	agent.incarnation++
	agent.fenced = false
	agent.ledger = capacity.New(capacity.Settings{})
	agent.holder = lease.NewHolder()
	agent.specs = make(map[ident.Task]TaskSpec)
	agent.nextHeartbeat = agent.harness.now
	var running, ended []capacity.Entry
	for _, name := range sortedTasks(agent.tasks) {
		task := agent.tasks[name]
		running = append(running, capacity.Entry{Task: name, Epoch: task.epoch, Size: task.size})
	}
	for _, name := range sortedTasks(agent.ended) {
		ended = append(ended, capacity.Entry{Task: name, Epoch: agent.ended[name].Epoch})
	}
	agent.ledger.Rebuild(agent.capacity, running, ended, agent.harness.now)
}

// stopIfLeaseExpired is the runtime's own check: it stops all tasks once the lease has expired.
func (agent *fakeAgent) stopIfLeaseExpired() {
	if len(agent.tasks) == 0 || agent.clock() < agent.expiry {
		return
	}
	for _, name := range sortedTasks(agent.tasks) {
		agent.endTask(name, worker.Stopped)
	}
}

// endTask removes a running task from the runtime and records its end.
func (agent *fakeAgent) endTask(name ident.Task, state worker.State) {
	task := agent.tasks[name]
	delete(agent.tasks, name)
	delete(agent.harness.running, name)
	agent.ended[name] = worker.Status{Task: name, Epoch: task.epoch, State: state, Checkpoint: task.checkpoint}
	if !agent.dead() {
		agent.ledger.Ended(name, task.epoch, agent.harness.now)
	}
}

// removeEnded removes the end of a task that an entry has recorded.
func (agent *fakeAgent) removeEnded(ref TaskRef) {
	if status, ok := agent.ended[ref.Task]; ok && status.Epoch <= ref.Epoch {
		delete(agent.ended, ref.Task)
	}
	agent.ledger.RemoveEnded(ref.Task, ref.Epoch)
}

// tick sends the heartbeat, the announcement and the ends of tasks that are due.
func (agent *fakeAgent) tick() {
	harness := agent.harness
	if agent.dead() {
		return
	}
	if agent.deadUntil != 0 {
		agent.deadUntil = 0
		agent.restart()
	}
	if agent.paused() || harness.now.Before(agent.nextHeartbeat) {
		return
	}
	agent.nextHeartbeat = harness.now.Add(2 * clock.Second)
	agent.ledger.Expire(harness.now)
	if agent.fenced {
		for _, name := range sortedTasks(agent.tasks) {
			agent.endTask(name, worker.Stopped)
		}
		agent.restart()
	}
	agent.sequence++
	sequence, incarnation := agent.sequence, agent.incarnation
	agent.holder.Sent(sequence, harness.now)
	harness.deliver(true, func() { agent.heartbeat(sequence, incarnation) })
	if agent.isolated || !agent.holder.Valid(harness.now) {
		return
	}
	state := WorkerState{
		Worker: agent.name, Incarnation: incarnation, DataCentre: agent.dataCentre, Rack: agent.rack,
		Capacity: agent.capacity, Used: agent.ledger.Used(),
	}
	var ends []worker.Status
	for _, name := range sortedTasks(agent.ended) {
		ends = append(ends, agent.ended[name])
	}
	for _, entry := range harness.entries {
		harness.deliver(true, func() {
			entry.handle(WorkerChanged{State: state})
			for _, status := range ends {
				entry.handle(TaskEnded{Worker: agent.name, Status: status})
			}
		})
	}
}

// heartbeat handles the arrival of a heartbeat at the agent's home entry, and the reply.
func (agent *fakeAgent) heartbeat(sequence ident.Sequence, incarnation ident.Incarnation) {
	harness := agent.harness
	if agent.isolated {
		return
	}
	term, err := harness.granter.Grant(agent.name, incarnation, 0, harness.now)
	if lease.IsErrNotGranter(err) {
		if harness.table.down {
			return // the home entry cannot record itself as granter
		}
		if err = harness.granter.Record(agent.name, incarnation, 1, nil, harness.now); err == nil {
			agent.grantedIncarnation = incarnation
			term, err = harness.granter.Grant(agent.name, incarnation, 0, harness.now)
		}
	}
	harness.deliver(true, func() {
		if agent.isolated || agent.dead() || agent.paused() || agent.incarnation != incarnation {
			return
		}
		if lease.IsErrFenced(err) {
			agent.fenced = true
			return
		}
		if err == nil && agent.holder.Granted(sequence, term, 1, harness.now) {
			sampledAt := harness.now
			agent.holder.SetWorkerClock(sampledAt, harness.now, agent.clock())
			if expiry, ok := agent.holder.WorkerExpiry(harness.now); ok {
				agent.expiry = max(agent.expiry, expiry)
			}
		}
	})
}

func (agent *fakeAgent) reserve(action Reserve) Event {
	now := agent.harness.now
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
	now := agent.harness.now
	if action.Incarnation != agent.incarnation || !agent.holder.Valid(now) {
		return nil
	}
	answer := Started{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		alreadyRuns, err := agent.ledger.Start(action.Reservation, ref.Task, ref.Epoch, now)
		result := StartResult{Task: ref.Task, Epoch: ref.Epoch, OK: err == nil}
		if err != nil {
			result.Refusal = fmt.Sprintf("%T", err)
		} else if !alreadyRuns {
			agent.run(agent.specs[ref.Task], ref)
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}

// run starts a task in the runtime and checks the invariants: I1, the tasks fit in the worker's
// capacity; I2, a task does not run twice at the same time; I3, epochs only grow, and a task
// resumes from its newest checkpoint; I4, nothing starts in a data centre that was closed longer
// than a reservation lasts.
func (agent *fakeAgent) run(spec TaskSpec, ref TaskRef) {
	harness := agent.harness
	harness.starts++
	stored, row := harness.table.task(ref.Task)
	sum := spec.Size
	for _, task := range agent.tasks {
		sum = sum.Add(task.size)
	}
	switch current := harness.running[ref.Task]; {
	case current != nil:
		harness.failf("I2: task %s epoch %d starts on %s and runs on %s", ref.Task, ref.Epoch, agent.name, current.name)
	case harness.newestEpoch[ref.Task] >= ref.Epoch:
		harness.failf("I3: task %s epoch %d starts after epoch %d", ref.Task, ref.Epoch, harness.newestEpoch[ref.Task])
	case !sum.FitsIn(agent.capacity):
		harness.failf("I1: worker %s holds %s of %s", agent.name, sum, agent.capacity)
	case stored.State == job.Cancelled || stored.State == job.Finished || stored.Epoch != ref.Epoch || stored.Placement.Worker != agent.name:
		harness.failf("task %s epoch %d starts on %s without a claim: %+v cancelled %t", ref.Task, ref.Epoch, agent.name, stored, row.Cancelled)
	case stored.Checkpoint != spec.Checkpoint:
		harness.failf("I3: task %s resumes from %v, newest is %v", ref.Task, spec.Checkpoint, stored.Checkpoint)
	}
	if closedAt := harness.closedAt[agent.dataCentre]; closedAt != 0 && harness.now.Sub(closedAt) > capacity.DefaultReservationTerm {
		harness.failf("I4: task %s starts in %s %s after it was taken out", ref.Task, agent.dataCentre, harness.now.Sub(closedAt))
	}
	harness.newestEpoch[ref.Task] = ref.Epoch
	harness.running[ref.Task] = agent
	agent.tasks[ref.Task] = &fakeTask{epoch: ref.Epoch, size: spec.Size, checkpoint: spec.Checkpoint}
}

func (agent *fakeAgent) stop(action Stop) Event {
	if action.Incarnation != agent.incarnation {
		return nil
	}
	answer := Stopped{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		result := StopResult{Task: ref.Task, Epoch: ref.Epoch}
		running := agent.ledger.Fence(ref.Task, ref.Epoch, agent.harness.now)
		task, ok := agent.tasks[ref.Task]
		switch {
		case running && ok && task.epoch == ref.Epoch:
			if action.Checkpoint {
				task.checkpoint = worker.Checkpoint{Epoch: ref.Epoch, Name: fmt.Sprintf("%s-%d", ref.Task, ref.Epoch)}
			}
			agent.endTask(ref.Task, worker.Stopped)
			result.Stopped, result.Checkpoint = true, task.checkpoint
		case !running && !agent.ledger.EndedUnrecorded(ref.Task, ref.Epoch):
			result.Absent = true
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}
