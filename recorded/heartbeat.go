package recorded

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/routing"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// announcement is an agent's heartbeat.
type announcement struct {
	at          clock.Time
	sequence    ident.Sequence
	seen        table.Revision
	worker      ident.Worker
	incarnation ident.Incarnation
	centre      ident.DataCentre
	rack        ident.Rack
	capacity    unit.Resources
	used        unit.Resources
	tasks       []announcedTask
	load        int
	slowdown    int
	endpoint    ident.Endpoint
	report      routing.Report
	leaving     bool
	// since is when the endpoint started.
	since clock.Time
}

// announcedTask is a running task with its usage, which is measured with a lag.
type announcedTask struct {
	task     ident.Task
	epoch    ident.Epoch
	class    string
	standing bool
	urgent   bool
	throttle int
	usage    unit.Resources
	slowdown int
	measured bool
}

// usageLag is the age of the usage and of the slowdown in a heartbeat.
const usageLag = 2 * clock.Second

// heartbeat is the arrival of an announcement at the agent's home. It returns the lease term, and
// whether the incarnation is fenced.
func (entry *entry) heartbeat(state announcement) (term clock.Millis, revision table.Revision, fenced bool) {
	now := entry.deployment.now()
	entry.learn(state, now)
	entry.news(state)
	for _, other := range entry.deployment.entries {
		if other != entry {
			entry.deployment.after(entry.exchange(state), func() { other.news(state) })
		}
	}
	term, err := entry.granter.Grant(state.worker, state.incarnation, state.seen, now)
	if lease.IsErrNotGranter(err) {
		if err = entry.takeOver(state); err == nil {
			term, err = entry.granter.Grant(state.worker, state.incarnation, state.seen, now)
		}
	}
	if err != nil {
		return 0, 0, lease.IsErrFenced(err)
	}
	return term, entry.granter.Revision(state.worker), false
}

// exchange is the time until another entry hears of a state: up to an interval of the exchanges, as
// in membership.DefaultSettings.
func (entry *entry) exchange(state announcement) clock.Millis {
	settings := membership.DefaultSettings()
	if state.leaving {
		return entry.deployment.network.millis(0, settings.UrgentMillis) + entry.deployment.hop()
	}
	return entry.deployment.network.millis(0, settings.ExchangeMillis) + entry.deployment.hop()
}

// takeOver records this entry as the granter of the worker's incarnation. A lost answer is resolved
// by reading the row back.
func (entry *entry) takeOver(state announcement) error {
	store := entry.deployment.store
	row, err := store.Get(background, lease.Key(state.worker))
	if err != nil {
		return err
	}
	condition, operation, err := lease.Takeover(row, state.worker, state.incarnation, entry.process())
	if err != nil {
		return err
	}
	write := entry.deployment.write(entry.id)
	if _, err = store.Commit(background, table.Transaction{
		Write: write, Conditions: []table.Condition{condition}, Operations: []table.Operation{operation},
	}); err != nil && !table.IsErrUnknownOutcome(err) {
		return err
	}
	if row, err = store.Get(background, lease.Key(state.worker)); err != nil {
		return err
	}
	if row.Write != write {
		return table.ErrUnavailable{Reason: "the takeover was lost"}
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		return err
	}
	entry.deployment.log.write("%s Granter Worker=%s Incarnation=%d Former=%v", entry.id, state.worker, state.incarnation, names(record.Former))
	return entry.granter.Record(state.worker, state.incarnation, row.Revision, record.Former, entry.deployment.now())
}

// lapsed decides that an incarnation is over, if this entry is still its granter.
func (entry *entry) lapsed(name ident.Worker) {
	incarnation := entry.known[name].incarnation
	row, err := entry.deployment.store.Get(background, lease.Key(name))
	if err != nil {
		return
	}
	if _, _, err = lease.End(row, name, incarnation, entry.process(), lease.LeaseLapsed); err != nil {
		entry.granter.Lose(name)
		return
	}
	if entry.granter.Over(name, incarnation, entry.deployment.now()) == nil {
		entry.ending[name] = incarnation
	}
}

// consult asks the runtime of a worker whose lease lapsed how its tasks ended, and reports the ends
// to the homes of their jobs. It returns true once the incarnation may be declared over.
func (entry *entry) consult(name ident.Worker) bool {
	if entry.consulted[name] {
		delete(entry.consulted, name)
		return true
	}
	agent := entry.deployment.agent(name)
	if len(agent.runtime.tasks) > 0 {
		return false
	}
	entry.consulted[name] = true
	agent.report()
	return false
}

// declare writes that an incarnation is over and tells all entries.
func (entry *entry) declare(name ident.Worker, incarnation ident.Incarnation) {
	store := entry.deployment.store
	row, err := store.Get(background, lease.Key(name))
	if err != nil {
		return
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		entry.deployment.checks.broken("row of %s: %v", name, err)
		return
	}
	if record.Over < incarnation {
		condition, operation, err := lease.End(row, name, incarnation, entry.process(), lease.LeaseLapsed)
		if err != nil {
			delete(entry.ending, name)
			return
		}
		if _, err = store.Commit(background, table.Transaction{
			Write: entry.deployment.write(entry.id), Conditions: []table.Condition{condition}, Operations: []table.Operation{operation},
		}); err != nil {
			return
		}
	}
	delete(entry.ending, name)
	entry.deployment.log.write("%s Over Worker=%s Incarnation=%d", entry.id, name, incarnation)
	for _, other := range entry.deployment.entries {
		entry.deployment.send(func() {
			if other.alive {
				other.granter.Declare(name, incarnation)
				other.handle(placement.WorkerGone{Worker: name, Incarnation: incarnation})
			}
		})
	}
}

// news takes the state of a worker from its home.
func (entry *entry) news(state announcement) {
	known := entry.known[state.worker]
	if !entry.alive || state.incarnation < known.incarnation || (state.incarnation == known.incarnation && state.sequence < known.sequence) {
		return
	}
	entry.known[state.worker] = state
	delete(entry.silent, state.worker)
	capacity := state.capacity
	capacity.CPU -= capacity.CPU * unit.MilliCPU(entry.headroom) / 100
	capacity.Memory -= capacity.Memory * unit.Mebibytes(entry.headroom) / 100
	converted := placement.WorkerState{
		Worker: state.worker, Incarnation: state.incarnation, DataCentre: state.centre, Rack: state.rack,
		Capacity: capacity, Used: state.used, Draining: state.leaving, Classes: []string{string(entry.deployment.session.Traffic.Service)},
	}
	for _, task := range state.tasks {
		if entry.deployment.jobHome(task.task.Job) != entry {
			converted.Classes = append(converted.Classes, task.class)
		}
	}
	entry.handle(placement.WorkerChanged{State: converted})
	entry.refresh()
}

// refresh prepares the candidates of the service.
func (entry *entry) refresh() {
	view := entry.publisher.Current()
	candidates := make([]routing.Candidate, 0, len(entry.known))
	for _, name := range set.SortedKeys(entry.known) {
		state := entry.known[name]
		centre, known := view.DataCentre(state.centre)
		candidates = append(candidates, routing.Candidate{
			Endpoint: state.endpoint, Worker: state.worker, Incarnation: state.incarnation, DataCentre: state.centre,
			Leaving: state.leaving, Unhealthy: entry.silent[name], Closed: known && !centre.Open, Since: state.since, Report: state.report,
		})
	}
	entry.view = entry.router.NewView(entry.deployment.now(), entry.deployment.session.Traffic.Service, candidates)
}

// learn feeds the measurements of a heartbeat to the estimates and lets the governor act.
func (entry *entry) learn(state announcement, now clock.Time) {
	service := string(entry.deployment.session.Traffic.Service)
	residents := []interference.Resident{{Class: service, Percent: 100}}
	reading := interference.Reading{
		Worker: state.worker, Service: ident.Service(service), Class: service,
		Slowdown: state.slowdown, Target: entry.target, Load: state.load,
		SpareSlots: interference.SpareSlots(state.report.Slots, state.report.SlotsUsed, state.report.Queue),
	}
	for _, task := range state.tasks {
		residents = append(residents, interference.Resident{Class: task.class, Percent: task.throttle})
		if !task.urgent {
			reading.Candidates = append(reading.Candidates, interference.Candidate{Task: task.task, Epoch: task.epoch, Class: task.class, Standing: task.standing, Throttle: task.throttle})
		}
	}
	entry.pairs.Residents(state.worker, residents, state.load, now)
	for _, task := range state.tasks {
		if task.measured {
			entry.sizes.Usage(task.task.Job, task.class, task.usage, now)
			entry.pairs.Observe(state.worker, task.class, task.slowdown, usageLag, now)
		}
	}
	entry.pairs.Observe(state.worker, service, state.slowdown, usageLag, now)
	if entry.deployment.policy.NoInterference {
		return
	}
	for _, action := range entry.governor.Step(reading, now) {
		entry.relieve(action, state.incarnation)
	}
}

// relieve carries out an action of the governor at the agent.
func (entry *entry) relieve(action interference.Action, incarnation ident.Incarnation) {
	deployment := entry.deployment
	deployment.log.write("%s Interference Kind=%s Worker=%s Task=%s Epoch=%d Percent=%d Reason=%q", entry.id, action.Kind, action.Worker, action.Task, action.Epoch, action.Percent, action.Reason)
	refs := []placement.TaskRef{{Task: action.Task, Epoch: action.Epoch}}
	entry.call(action.Worker, func(agent *agent) placement.Event {
		switch action.Kind {
		case interference.Throttle:
			agent.throttle(incarnation, refs, action.Percent)
		case interference.Checkpoint:
			agent.save(incarnation, refs)
		case interference.Evict:
			agent.stopTasks(placement.Stop{Worker: action.Worker, Incarnation: incarnation, Tasks: refs, Checkpoint: true, Reason: "interference"})
		}
		return nil
	})
}

// process names this process of the entry as a granter.
func (entry *entry) process() lease.Process {
	return lease.Process{Entry: entry.id, Incarnation: entry.incarnation}
}

// names returns the entries of processes, for the log.
func names(processes []lease.Process) []ident.Entry {
	entries := make([]ident.Entry, 0, len(processes))
	for _, process := range processes {
		entries = append(entries, process.Entry)
	}
	return entries
}
