package recorded

import (
	"context"
	"math/rand/v2"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/dedup"
	"hyssopjunction/estimate"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/placement"
	"hyssopjunction/quarantine"
	"hyssopjunction/routing"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// background is the context of all calls to the in-memory table, which never block.
var background = context.Background()

// entry is an entry daemon: the decision packages and the state that connects them.
type entry struct {
	deployment  *deployment
	id          ident.Entry
	centre      ident.DataCentre
	incarnation ident.Incarnation
	alive       bool
	crashedAt   clock.Time
	random      random

	scheduler    *placement.Scheduler
	granter      *lease.Granter
	publisher    *config.Publisher
	editor       *config.Editor
	router       *routing.Router
	view         *routing.View
	claims       *dedup.Ledger
	estimates    *estimate.Model
	interference *interference.Model
	health       *quarantine.Tracker
	// healthExports records how much of health the other entries have received.
	healthExports map[ident.Entry]healthExport
	governor      *interference.Governor
	// announcements holds the newest announcement of each worker.
	announcements map[ident.Worker]announcement
	// unresponsiveWorkers were reported unresponsive and have not announced themselves since.
	unresponsiveWorkers map[ident.Worker]bool
	// seenEnds are the ends that were already counted as evidence.
	seenEnds    map[placement.TaskRef]bool
	homeJobs    map[ident.Job]bool
	liveEntries string
	// lapsedIncarnations are incarnations whose lease lapsed and whose end is not recorded in the
	// table yet.
	lapsedIncarnations map[ident.Worker]ident.Incarnation
	// queriedRuntimes are workers whose runtime has reported how its tasks ended.
	queriedRuntimes      map[ident.Worker]bool
	version              ident.Version
	startBatch           bool
	slowdownLimitPercent int
	headroomPercent      int
}

// boot starts a new process of the entry.
func (entry *entry) boot() {
	deployment := entry.deployment
	entry.incarnation++
	entry.alive = true
	incarnation := entry.incarnation
	settings := routing.Defaults()
	settings.DataCentre, settings.Seed = entry.centre, deployment.session.Seed+uint64(entry.random.below(1000))
	settings.RemotePenalty = 2 * deployment.session.MaxHop
	entry.router = routing.New(settings)
	entry.granter = lease.NewGranter(lease.Settings{})
	entry.publisher = config.NewPublisher()
	entry.editor = config.NewEditor(deployment.store, immediateClock{deployment.clock}, rand.New(rand.NewPCG(deployment.session.Seed, uint64(entry.random.below(1000)))), entry.publisher)
	entry.claims = dedup.New(deployment.store, func() ident.Write { return deployment.nextWrite(entry.id) }, dedup.Defaults())
	entry.estimates = estimate.New(estimate.Defaults())
	entry.interference = interference.NewModel(interference.Defaults())
	entry.health = quarantine.New(quarantine.Defaults())
	entry.governor = interference.NewGovernor(interference.LatencyFirst(), entry.interference)
	entry.announcements = make(map[ident.Worker]announcement)
	entry.unresponsiveWorkers = make(map[ident.Worker]bool)
	entry.seenEnds = make(map[placement.TaskRef]bool)
	entry.homeJobs = make(map[ident.Job]bool)
	entry.lapsedIncarnations = make(map[ident.Worker]ident.Incarnation)
	entry.queriedRuntimes = make(map[ident.Worker]bool)
	entry.liveEntries, entry.version, entry.startBatch, entry.slowdownLimitPercent, entry.headroomPercent = "", 0, true, 130, 0
	entry.view = entry.router.NewView(deployment.now(), deployment.session.Traffic.Service, nil)
	dependencies := placement.Dependencies{Entry: entry.id, Incarnation: incarnation, Sizer: entry.estimates, Interference: entry, Health: entry.health, Quotas: entry}
	policy := deployment.policy
	if policy.DeclaredSizes {
		dependencies.Sizer = nil
	}
	if policy.NoInterference {
		dependencies.Interference = nil
	}
	entry.scheduler = placement.New(placement.Settings{FirstFit: policy.FirstFit, NoDrain: policy.NoDrain}, dependencies)
	fleet := make([]ident.Worker, 0, len(deployment.agents))
	for _, agent := range deployment.agents {
		fleet = append(fleet, agent.name)
		row, err := deployment.store.Get(background, lease.Key(agent.name))
		record, badRow := lease.DecodeRecord(row)
		if err == nil && badRow == nil && record.Over > 0 {
			entry.granter.Declare(agent.name, record.Over)
			entry.handle(placement.IncarnationEnded{Worker: agent.name, Incarnation: record.Over})
		}
	}
	entry.health.SetFleet(fleet)
	running := func() bool { return entry.alive && entry.incarnation == incarnation }
	deployment.every(500, func() bool {
		if running() {
			entry.handle(placement.Round{})
		}
		return running()
	})
	deployment.every(clock.Second, func() bool {
		if running() {
			entry.tick()
		}
		return running()
	})
	entry.scheduleHealthExchange(running)
}

// crash ends the process. Its later answers and messages are lost.
func (entry *entry) crash() {
	entry.alive, entry.crashedAt = false, entry.deployment.now()
}

// Slowdown returns the predicted slowdown at the load that placement plans for, as in package
// entry.
func (entry *entry) Slowdown(class string, residents []string) int {
	return entry.interference.At(80).Slowdown(class, residents)
}

// Admit refuses work that is not urgent while the preset in force does not let it start.
func (entry *entry) Admit(_ ident.Team, _ unit.Resources, urgent bool) (reason string, ok bool) {
	if !urgent && !entry.startBatch {
		return "the preset in force starts no ordinary work", false
	}
	return "", true
}

// tick exchanges the configuration with the other entries, ends lapsed leases, reports workers
// without an announcement for 10 s to the scheduler, and loads and removes jobs when the set of live
// entries changes.
func (entry *entry) tick() {
	deployment := entry.deployment
	for _, other := range deployment.entries {
		if other != entry && other.alive {
			deployment.send(func() {
				if entry.alive && other.alive {
					entry.pullConfig(other)
				}
			})
		}
	}
	for _, name := range entry.granter.LapsedWorkers(deployment.now()) {
		entry.leaseLapsed(name)
	}
	for _, name := range set.SortedKeys(entry.lapsedIncarnations) {
		if entry.queryRuntime(name) {
			entry.declareGone(name, entry.lapsedIncarnations[name])
		}
	}
	for _, name := range set.SortedKeys(entry.announcements) {
		if !entry.unresponsiveWorkers[name] && deployment.now().Sub(entry.announcements[name].at) >= 10*clock.Second {
			entry.unresponsiveWorkers[name] = true
			entry.handle(placement.WorkerUnresponsive{Worker: name})
			entry.refresh()
		}
	}
	live := ""
	for _, other := range deployment.liveEntries() {
		live += string(other.ID) + " "
	}
	if live != entry.liveEntries && entry.publisher.Ready() && entry.loadHomeJobs() {
		entry.liveEntries = live
	}
}

// loadHomeJobs loads the jobs whose home is this entry and removes the others. It reports whether the
// table was available.
func (entry *entry) loadHomeJobs() bool {
	deployment := entry.deployment
	for _, name := range deployment.jobs {
		if home := deployment.jobHome(name); home != entry {
			if entry.homeJobs[name] {
				delete(entry.homeJobs, name)
				entry.handle(placement.JobRemoved{Job: name})
			}
			continue
		}
		row, err := deployment.store.Get(background, job.Key(name))
		if err != nil {
			return false
		}
		entry.handle(placement.JobLoaded{Row: row})
	}
	return true
}

// pullConfig applies the configuration changes that another entry has and this one lacks.
func (entry *entry) pullConfig(other *entry) {
	view := other.publisher.Current()
	if !other.publisher.Ready() || view.Version() <= entry.publisher.Version() {
		return
	}
	delta, err := view.Delta(entry.publisher.Version())
	if err == nil {
		err = entry.publisher.Apply(delta)
	}
	if err != nil {
		entry.deployment.checks.fail("I10: %s follows %s: %v", entry.id, other.id, err)
		return
	}
	entry.applyConfig()
}

// applyConfig passes the configuration in force to the scheduler, the governor and the router.
func (entry *entry) applyConfig() {
	view := entry.publisher.Current()
	if view.Version() < entry.version {
		entry.deployment.checks.fail("I10: version of %s falls from %d to %d", entry.id, entry.version, view.Version())
	}
	entry.version = view.Version()
	_, preset := view.InForce()
	// The weights are those of the service's owner, as in package entry.
	weights := preset.WeightsOf(entry.deployment.session.Team)
	entry.governor.SetSettings(interference.SettingsForWeights(weights.TailLatency, weights.Evictions, preset.EvictionsPerHour))
	entry.slowdownLimitPercent, entry.headroomPercent, entry.startBatch = preset.SlowdownLimitPercent, preset.HeadroomPercent, preset.StartBatch
	for _, name := range view.DataCentres() {
		centre, _ := view.DataCentre(name)
		key, revision := view.DataCentreRow(name)
		entry.handle(placement.DataCentreChanged{DataCentre: name, Open: centre.Open, Key: key, Revision: revision, Bound: centre.DrainMillis})
	}
	entry.refresh()
}

// handle passes an event to the scheduler and performs its actions.
func (entry *entry) handle(event placement.Event) {
	if !entry.alive {
		return
	}
	if loaded, ok := event.(placement.JobLoaded); ok {
		entry.homeJobs[ident.Job(loaded.Row.Key[len(job.KeyPrefix):])] = true
	}
	for _, action := range entry.scheduler.Handle(event, entry.deployment.now()) {
		entry.perform(action)
	}
}

func (entry *entry) perform(action placement.Action) {
	deployment := entry.deployment
	switch action := action.(type) {
	case placement.Reserve:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event { return agent.reserve(action) })
	case placement.Start:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event { return agent.startTasks(entry, action) })
	case placement.Stop:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event { return agent.stopTasks(action) })
	case placement.Release:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event {
			for _, ref := range action.Tasks {
				agent.ledger.Release(action.Reservation, ref.Task)
			}
			return nil
		})
	case placement.Recorded:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event {
			for _, ref := range action.Tasks {
				agent.forget(ref)
			}
			return nil
		})
	case placement.Throttle:
		entry.callAgent(action.Worker, func(agent *agent) placement.Event {
			agent.throttle(action.Incarnation, action.Tasks, action.Percent)
			return nil
		})
	case placement.Commit:
		deployment.after(deployment.networkRandom.millis(2, 6), func() {
			if !entry.alive {
				return
			}
			result, err := deployment.store.Commit(background, action.Transaction)
			var answer placement.Event = placement.Committed{Write: action.Transaction.Write, Result: result}
			if err != nil {
				answer = placement.CommitFailed{Write: action.Transaction.Write, Err: err}
			}
			deployment.after(deployment.networkRandom.millis(2, 6), func() { entry.handle(answer) })
		})
	case placement.Read:
		deployment.after(deployment.networkRandom.millis(2, 6), func() { entry.handle(entry.read(action)) })
	case placement.Park:
		deployment.log.write("%s Park Job=%s Reason=%q", entry.id, action.Job, action.Reason)
	case placement.Decision:
		deployment.log.placement(entry.id, action)
	}
}

func (entry *entry) read(action placement.Read) placement.Event {
	rows := make([]table.Row, 0, len(action.Keys))
	for _, key := range action.Keys {
		row, err := entry.deployment.store.Get(background, key)
		if err != nil {
			return placement.ReadFailed(action)
		}
		rows = append(rows, row)
	}
	return placement.RowsRead{Rows: rows}
}

// callAgent sends a message to an agent and handles its answer. A dead agent does not answer.
func (entry *entry) callAgent(name ident.Worker, serve func(agent *agent) placement.Event) {
	deployment := entry.deployment
	conn := deployment.connection(connectionKey{entry: entry.id, agent: name})
	conn.send(func() {
		agent := deployment.agent(name)
		if agent == nil {
			return
		}
		agent.receive(func() {
			if !agent.alive {
				return
			}
			if answer := serve(agent); answer != nil {
				conn.reply(func() { entry.handle(answer) })
			}
		})
	})
}

// taskEnded handles an agent's report of an end. Repeated reports count as evidence only once.
func (entry *entry) taskEnded(agent *agent, status worker.Status) {
	if !entry.alive {
		return
	}
	now := entry.deployment.now()
	if ref := (placement.TaskRef{Task: status.Task, Epoch: status.Epoch}); !entry.seenEnds[ref] {
		entry.seenEnds[ref] = true
		switch status.State {
		case worker.Finished:
			entry.health.Succeeded(status.Task, agent.name, now)
		case worker.Failed:
			if status.End == worker.OutOfMemory {
				entry.health.Stopped(status.Task, agent.name)
				entry.estimates.RecordOutOfMemory(status.Task.Job, entry.deployment.profiles[status.Task].class, status.Resources.Memory, entry.scheduler.LargestMemory())
				break
			}
			entry.health.Failed(status.Task, agent.name, status.Reason, now)
		case worker.Stopped:
			entry.health.Stopped(status.Task, agent.name)
		}
		entry.logHealth()
	}
	entry.handle(placement.TaskEnded{Worker: agent.name, Status: status})
}
