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

// tick expires what was not heard of, publishes the view for traffic and returns the exchanges to
// send. It runs on the control goroutine.
func (entry *Entry) tick() []func() {
	for _, worker := range entry.workers.Expire(entry.time.Now()) {
		entry.workerSilent(worker)
	}
	entry.releaseReports(entry.time.Now())
	if entry.time.Now().Sub(entry.refreshedAt) >= refreshInterval {
		entry.refresh()
	}
	entry.logHealth()
	entry.endSubstitutes()
	return entry.exchange()
}

// refreshInterval is how often the view is published although only loads may have changed. Publishing
// copies all workers. A leaving endpoint and a new configuration are published at once.
const refreshInterval = clock.Second

// refresh publishes the current view if it changed.
func (entry *Entry) refresh() {
	view := entry.publisher.Current()
	now := entry.time.Now()
	entry.refreshedAt = now
	live := entry.entries.Live(now)
	homes := homesOf(live)
	if homes != entry.homes {
		ids := idsOf(live)
		entry.inheritLearned(slices.DeleteFunc(namesOf(entry.homes), func(id ident.Entry) bool { return slices.Contains(ids, id) }))
		entry.homes = homes
		klog.InfoS("Live entries changed", "Entries", homes)
		entry.learned.health.SetEntries(entry.settings.ID, ids)
		if shared, ok := entry.store.(interface{ SetEntries(entries int) }); ok {
			shared.SetEntries(max(len(live), 1))
		}
		wakeUp(entry.rescan)
	}
	if !entry.workers.Changed() && entry.applied == view && homes == entry.publishedHomes {
		return
	}
	entry.applied, entry.publishedHomes = view, homes
	snapshot := entry.workers.Snapshot(live, now)
	entry.view.Publish(snapshot)
	entry.publishServices(snapshot, view, now)
	fleet := make([]ident.Worker, 0, len(snapshot.Workers))
	for _, worker := range snapshot.Workers {
		fleet = append(fleet, worker.ID)
	}
	entry.learned.health.SetFleet(fleet)
	entry.learned.largest = entry.scheduler.LargestMemory()
}

// homesOf returns the ids of the live entries, for comparison.
func homesOf(live []membership.Entry) string {
	homes := ""
	for _, known := range live {
		homes += string(known.ID) + " "
	}
	return homes
}

// namesOf returns the entries in what homesOf returned.
func namesOf(homes string) []ident.Entry {
	var names []ident.Entry
	for name := range strings.FieldsSeq(homes) {
		names = append(names, ident.Entry(name))
	}
	return names
}

func idsOf(live []membership.Entry) []ident.Entry {
	ids := make([]ident.Entry, 0, len(live))
	for _, known := range live {
		ids = append(ids, known.ID)
	}
	return ids
}

// logHealth logs the decisions about faults.
func (entry *Entry) logHealth() {
	for _, action := range entry.learned.health.Actions() {
		klog.InfoS("Fault decision", "Kind", action.Kind, "Worker", action.Worker, "Job", action.Job,
			"TermMillis", action.TermMillis, "Reason", action.Reason)
	}
}

// entriesDigest returns a checksum of the entries as agents know them.
func entriesDigest(live []membership.Entry) uint64 {
	hash := fnv.New64a()
	for _, known := range live {
		_, _ = hash.Write([]byte(string(known.ID) + "\x00" + known.ControlAddress + "\x00" + string(known.State) + "\x00"))
	}
	return hash.Sum64()
}

// wakeUp makes a loop take its next step without waiting for its interval.
func wakeUp(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// renew renews the entry's row and reads those of the others.
func (entry *Entry) renew() {
	var renewal table.Transaction
	due := false
	entry.control.Call(func() {
		entry.entries.SetConfigVersion(entry.publisher.Current().Version())
		renewal, due = entry.entries.Renewal(entry.time.Now()).Get()
	})
	if due {
		entry.writeRenewal(renewal)
	}
	if now := entry.time.Now(); due || now.Sub(entry.readAt) >= entry.settings.Membership.RenewMillis {
		entry.readAt = now
		entry.readEntries()
	}
}

func (entry *Entry) writeRenewal(renewal table.Transaction) {
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	sent := entry.time.Now()
	result, err := entry.store.Commit(ctx, renewal)
	entry.control.Call(func() { entry.entries.Renewed(result, err, sent, entry.time.Now()) })
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
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	var rows []table.Row
	sent := entry.time.Now()
	for after := table.Key(""); ; after = rows[len(rows)-1].Key {
		page, err := entry.store.Range(ctx, membership.EntryPrefix, after, entryPage)
		if err != nil {
			return
		}
		if rows = append(rows, page...); len(page) < entryPage {
			break
		}
	}
	var changes []table.Transaction
	entry.control.Call(func() {
		for _, row := range rows {
			entry.observeEntry(row)
		}
		for _, id := range entry.entries.Complete(rows, sent) {
			entry.workers.Forget(id)
			delete(entry.knownBy, id)
		}
		now := entry.time.Now()
		changes = entry.entries.MarkGone(now)
		if discard, ok := entry.entries.Discard(now).Get(); ok && entry.isHome(discardHome) {
			changes = append(changes, discard)
		}
	})
	for _, change := range changes {
		if _, err := entry.store.Commit(ctx, change); err != nil {
			klog.V(1).InfoS("Rows of gone entries were not changed", "Reason", err.Error())
		}
	}
}

// discardHome is hashed to choose the entry of a region that deletes the rows of entries that left.
const discardHome ident.Job = "Entries/left"

// entryPage is the number of rows of entries that are read at once. Rows of entries that left stay for
// hours, so there can be more than one page.
const entryPage = 256

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
		Capacity:    withoutHeadroom(controlpb.ToResources(state.GetCapacity()), entry.headroom),
		Used:        controlpb.ToResources(state.GetUsed()),
		Draining:    state.GetDraining() || state.GetEndpoint().GetLeaving(),
	}
	if service := state.GetEndpoint().GetService(); service != "" {
		converted.Classes = append(converted.Classes, service)
	}
	if used, listed := entry.listedUse(converted.Worker); listed {
		converted.Used = used
	} else {
		converted.Coarse = !entry.workers.IsOwn(converted.Worker)
	}
	converted.Residents = entry.residentsFor(converted.Worker)
	if len(converted.Residents) > 0 {
		return converted
	}
	for _, count := range state.GetClasses() {
		converted.Classes = append(converted.Classes, slices.Repeat([]string{count.GetClass()}, int(count.GetTasks()))...)
	}
	return converted
}

// withoutHeadroom returns the part of a worker's capacity that placement may use. Accelerators are
// not held back, because they are not shared.
func withoutHeadroom(capacity unit.Resources, percent int) unit.Resources {
	capacity.CPU -= capacity.CPU * unit.MilliCPU(percent) / 100
	capacity.Memory -= capacity.Memory * unit.Mebibytes(percent) / 100
	return capacity
}

// sinceOf returns when the endpoint announced itself with its incarnation or recovered.
func (entry *Entry) sinceOf(endpoint membership.Endpoint, now clock.Time) clock.Time {
	known, ok := entry.since[endpoint.ID]
	if !ok || known.incarnation != endpoint.Incarnation || (!known.healthy && endpoint.Healthy) {
		known = presence{incarnation: endpoint.Incarnation, at: now}
	}
	known.healthy = endpoint.Healthy
	entry.since[endpoint.ID] = known
	return known.at
}

// presence is when an endpoint was first seen in its current incarnation and health.
type presence struct {
	incarnation ident.Incarnation
	healthy     bool
	at          clock.Time
}
