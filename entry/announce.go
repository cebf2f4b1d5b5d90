package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/table"
)

// Announce takes an agent's heartbeat. The home entry grants the agent's lease in the reply; any
// other entry names the home.
func (entry *Entry) Announce(_ context.Context, request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	if err := entry.notReady(); err != nil {
		return nil, err
	}
	worker := ident.Worker(request.GetState().GetWorker())
	incarnation := ident.Incarnation(request.GetState().GetIncarnation())
	reply := &controlpb.AnnounceReply{}
	home, fenced, record := false, false, false
	entry.control.Call(func() {
		whole, known := entry.workers.Restore(request.GetState())
		if !known {
			reply.WantState = true
			return
		}
		request.State = whole
		if home = entry.takeHeartbeat(request, reply); !home {
			return
		}
		fenced, record = entry.grantState(worker, incarnation, request.GrantRevision)
		// A granter whose row is missing is taken for one that left long ago, so the row is written first.
		if record = record && entry.entries.MayGrant(entry.time.Now()); !record {
			entry.answerHeartbeat(request, reply, fenced)
		}
	})
	if !home || !record {
		return reply, nil
	}
	fenced = entry.recordGrant(worker, incarnation, request.GetState().GetTasks())
	entry.control.Call(func() { entry.answerHeartbeat(request, reply, fenced) })
	return reply, nil
}

// takeHeartbeat takes the state into the view if this entry is the agent's home, and otherwise
// fills the reply with the home.
func (entry *Entry) takeHeartbeat(request *controlpb.AnnounceRequest, reply *controlpb.AnnounceReply) bool {
	now := entry.time.Now()
	state := request.GetState()
	live := entry.entries.Live(now)
	digest := entriesDigest(live)
	if digest != request.EntriesDigest {
		reply.EntriesDigest = digest
		for _, known := range live {
			reply.Entries = append(reply.Entries, known.Message())
		}
	}
	place := membership.Place{Region: ident.Region(state.GetRegion()), DataCentre: ident.DataCentre(state.GetDataCentre())}
	home, ok := membership.Home(ident.Worker(state.GetWorker()), place, live).Get()
	if !ok {
		return false
	}
	if home.ID != entry.settings.ID || entry.workers.Announce(state, now) == membership.Stale {
		reply.Home = home.Message()
		return false
	}
	entry.inForce.agentApplied(ident.Worker(state.GetWorker()), ident.Incarnation(state.GetIncarnation()), ident.Version(state.GetConfigVersion()))
	entry.workerSeen(ident.Worker(state.GetWorker()))
	entry.learnUsage(request, now)
	return true
}

// answerHeartbeat completes the reply to an agent whose home this entry is. The lease is granted
// last, because the home counts it from here.
func (entry *Entry) answerHeartbeat(request *controlpb.AnnounceRequest, reply *controlpb.AnnounceReply, fenced bool) {
	state := request.GetState()
	worker := ident.Worker(state.GetWorker())
	incarnation := ident.Incarnation(state.GetIncarnation())
	view := entry.publisher.Current()
	if delta, err := view.Delta(ident.Version(state.GetConfigVersion())); err == nil && view.Version() > ident.Version(state.GetConfigVersion()) {
		reply.Config = delta
	}
	known := entry.grants[worker]
	if known != nil {
		reply.HighestIncarnation = uint64(known.incarnation)
	}
	if fenced {
		reply.Fenced = true
		return
	}
	reply.Accepted, reply.KeepsState = true, true
	if known != nil {
		known.runtime = state.GetRuntimeAddress()
	}
	now := entry.time.Now()
	if known == nil || !entry.entries.MayGrant(now) {
		return
	}
	term, err := entry.granter.Grant(worker, incarnation, table.Revision(request.GrantRevision), now)
	if err != nil {
		reply.Fenced = lease.IsErrFenced(err)
		reply.Accepted = !reply.Fenced
		return
	}
	reply.LeaseTermMillis = int64(term)
	reply.GrantRevision = uint64(known.revision)
	leaseGrants.Inc()
}

// Leave takes the message that an endpoint takes no new work, or that its agent is gone.
func (entry *Entry) Leave(_ context.Context, request *controlpb.LeaveRequest) (*controlpb.LeaveReply, error) {
	entry.control.Call(func() {
		if entry.workers.Leave(request, entry.time.Now()) {
			klog.InfoS("Endpoint leaves", "Worker", request.Worker, "Endpoint", request.Endpoint, "AgentGone", request.AgentGone)
			entry.refresh()
		}
	})
	return &controlpb.LeaveReply{}, nil
}
