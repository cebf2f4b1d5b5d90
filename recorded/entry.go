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

// background is the context of calls to the table in memory, which never wait.
var background = context.Background()

// entry is an entry daemon: the decision packages and the state between them.
type entry struct {
	deployment  *deployment
	id          ident.Entry
	centre      ident.DataCentre
	incarnation ident.Incarnation
	alive       bool
	diedAt      clock.Time
	draws       draws

	scheduler *placement.Scheduler
	granter   *lease.Granter
	publisher *config.Publisher
	editor    *config.Editor
	router    *routing.Router
	view      *routing.View
	claims    *dedup.Ledger
	sizes     *estimate.Model
	pairs     *interference.Model
	health    *quarantine.Tracker
	// healthTold is what the other entries know of it.
	healthTold map[ident.Entry]healthTold
	governor   *interference.Governor
	// known holds the newest announcement of each worker.
	known map[ident.Worker]announcement
	// silent are workers that were reported silent and not heard of since.
	silent map[ident.Worker]bool
	// seenEnds are the ends that were taken as evidence.
	seenEnds map[placement.TaskRef]bool
	homed    map[ident.Job]bool
	homes    string
	// ending are incarnations that lapsed and whose end is not in the table yet.
	ending map[ident.Worker]ident.Incarnation
	// consulted are workers whose runtime told how the tasks ended.
	consulted  map[ident.Worker]bool
	version    ident.Version
	startBatch bool
	target     int
	headroom   int
}

// boot starts a new process of the entry.
func (entry *entry) boot() {
	deployment := entry.deployment
	entry.incarnation++
	entry.alive = true
	incarnation := entry.incarnation
	settings := routing.Defaults()
	settings.DataCentre, settings.Seed = entry.centre, deployment.session.Seed+uint64(entry.draws.below(1000))
	settings.RemotePenalty = 2 * deployment.session.HopHigh
	entry.router = routing.New(settings)
	entry.granter = lease.NewGranter(lease.Settings{})
	entry.publisher = config.NewPublisher()
	entry.editor = config.NewEditor(deployment.store, immediate{deployment.clock}, rand.New(rand.NewPCG(deployment.session.Seed, uint64(entry.draws.below(1000)))), entry.publisher)
	entry.claims = dedup.New(deployment.store, func() ident.Write { return deployment.write(entry.id) }, dedup.Defaults())
	entry.sizes = estimate.New(estimate.Defaults())
	entry.pairs = interference.New(interference.Defaults())
	entry.health = quarantine.New(quarantine.Defaults())
	entry.governor = interference.NewGovernor(interference.Omaruru(), entry.pairs)
	entry.known = make(map[ident.Worker]announcement)
	entry.silent = make(map[ident.Worker]bool)
	entry.seenEnds = make(map[placement.TaskRef]bool)
	entry.homed = make(map[ident.Job]bool)
	entry.ending = make(map[ident.Worker]ident.Incarnation)
	entry.consulted = make(map[ident.Worker]bool)
	entry.homes, entry.version, entry.startBatch, entry.target, entry.headroom = "", 0, true, 130, 0
	entry.view = entry.router.NewView(deployment.now(), deployment.session.Traffic.Service, nil)
	dependencies := placement.Dependencies{Entry: entry.id, Incarnation: incarnation, Sizer: entry.sizes, Interference: entry, Health: entry.health, Quotas: entry}
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
			entry.handle(placement.WorkerGone{Worker: agent.name, Incarnation: record.Over})
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
	entry.everyExchange(running)
}

// die ends the process. Its answers and messages are lost from now on.
func (entry *entry) die() {
	entry.alive, entry.diedAt = false, entry.deployment.now()
}

// Slowdown is the interference model of placement at the planned load, as package entry has it.
func (entry *entry) Slowdown(class string, residents []string) int {
	return entry.pairs.At(80).Slowdown(class, residents)
}

// Admit refuses ordinary work while the preset in force does not let it start.
func (entry *entry) Admit(_ ident.Team, _ unit.Resources, urgent bool) (reason string, ok bool) {
	if !urgent && !entry.startBatch {
		return "the preset in force starts no ordinary work", false
	}
	return "", true
}

// tick exchanges the configuration with the other entries, ends lapsed leases, and takes over and
// drops jobs when the live entries change.
func (entry *entry) tick() {
	deployment := entry.deployment
	for _, other := range deployment.entries {
		if other != entry && other.alive {
			deployment.send(func() {
				if entry.alive && other.alive {
					entry.follow(other)
				}
			})
		}
	}
	for _, name := range entry.granter.Due(deployment.now()) {
		entry.lapsed(name)
	}
	for _, name := range set.SortedKeys(entry.ending) {
		if entry.consult(name) {
			entry.declare(name, entry.ending[name])
		}
	}
	for _, name := range set.SortedKeys(entry.known) {
		if !entry.silent[name] && deployment.now().Sub(entry.known[name].at) >= 10*clock.Second {
			entry.silent[name] = true
			entry.handle(placement.WorkerSilent{Worker: name})
			entry.refresh()
		}
	}
	homes := ""
	for _, known := range deployment.live() {
		homes += string(known.ID) + " "
	}
	if homes != entry.homes && entry.publisher.Ready() && entry.sortJobs() {
		entry.homes = homes
	}
}

// sortJobs loads the jobs this entry is home of and drops the others. It reports whether the table
// answered.
func (entry *entry) sortJobs() bool {
	deployment := entry.deployment
	for _, name := range deployment.jobs {
		if home := deployment.jobHome(name); home != entry {
			if entry.homed[name] {
				delete(entry.homed, name)
				entry.handle(placement.JobDropped{Job: name})
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

// follow takes what is newer in another entry's configuration.
func (entry *entry) follow(other *entry) {
	view := other.publisher.Current()
	if !other.publisher.Ready() || view.Version() <= entry.publisher.Version() {
		return
	}
	delta, err := view.Delta(entry.publisher.Version())
	if err == nil {
		err = entry.publisher.Apply(delta)
	}
	if err != nil {
		entry.deployment.checks.broken("I10: %s follows %s: %v", entry.id, other.id, err)
		return
	}
	entry.configured()
}

// configured puts the configuration in force into the policies.
func (entry *entry) configured() {
	view := entry.publisher.Current()
	if view.Version() < entry.version {
		entry.deployment.checks.broken("I10: version of %s falls from %d to %d", entry.id, entry.version, view.Version())
	}
	entry.version = view.Version()
	_, preset := view.InForce()
	// As in package entry, the owner of the service decides.
	weights := preset.WeightsOf(entry.deployment.session.Team)
	entry.governor.SetSettings(interference.Weighted(weights.TailLatency, weights.Evictions, preset.EvictionsPerHour))
	entry.target, entry.headroom, entry.startBatch = preset.SlowdownLimitPercent, preset.HeadroomPercent, preset.StartBatch
	for _, name := range view.DataCentres() {
		centre, _ := view.DataCentre(name)
		key, revision := view.DataCentreRow(name)
		entry.handle(placement.DataCentreChanged{DataCentre: name, Open: centre.Open, Key: key, Revision: revision, Bound: centre.DrainMillis})
	}
	entry.refresh()
}

// handle passes an event to the scheduler and carries out its actions.
func (entry *entry) handle(event placement.Event) {
	if !entry.alive {
		return
	}
	if loaded, ok := event.(placement.JobLoaded); ok {
		entry.homed[ident.Job(loaded.Row.Key[len(job.KeyPrefix):])] = true
	}
	for _, action := range entry.scheduler.Handle(event, entry.deployment.now()) {
		entry.perform(action)
	}
}

func (entry *entry) perform(action placement.Action) {
	deployment := entry.deployment
	switch action := action.(type) {
	case placement.Reserve:
		entry.call(action.Worker, func(agent *agent) placement.Event { return agent.reserve(action) })
	case placement.Start:
		entry.call(action.Worker, func(agent *agent) placement.Event { return agent.startTasks(entry, action) })
	case placement.Stop:
		entry.call(action.Worker, func(agent *agent) placement.Event { return agent.stopTasks(action) })
	case placement.Release:
		entry.call(action.Worker, func(agent *agent) placement.Event {
			for _, ref := range action.Tasks {
				agent.ledger.Release(action.Reservation, ref.Task)
			}
			return nil
		})
	case placement.Recorded:
		entry.call(action.Worker, func(agent *agent) placement.Event {
			for _, ref := range action.Tasks {
				agent.forget(ref)
			}
			return nil
		})
	case placement.Throttle:
		entry.call(action.Worker, func(agent *agent) placement.Event {
			agent.throttle(action.Incarnation, action.Tasks, action.Percent)
			return nil
		})
	case placement.Commit:
		deployment.after(deployment.network.millis(2, 6), func() {
			if !entry.alive {
				return
			}
			result, err := deployment.store.Commit(background, action.Transaction)
			var answer placement.Event = placement.Committed{Write: action.Transaction.Write, Result: result}
			if err != nil {
				answer = placement.CommitFailed{Write: action.Transaction.Write, Err: err}
			}
			deployment.after(deployment.network.millis(2, 6), func() { entry.handle(answer) })
		})
	case placement.Read:
		deployment.after(deployment.network.millis(2, 6), func() { entry.handle(entry.read(action)) })
	case placement.Park:
		deployment.log.write("%s Park Job=%s Reason=%q", entry.id, action.Job, action.Reason)
	case placement.Decision:
		deployment.log.placed(entry.id, action)
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

// call sends a message to an agent and its answer back. A dead agent does not answer.
func (entry *entry) call(to ident.Worker, serve func(agent *agent) placement.Event) {
	deployment := entry.deployment
	open := deployment.connection(ends{entry: entry.id, agent: to})
	open.send(func() {
		agent := deployment.agent(to)
		if agent == nil {
			return
		}
		agent.receive(func() {
			if !agent.alive {
				return
			}
			if answer := serve(agent); answer != nil {
				open.reply(func() { entry.handle(answer) })
			}
		})
	})
}

// taskEnded takes an agent's report of an end. The evidence of an end counts once.
func (entry *entry) taskEnded(from *agent, status worker.Status) {
	if !entry.alive {
		return
	}
	now := entry.deployment.now()
	if ref := (placement.TaskRef{Task: status.Task, Epoch: status.Epoch}); !entry.seenEnds[ref] {
		entry.seenEnds[ref] = true
		switch status.State {
		case worker.Finished:
			entry.health.Succeeded(status.Task, from.name, now)
		case worker.Failed:
			if status.End == worker.OutOfMemory {
				entry.health.Stopped(status.Task, from.name)
				entry.sizes.OutOfMemory(status.Task.Job, entry.deployment.profiles[status.Task].class, status.Resources.Memory, entry.scheduler.LargestMemory())
				break
			}
			entry.health.Failed(status.Task, from.name, status.Reason, now)
		case worker.Stopped:
			entry.health.Stopped(status.Task, from.name)
		}
		entry.logHealth()
	}
	entry.handle(placement.TaskEnded{Worker: from.name, Status: status})
}
