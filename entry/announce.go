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

// Announce receives an agent's heartbeat. The agent's home entry grants its lease in the reply; any
// other entry replies with the home.
func (entry *Entry) Announce(_ context.Context, request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	if err := entry.checkReady(); err != nil {
		return nil, err
	}
	worker := ident.Worker(request.GetState().GetWorker())
	incarnation := ident.Incarnation(request.GetState().GetIncarnation())
	reply := &controlpb.AnnounceReply{}
	isHome, fenced, needsRecord := false, false, false
	entry.control.Call(func() {
		state, ok := entry.workers.FillIn(request.GetState())
		if !ok {
			reply.WantState = true
			return
		}
		request.State = state
		if isHome = entry.acceptHeartbeat(request, reply); !isHome {
			return
		}
		fenced, needsRecord = entry.grantState(worker, incarnation, request.GrantRevision)
		// Other entries treat a granter whose row is missing as one that left long ago. So this
		// entry must have written its own row before it becomes a granter.
		if needsRecord = needsRecord && entry.entries.MayGrant(entry.time.Now()); !needsRecord {
			entry.answerHeartbeat(request, reply, fenced)
		}
	})
	if !isHome || !needsRecord {
		return reply, nil
	}
	fenced = entry.recordGrant(worker, incarnation, request.GetState().GetTasks())
	entry.control.Call(func() { entry.answerHeartbeat(request, reply, fenced) })
	return reply, nil
}

// acceptHeartbeat stores the worker's state if this entry is the agent's home, and otherwise puts
// the home into the reply. It reports whether this entry is the home.
func (entry *Entry) acceptHeartbeat(request *controlpb.AnnounceRequest, reply *controlpb.AnnounceReply) bool {
	now := entry.time.Now()
	state := request.GetState()
	live := entry.entries.Live(now)
	digest := entriesDigest(live)
	if digest != request.EntriesDigest {
		reply.EntriesDigest = digest
		for _, peer := range live {
			reply.Entries = append(reply.Entries, peer.Message())
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
	entry.versions.recordAgent(ident.Worker(state.GetWorker()), ident.Incarnation(state.GetIncarnation()), ident.Version(state.GetConfigVersion()))
	entry.updateWorker(ident.Worker(state.GetWorker()))
	entry.recordUsage(request, now)
	return true
}

// answerHeartbeat completes the reply to an agent homed here. The lease is granted last, because
// its term counts from the grant.
func (entry *Entry) answerHeartbeat(request *controlpb.AnnounceRequest, reply *controlpb.AnnounceReply, fenced bool) {
	state := request.GetState()
	worker := ident.Worker(state.GetWorker())
	incarnation := ident.Incarnation(state.GetIncarnation())
	view := entry.configPublisher.Current()
	if delta, err := view.Delta(ident.Version(state.GetConfigVersion())); err == nil && view.Version() > ident.Version(state.GetConfigVersion()) {
		reply.Config = delta
	}
	grant := entry.grants[worker]
	if grant != nil {
		reply.HighestIncarnation = uint64(grant.incarnation)
	}
	if fenced {
		reply.Fenced = true
		return
	}
	reply.Accepted, reply.KeepsState = true, true
	if grant != nil {
		grant.runtime = state.GetRuntimeAddress()
	}
	now := entry.time.Now()
	if grant == nil || !entry.entries.MayGrant(now) {
		return
	}
	term, err := entry.granter.Grant(worker, incarnation, table.Revision(request.GrantRevision), now)
	if err != nil {
		reply.Fenced = lease.IsErrFenced(err)
		reply.Accepted = !reply.Fenced
		return
	}
	reply.LeaseTermMillis = int64(term)
	reply.GrantRevision = uint64(grant.revision)
	leaseGrants.Inc()
}

// Leave receives the message that an endpoint accepts no new work or that its agent stops.
func (entry *Entry) Leave(_ context.Context, request *controlpb.LeaveRequest) (*controlpb.LeaveReply, error) {
	entry.control.Call(func() {
		if entry.workers.Leave(request, entry.time.Now()) {
			klog.InfoS("Endpoint leaves", "Worker", request.Worker, "Endpoint", request.Endpoint, "AgentGone", request.AgentGone)
			entry.refresh()
		}
	})
	return &controlpb.LeaveReply{}, nil
}
