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

// handover is a former granter that must be asked to stop granting a worker's lease.
type handover struct {
	worker   ident.Worker
	revision table.Revision
	former   lease.Process
	address  string
}

// openHandovers returns the former granters that may still grant. Those that are certainly gone are
// recorded as stopped.
func (entry *Entry) openHandovers(now clock.Time) []handover {
	var handovers []handover
	for _, worker := range set.SortedKeys(entry.grants) {
		grant := entry.grants[worker]
		for _, former := range entry.granter.Former(worker) {
			if entry.entries.Gone(former.Entry, former.Incarnation, now) {
				entry.granter.RemoveFormer(worker, former, now)
				continue
			}
			if peer, ok := entry.entries.Get(former.Entry); ok {
				handovers = append(handovers, handover{worker, grant.revision, former, peer.ControlAddress})
			}
		}
	}
	return handovers
}

// requestYield asks a former granter to stop granting.
func (entry *Entry) requestYield(handover handover) {
	client, err := entry.connections.Entry(handover.address)
	if err != nil {
		return
	}
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	reply, err := client.Yield(ctx, &controlpb.YieldRequest{
		Worker: string(handover.worker), GrantRevision: uint64(handover.revision), Incarnation: uint64(handover.former.Incarnation),
	})
	if err != nil || !reply.Yielded {
		klog.V(1).InfoS("Former granter did not yield", "Worker", handover.worker, "Entry", handover.former.Entry)
		return
	}
	entry.control.Call(func() { entry.granter.RemoveFormer(handover.worker, handover.former, entry.time.Now()) })
}

// Yield stops granting leases to an agent whose granter another entry has become. The answer
// applies only to this process: an older process with the same id may still run.
func (entry *Entry) Yield(_ context.Context, request *controlpb.YieldRequest) (*controlpb.YieldReply, error) {
	reply := &controlpb.YieldReply{}
	entry.control.Call(func() {
		worker := ident.Worker(request.Worker)
		entry.yieldRevisions[worker] = max(entry.yieldRevisions[worker], table.Revision(request.GrantRevision))
		grant := entry.grants[worker]
		if grant == nil || uint64(grant.revision) < request.GrantRevision {
			entry.granter.Suspend(worker)
			delete(entry.grants, worker)
		}
		reply.Yielded = ident.Incarnation(request.Incarnation) == entry.incarnation
	})
	return reply, nil
}
