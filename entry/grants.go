package entry

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// recentEndTTL is how long exchanges repeat that an incarnation ended. Entries that miss all of
// them read the worker's row.
const recentEndTTL = clock.Minute

// maxGrantWriteAttempts bounds the attempts to record a granter in one heartbeat.
const maxGrantWriteAttempts = 3

// workerGrant is this entry's right to grant a worker's lease.
type workerGrant struct {
	incarnation ident.Incarnation
	// revision is the revision of the worker's row that names this entry as granter. It is 0 if the
	// row does not, for example because it says that the incarnation is over.
	revision table.Revision
	// runtime is the address of the worker's runtime.
	runtime string
	// runtimeFailures counts the unanswered attempts to list the tasks of the ended incarnation at
	// the worker's runtime, reportAttempts the attempts to have their ends recorded.
	runtimeFailures int
	reportAttempts  int
	// endDecided is set once this entry has decided that the incarnation is over. No lease is
	// granted from then on.
	endDecided bool
}

// endedIncarnation is an incarnation that is over, and when this entry learned of it.
type endedIncarnation struct {
	incarnation ident.Incarnation
	at          clock.Time
}

// process identifies this process as a granter.
func (entry *Entry) process() lease.Process {
	return lease.Process{Entry: entry.settings.ID, Incarnation: entry.incarnation}
}

// grantState reports whether the incarnation is fenced, and whether this entry must record itself
// as granter before it can grant a lease. It runs on the control goroutine.
func (entry *Entry) grantState(worker ident.Worker, incarnation ident.Incarnation, acknowledged uint64) (fenced, needsRecord bool) {
	grant := entry.grants[worker]
	if grant == nil {
		return false, true
	}
	switch {
	case incarnation < grant.incarnation:
		return true, false
	case incarnation > grant.incarnation:
		return false, true
	case grant.endDecided:
		return true, false
	case grant.revision == 0:
		// The grant only records that an older incarnation was fenced: this entry is not the
		// granter.
		return false, true
	}
	if acknowledged > uint64(grant.revision) {
		// Another entry was recorded as granter in the meantime.
		entry.granter.Suspend(worker)
		delete(entry.grants, worker)
		return false, true
	}
	return false, false
}

// recordGrant writes this entry as granter into the worker's row, where tasks is the number of
// tasks that the incarnation runs. It reports whether the incarnation is fenced. If the table does
// not answer, the entry does not become the granter.
func (entry *Entry) recordGrant(worker ident.Worker, incarnation ident.Incarnation, tasks int32) (fenced bool) {
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	for range maxGrantWriteAttempts {
		row, err := entry.store.Get(ctx, lease.Key(worker))
		if err != nil {
			klog.V(1).InfoS("Worker's row was not read", "Worker", worker, "Reason", err.Error())
			return false
		}
		if err = checkInheritedTasks(row, worker, incarnation, tasks); err == nil {
			err = entry.takeOver(ctx, worker, incarnation, row)
		}
		switch {
		case lease.IsErrFenced(err):
			entry.control.Call(func() { entry.recordFence(worker, row) })
			return true
		case err == nil || !table.IsErrConflict(err):
			return false
		}
	}
	return false
}

// checkInheritedTasks returns ErrFenced if a new incarnation runs tasks of one that was declared
// over. These may have been placed elsewhere, so the agent has to stop them and start another
// incarnation.
func checkInheritedTasks(row table.Row, worker ident.Worker, incarnation ident.Incarnation, tasks int32) error {
	record, err := lease.DecodeRecord(row)
	if err == nil && tasks > 0 && record.Over > 0 && record.Over >= record.Incarnation && incarnation > record.Incarnation {
		return lease.ErrFenced{Worker: worker, Incarnation: incarnation, Newest: record.Over}
	}
	return nil
}

// takeOver makes this process the granter in the worker's row, unless it already is.
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
	entry.control.Call(func() { err = entry.becameGranter(worker, incarnation, revision, record.Former) })
	return err
}

// becameGranter records that the worker's row names this process as granter since revision. It
// returns ErrNotGranter if this process yielded to a later granter before the table answered, and
// ErrFenced if it has decided that the incarnation is over.
func (entry *Entry) becameGranter(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision, former []lease.Process) error {
	if revision < entry.yieldRevisions[worker] {
		return lease.ErrNotGranter{Worker: worker}
	}
	if err := entry.granter.Record(worker, incarnation, revision, former, entry.time.Now()); err != nil {
		klog.ErrorS(err, "Granter was recorded for an ended incarnation", "Worker", worker)
		return err
	}
	entry.grants[worker] = &workerGrant{incarnation: incarnation, revision: revision}
	klog.InfoS("Recorded as granter", "Worker", worker, "Incarnation", incarnation, "Former", len(former))
	return nil
}

// writeRecord commits a worker's row under a separate write id, so that the write is not merged
// with others, and returns the revision of the row.
func (entry *Entry) writeRecord(ctx context.Context, condition table.Condition, operation table.Operation) (table.Revision, error) {
	result, err := entry.store.Commit(ctx, table.Transaction{
		Write: entry.newWrite(), Conditions: []table.Condition{condition}, Operations: []table.Operation{operation},
	})
	return result.Revisions[operation.Key], err
}

// recordFence stores in memory the highest incarnation that the worker's row names. Replies to the
// agent contain it, because the agent's next incarnation has to be higher.
func (entry *Entry) recordFence(worker ident.Worker, row table.Row) {
	record, err := lease.DecodeRecord(row)
	if err != nil {
		return
	}
	highest := max(record.Incarnation, record.Over)
	if grant := entry.grants[worker]; grant == nil || grant.incarnation < highest {
		entry.grants[worker] = &workerGrant{incarnation: highest, endDecided: record.Over >= highest}
	}
	if record.Over > 0 {
		entry.granter.Declare(worker, record.Over)
	}
}

// reviewGrants asks former granters to yield and declares incarnations over whose lease has lapsed.
func (entry *Entry) reviewGrants() {
	var handovers []handover
	var workers []ident.Worker
	entry.control.Call(func() {
		now := entry.time.Now()
		handovers = entry.openHandovers(now)
		workers = entry.endingWorkers(now)
		entry.expireOld(now)
	})
	inParallel(handovers, entry.requestYield)
	inParallel(workers, func(worker ident.Worker) {
		if entry.decideEnd(worker) && entry.reportEndsFromRuntime(worker) {
			entry.writeEnd(worker)
		}
	})
	entry.reviewUnresponsive()
}

// maxParallelReviews bounds the concurrent calls in one pass of reviewGrants. It exceeds the 50
// agents of an entry: made one after the other, the calls that time out after the loss of a data
// centre or of a former granter would take more than a minute.
const maxParallelReviews = 64

// inParallel runs step for each item concurrently and returns when all are done.
func inParallel[Item any](items []Item, step func(Item)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelReviews)
	for _, item := range items {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			step(item)
		})
	}
	group.Wait()
}

// endingWorkers returns, in ascending order, the workers whose lease has lapsed and those whose
// decided end is not in their row yet.
func (entry *Entry) endingWorkers(now clock.Time) []ident.Worker {
	workers := set.New(entry.granter.LapsedWorkers(now)...)
	for worker, grant := range entry.grants {
		if grant.endDecided && grant.revision != 0 {
			workers.Add(worker)
		}
	}
	return set.Sorted(workers)
}

// decideEnd decides that the worker's incarnation is over and reports whether it is. It reads the
// row before that: if another entry is the granter by now, the incarnation continues and its agent
// may return to this entry.
func (entry *Entry) decideEnd(worker ident.Worker) bool {
	grant, ok := entry.copyGrant(worker)
	if !ok {
		return false
	}
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, lease.Key(worker))
	if err != nil {
		return false
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "End of incarnation was not decided", "Worker", worker)
		return false
	}
	decided := false
	entry.control.Call(func() {
		current := entry.grants[worker]
		switch {
		case current == nil || current.incarnation != grant.incarnation || current.revision != grant.revision:
			return
		case record.Granter != entry.process() || record.Incarnation != current.incarnation:
			entry.discardEnd(worker, record, row.Revision)
			return
		case !current.endDecided:
			current.endDecided = entry.granter.MarkOver(worker, current.incarnation, entry.time.Now()) == nil
		}
		decided = current.endDecided
	})
	return decided
}

// writeEnd writes to the worker's row that the incarnation is over and informs the scheduler.
func (entry *Entry) writeEnd(worker ident.Worker) {
	grant, ok := entry.copyGrant(worker)
	if !ok {
		return
	}
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, lease.Key(worker))
	var record lease.Record
	if err == nil {
		record, err = lease.DecodeRecord(row)
	}
	if err == nil {
		err = entry.endIncarnation(ctx, row, worker, grant.incarnation, lease.LeaseLapsed)
	}
	switch {
	case err == nil:
		entry.control.Call(func() {
			if current := entry.grants[worker]; current != nil && current.revision == grant.revision {
				current.revision = 0
			}
			entry.incarnationEnded(worker, grant.incarnation, lease.LeaseLapsed)
		})
	case lease.IsErrNotGranter(err):
		// Another entry is the granter now. After a conflict the next pass reads the row again.
		entry.control.Call(func() { entry.discardEnd(worker, record, row.Revision) })
	default:
		klog.V(1).InfoS("End of incarnation was not written", "Worker", worker, "Reason", err.Error())
	}
}

// discardEnd withdraws the end that this entry decided, because the worker's row, read at revision,
// names another granter.
func (entry *Entry) discardEnd(worker ident.Worker, record lease.Record, revision table.Revision) {
	entry.granter.Suspend(worker)
	if current := entry.grants[worker]; current != nil && current.incarnation == record.Incarnation && !record.Fenced(current.incarnation) {
		entry.granter.UnmarkOver(worker, current.incarnation, revision)
	}
	delete(entry.grants, worker)
}

// incarnationEnded passes the end of an incarnation to the scheduler and, with the next exchanges,
// to the other entries.
func (entry *Entry) incarnationEnded(worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) {
	if end, ok := entry.recentEnds[worker]; ok && end.incarnation >= incarnation {
		return
	}
	entry.recentEnds[worker] = endedIncarnation{incarnation: incarnation, at: entry.time.Now()}
	endedIncarnations.Inc()
	klog.InfoS("Incarnation is over", "Worker", worker, "Incarnation", incarnation, "Reason", reason)
	entry.handle(placement.IncarnationEnded{Worker: worker, Incarnation: incarnation})
}

// endIncarnation writes to the worker's row that the incarnation is over, provided that the row did
// not change since it was read.
func (entry *Entry) endIncarnation(ctx context.Context, row table.Row, worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) error {
	condition, operation, err := lease.End(row, worker, incarnation, entry.process(), reason)
	if err != nil {
		return err
	}
	_, err = entry.writeRecord(ctx, condition, operation)
	return err
}

// expireOld removes ends and task listings that are no longer needed.
func (entry *Entry) expireOld(now clock.Time) {
	for worker, end := range entry.recentEnds {
		if now.Sub(end.at) > recentEndTTL {
			delete(entry.recentEnds, worker)
			if grant := entry.grants[worker]; grant != nil && grant.endDecided && grant.revision == 0 && grant.incarnation <= end.incarnation {
				delete(entry.grants, worker)
			}
		}
	}
	for worker, listing := range entry.listings {
		if now.Sub(listing.at) > listingTTL {
			delete(entry.listings, worker)
		}
	}
	for _, ends := range []map[ident.Task]recordedEnd{entry.recordedEnds, entry.countedEnds} {
		for task, end := range ends {
			if now.Sub(end.at) > recordedEndTTL {
				delete(ends, task)
			}
		}
	}
}

// incarnationEndedElsewhere applies an end that another entry has already written to the table.
func (entry *Entry) incarnationEndedElsewhere(worker ident.Worker, incarnation ident.Incarnation) {
	if end, ok := entry.recentEnds[worker]; ok && end.incarnation >= incarnation {
		return
	}
	entry.granter.Declare(worker, incarnation)
	entry.handle(placement.IncarnationEnded{Worker: worker, Incarnation: incarnation})
}
