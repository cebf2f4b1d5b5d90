package recorded

import (
	"fmt"

	"hyssopjunction/admission"
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/routing"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// heartbeatInterval is the interval of an agent's announcements. An agent refuses reservations once
// its lease has no more than stopMargin left.
const (
	heartbeatInterval = 2 * clock.Second
	stopMargin        = 4 * clock.Second
)

// agent is an agent daemon with its ledger, lease and endpoint. It also holds the runtime of its
// worker.
type agent struct {
	deployment  *deployment
	index       int
	name        ident.Worker
	endpoint    ident.Endpoint
	centre      ident.DataCentre
	rack        ident.Rack
	capacity    unit.Resources
	incarnation ident.Incarnation
	alive       bool
	fenced      bool
	// paused is set while the process is stopped. pendingMessages holds what reached it meanwhile.
	paused          bool
	pendingMessages []func()
	random          random
	// skew is the worker's clock minus the agent's.
	skew              worker.Instant
	ledger            *capacity.Ledger
	holder            *lease.Holder
	controller        *admission.Controller
	sequence          ident.Sequence
	specs             map[ident.Task]placement.TaskSpec
	endpointStartedAt clock.Time
	// leftAt is when the endpoint began to leave, 0 while it serves.
	leftAt   clock.Time
	attempts map[ident.Request]*attempt
	// heartbeatConn is the connection of the last heartbeat. It is nil once the reply has arrived.
	heartbeatConn *connection
	// runningRequests counts the requests that the endpoint runs, independently of the controller.
	runningRequests int
	runtime         runtime
	// previousSlowdown and previousLoad are the values measured at the previous heartbeat. They are
	// announced because usage is reported with a lag.
	previousSlowdown, previousLoad int
}

func newAgent(deployment *deployment, index int) *agent {
	centres := deployment.session.Centres
	rack := index / 3
	agent := &agent{
		deployment: deployment, index: index, name: ident.Worker(fmt.Sprintf("worker-%02d", index)), endpoint: ident.Endpoint(fmt.Sprintf("endpoint-%02d", index)),
		centre: centres[rack%len(centres)], rack: ident.Rack(fmt.Sprintf("rack-%d", rack)),
		capacity: deployment.session.Capacity, random: newRandom(deployment.session.Seed, uint64(1000+index)),
	}
	agent.skew = worker.Instant(agent.random.below(1_000_000))
	agent.runtime = newRuntime(agent)
	return agent
}

// boot starts a new incarnation, which rebuilds its ledger from the worker's list of tasks.
func (agent *agent) boot() {
	agent.incarnation++
	agent.alive, agent.fenced = true, false
	agent.holder = lease.NewHolder()
	agent.specs = make(map[ident.Task]placement.TaskSpec)
	agent.ledger = capacity.New(capacity.Settings{})
	var running, ended []capacity.Entry
	for _, name := range sortedTasks(agent.runtime.tasks) {
		task := agent.runtime.tasks[name]
		running = append(running, capacity.Entry{Task: name, Epoch: task.epoch, Size: task.size})
	}
	for _, name := range sortedTasks(agent.runtime.ended) {
		ended = append(ended, capacity.Entry{Task: name, Epoch: agent.runtime.ended[name].Epoch})
	}
	agent.ledger.Rebuild(agent.capacity, running, ended, agent.deployment.now())
	agent.openEndpoint()
	incarnation := agent.incarnation
	heartbeat := func() bool {
		if agent.alive && agent.incarnation == incarnation && !agent.paused {
			agent.announce()
		}
		return agent.alive && agent.incarnation == incarnation
	}
	agent.deployment.after(clock.Millis(10*agent.index), func() {
		if heartbeat() {
			agent.deployment.every(heartbeatInterval, heartbeat)
		}
	})
}

// openEndpoint starts the endpoint with an empty queue.
func (agent *agent) openEndpoint() {
	agent.controller = admission.New(admission.Settings{})
	agent.attempts = make(map[ident.Request]*attempt)
	agent.endpointStartedAt, agent.leftAt = agent.deployment.now(), 0
	for range agent.deployment.session.Traffic.Streams {
		if !agent.controller.OpenStream() {
			agent.deployment.checks.fail("endpoint %s has no connection for a stream", agent.endpoint)
		}
	}
	controller := agent.controller
	agent.deployment.every(100, func() bool {
		if agent.alive && agent.controller == controller && !agent.paused {
			agent.perform(controller.Tick(agent.deployment.now()))
		}
		return agent.alive && agent.controller == controller
	})
}

// announce sends a heartbeat to the agent's home entry. A fenced agent stops its tasks and restarts
// instead.
func (agent *agent) announce() {
	deployment := agent.deployment
	now := deployment.now()
	agent.ledger.Expire(now)
	if agent.fenced {
		for _, name := range sortedTasks(agent.runtime.tasks) {
			agent.runtime.end(name, worker.Stopped, "fenced")
		}
		agent.alive = false
		agent.boot()
		return
	}
	agent.sequence++
	state := agent.state()
	agent.holder.Sent(state.sequence, now)
	home, ok := membership.Home(agent.name, membership.Place{Region: deployment.session.Region, DataCentre: agent.centre}, deployment.liveEntries()).Get()
	if !ok {
		return
	}
	target, incarnation := deployment.entry(home.ID), agent.incarnation
	if agent.heartbeatConn != nil {
		agent.heartbeatConn.close()
	}
	conn := deployment.connection(connectionKey{entry: home.ID, agent: agent.name, fromAgent: true})
	agent.heartbeatConn = conn
	conn.send(func() {
		if !target.alive {
			return
		}
		term, revision, fenced := target.heartbeat(state)
		conn.reply(func() {
			agent.receive(func() { agent.leaseGranted(state, incarnation, term, revision, fenced) })
		})
	})
	agent.reportEnds()
}

// leaseGranted handles the reply to a heartbeat.
func (agent *agent) leaseGranted(state announcement, incarnation ident.Incarnation, term clock.Millis, revision table.Revision, fenced bool) {
	now := agent.deployment.now()
	if !agent.alive || agent.incarnation != incarnation {
		return
	}
	agent.heartbeatConn = nil
	agent.fenced = agent.fenced || fenced
	if !fenced && agent.holder.Granted(state.sequence, term, revision, now) {
		agent.holder.SetWorkerClock(now, now, agent.runtime.now())
		if expiry, ok := agent.holder.WorkerExpiry(now); ok {
			agent.runtime.renew(expiry)
		}
	}
}

// reportEnds sends the ends that are not recorded in the table yet to the home entries of their
// jobs.
func (agent *agent) reportEnds() {
	for _, name := range sortedTasks(agent.runtime.ended) {
		status := agent.runtime.ended[name]
		if home := agent.deployment.jobHome(name.Job); home != nil {
			agent.deployment.send(func() { home.taskEnded(agent, status) })
		}
	}
}

func (agent *agent) state() announcement {
	load := agent.controller.Load()
	state := announcement{
		at: agent.deployment.now(), sequence: agent.sequence, leaseRevision: agent.holder.Revision(), worker: agent.name, incarnation: agent.incarnation,
		centre: agent.centre, rack: agent.rack, capacity: agent.capacity, used: agent.ledger.Used(),
		load: agent.previousLoad, slowdown: max(agent.previousSlowdown, 100), endpoint: agent.endpoint, leaving: load.Leaving, endpointStartedAt: agent.endpointStartedAt,
	}
	state.report = agent.routingReport(load)
	agent.previousSlowdown, agent.previousLoad = agent.runtime.slowdown(nil), agent.runtime.load()
	for _, name := range sortedTasks(agent.runtime.tasks) {
		task := agent.runtime.tasks[name]
		state.tasks = append(state.tasks, announcedTask{
			task: name, epoch: task.epoch, class: task.class, standing: task.kind == worker.Standing, urgent: task.urgent, throttle: task.throttle,
			usage: task.profile.actual, slowdown: max(task.measuredSlowdown, 100), measured: task.measuredSlowdown > 0,
		})
		task.measuredSlowdown = agent.runtime.slowdown(task)
	}
	return state
}

func (agent *agent) routingReport(load admission.Load) routing.Report {
	return routing.Report{
		At: agent.deployment.now(), Slots: load.Slots, Connections: load.Connections, SlotsUsed: load.SlotsUsed,
		ConnectionsUsed: load.ConnectionsUsed, Queue: load.Queue, ServiceTime: load.ServiceTime, SlowdownPercent: max(agent.previousSlowdown, 100),
	}
}

func (agent *agent) reserve(action placement.Reserve) placement.Event {
	now := agent.deployment.now()
	answer := placement.Reserved{Worker: agent.name, Reservation: action.Reservation}
	if action.Incarnation != agent.incarnation {
		return answer
	}
	for _, spec := range action.Tasks {
		result := placement.ReserveResult{Task: spec.Task, Epoch: spec.Epoch}
		if agent.holder.Remaining(now) <= stopMargin {
			result.Refusal = "ErrNoLease"
		} else if err := agent.ledger.Reserve(action.Reservation, spec.Task, spec.Epoch, spec.Size, action.Term, now); err != nil {
			result.Refusal = fmt.Sprintf("%T", err)
		} else {
			result.OK = true
			agent.specs[spec.Task] = spec
		}
		answer.Results = append(answer.Results, result)
	}
	answer.Free, answer.FreeKnown = agent.ledger.Free(), true
	return answer
}

func (agent *agent) startTasks(entry *entry, action placement.Start) placement.Event {
	now := agent.deployment.now()
	if action.Incarnation != agent.incarnation || !agent.holder.Valid(now) {
		return nil
	}
	answer := placement.Started{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		repeated, err := agent.ledger.Start(action.Reservation, ref.Task, ref.Epoch, now)
		result := placement.StartResult{Task: ref.Task, Epoch: ref.Epoch, OK: err == nil}
		if err != nil {
			result.Refusal = fmt.Sprintf("%T", err)
		} else {
			if !repeated {
				agent.runtime.start(agent.specs[ref.Task], ref)
			}
			entry.health.Started(ref.Task, agent.name, now)
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}

func (agent *agent) stopTasks(action placement.Stop) placement.Event {
	if action.Incarnation != agent.incarnation {
		return nil
	}
	answer := placement.Stopped{Worker: agent.name, Incarnation: agent.incarnation}
	for _, ref := range action.Tasks {
		result := placement.StopResult{Task: ref.Task, Epoch: ref.Epoch}
		running := agent.ledger.Fence(ref.Task, ref.Epoch, agent.deployment.now())
		task, ok := agent.runtime.tasks[ref.Task]
		switch {
		case running && ok && task.epoch == ref.Epoch:
			if action.Checkpoint {
				agent.runtime.checkpoint(ref.Task)
			}
			result.Stopped, result.Checkpoint = true, task.checkpoint
			agent.runtime.end(ref.Task, worker.Stopped, action.Reason)
		case !running && !agent.ledger.EndedUnrecorded(ref.Task, ref.Epoch):
			result.Absent = true
		}
		answer.Results = append(answer.Results, result)
	}
	return answer
}

func (agent *agent) throttle(incarnation ident.Incarnation, refs []placement.TaskRef, percent int) {
	for _, ref := range refs {
		if task, ok := agent.runtime.tasks[ref.Task]; ok && task.epoch == ref.Epoch && incarnation == agent.incarnation {
			task.throttle = percent
		}
	}
}

func (agent *agent) checkpointTasks(incarnation ident.Incarnation, refs []placement.TaskRef) {
	for _, ref := range refs {
		if task, ok := agent.runtime.tasks[ref.Task]; ok && task.epoch == ref.Epoch && incarnation == agent.incarnation {
			agent.runtime.checkpoint(ref.Task)
		}
	}
}

func (agent *agent) forget(ref placement.TaskRef) {
	if status, ok := agent.runtime.ended[ref.Task]; ok && status.Epoch <= ref.Epoch {
		delete(agent.runtime.ended, ref.Task)
	}
	agent.ledger.RemoveEnded(ref.Task, ref.Epoch)
}
