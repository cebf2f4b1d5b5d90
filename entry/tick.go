package entry

import (
	"hash/fnv"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// tick expires workers and reports, publishes the views for request routing, and returns the
// exchanges to send. It runs on the control goroutine.
func (entry *Entry) tick() []func() {
	for _, worker := range entry.workers.Expire(entry.time.Now()) {
		entry.workerUnresponsive(worker)
	}
	entry.expireReports(entry.time.Now())
	if entry.workers.Joined() || entry.time.Now().Sub(entry.refreshedAt) >= refreshInterval {
		entry.refresh()
	}
	entry.logHealth()
	entry.endSubstitutions()
	return entry.startExchanges()
}

// refreshInterval is how often the views are published if only loads may have changed, because
// publishing copies all workers. A leaving endpoint and a new configuration are published at once,
// and a worker that joined with the next tick.
const refreshInterval = clock.Second

// refresh publishes the views if they changed.
func (entry *Entry) refresh() {
	view := entry.configPublisher.Current()
	now := entry.time.Now()
	entry.refreshedAt = now
	live := entry.entries.Live(now)
	names := joinEntryNames(live)
	if names != entry.liveNames {
		entries := entryIDs(live)
		entry.importSizesOf(slices.DeleteFunc(splitEntryNames(entry.liveNames), func(name ident.Entry) bool { return slices.Contains(entries, name) }))
		entry.liveNames = names
		klog.InfoS("Live entries changed", "Entries", names)
		entry.models.health.SetEntries(entry.settings.ID, entries)
		if client, ok := entry.store.(interface{ SetEntries(entries int) }); ok {
			client.SetEntries(max(len(live), 1))
		}
		wakeUp(entry.wakeScan)
	}
	if !entry.workers.Changed() && entry.publishedConfig == view && names == entry.publishedNames {
		return
	}
	entry.publishedConfig, entry.publishedNames = view, names
	snapshot := entry.workers.Snapshot(live, now)
	entry.membershipPublisher.Publish(snapshot)
	entry.publishServices(snapshot, view, now)
	workers := make([]ident.Worker, 0, len(snapshot.Workers))
	for _, worker := range snapshot.Workers {
		workers = append(workers, worker.ID)
	}
	entry.models.health.SetFleet(workers)
	entry.models.largestMemory = entry.scheduler.LargestMemory()
}

// joinEntryNames returns the ids of the live entries in one string, for comparison.
func joinEntryNames(live []membership.Entry) string {
	names := ""
	for _, peer := range live {
		names += string(peer.ID) + " "
	}
	return names
}

// splitEntryNames returns the ids in a string of joinEntryNames.
func splitEntryNames(joined string) []ident.Entry {
	var names []ident.Entry
	for name := range strings.FieldsSeq(joined) {
		names = append(names, ident.Entry(name))
	}
	return names
}

func entryIDs(live []membership.Entry) []ident.Entry {
	ids := make([]ident.Entry, 0, len(live))
	for _, peer := range live {
		ids = append(ids, peer.ID)
	}
	return ids
}

// logHealth logs the quarantine decisions since the last call.
func (entry *Entry) logHealth() {
	for _, action := range entry.models.health.Actions() {
		klog.InfoS("Fault decision", "Kind", action.Kind, "Worker", action.Worker, "Job", action.Job,
			"TermMillis", action.Duration, "Reason", action.Reason)
	}
}

// entriesDigest returns a checksum of the entries as agents see them.
func entriesDigest(live []membership.Entry) uint64 {
	hash := fnv.New64a()
	for _, peer := range live {
		_, _ = hash.Write([]byte(string(peer.ID) + "\x00" + peer.ControlAddress + "\x00" + string(peer.State) + "\x00"))
	}
	return hash.Sum64()
}

// wakeUp makes a loop run its next step without waiting for its interval.
func wakeUp(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// renew renews the entry's row and reads those of the other entries when they are due.
func (entry *Entry) renew() {
	var renewal table.Transaction
	needsRenewal := false
	entry.control.Call(func() {
		entry.entries.SetConfigVersion(entry.configPublisher.Current().Version())
		renewal, needsRenewal = entry.entries.NextRenewal(entry.time.Now()).Get()
	})
	if needsRenewal {
		entry.writeRenewal(renewal)
	}
	if now := entry.time.Now(); needsRenewal || now.Sub(entry.entriesReadAt) >= entry.settings.Membership.RenewMillis {
		entry.entriesReadAt = now
		entry.readEntries()
	}
}

// writeRenewal commits a renewal. If this fails, it reads the row to find out whether the entry was
// superseded.
func (entry *Entry) writeRenewal(renewal table.Transaction) {
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	sent := entry.time.Now()
	result, err := entry.store.Commit(ctx, renewal)
	entry.control.Call(func() { entry.entries.RecordRenewal(result, err, sent, entry.time.Now()) })
	if err == nil {
		return
	}
	klog.V(1).InfoS("Entry's row was not renewed", "Entry", entry.settings.ID, "Reason", err.Error())
	if row, err := entry.store.Get(ctx, membership.EntryKey(entry.settings.ID)); err == nil {
		entry.control.Call(func() { entry.observeEntry(row) })
	}
}

// readEntries reads the rows of all entries, marks those that are certainly gone, and deletes those
// that left long ago if this entry is the one that does so.
func (entry *Entry) readEntries() {
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	var rows []table.Row
	sent := entry.time.Now()
	for after := table.Key(""); ; after = rows[len(rows)-1].Key {
		page, err := entry.store.Range(ctx, membership.EntryPrefix, after, entriesPerPage)
		if err != nil {
			return
		}
		if rows = append(rows, page...); len(page) < entriesPerPage {
			break
		}
	}
	var changes []table.Transaction
	entry.control.Call(func() {
		for _, row := range rows {
			entry.observeEntry(row)
		}
		for _, id := range entry.entries.ApplyFullRead(rows, sent) {
			entry.workers.RemovePeer(id)
			delete(entry.knownByPeer, id)
		}
		now := entry.time.Now()
		changes = entry.entries.MarkGone(now)
		if discard, ok := entry.entries.DeleteLeftRows(now).Get(); ok && entry.isHome(discardJob) {
			changes = append(changes, discard)
		}
	})
	for _, change := range changes {
		if _, err := entry.store.Commit(ctx, change); err != nil {
			klog.V(1).InfoS("Rows of gone entries were not changed", "Reason", err.Error())
		}
	}
}

// discardJob is a job name whose home entry deletes the rows of entries that left.
const discardJob ident.Job = "Entries/left"

// entriesPerPage is the number of entries' rows in one range read. Rows of entries that left stay
// for hours, so there can be more than one page.
const entriesPerPage = 256

// observeEntry records an entry's row. If the row shows that another process has taken this entry's
// id, the entry stops serving.
func (entry *Entry) observeEntry(row table.Row) {
	if err := entry.entries.Observe(row, entry.time.Now()); membership.IsErrSuperseded(err) {
		klog.ErrorS(err, "Entry was superseded and stops granting and scheduling", "Entry", entry.settings.ID)
		entry.shuttingDown.Store(true)
	}
}

// placementState converts the state of a worker for the scheduler. The preset's headroom is kept
// free on every worker.
func (entry *Entry) placementState(state *controlpb.WorkerState) placement.WorkerState {
	converted := placement.WorkerState{
		Worker:      ident.Worker(state.GetWorker()),
		Incarnation: ident.Incarnation(state.GetIncarnation()),
		DataCentre:  ident.DataCentre(state.GetDataCentre()),
		Rack:        ident.Rack(state.GetRack()),
		Capacity:    withoutHeadroom(controlpb.ToResources(state.GetCapacity()), entry.headroomPercent),
		Used:        controlpb.ToResources(state.GetUsed()),
		Draining:    state.GetDraining() || state.GetEndpoint().GetLeaving(),
	}
	if service := state.GetEndpoint().GetService(); service != "" {
		converted.Classes = append(converted.Classes, service)
	}
	if used, listed := entry.listedUsage(converted.Worker); listed {
		converted.Used = used
	} else {
		converted.Coarse = !entry.workers.IsOwn(converted.Worker)
	}
	converted.Residents = entry.placementResidents(converted.Worker)
	if len(converted.Residents) > 0 {
		return converted
	}
	for _, count := range state.GetClasses() {
		converted.Classes = append(converted.Classes, slices.Repeat([]string{count.GetClass()}, int(count.GetTasks()))...)
	}
	return converted
}

// withoutHeadroom returns the part of a worker's capacity that placement may use. It includes all
// accelerators, because they are not shared.
func withoutHeadroom(capacity unit.Resources, percent int) unit.Resources {
	capacity.CPU -= capacity.CPU * unit.MilliCPU(percent) / 100
	capacity.Memory -= capacity.Memory * unit.Mebibytes(percent) / 100
	return capacity
}

// presentSince returns when the endpoint first announced itself in its incarnation, or when it last
// became healthy.
func (entry *Entry) presentSince(endpoint membership.Endpoint, now clock.Time) clock.Time {
	state, ok := entry.presences[endpoint.ID]
	if !ok || state.incarnation != endpoint.Incarnation || (!state.healthy && endpoint.Healthy) {
		state = presence{incarnation: endpoint.Incarnation, since: now}
	}
	state.healthy = endpoint.Healthy
	entry.presences[endpoint.ID] = state
	return state.since
}

// presence is when an endpoint was first seen in its current incarnation and health.
type presence struct {
	incarnation ident.Incarnation
	healthy     bool
	since       clock.Time
}
