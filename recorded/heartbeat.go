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
	at            clock.Time
	sequence      ident.Sequence
	leaseRevision table.Revision
	worker        ident.Worker
	incarnation   ident.Incarnation
	centre        ident.DataCentre
	rack          ident.Rack
	capacity      unit.Resources
	used          unit.Resources
	tasks         []announcedTask
	load          int
	slowdown      int
	endpoint      ident.Endpoint
	report        routing.Report
	leaving       bool
	// endpointStartedAt is when the endpoint started.
	endpointStartedAt clock.Time
}

// announcedTask is a running task with its lagging usage.
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

// heartbeat handles an announcement at the agent's home entry. It returns the lease term and the
// revision of the lease row, and whether the incarnation is fenced.
func (entry *entry) heartbeat(state announcement) (term clock.Millis, revision table.Revision, fenced bool) {
	now := entry.deployment.now()
	entry.observe(state, now)
	entry.updateWorker(state)
	for _, other := range entry.deployment.entries {
		if other != entry {
			entry.deployment.after(entry.exchangeDelay(state), func() { other.updateWorker(state) })
		}
	}
	term, err := entry.granter.Grant(state.worker, state.incarnation, state.leaseRevision, now)
	if lease.IsErrNotGranter(err) {
		if err = entry.takeOver(state); err == nil {
			term, err = entry.granter.Grant(state.worker, state.incarnation, state.leaseRevision, now)
		}
	}
	if err != nil {
		return 0, 0, lease.IsErrFenced(err)
	}
	return term, entry.granter.Revision(state.worker), false
}

// exchangeDelay draws the time until another entry receives an announcement: up to one interval of
// the exchanges in membership.DefaultSettings, and a hop.
func (entry *entry) exchangeDelay(state announcement) clock.Millis {
	settings := membership.DefaultSettings()
	if state.leaving {
		return entry.deployment.networkRandom.millis(0, settings.UrgentMillis) + entry.deployment.hop()
	}
	return entry.deployment.networkRandom.millis(0, settings.ExchangeMillis) + entry.deployment.hop()
}

// takeOver records this entry as the granter of the worker's incarnation. It reads the row back,
// because the answer to the write may be lost.
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
	write := entry.deployment.nextWrite(entry.id)
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
	entry.deployment.log.write("%s Granter Worker=%s Incarnation=%d Former=%v", entry.id, state.worker, state.incarnation, entryIDs(record.Former))
	return entry.granter.Record(state.worker, state.incarnation, row.Revision, record.Former, entry.deployment.now())
}

// leaseLapsed decides that an incarnation has ended, if this entry is still its granter.
func (entry *entry) leaseLapsed(name ident.Worker) {
	incarnation := entry.announcements[name].incarnation
	row, err := entry.deployment.store.Get(background, lease.Key(name))
	if err != nil {
		return
	}
	if _, _, err = lease.End(row, name, incarnation, entry.process(), lease.LeaseLapsed); err != nil {
		entry.granter.Suspend(name)
		return
	}
	if entry.granter.MarkOver(name, incarnation, entry.deployment.now()) == nil {
		entry.lapsedIncarnations[name] = incarnation
	}
}

// queryRuntime queries the runtime of a worker whose lease lapsed for the ends of its tasks, and
// reports them to the home entries of their jobs. It returns true once the incarnation may be
// declared ended.
func (entry *entry) queryRuntime(name ident.Worker) bool {
	if entry.queriedRuntimes[name] {
		delete(entry.queriedRuntimes, name)
		return true
	}
	agent := entry.deployment.agent(name)
	if len(agent.runtime.tasks) > 0 {
		return false
	}
	entry.queriedRuntimes[name] = true
	agent.reportEnds()
	return false
}

// declareGone records in the table that an incarnation has ended and informs all entries.
func (entry *entry) declareGone(name ident.Worker, incarnation ident.Incarnation) {
	store := entry.deployment.store
	row, err := store.Get(background, lease.Key(name))
	if err != nil {
		return
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		entry.deployment.checks.fail("row of %s: %v", name, err)
		return
	}
	if record.Over < incarnation {
		condition, operation, err := lease.End(row, name, incarnation, entry.process(), lease.LeaseLapsed)
		if err != nil {
			delete(entry.lapsedIncarnations, name)
			return
		}
		if _, err = store.Commit(background, table.Transaction{
			Write: entry.deployment.nextWrite(entry.id), Conditions: []table.Condition{condition}, Operations: []table.Operation{operation},
		}); err != nil {
			return
		}
	}
	delete(entry.lapsedIncarnations, name)
	entry.deployment.log.write("%s Over Worker=%s Incarnation=%d", entry.id, name, incarnation)
	for _, other := range entry.deployment.entries {
		entry.deployment.send(func() {
			if other.alive {
				other.granter.Declare(name, incarnation)
				other.handle(placement.IncarnationEnded{Worker: name, Incarnation: incarnation})
			}
		})
	}
}

// updateWorker takes over a worker's state from an announcement, unless a newer one arrived before.
func (entry *entry) updateWorker(state announcement) {
	previous := entry.announcements[state.worker]
	if !entry.alive || state.incarnation < previous.incarnation || (state.incarnation == previous.incarnation && state.sequence < previous.sequence) {
		return
	}
	entry.announcements[state.worker] = state
	delete(entry.unresponsiveWorkers, state.worker)
	capacity := state.capacity
	capacity.CPU -= capacity.CPU * unit.MilliCPU(entry.headroomPercent) / 100
	capacity.Memory -= capacity.Memory * unit.Mebibytes(entry.headroomPercent) / 100
	worker := placement.WorkerState{
		Worker: state.worker, Incarnation: state.incarnation, DataCentre: state.centre, Rack: state.rack,
		Capacity: capacity, Used: state.used, Draining: state.leaving, Classes: []string{string(entry.deployment.session.Traffic.Service)},
	}
	for _, task := range state.tasks {
		if entry.deployment.jobHome(task.task.Job) != entry {
			worker.Classes = append(worker.Classes, task.class)
		}
	}
	entry.handle(placement.WorkerChanged{State: worker})
	entry.refresh()
}

// refresh rebuilds the routing candidates of the service.
func (entry *entry) refresh() {
	view := entry.publisher.Current()
	candidates := make([]routing.Candidate, 0, len(entry.announcements))
	for _, name := range set.SortedKeys(entry.announcements) {
		state := entry.announcements[name]
		centre, exists := view.DataCentre(state.centre)
		candidates = append(candidates, routing.Candidate{
			Endpoint: state.endpoint, Worker: state.worker, Incarnation: state.incarnation, DataCentre: state.centre,
			Leaving: state.leaving, Unhealthy: entry.unresponsiveWorkers[name], Closed: exists && !centre.Open, Since: state.endpointStartedAt, Report: state.report,
		})
	}
	entry.view = entry.router.NewView(entry.deployment.now(), entry.deployment.session.Traffic.Service, candidates)
}

// observe passes the measurements in a heartbeat to the models and performs the governor's actions.
func (entry *entry) observe(state announcement, now clock.Time) {
	service := string(entry.deployment.session.Traffic.Service)
	residents := []interference.Resident{{Class: service, Percent: 100}}
	sample := interference.Sample{
		Worker: state.worker, Service: ident.Service(service), Class: service,
		Slowdown: state.slowdown, Target: entry.slowdownLimitPercent, Load: state.load,
		SpareSlots: interference.SpareSlots(state.report.Slots, state.report.SlotsUsed, state.report.Queue),
	}
	for _, task := range state.tasks {
		residents = append(residents, interference.Resident{Class: task.class, Percent: task.throttle})
		if !task.urgent {
			sample.Candidates = append(sample.Candidates, interference.Candidate{Task: task.task, Epoch: task.epoch, Class: task.class, Standing: task.standing, Throttle: task.throttle})
		}
	}
	entry.interference.Residents(state.worker, residents, state.load, now)
	for _, task := range state.tasks {
		if task.measured {
			entry.estimates.RecordUsage(task.task.Job, task.class, task.usage, now)
			entry.interference.Observe(state.worker, task.class, task.slowdown, usageLag, now)
		}
	}
	entry.interference.Observe(state.worker, service, state.slowdown, usageLag, now)
	if entry.deployment.policy.NoInterference {
		return
	}
	for _, action := range entry.governor.Step(sample, now) {
		entry.performInterferenceAction(action, state.incarnation)
	}
}

// performInterferenceAction carries out an action of the governor at the agent.
func (entry *entry) performInterferenceAction(action interference.Action, incarnation ident.Incarnation) {
	deployment := entry.deployment
	deployment.log.write("%s Interference Kind=%s Worker=%s Task=%s Epoch=%d Percent=%d Reason=%q", entry.id, action.Kind, action.Worker, action.Task, action.Epoch, action.Percent, action.Reason)
	refs := []placement.TaskRef{{Task: action.Task, Epoch: action.Epoch}}
	entry.callAgent(action.Worker, func(agent *agent) placement.Event {
		switch action.Kind {
		case interference.Throttle:
			agent.throttle(incarnation, refs, action.Percent)
		case interference.Checkpoint:
			agent.checkpointTasks(incarnation, refs)
		case interference.Evict:
			agent.stopTasks(placement.Stop{Worker: action.Worker, Incarnation: incarnation, Tasks: refs, Checkpoint: true, Reason: "interference"})
		}
		return nil
	})
}

// process identifies this incarnation of the entry as a granter.
func (entry *entry) process() lease.Process {
	return lease.Process{Entry: entry.id, Incarnation: entry.incarnation}
}

// entryIDs returns the entries of the processes.
func entryIDs(processes []lease.Process) []ident.Entry {
	entries := make([]ident.Entry, 0, len(processes))
	for _, process := range processes {
		entries = append(entries, process.Entry)
	}
	return entries
}
