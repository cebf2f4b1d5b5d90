package agent

import (
	"fmt"
	"hash/fnv"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/table"
)

// announce sends a heartbeat to the home entry and applies the reply.
func (agent *Agent) announce() {
	var request *controlpb.AnnounceRequest
	var sequence ident.Sequence
	var target string
	agent.control.Call(func() {
		if !agent.ledger.Ready() {
			return
		}
		agent.sequence++
		sequence = agent.sequence
		target = agent.finder.target()
		request = agent.announcement()
		request.State = agent.stateFor(target, request.State)
		agent.holder.Sent(sequence, agent.time.Now())
	})
	if request == nil || target == "" {
		return
	}
	reply, err := agent.sendAnnouncement(target, request)
	if err != nil {
		agent.announcementFailed(target, err)
		return
	}
	fenced := false
	agent.control.Call(func() { fenced = agent.announced(sequence, target, reply) })
	if fenced {
		agent.restart(ident.Incarnation(reply.HighestIncarnation))
		return
	}
	agent.stopRefs(reply.Stop)
}

func (agent *Agent) sendAnnouncement(target string, request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	client, err := agent.entries.Entry(target)
	if err != nil {
		return nil, err
	}
	ctx, cancel := agent.call()
	defer cancel()
	return client.Announce(ctx, request)
}

// announcementFailed counts the failure and dials anew next time, because the connection may have
// gone silent.
func (agent *Agent) announcementFailed(target string, err error) {
	agent.entries.Discard(target)
	moved, hurry := false, false
	agent.control.Call(func() {
		// The state may still arrive, after the next one.
		agent.kept = nil
		if moved, hurry = agent.finder.failed(); moved {
			agent.complete = true
		}
	})
	klog.InfoS("Announcement had no answer", "Worker", agent.settings.Worker, "Entry", target, "Moved", moved, "Reason", err.Error())
	if hurry {
		wake(agent.kick)
		return
	}
	agent.spawn(agent.announceSoon)
}

// announceRetry is the time to the next attempt after an announcement without answer. It is shorter
// than a heartbeat, so that the agents of a dead entry have a new home before they stop their tasks.
const announceRetry = clock.Second

// announceSoon repeats an announcement without waiting for the next heartbeat.
func (agent *Agent) announceSoon() {
	select {
	case <-agent.time.After(announceRetry):
		wake(agent.kick)
	case <-agent.quit:
	}
}

// stateFor returns the load of state alone if the entry at target keeps the rest, and otherwise state.
func (agent *Agent) stateFor(target string, state *controlpb.WorkerState) *controlpb.WorkerState {
	agent.told = state
	if agent.kept == nil || agent.keptBy != target || !membership.SameStructure(agent.kept, state) {
		return state
	}
	return membership.LoadOf(state)
}

// announcement builds the heartbeat.
func (agent *Agent) announcement() *controlpb.AnnounceRequest {
	state := &controlpb.WorkerState{
		Worker:         string(agent.settings.Worker),
		AgentAddress:   agent.settings.Address,
		Incarnation:    uint64(agent.incarnation),
		Sequence:       uint64(agent.sequence),
		Region:         string(agent.settings.Region),
		DataCentre:     string(agent.settings.DataCentre),
		Rack:           string(agent.settings.Rack),
		Capacity:       controlpb.FromResources(agent.ledger.Capacity()),
		Used:           controlpb.FromResources(agent.ledger.Used()),
		Draining:       agent.ledger.Draining(),
		ConfigVersion:  uint64(agent.config.Current().Version()),
		Classes:        agent.classes(),
		RuntimeAddress: agent.settings.RuntimeAddress,
		LoadPercent:    agent.load,
	}
	if agent.gate != nil {
		// The gate's message is in the replies to callers' requests too.
		state.Endpoint = proto.CloneOf(agent.gate.State())
		state.Endpoint.Leaving = state.Endpoint.Leaving || agent.leaving
	}
	digest := agent.tasksDigest()
	request := &controlpb.AnnounceRequest{
		State: state, Complete: agent.complete || digest != agent.listed,
		GrantRevision: uint64(agent.holder.Revision()), EntriesDigest: agent.knownDigest,
	}
	agent.announcing = digest
	for _, entry := range agent.ledger.Entries() {
		if entry.Running {
			state.Tasks++
			if request.Complete {
				request.Tasks = append(request.Tasks, agent.statusMessage(entry))
			}
		}
	}
	for _, usage := range agent.filter.pick(agent.usage, agent.time.Now()) {
		message := controlpb.FromUsage(usage)
		if known := agent.tasks[usage.Task]; known != nil {
			message.Class = known.class
		}
		request.Usage = append(request.Usage, message)
	}
	return request
}

// tasksDigest identifies the running tasks, so that their list is sent only when it changed.
func (agent *Agent) tasksDigest() uint64 {
	hash := fnv.New64a()
	for _, entry := range agent.ledger.Entries() {
		if entry.Running {
			_, _ = fmt.Fprintf(hash, "%s %d\n", entry.Task, entry.Epoch)
		}
	}
	return hash.Sum64()
}

func (agent *Agent) statusMessage(entry capacity.Entry) *controlpb.TaskStatus {
	status := &controlpb.TaskStatus{Task: controlpb.FromTask(entry.Task, entry.Epoch), Resources: controlpb.FromResources(entry.Size)}
	if known := agent.tasks[entry.Task]; known != nil {
		status.Class, status.Kind, status.Urgent = known.class, string(known.spec.Kind), known.urgent
	}
	return status
}

// announced applies a reply and reports whether this incarnation was fenced.
func (agent *Agent) announced(sequence ident.Sequence, target string, reply *controlpb.AnnounceReply) bool {
	if reply.Config != nil {
		if err := agent.config.Apply(reply.Config); err != nil {
			klog.ErrorS(err, "Configuration was not applied", "Worker", agent.settings.Worker)
		} else {
			// Tells the home that it is in force here.
			wake(agent.kick)
		}
	}
	if len(reply.Entries) > 0 {
		agent.known, agent.knownDigest = reply.Entries, reply.EntriesDigest
	}
	if reply.WantState {
		agent.kept = nil
		wake(agent.kick)
		return false
	}
	agent.kept, agent.keptBy = nil, target
	if reply.Fenced {
		return true
	}
	if !reply.Accepted {
		agent.complete = true
		switch agent.finder.redirected(reply.Home, reply.Entries) {
		case atOnce:
			wake(agent.kick)
		case soon:
			agent.spawn(agent.announceSoon)
		case atHeartbeat:
		}
		return false
	}
	agent.finder.accepted(reply.Entries)
	if reply.KeepsState {
		agent.kept = agent.told
	}
	agent.complete = reply.WantComplete
	agent.listed = agent.announcing
	agent.holder.Granted(sequence, clock.Millis(reply.LeaseTermMillis), table.Revision(reply.GrantRevision), agent.time.Now())
	return false
}

// restart begins a new incarnation: all tasks are stopped and the ledger is rebuilt from the
// worker's list, because the tasks of the old incarnation may have been placed elsewhere. While a
// stop is not confirmed the old incarnation stays, without a lease; its next heartbeat is fenced
// again. A new incarnation would take over the tasks that still run and renew their lease.
func (agent *Agent) restart(highest ident.Incarnation) {
	klog.InfoS("Incarnation was declared over", "Worker", agent.settings.Worker, "Highest", highest)
	agent.control.Call(func() { agent.holder = lease.NewHolder() })
	if !agent.stopAll("incarnation was declared over") {
		return
	}
	agent.control.Call(func() {
		agent.incarnation = max(agent.incarnation, highest) + 1
		agent.ledger = capacity.New(capacity.Settings{})
		agent.ledger.Drain(agent.leaving)
		agent.renewed = 0
		agent.tasks = map[ident.Task]*task{}
		agent.complete = true
		if agent.gate != nil {
			agent.gate.SetIncarnation(agent.incarnation)
		}
	})
}

// stopRefs stops tasks whose epoch is over.
func (agent *Agent) stopRefs(refs []*controlpb.TaskRef) {
	if len(refs) == 0 {
		return
	}
	ctx, cancel := agent.call()
	defer cancel()
	agent.stop(ctx, refs, false, "epoch is over")
}
