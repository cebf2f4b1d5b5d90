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
	var address string
	agent.control.Call(func() {
		if !agent.ledger.Ready() {
			return
		}
		agent.sequence++
		sequence = agent.sequence
		address = agent.finder.nextAddress()
		request = agent.buildAnnouncement()
		request.State = agent.stateToSend(address, request.State)
		agent.holder.Sent(sequence, agent.time.Now())
	})
	if request == nil || address == "" {
		return
	}
	reply, err := agent.sendAnnouncement(address, request)
	if err != nil {
		agent.announcementFailed(address, err)
		return
	}
	fenced := false
	agent.control.Call(func() { fenced = agent.applyReply(sequence, address, reply) })
	if fenced {
		agent.restart(ident.Incarnation(reply.HighestIncarnation))
		return
	}
	agent.stopTasks(reply.Stop)
}

func (agent *Agent) sendAnnouncement(address string, request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	client, err := agent.entries.Entry(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := agent.callContext()
	defer cancel()
	return client.Announce(ctx, request)
}

// announcementFailed records the failure and schedules the next attempt. It discards the
// connection, which may be silent, so that the next attempt dials anew.
func (agent *Agent) announcementFailed(address string, err error) {
	agent.entries.Discard(address)
	moved, retryNow := false, false
	agent.control.Call(func() {
		// The lost heartbeat may still arrive after the next one and replace the state that the
		// home holds.
		agent.homeState = nil
		if moved, retryNow = agent.finder.failed(); moved {
			agent.sendAllTasks = true
		}
	})
	klog.InfoS("Announcement had no answer", "Worker", agent.settings.Worker, "Entry", address, "Moved", moved, "Reason", err.Error())
	if retryNow {
		wake(agent.announceNow)
		return
	}
	agent.spawn(agent.announceAfterDelay)
}

// announceRetryDelay is the delay before an unanswered announcement is repeated. It is shorter than
// the heartbeat interval, so that the agents of a dead entry find a new home before they stop their
// tasks.
const announceRetryDelay = clock.Second

// announceAfterDelay triggers the next announcement after announceRetryDelay.
func (agent *Agent) announceAfterDelay() {
	select {
	case <-agent.time.After(announceRetryDelay):
		wake(agent.announceNow)
	case <-agent.quit:
	}
}

// stateToSend returns only the load of state if the entry at address already holds the rest, and
// the full state otherwise.
func (agent *Agent) stateToSend(address string, state *controlpb.WorkerState) *controlpb.WorkerState {
	agent.sentState = state
	if agent.homeState == nil || agent.homeStateAddress != address || !membership.SameStructure(agent.homeState, state) {
		return state
	}
	return membership.LoadOf(state)
}

// buildAnnouncement builds the heartbeat.
func (agent *Agent) buildAnnouncement() *controlpb.AnnounceRequest {
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
		Classes:        agent.classCounts(),
		RuntimeAddress: agent.settings.RuntimeAddress,
		LoadPercent:    agent.loadPercent,
	}
	if agent.gate != nil {
		// The gate also puts this message into replies to requests, so it must not be changed.
		state.Endpoint = proto.CloneOf(agent.gate.State())
		state.Endpoint.Leaving = state.Endpoint.Leaving || agent.leaving
	}
	digest := agent.tasksDigest()
	request := &controlpb.AnnounceRequest{
		State: state, Complete: agent.sendAllTasks || digest != agent.acceptedTasksDigest,
		GrantRevision: uint64(agent.holder.Revision()), EntriesDigest: agent.entriesDigest,
	}
	agent.sentTasksDigest = digest
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
		if task := agent.tasks[usage.Task]; task != nil {
			message.Class = task.class
		}
		request.Usage = append(request.Usage, message)
	}
	return request
}

// tasksDigest returns a digest of the running tasks and epochs. The list is sent only when it
// changes.
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
	if task := agent.tasks[entry.Task]; task != nil {
		status.Class, status.Kind, status.Urgent = task.class, string(task.spec.Kind), task.urgent
	}
	return status
}

// applyReply applies the entry's reply and reports whether this incarnation is fenced.
func (agent *Agent) applyReply(sequence ident.Sequence, address string, reply *controlpb.AnnounceReply) bool {
	if reply.Config != nil {
		if err := agent.config.Apply(reply.Config); err != nil {
			klog.ErrorS(err, "Configuration was not applied", "Worker", agent.settings.Worker)
		} else {
			// The next heartbeat reports the applied version to the home.
			wake(agent.announceNow)
		}
	}
	if len(reply.Entries) > 0 {
		agent.entryStates, agent.entriesDigest = reply.Entries, reply.EntriesDigest
	}
	if reply.WantState {
		agent.homeState = nil
		wake(agent.announceNow)
		return false
	}
	agent.homeState, agent.homeStateAddress = nil, address
	if reply.Fenced {
		return true
	}
	if !reply.Accepted {
		agent.sendAllTasks = true
		switch agent.finder.redirected(reply.Home, reply.Entries) {
		case immediately:
			wake(agent.announceNow)
		case afterDelay:
			agent.spawn(agent.announceAfterDelay)
		case nextHeartbeat:
		}
		return false
	}
	agent.finder.accepted(reply.Entries)
	if reply.KeepsState {
		agent.homeState = agent.sentState
	}
	agent.sendAllTasks = reply.WantComplete
	agent.acceptedTasksDigest = agent.sentTasksDigest
	agent.holder.Granted(sequence, clock.Millis(reply.LeaseTermMillis), table.Revision(reply.GrantRevision), agent.time.Now())
	return false
}

// restart stops all tasks and begins a new incarnation, whose ledger is rebuilt from the worker's
// list. The tasks must stop because they may already be placed elsewhere.
//
// If a stop is not confirmed, the old incarnation continues without a lease and its next heartbeat
// is fenced again. A new incarnation would adopt the tasks that still run and renew their lease.
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
		agent.renewedExpiry = 0
		agent.tasks = map[ident.Task]*task{}
		agent.sendAllTasks = true
		if agent.gate != nil {
			agent.gate.SetIncarnation(agent.incarnation)
		}
	})
}

// stopTasks stops tasks whose epochs are over according to the home.
func (agent *Agent) stopTasks(refs []*controlpb.TaskRef) {
	if len(refs) == 0 {
		return
	}
	ctx, cancel := agent.callContext()
	defer cancel()
	agent.stop(ctx, refs, false, "epoch is over")
}
