package agent

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// Stop ends tasks, after a checkpoint if asked, and refuses their epochs from now on. A task
// without a result is unresolved, and the caller repeats the call.
func (agent *Agent) Stop(ctx context.Context, request *controlpb.StopRequest) (*controlpb.StopReply, error) {
	reply := &controlpb.StopReply{}
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return reply, nil
	}
	results := make([]*controlpb.TaskResult, len(request.Tasks))
	var stops sync.WaitGroup
	for index, ref := range request.Tasks {
		stops.Go(func() { results[index] = agent.stop(ctx, ref, request.Checkpoint, request.Reason) })
	}
	stops.Wait()
	for _, result := range results {
		if result != nil {
			reply.Results = append(reply.Results, result)
		}
	}
	return reply, nil
}

// stop ends one task. It returns nil if the worker's answer is missing.
func (agent *Agent) stop(ctx context.Context, ref *controlpb.TaskRef, checkpoint bool, reason string) *controlpb.TaskResult {
	name, epoch := controlpb.ToTask(ref)
	ready, running, starting := false, false, false
	var ended *worker.Status
	agent.control.Call(func() {
		if ready = agent.ledger.Ready(); !ready {
			return
		}
		if agent.ledger.EndedUnrecorded(name, epoch) {
			status := agent.ended[name]
			ended = &status
			return
		}
		running = agent.ledger.Fence(name, epoch, agent.time.Now())
		if known := agent.tasks[name]; known != nil {
			starting = known.starting
		}
	})
	switch {
	case !ready || starting:
		return nil
	case ended != nil:
		return stopped(ref, ended.Checkpoint)
	case !running:
		return &controlpb.TaskResult{Task: ref, Refusal: refusalAbsent}
	}
	saved, ok := agent.end(ctx, name, epoch, checkpoint, reason)
	if !ok {
		return nil
	}
	return stopped(ref, saved)
}

// end checkpoints and stops a running task and records its end. It returns false if the worker did
// not confirm the stop.
func (agent *Agent) end(ctx context.Context, name ident.Task, epoch ident.Epoch, checkpoint bool, reason string) (worker.Checkpoint, bool) {
	var saved worker.Checkpoint
	if checkpoint {
		var err error
		if saved, err = agent.runtime.Checkpoint(ctx, name, epoch); err != nil {
			klog.ErrorS(err, "Task has no new checkpoint", "Task", name.String(), "Epoch", epoch)
		}
	}
	err := agent.runtime.Stop(ctx, name, epoch)
	if err != nil && !worker.IsErrNoSuchTask(err) {
		klog.ErrorS(err, "Stop was not confirmed", "Task", name.String(), "Epoch", epoch)
		return worker.Checkpoint{}, false
	}
	agent.control.Call(func() {
		status := worker.Status{Task: name, Epoch: epoch, State: worker.Stopped, Checkpoint: saved, Reason: reason}
		agent.taskEnded(status, agent.time.Now())
		saved = agent.ended[name].Checkpoint
	})
	return saved, true
}

// stopAll checkpoints and stops every running task and drops every reservation.
func (agent *Agent) stopAll(reason string) {
	var entries []capacity.Entry
	agent.control.Call(func() {
		for _, entry := range agent.ledger.Entries() {
			if entry.Running {
				entries = append(entries, entry)
				continue
			}
			agent.ledger.Release(entry.Reservation, entry.Task)
		}
	})
	if len(entries) == 0 {
		return
	}
	klog.InfoS("Stopping all tasks", "Worker", agent.settings.Worker, "Tasks", len(entries), "Reason", reason)
	ctx, cancel := agent.call()
	defer cancel()
	var stops sync.WaitGroup
	for _, entry := range entries {
		stops.Go(func() { agent.end(ctx, entry.Task, entry.Epoch, true, reason) })
	}
	stops.Wait()
}

// refusalAbsent is the refusal of a stop for an epoch that does not run here and never will.
const refusalAbsent = "Absent"

func stopped(ref *controlpb.TaskRef, saved worker.Checkpoint) *controlpb.TaskResult {
	return &controlpb.TaskResult{Task: ref, Ok: true, Checkpoint: controlpb.FromCheckpoint(saved)}
}
