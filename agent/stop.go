package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// Stop ends tasks, after a checkpoint if asked, and refuses their epochs from now on. A task
// without a result is unresolved, and the caller repeats the call. A task that ended by itself has no
// result either: its end reaches the home of its job as a report, which tells how it ended.
func (agent *Agent) Stop(ctx context.Context, request *controlpb.StopRequest) (*controlpb.StopReply, error) {
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return &controlpb.StopReply{}, nil
	}
	return &controlpb.StopReply{Results: agent.stop(ctx, request.Tasks, request.Checkpoint, request.Reason)}, nil
}

// stopping is a running task to stop.
type stopping struct {
	name  ident.Task
	epoch ident.Epoch
	saved worker.Checkpoint
	// halted is set once the worker confirmed that the task does not run.
	halted bool
	// ended is how the task ended, nil while it is not known.
	ended *worker.Status
}

// stop stops tasks and returns the results of those that are stopped or absent.
func (agent *Agent) stop(ctx context.Context, refs []*controlpb.TaskRef, checkpoint bool, reason string) []*controlpb.TaskResult {
	var results []*controlpb.TaskResult
	var running []*stopping
	agent.control.Call(func() {
		for _, ref := range refs {
			result, run := agent.fence(ref)
			if result != nil {
				results = append(results, result)
			}
			if run {
				name, epoch := controlpb.ToTask(ref)
				running = append(running, &stopping{name: name, epoch: epoch})
			}
		}
	})
	agent.end(ctx, running, checkpoint, reason)
	for _, task := range running {
		if task.ended != nil && task.ended.State == worker.Stopped {
			results = append(results, stopped(controlpb.FromTask(task.name, task.epoch), task.ended.Checkpoint))
		}
	}
	return results
}

// fence refuses the epoch from now on. It returns the result if the task does not run, and otherwise
// whether it has to be stopped.
func (agent *Agent) fence(ref *controlpb.TaskRef) (result *controlpb.TaskResult, running bool) {
	if !agent.ledger.Ready() {
		return nil, false
	}
	name, epoch := controlpb.ToTask(ref)
	if agent.ledger.EndedUnrecorded(name, epoch) {
		if status := agent.ended[name]; status.State == worker.Stopped {
			return stopped(ref, status.Checkpoint), false
		}
		wake(agent.reported)
		return nil, false
	}
	if !agent.ledger.Fence(name, epoch, agent.time.Now()) {
		return &controlpb.TaskResult{Task: ref, Refusal: refusalAbsent}, false
	}
	known := agent.tasks[name]
	return nil, known == nil || !known.starting
}

// end stops running tasks and records how they ended. It reads the worker's list after the stops,
// because a worker confirms the stop of a task that has finished, and a finished task must not be
// recorded as stopped and run again.
func (agent *Agent) end(ctx context.Context, tasks []*stopping, checkpoint bool, reason string) {
	if len(tasks) == 0 {
		return
	}
	var calls sync.WaitGroup
	for _, task := range tasks {
		calls.Go(func() { agent.halt(ctx, task, checkpoint) })
	}
	calls.Wait()
	report, err := agent.runtime.List(ctx)
	if err != nil {
		klog.ErrorS(err, "Worker did not report after stops", "Worker", agent.settings.Worker, "Tasks", len(tasks))
		return
	}
	listed := make(map[ident.Task]worker.Status, len(report.Tasks))
	for _, status := range report.Tasks {
		listed[status.Task] = status
	}
	agent.control.Call(func() {
		for _, task := range tasks {
			if task.halted {
				agent.record(task, listed[task.name], reason)
			}
		}
	})
}

// halt checkpoints the task if asked and makes the worker stop it. The checkpoint gets half of the
// time, so that one which hangs does not keep the task from being stopped.
func (agent *Agent) halt(ctx context.Context, task *stopping, checkpoint bool) {
	if checkpoint {
		task.saved = agent.checkpoint(ctx, task)
	}
	err := agent.runtime.Stop(ctx, task.name, task.epoch)
	if err != nil && !worker.IsErrNoSuchTask(err) && !worker.IsErrStaleEpoch(err) {
		klog.ErrorS(err, "Stop was not confirmed", "Task", task.name.String(), "Epoch", task.epoch)
		return
	}
	task.halted = true
}

func (agent *Agent) checkpoint(ctx context.Context, task *stopping) worker.Checkpoint {
	if deadline, ok := ctx.Deadline(); ok {
		bounded, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = bounded
	}
	saved, err := agent.runtime.Checkpoint(ctx, task.name, task.epoch)
	if err != nil {
		klog.ErrorS(err, "Task has no new checkpoint", "Task", task.name.String(), "Epoch", task.epoch)
	}
	return saved
}

// record notes how a task that does not run ended, given the worker's record of it.
func (agent *Agent) record(task *stopping, listed worker.Status, reason string) {
	status := worker.Status{Task: task.name, Epoch: task.epoch, State: worker.Stopped, Checkpoint: task.saved, Reason: reason}
	if listed.Epoch == task.epoch {
		switch listed.State {
		case worker.Running:
			return
		case worker.Finished, worker.Failed:
			status = listed
		case worker.Stopped:
			if status.Checkpoint.Name == "" {
				status.Checkpoint = listed.Checkpoint
			}
		}
	}
	agent.taskEnded(status, agent.time.Now())
	if have, ok := agent.ended[task.name]; ok && have.Epoch == task.epoch {
		task.ended = &have
	}
}

// stopAll checkpoints and stops every running task and drops every reservation. It reports whether
// no task is left.
func (agent *Agent) stopAll(reason string) bool {
	var tasks []*stopping
	agent.control.Call(func() {
		for _, entry := range agent.ledger.Entries() {
			if entry.Running {
				tasks = append(tasks, &stopping{name: entry.Task, epoch: entry.Epoch})
				continue
			}
			agent.ledger.Release(entry.Reservation, entry.Task)
		}
	})
	if len(tasks) == 0 {
		return true
	}
	klog.InfoS("Stopping all tasks", "Worker", agent.settings.Worker, "Tasks", len(tasks), "Reason", reason)
	ctx, cancel := agent.call()
	defer cancel()
	agent.end(ctx, tasks, true, reason)
	empty := false
	agent.control.Call(func() { empty = len(agent.ledger.Entries()) == 0 })
	return empty
}

// refusalAbsent is the refusal of a stop for an epoch that does not run here and never will.
const refusalAbsent = "Absent"

func stopped(ref *controlpb.TaskRef, saved worker.Checkpoint) *controlpb.TaskResult {
	return &controlpb.TaskResult{Task: ref, Ok: true, Checkpoint: controlpb.FromCheckpoint(saved)}
}
