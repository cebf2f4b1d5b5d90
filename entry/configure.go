package entry

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
)

// bootstrapOperator is recorded as the author of the first configuration.
const bootstrapOperator = "hyssopjunction"

// bootstrap writes the default presets into a table that has no configuration. With two regions the
// link does so.
func (entry *Entry) bootstrap() {
	if entry.link != nil {
		return
	}
	for {
		ctx, cancel := entry.call(4 * clock.Second)
		err := entry.editor.Bootstrap(ctx, bootstrapOperator)
		cancel()
		if err == nil {
			return
		}
		klog.V(1).InfoS("Configuration was not bootstrapped", "Reason", err.Error())
		select {
		case <-entry.time.After(clock.Second):
		case <-entry.quit:
			return
		}
	}
}

// followConfig applies each new configuration and pushes it to the agents homed here.
func (entry *Entry) followConfig() {
	applied := ident.Version(0)
	for {
		changed := entry.publisher.Changed()
		view := entry.publisher.Current()
		if entry.publisher.Ready() && (view.Version() > applied || applied == 0) {
			entry.control.Call(func() {
				entry.applyConfig(view)
				entry.pushConfig(applied, view)
			})
			applied = max(view.Version(), 1)
			wakeUp(entry.rescan)
			wakeUp(entry.settle)
		}
		select {
		case <-changed:
		case <-entry.quit:
			return
		}
	}
}

// applyConfig tells the scheduler the state of the data centres.
func (entry *Entry) applyConfig(view *config.View) {
	for _, name := range view.DataCentres() {
		centre, ok := view.DataCentre(name)
		if !ok {
			continue
		}
		key, revision := view.DataCentreRow(name)
		entry.handle(placement.DataCentreChanged{
			DataCentre: name, Open: centre.Open, Key: key, Revision: revision, Bound: centre.DrainMillis,
		})
	}
	entry.applyPreset(view)
	entry.refresh()
	klog.InfoS("Configuration in force", "Entry", entry.settings.ID, "Version", view.Version())
}

// pushConfig sends the agents homed here the documents that are newer than from, or than the version
// that the agent told last if that is lower: it refuses documents that do not follow its own. An agent
// that misses the push receives them with its next heartbeat.
func (entry *Entry) pushConfig(from ident.Version, view *config.View) {
	deltas := map[ident.Version]*controlpb.ConfigDelta{}
	for _, worker := range entry.workers.Own() {
		client, ok := entry.agentOf(worker)
		state, seen := entry.workers.Get(worker)
		if !ok || !seen {
			continue
		}
		incarnation := ident.Incarnation(state.GetIncarnation())
		base := min(from, entry.inForce.applied[worker].version)
		delta, computed := deltas[base]
		if !computed {
			var err error
			if delta, err = view.Delta(base); err != nil {
				return
			}
			deltas[base] = delta
		}
		entry.spawn(func() {
			ctx, cancel := entry.call(entry.settings.CallTimeout)
			defer cancel()
			reply, err := client.Configure(ctx, &controlpb.ConfigureRequest{Config: delta})
			if err != nil {
				klog.V(1).InfoS("Configuration was not pushed", "Worker", worker, "Reason", err.Error())
				return
			}
			entry.control.Post(func() { entry.inForce.agentApplied(worker, incarnation, ident.Version(reply.GetConfigVersion())) })
		})
	}
}
