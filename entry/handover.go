package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

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
		entry.yielded[worker] = max(entry.yielded[worker], table.Revision(request.GrantRevision))
		known := entry.grants[worker]
		if known == nil || uint64(known.revision) < request.GrantRevision {
			entry.granter.Lose(worker)
			delete(entry.grants, worker)
		}
		reply.Yielded = ident.Incarnation(request.Incarnation) == entry.incarnation
	})
	return reply, nil
}
