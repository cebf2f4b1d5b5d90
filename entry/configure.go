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

// bootstrap writes the default presets into a table without configuration. In a system of two
// regions, the region link does this instead.
func (entry *Entry) bootstrap() {
	if entry.link != nil {
		return
	}
	for {
		ctx, cancel := entry.callContext(4 * clock.Second)
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
		changed := entry.configPublisher.Changed()
		ready, view := entry.configPublisher.Ready(), entry.configPublisher.Current()
		if ready && (view.Version() > applied || applied == 0) {
			entry.control.Call(func() {
				entry.applyConfig(view)
				entry.pushConfig(applied, view)
			})
			applied = max(view.Version(), 1)
			wakeUp(entry.wakeScan)
			wakeUp(entry.wakeReview)
		}
		select {
		case <-changed:
		case <-entry.quit:
			return
		}
	}
}

// applyConfig passes the state of the data centres to the scheduler and applies the preset.
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
	entry.servicesPublished.Store(true)
	klog.InfoS("Configuration in force", "Entry", entry.settings.ID, "Version", view.Version())
}

// pushConfig sends the agents homed here the documents newer than from. An agent refuses documents
// that do not follow its own version, so one that last reported a lower version is sent those newer
// than that. An agent that misses the push receives them in the reply to its next heartbeat.
func (entry *Entry) pushConfig(from ident.Version, view *config.View) {
	deltas := map[ident.Version]*controlpb.ConfigDelta{}
	for _, worker := range entry.workers.Own() {
		client, ok := entry.agentClient(worker)
		state, exists := entry.workers.Get(worker)
		if !ok || !exists {
			continue
		}
		incarnation := ident.Incarnation(state.GetIncarnation())
		base := min(from, entry.versions.agents[worker].version)
		delta, cached := deltas[base]
		if !cached {
			var err error
			if delta, err = view.Delta(base); err != nil {
				return
			}
			deltas[base] = delta
		}
		entry.spawn(func() {
			ctx, cancel := entry.callContext(entry.settings.CallTimeout)
			defer cancel()
			reply, err := client.Configure(ctx, &controlpb.ConfigureRequest{Config: delta})
			if err != nil {
				klog.V(1).InfoS("Configuration was not pushed", "Worker", worker, "Reason", err.Error())
				return
			}
			entry.control.Post(func() { entry.versions.recordAgent(worker, incarnation, ident.Version(reply.GetConfigVersion())) })
		})
	}
}
