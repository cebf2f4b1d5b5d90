package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// endedKept is how long an ended incarnation is repeated in exchanges. Entries that miss all of
// them read the worker's row.
const endedKept = clock.Minute

// maxGrantWriteTries bounds the attempts to record a granter in one heartbeat.
const maxGrantWriteTries = 3

// grant is what this entry knows of its right to grant a worker's lease.
type grant struct {
	incarnation ident.Incarnation
	// revision is that of the worker's row that names this entry as granter.
	revision table.Revision
	// runtime is the address of the worker's runtime.
	runtime string
	// consulted counts the attempts to read the ended incarnation's tasks from the worker's runtime.
	consulted int
	// ending is set from the decision that the incarnation is over until the row says so.
	ending bool
}

type endedIncarnation struct {
	incarnation ident.Incarnation
	at          clock.Time
}

// process names this process as a granter.
func (entry *Entry) process() lease.Process {
	return lease.Process{Entry: entry.settings.ID, Incarnation: entry.incarnation}
}

// grantState reports whether the incarnation is fenced, and whether this entry has to record itself
// as granter before it can grant. It runs on the control goroutine.
func (entry *Entry) grantState(worker ident.Worker, incarnation ident.Incarnation, acknowledged uint64) (fenced, record bool) {
	known := entry.grants[worker]
	if known == nil {
		return false, true
	}
	switch {
	case incarnation < known.incarnation:
		return true, false
	case incarnation > known.incarnation:
		return false, true
	case known.ending:
		return true, false
	}
	if acknowledged > uint64(known.revision) {
		// Another entry was recorded as granter in between.
		entry.granter.Lose(worker)
		delete(entry.grants, worker)
		return false, true
	}
	return false, false
}

// recordGrant writes this entry as granter into the worker's row. It reports whether the
// incarnation is fenced. Without an answer of the table nothing is granted.
func (entry *Entry) recordGrant(worker ident.Worker, incarnation ident.Incarnation) (fenced bool) {
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	for range maxGrantWriteTries {
		row, err := entry.store.Get(ctx, lease.Key(worker))
		if err != nil {
			klog.V(1).InfoS("Worker's row was not read", "Worker", worker, "Reason", err.Error())
			return false
		}
		err = entry.takeOver(ctx, worker, incarnation, row)
		switch {
		case lease.IsErrFenced(err):
			entry.control.Call(func() { entry.noteFence(worker, row) })
			return true
		case err == nil || !table.IsErrConflict(err):
			return false
		}
	}
	return false
}

// takeOver makes this process the granter in the worker's row, unless it is already.
func (entry *Entry) takeOver(ctx context.Context, worker ident.Worker, incarnation ident.Incarnation, row table.Row) error {
	record, err := lease.DecodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "Worker cannot be granted a lease", "Worker", worker)
		return err
	}
	revision := row.Revision
	if record.Granter != entry.process() || record.Incarnation != incarnation || record.Fenced(incarnation) {
		condition, operation, err := lease.Takeover(row, worker, incarnation, entry.process())
		if err != nil {
			return err
		}
		if revision, err = entry.writeRecord(ctx, condition, operation); err != nil {
			klog.V(1).InfoS("Granter was not recorded", "Worker", worker, "Reason", err.Error())
			return err
		}
		if record, err = lease.DecodeRecord(table.Row{Key: operation.Key, Value: operation.Value, Revision: revision}); err != nil {
			return err
		}
	}
	entry.control.Call(func() { entry.becameGranter(worker, incarnation, revision, record.Former) })
	return nil
}

// becameGranter notes that the table names this process as granter.
func (entry *Entry) becameGranter(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision, former []lease.Process) {
	if err := entry.granter.Record(worker, incarnation, revision, former, entry.time.Now()); err != nil {
		klog.ErrorS(err, "Granter was recorded for an ended incarnation", "Worker", worker)
		return
	}
	entry.grants[worker] = &grant{incarnation: incarnation, revision: revision}
	klog.InfoS("Recorded as granter", "Worker", worker, "Incarnation", incarnation, "Former", len(former))
}

// writeRecord commits a worker's row with a write id of its own, so that it is not merged with others
// and its revision is known.
func (entry *Entry) writeRecord(ctx context.Context, condition table.Condition, operation table.Operation) (table.Revision, error) {
	result, err := entry.store.Commit(ctx, table.Transaction{
		Write: entry.newWrite(), Conditions: []table.Condition{condition}, Operations: []table.Operation{operation},
	})
	return result.Revisions[operation.Key], err
}

// noteFence remembers what the table says about the worker, so that the agent learns which
// incarnation to exceed.
func (entry *Entry) noteFence(worker ident.Worker, row table.Row) {
	record, err := lease.DecodeRecord(row)
	if err != nil {
		return
	}
	highest := max(record.Incarnation, record.Over)
	if known := entry.grants[worker]; known == nil || known.incarnation < highest {
		entry.grants[worker] = &grant{incarnation: highest, ending: true}
	}
	if record.Over > 0 {
		entry.granter.Declare(worker, record.Over)
	}
}

// handover is a former granter to be asked to grant no more.
type handover struct {
	worker   ident.Worker
	revision table.Revision
	former   lease.Process
	address  string
}

// openHandovers returns the former granters that may still grant, after noting those that certainly
// cannot any more.
func (entry *Entry) openHandovers(now clock.Time) []handover {
	var open []handover
	for _, worker := range set.SortedKeys(entry.grants) {
		known := entry.grants[worker]
		for _, former := range entry.granter.Former(worker) {
			if entry.entries.Gone(former.Entry, former.Incarnation, now) {
				entry.granter.Stopped(worker, former, now)
				continue
			}
			if peer, ok := entry.entries.Get(former.Entry); ok {
				open = append(open, handover{worker, known.revision, former, peer.ControlAddress})
			}
		}
	}
	return open
}

// settleGrants asks previous granters to yield, and declares incarnations over whose lease lapsed.
func (entry *Entry) settleGrants() {
	var handovers []handover
	var ending []ident.Worker
	entry.control.Call(func() {
		now := entry.time.Now()
		handovers = entry.openHandovers(now)
		ending = entry.endLapsed(now)
		entry.forgetOld(now)
	})
	for _, change := range handovers {
		entry.requestYield(change)
	}
	for _, worker := range ending {
		if entry.consultRuntime(worker) {
			entry.writeEnd(worker)
		}
	}
	entry.reviewSilent()
}

// endLapsed decides which incarnations are over and returns them with those decided before whose
// row does not say so yet.
func (entry *Entry) endLapsed(now clock.Time) []ident.Worker {
	for _, worker := range entry.granter.Due(now) {
		known := entry.grants[worker]
		if known == nil || known.ending {
			continue
		}
		if err := entry.granter.Over(worker, known.incarnation, now); err == nil {
			known.ending = true
		}
	}
	var ending []ident.Worker
	for _, worker := range set.SortedKeys(entry.grants) {
		known := entry.grants[worker]
		if known.ending && known.revision != 0 {
			ending = append(ending, worker)
		}
	}
	return ending
}

// writeEnd writes that the incarnation is over and tells the scheduler.
func (entry *Entry) writeEnd(worker ident.Worker) {
	known, ok := entry.grantOf(worker)
	if !ok {
		return
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, lease.Key(worker))
	if err == nil {
		err = entry.endIncarnation(ctx, row, worker, known.incarnation, lease.LeaseLapsed)
	}
	switch {
	case err == nil:
		entry.control.Call(func() {
			if written := entry.grants[worker]; written != nil && written.revision == known.revision {
				written.revision = 0
			}
			entry.incarnationEnded(worker, known.incarnation, lease.LeaseLapsed)
		})
	case table.IsErrConflict(err), lease.IsErrNotGranter(err):
		// Another entry is the granter now.
		entry.control.Call(func() {
			entry.granter.Lose(worker)
			delete(entry.grants, worker)
		})
	default:
		klog.V(1).InfoS("End of incarnation was not written", "Worker", worker, "Reason", err.Error())
	}
}

// incarnationEnded tells the scheduler, and the other entries with the next exchanges.
func (entry *Entry) incarnationEnded(worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) {
	if have, ok := entry.ended[worker]; ok && have.incarnation >= incarnation {
		return
	}
	entry.ended[worker] = endedIncarnation{incarnation: incarnation, at: entry.time.Now()}
	endedIncarnations.Inc()
	klog.InfoS("Incarnation is over", "Worker", worker, "Incarnation", incarnation, "Reason", reason)
	entry.handle(placement.WorkerGone{Worker: worker, Incarnation: incarnation})
}

// endIncarnation writes into the worker's row, as it was read, that the incarnation is over.
func (entry *Entry) endIncarnation(ctx context.Context, row table.Row, worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) error {
	condition, operation, err := lease.End(row, worker, incarnation, entry.process(), reason)
	if err != nil {
		return err
	}
	_, err = entry.writeRecord(ctx, condition, operation)
	return err
}

func (entry *Entry) forgetOld(now clock.Time) {
	for worker, known := range entry.ended {
		if now.Sub(known.at) > endedKept {
			delete(entry.ended, worker)
		}
	}
	for task, known := range entry.recorded {
		if now.Sub(known.at) > recordedKept {
			delete(entry.recorded, task)
		}
	}
}

// requestYield asks a former granter to grant no more.
func (entry *Entry) requestYield(change handover) {
	client, err := entry.connections.Entry(change.address)
	if err != nil {
		return
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	reply, err := client.Yield(ctx, &controlpb.YieldRequest{
		Worker: string(change.worker), GrantRevision: uint64(change.revision), Incarnation: uint64(change.former.Incarnation),
	})
	if err != nil || !reply.Yielded {
		klog.V(1).InfoS("Former granter did not yield", "Worker", change.worker, "Entry", change.former.Entry)
		return
	}
	entry.control.Call(func() { entry.granter.Stopped(change.worker, change.former, entry.time.Now()) })
}

// Yield stops granting leases to an agent whose granter another entry has become. It answers for
// this process only: an older one with the same id may still run somewhere.
func (entry *Entry) Yield(_ context.Context, request *controlpb.YieldRequest) (*controlpb.YieldReply, error) {
	reply := &controlpb.YieldReply{}
	entry.control.Call(func() {
		worker := ident.Worker(request.Worker)
		known := entry.grants[worker]
		if known == nil || uint64(known.revision) < request.GrantRevision {
			entry.granter.Lose(worker)
			delete(entry.grants, worker)
		}
		reply.Yielded = ident.Incarnation(request.Incarnation) == entry.incarnation
	})
	return reply, nil
}

// incarnationEndedElsewhere takes the statement of another entry, which the table already holds.
func (entry *Entry) incarnationEndedElsewhere(worker ident.Worker, incarnation ident.Incarnation) {
	if have, ok := entry.ended[worker]; ok && have.incarnation >= incarnation {
		return
	}
	entry.granter.Declare(worker, incarnation)
	entry.handle(placement.WorkerGone{Worker: worker, Incarnation: incarnation})
}
