package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// workerPrefix starts the keys of the rows that name the granter of each worker.
const workerPrefix = "Worker/"

// endedKept is how long an ended incarnation is repeated in exchanges. Entries that miss all of
// them read the worker's row.
const endedKept = clock.Minute

// maxGrantWriteTries bounds the attempts to record a granter in one heartbeat.
const maxGrantWriteTries = 3

// workerRow is the value of a worker's row. It is written when the granter or the incarnation
// changes and when the incarnation ends.
type workerRow struct {
	Incarnation        ident.Incarnation
	Granter            ident.Entry
	GranterIncarnation ident.Incarnation
	// Former are the granters before, which may still grant until the agent has confirmed a grant of
	// this one. The list is kept in the row, so that no change of granter loses one.
	Former []formerGranter `json:",omitempty"`
	// Over is set once the incarnation and all earlier ones are certainly over.
	Over   bool
	Reason string `json:",omitempty"`
}

// formerGranter is a process that granted leases to a worker.
type formerGranter struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
}

// errBadWorkerRow reports a worker row that cannot be read.
type errBadWorkerRow struct {
	key   table.Key
	cause error
}

// Error describes the row.
func (err errBadWorkerRow) Error() string {
	return fmt.Sprintf("bad row %s: %v", err.key, err.cause)
}

// grant is what this entry knows of its right to grant a worker's lease.
type grant struct {
	incarnation ident.Incarnation
	// revision is that of the worker's row that names this entry as granter.
	revision table.Revision
	// former are the granters before this entry, with their incarnations.
	former []formerGranter
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

func workerKey(worker ident.Worker) table.Key {
	return table.Key(workerPrefix + string(worker))
}

func decodeWorkerRow(row table.Row) (workerRow, error) {
	var content workerRow
	if !row.Exists() {
		return content, nil
	}
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return content, errBadWorkerRow{key: row.Key, cause: err}
	}
	return content, nil
}

func encodeWorkerRow(content workerRow) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err) // strings and integers always have a JSON form
	}
	return value
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
		row, err := entry.store.Get(ctx, workerKey(worker))
		if err != nil {
			klog.V(1).InfoS("Worker's row was not read", "Worker", worker, "Reason", err.Error())
			return false
		}
		have, err := decodeWorkerRow(row)
		if err != nil {
			klog.ErrorS(err, "Worker cannot be granted a lease", "Worker", worker)
			return false
		}
		if incarnation < have.Incarnation || (incarnation == have.Incarnation && have.Over) {
			entry.control.Call(func() { entry.noteFence(worker, have) })
			return true
		}
		err = entry.writeGrant(ctx, worker, incarnation, row, have)
		if err == nil || !table.IsErrConflict(err) {
			return false
		}
	}
	return false
}

func (entry *Entry) writeGrant(ctx context.Context, worker ident.Worker, incarnation ident.Incarnation, row table.Row, have workerRow) error {
	mine := workerRow{Incarnation: incarnation, Granter: entry.settings.ID, GranterIncarnation: entry.incarnation}
	if have.Incarnation == incarnation {
		mine.Former = entry.formerOf(have)
	}
	revision := row.Revision
	if !reflect.DeepEqual(have, mine) {
		result, err := entry.store.Commit(ctx, entry.workerWrite(worker, row.Revision, mine))
		if err != nil {
			klog.V(1).InfoS("Granter was not recorded", "Worker", worker, "Reason", err.Error())
			return err
		}
		revision = result.Revisions[workerKey(worker)]
	}
	entry.control.Call(func() {
		names := make([]ident.Entry, 0, len(mine.Former))
		for _, former := range mine.Former {
			names = append(names, former.Entry)
		}
		if err := entry.granter.Record(worker, incarnation, revision, names, entry.time.Now()); err != nil {
			klog.ErrorS(err, "Granter was recorded for an ended incarnation", "Worker", worker)
			return
		}
		entry.grants[worker] = &grant{incarnation: incarnation, revision: revision, former: mine.Former}
		klog.InfoS("Recorded as granter", "Worker", worker, "Incarnation", incarnation, "Former", len(mine.Former))
	})
	return nil
}

// formerOf returns the granters before this process according to the row.
func (entry *Entry) formerOf(have workerRow) []formerGranter {
	self := formerGranter{Entry: entry.settings.ID, Incarnation: entry.incarnation}
	var former []formerGranter
	for _, known := range append(slices.Clone(have.Former), formerGranter{Entry: have.Granter, Incarnation: have.GranterIncarnation}) {
		if known != self && known.Entry != "" && !slices.Contains(former, known) {
			former = append(former, known)
		}
	}
	return former
}

// workerWrite returns the transaction that replaces the worker's row. It keeps an id of its own, so
// that it is not merged with others and its revision is known.
func (entry *Entry) workerWrite(worker ident.Worker, revision table.Revision, content workerRow) table.Transaction {
	key := workerKey(worker)
	return table.Transaction{
		Write:      entry.newWrite(),
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Operations: []table.Operation{{Key: key, Value: encodeWorkerRow(content)}},
	}
}

// noteFence remembers what the table says about the worker, so that the agent learns which
// incarnation to exceed.
func (entry *Entry) noteFence(worker ident.Worker, have workerRow) {
	known := entry.grants[worker]
	if known == nil || known.incarnation < have.Incarnation {
		entry.grants[worker] = &grant{incarnation: have.Incarnation, ending: true}
	}
	if have.Over {
		entry.granter.Declare(worker, have.Incarnation)
	}
}

// handover is a former granter to be asked to grant no more.
type handover struct {
	worker   ident.Worker
	revision table.Revision
	former   formerGranter
	address  string
}

// openHandovers returns the former granters that may still grant, after noting those that certainly
// cannot any more.
func (entry *Entry) openHandovers(now clock.Time) []handover {
	var open []handover
	for _, worker := range set.SortedKeys(entry.grants) {
		known := entry.grants[worker]
		waiting := entry.granter.Former(worker)
		for _, former := range known.former {
			if !slices.Contains(waiting, former.Entry) {
				continue
			}
			if entry.entries.Gone(former.Entry, former.Incarnation, now) {
				entry.granter.Stopped(worker, former.Entry, now)
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
	content := workerRow{
		Incarnation: known.incarnation, Granter: entry.settings.ID, GranterIncarnation: entry.incarnation,
		Over: true, Reason: string(lease.LeaseLapsed),
	}
	_, err := entry.store.Commit(ctx, entry.workerWrite(worker, known.revision, content))
	switch {
	case err == nil:
		entry.control.Call(func() {
			if written := entry.grants[worker]; written != nil && written.revision == known.revision {
				written.revision = 0
			}
			entry.incarnationEnded(worker, known.incarnation, lease.LeaseLapsed)
		})
	case table.IsErrConflict(err):
		// Another entry is the granter now, or the end was written by an attempt without an answer.
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
	entry.control.Call(func() { entry.granter.Stopped(change.worker, change.former.Entry, entry.time.Now()) })
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
