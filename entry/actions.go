package entry

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
	"hyssopjunction/table"
)

// recordedEndTTL is how long the entry remembers that the end of a task is recorded in the table,
// so that it can answer repeated reports.
const recordedEndTTL = 2 * clock.Minute

// recordedEnd is the end of a task's run in an epoch, and when this entry learned of it.
type recordedEnd struct {
	epoch ident.Epoch
	at    clock.Time
}

// execute carries out the scheduler's actions. It runs on the control goroutine and must not block.
func (entry *Entry) execute(actions []placement.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case placement.Reserve:
			entry.reserve(action)
		case placement.Start:
			entry.startTasks(action)
		case placement.Release:
			entry.release(action)
		case placement.Stop:
			entry.stopTasks(action)
		case placement.Throttle:
			entry.throttle(action)
		case placement.Commit:
			entry.spawn(func() { entry.commit(action) })
		case placement.Read:
			entry.spawn(func() { entry.read(action) })
		case placement.Recorded:
			for _, ref := range action.Tasks {
				entry.markRecorded(ref.Task, ref.Epoch)
			}
		case placement.Park:
			klog.InfoS("Job parked", "Job", action.Job, "Reason", action.Reason)
		case placement.Decision:
			entry.decisions.add(action)
			logDecision(action)
		}
	}
}

func logDecision(decision placement.Decision) {
	candidates := make([]string, 0, len(decision.Candidates))
	for _, candidate := range decision.Candidates {
		candidates = append(candidates, string(candidate.Worker))
	}
	klog.InfoS("Placement decision", "Kind", decision.Kind, "Task", decision.Task.String(), "Epoch", decision.Epoch,
		"Worker", decision.Worker, "Size", decision.Size.String(), "Reason", decision.Reason,
		"Candidates", candidates, "Considered", decision.Considered)
}

// agentClient returns a client of the worker's agent, or false if the worker is unknown or its
// agent cannot be dialled.
func (entry *Entry) agentClient(worker ident.Worker) (controlpb.AgentClient, bool) {
	state, ok := entry.workers.Get(worker)
	if !ok {
		return nil, false
	}
	client, err := entry.connections.Agent(state.GetAgentAddress())
	if err != nil {
		klog.ErrorS(err, "Agent cannot be dialled", "Worker", worker)
		return nil, false
	}
	return client, true
}

// commit writes a transaction of the scheduler and passes it the outcome.
func (entry *Entry) commit(action placement.Commit) {
	ctx, cancel := entry.callContext(4 * clock.Second)
	defer cancel()
	result, err := entry.store.Commit(ctx, action.Transaction)
	if err != nil {
		klog.InfoS("Claim was not committed", "Write", action.Transaction.Write, "Claims", action.Claims, "Reason", err.Error())
		entry.post(placement.CommitFailed{Write: action.Transaction.Write, Err: err})
		return
	}
	claimTransactions.Inc()
	claimedTasks.Add(action.Claims)
	entry.post(placement.Committed{Write: action.Transaction.Write, Result: result})
}

// read reads rows for the scheduler.
func (entry *Entry) read(action placement.Read) {
	ctx, cancel := entry.callContext(4 * clock.Second)
	defer cancel()
	rows := make([]table.Row, 0, len(action.Keys))
	for _, key := range action.Keys {
		row, err := entry.store.Get(ctx, key)
		if err != nil {
			entry.post(placement.ReadFailed(action))
			return
		}
		row.Key = key
		rows = append(rows, row)
	}
	entry.post(placement.RowsRead{Rows: rows})
}

// callAgent queues a call to the worker's agent. If too many calls are queued, the scheduler
// receives the empty answer at once, as after a timeout.
func (entry *Entry) callAgent(worker ident.Worker, answer placement.Event, call func()) {
	if !entry.agentCalls.enqueue(worker, call) {
		entry.postUnanswered(answer)
	}
}

// postUnanswered passes an answer without results to the scheduler. It returns before the scheduler
// handles it, because the control goroutine calls it.
func (entry *Entry) postUnanswered(answer placement.Event) {
	entry.spawn(func() { entry.post(answer) })
}

func (entry *Entry) reserve(action placement.Reserve) {
	client, ok := entry.agentClient(action.Worker)
	request := &controlpb.ReserveRequest{
		Entry: string(entry.settings.ID), Reservation: string(action.Reservation),
		Incarnation: uint64(action.Incarnation), TermMillis: int64(action.Term),
	}
	for _, spec := range action.Tasks {
		request.Tasks = append(request.Tasks, specMessage(spec))
	}
	answer := placement.Reserved{Worker: action.Worker, Reservation: action.Reservation}
	if !ok {
		entry.postUnanswered(answer)
		return
	}
	entry.callAgent(action.Worker, answer, func() {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		defer cancel()
		reply, err := client.Reserve(ctx, request)
		if err == nil {
			answer.FreeKnown = reply.Free != nil
			answer.Free = controlpb.ToResources(reply.Free)
			for _, result := range reply.Results {
				task, epoch := controlpb.ToTask(result.Task)
				answer.Results = append(answer.Results, placement.ReserveResult{Task: task, Epoch: epoch, OK: result.Ok, Refusal: result.Refusal})
			}
		}
		entry.post(answer)
	})
}

func (entry *Entry) startTasks(action placement.Start) {
	client, ok := entry.agentClient(action.Worker)
	answer := placement.Started{Worker: action.Worker, Incarnation: action.Incarnation}
	if !ok {
		entry.postUnanswered(answer)
		return
	}
	request := &controlpb.StartRequest{
		Reservation: string(action.Reservation), Incarnation: uint64(action.Incarnation), Tasks: refMessages(action.Tasks),
	}
	entry.callAgent(action.Worker, answer, func() {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		defer cancel()
		reply, err := client.Start(ctx, request)
		if err == nil {
			for _, result := range reply.Results {
				task, epoch := controlpb.ToTask(result.Task)
				answer.Results = append(answer.Results, placement.StartResult{Task: task, Epoch: epoch, OK: result.Ok, Refusal: result.Refusal})
			}
		}
		entry.control.Post(func() {
			entry.models.recordStarts(action.Worker, answer.Results, entry.time.Now())
			entry.handle(answer)
		})
	})
}

func (entry *Entry) release(action placement.Release) {
	client, ok := entry.agentClient(action.Worker)
	if !ok {
		return
	}
	request := &controlpb.ReleaseRequest{Reservation: string(action.Reservation), Tasks: refMessages(action.Tasks)}
	entry.agentCalls.enqueue(action.Worker, func() {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		defer cancel()
		if _, err := client.Release(ctx, request); err != nil {
			klog.V(1).InfoS("Release was not answered", "Worker", action.Worker, "Reason", err.Error())
		}
	})
}

func (entry *Entry) stopTasks(action placement.Stop) {
	client, ok := entry.agentClient(action.Worker)
	answer := placement.Stopped{Worker: action.Worker, Incarnation: action.Incarnation}
	if !ok {
		entry.postUnanswered(answer)
		return
	}
	request := &controlpb.StopRequest{
		Incarnation: uint64(action.Incarnation), Tasks: refMessages(action.Tasks),
		Checkpoint: action.Checkpoint, Reason: action.Reason,
	}
	entry.callAgent(action.Worker, answer, func() {
		ctx, cancel := entry.callContext(entry.settings.StopTimeout)
		defer cancel()
		reply, err := client.Stop(ctx, request)
		if err == nil {
			for _, result := range reply.Results {
				task, epoch := controlpb.ToTask(result.Task)
				answer.Results = append(answer.Results, placement.StopResult{
					Task: task, Epoch: epoch, Stopped: result.Ok, Absent: !result.Ok,
					Checkpoint: controlpb.ToCheckpoint(result.Checkpoint),
				})
			}
		}
		entry.post(answer)
	})
}

func (entry *Entry) throttle(action placement.Throttle) {
	client, ok := entry.agentClient(action.Worker)
	if !ok {
		return
	}
	request := &controlpb.ThrottleRequest{
		Incarnation: uint64(action.Incarnation), Tasks: refMessages(action.Tasks), Percent: int32(action.Percent),
	}
	entry.agentCalls.enqueue(action.Worker, func() {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		defer cancel()
		if _, err := client.Throttle(ctx, request); err != nil {
			klog.V(1).InfoS("Throttle was not answered", "Worker", action.Worker, "Reason", err.Error())
		}
	})
}

func refMessages(refs []placement.TaskRef) []*controlpb.TaskRef {
	messages := make([]*controlpb.TaskRef, 0, len(refs))
	for _, ref := range refs {
		messages = append(messages, controlpb.FromTask(ref.Task, ref.Epoch))
	}
	return messages
}

func specMessage(spec placement.TaskSpec) *controlpb.TaskSpec {
	return &controlpb.TaskSpec{
		Task: controlpb.FromTask(spec.Task, spec.Epoch), Kind: string(spec.Kind),
		Resources: controlpb.FromResources(spec.Size), Payload: spec.Payload,
		Checkpoint: controlpb.FromCheckpoint(spec.Checkpoint), Team: string(spec.Team),
		Urgent: spec.Urgent, Class: spec.Class,
	}
}
