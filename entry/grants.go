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
	// unanswered counts the attempts to read the ended incarnation's tasks from the worker's runtime
	// that had no answer, and reports the attempts to have their ends recorded.
	unanswered int
	reports    int
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
	case known.revision == 0:
		// Known only from a row that fenced an older incarnation.
		return false, true
	}
	if acknowledged > uint64(known.revision) {
		// Another entry was recorded as granter in between.
		entry.granter.Lose(worker)
		delete(entry.grants, worker)
		return false, true
	}
	return false, false
}

// recordGrant writes this entry as granter into the worker's row, given the number of tasks that the
// incarnation runs. It reports whether the incarnation is fenced. Without an answer of the table
// nothing is granted.
func (entry *Entry) recordGrant(worker ident.Worker, incarnation ident.Incarnation, tasks int32) (fenced bool) {
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	for range maxGrantWriteTries {
		row, err := entry.store.Get(ctx, lease.Key(worker))
		if err != nil {
			klog.V(1).InfoS("Worker's row was not read", "Worker", worker, "Reason", err.Error())
			return false
		}
		if err = inheritsEnded(row, worker, incarnation, tasks); err == nil {
			err = entry.takeOver(ctx, worker, incarnation, row)
		}
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

// inheritsEnded returns ErrFenced if a new incarnation runs tasks of one that was declared over. They
// may have been placed elsewhere, so the agent has to stop them and begin another incarnation.
func inheritsEnded(row table.Row, worker ident.Worker, incarnation ident.Incarnation, tasks int32) error {
	record, err := lease.DecodeRecord(row)
	if err == nil && tasks > 0 && record.Over > 0 && record.Over >= record.Incarnation && incarnation > record.Incarnation {
		return lease.ErrFenced{Worker: worker, Incarnation: incarnation, Have: record.Over}
	}
	return nil
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
	entry.control.Call(func() { err = entry.becameGranter(worker, incarnation, revision, record.Former) })
	return err
}

// becameGranter notes that the table named this process as granter at revision. The error is
// ErrNotGranter if this process yielded to a later granter while the table's answer was on its way,
// and ErrFenced if it decided before that the incarnation is over.
func (entry *Entry) becameGranter(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision, former []lease.Process) error {
	if revision < entry.yielded[worker] {
		return lease.ErrNotGranter{Worker: worker}
	}
	if err := entry.granter.Record(worker, incarnation, revision, former, entry.time.Now()); err != nil {
		klog.ErrorS(err, "Granter was recorded for an ended incarnation", "Worker", worker)
		return err
	}
	entry.grants[worker] = &grant{incarnation: incarnation, revision: revision}
	klog.InfoS("Recorded as granter", "Worker", worker, "Incarnation", incarnation, "Former", len(former))
	return nil
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
		entry.grants[worker] = &grant{incarnation: highest, ending: record.Over >= highest}
	}
	if record.Over > 0 {
		entry.granter.Declare(worker, record.Over)
	}
}

// settleGrants asks previous granters to yield, and declares incarnations over whose lease lapsed.
func (entry *Entry) settleGrants() {
	var handovers []handover
	var ending []ident.Worker
	entry.control.Call(func() {
		now := entry.time.Now()
		handovers = entry.openHandovers(now)
		ending = entry.lapsed(now)
		entry.forgetOld(now)
	})
	inParallel(handovers, entry.requestYield)
	inParallel(ending, func(worker ident.Worker) {
		if entry.decideEnd(worker) && entry.consultRuntime(worker) {
			entry.writeEnd(worker)
		}
	})
	entry.reviewSilent()
}

// settledAtOnce bounds the calls under way in one pass of settleGrants. It covers the 50 agents of an
// entry: one after the other, their timeouts after the loss of a data centre or of a former granter
// take more than a minute.
const settledAtOnce = 64

// inParallel carries out step for each item and returns when all are done.
func inParallel[Item any](items []Item, step func(Item)) {
	var running sync.WaitGroup
	slots := make(chan struct{}, settledAtOnce)
	for _, item := range items {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			step(item)
		})
	}
	running.Wait()
}

// lapsed returns the workers whose lease has lapsed and those whose row does not say yet that their
// incarnation is over, in ascending order.
func (entry *Entry) lapsed(now clock.Time) []ident.Worker {
	ending := set.New(entry.granter.Due(now)...)
	for worker, known := range entry.grants {
		if known.ending && known.revision != 0 {
			ending.Add(worker)
		}
	}
	return set.Sorted(ending)
}

// decideEnd decides that the worker's incarnation is over, and reports whether it is. The row is read
// before: if another entry is the granter by now, the worker may return to this entry with the same
// incarnation.
func (entry *Entry) decideEnd(worker ident.Worker) bool {
	known, ok := entry.grantOf(worker)
	if !ok {
		return false
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
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
		case current == nil || current.incarnation != known.incarnation || current.revision != known.revision:
			return
		case record.Granter != entry.process() || record.Incarnation != current.incarnation:
			entry.endRefused(worker, record, row.Revision)
			return
		case !current.ending:
			current.ending = entry.granter.Over(worker, current.incarnation, entry.time.Now()) == nil
		}
		decided = current.ending
	})
	return decided
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
	var record lease.Record
	if err == nil {
		record, err = lease.DecodeRecord(row)
	}
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
	case lease.IsErrNotGranter(err):
		// Another entry is the granter now. After a conflict the next pass reads the row again.
		entry.control.Call(func() { entry.endRefused(worker, record, row.Revision) })
	default:
		klog.V(1).InfoS("End of incarnation was not written", "Worker", worker, "Reason", err.Error())
	}
}

// endRefused notes that the worker's row, as read at revision, names another granter, so that the end
// that this entry decided was not written.
func (entry *Entry) endRefused(worker ident.Worker, record lease.Record, revision table.Revision) {
	entry.granter.Lose(worker)
	if current := entry.grants[worker]; current != nil && current.incarnation == record.Incarnation && !record.Fenced(current.incarnation) {
		entry.granter.Resume(worker, current.incarnation, revision)
	}
	delete(entry.grants, worker)
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
			if left := entry.grants[worker]; left != nil && left.ending && left.revision == 0 && left.incarnation <= known.incarnation {
				delete(entry.grants, worker)
			}
		}
	}
	for worker, listed := range entry.listed {
		if now.Sub(listed.at) > residentsFresh {
			delete(entry.listed, worker)
		}
	}
	for _, ends := range []map[ident.Task]recordedEnd{entry.recorded, entry.counted} {
		for task, known := range ends {
			if now.Sub(known.at) > recordedKept {
				delete(ends, task)
			}
		}
	}
}

// incarnationEndedElsewhere takes the statement of another entry, which the table already holds.
func (entry *Entry) incarnationEndedElsewhere(worker ident.Worker, incarnation ident.Incarnation) {
	if have, ok := entry.ended[worker]; ok && have.incarnation >= incarnation {
		return
	}
	entry.granter.Declare(worker, incarnation)
	entry.handle(placement.WorkerGone{Worker: worker, Incarnation: incarnation})
}
