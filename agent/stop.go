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

// Stop stops tasks, after a checkpoint if requested, and refuses their epochs from then on. A task
// without a result is unresolved and the caller repeats the call. A task that ended by itself has
// no result either: its end is reported to the home entry of its job.
func (agent *Agent) Stop(ctx context.Context, request *controlpb.StopRequest) (*controlpb.StopReply, error) {
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return &controlpb.StopReply{}, nil
	}
	return &controlpb.StopReply{Results: agent.stop(ctx, request.Tasks, request.Checkpoint, request.Reason)}, nil
}

// stoppingTask is a running task that is being stopped.
type stoppingTask struct {
	name       ident.Task
	epoch      ident.Epoch
	checkpoint worker.Checkpoint
	// lost is set if the worker had started the task and does not list it any more.
	lost bool
	// stopConfirmed is set once the worker confirmed that the task does not run.
	stopConfirmed bool
	// endStatus is the end of the task, nil while unknown.
	endStatus *worker.Status
}

// stop stops tasks and returns the results of those that are stopped or absent.
func (agent *Agent) stop(ctx context.Context, refs []*controlpb.TaskRef, checkpoint bool, reason string) []*controlpb.TaskResult {
	var results []*controlpb.TaskResult
	var running []*stoppingTask
	agent.control.Call(func() {
		for _, ref := range refs {
			result, needsStop := agent.fence(ref)
			if result != nil {
				results = append(results, result)
			}
			if needsStop {
				name, epoch := controlpb.ToTask(ref)
				running = append(running, &stoppingTask{name: name, epoch: epoch})
			}
		}
	})
	agent.stopOnWorker(ctx, running, checkpoint, reason)
	for _, task := range running {
		if task.endStatus != nil && task.endStatus.State == worker.Stopped {
			results = append(results, stoppedResult(controlpb.FromTask(task.name, task.epoch), task.endStatus.Checkpoint))
		}
	}
	return results
}

// fence makes the ledger refuse the epoch from now on. It returns a result if the task does not
// run, and otherwise whether the task must be stopped on the worker.
func (agent *Agent) fence(ref *controlpb.TaskRef) (result *controlpb.TaskResult, needsStop bool) {
	if !agent.ledger.Ready() {
		return nil, false
	}
	name, epoch := controlpb.ToTask(ref)
	if agent.ledger.EndedUnrecorded(name, epoch) {
		if status := agent.unrecorded[name]; status.State == worker.Stopped {
			return stoppedResult(ref, status.Checkpoint), false
		}
		wake(agent.reportNow)
		return nil, false
	}
	if !agent.ledger.Fence(name, epoch, agent.time.Now()) {
		return &controlpb.TaskResult{Task: ref, Refusal: refusalAbsent}, false
	}
	task := agent.tasks[name]
	return nil, task == nil || !task.starting
}

// stopOnWorker stops running tasks and records how they ended. It reads the worker's list after the
// stops: the worker also confirms the stop of a task that has finished, and recording that task as
// stopped would make it run again.
func (agent *Agent) stopOnWorker(ctx context.Context, tasks []*stoppingTask, checkpoint bool, reason string) {
	if len(tasks) == 0 {
		return
	}
	var calls sync.WaitGroup
	for _, task := range tasks {
		calls.Go(func() { agent.stopTask(ctx, task, checkpoint) })
	}
	calls.Wait()
	report, err := agent.runtime.List(ctx)
	if err != nil {
		klog.ErrorS(err, "Worker did not report after stops", "Worker", agent.settings.Worker, "Tasks", len(tasks))
		return
	}
	statuses := make(map[ident.Task]worker.Status, len(report.Tasks))
	for _, status := range report.Tasks {
		statuses[status.Task] = status
	}
	agent.control.Call(func() {
		for _, task := range tasks {
			if task.stopConfirmed {
				agent.recordStop(task, statuses[task.name], reason)
			}
		}
	})
}

// stopTask stops the task on the worker, after a checkpoint if requested. The checkpoint gets half
// of the remaining time, so that a hanging checkpoint does not prevent the stop.
func (agent *Agent) stopTask(ctx context.Context, task *stoppingTask, checkpoint bool) {
	if checkpoint {
		task.checkpoint = agent.checkpoint(ctx, task)
	}
	err := agent.runtime.Stop(ctx, task.name, task.epoch)
	if err != nil && !worker.IsErrNoSuchTask(err) && !worker.IsErrStaleEpoch(err) {
		klog.ErrorS(err, "Stop was not confirmed", "Task", task.name.String(), "Epoch", task.epoch)
		return
	}
	task.stopConfirmed = true
}

func (agent *Agent) checkpoint(ctx context.Context, task *stoppingTask) worker.Checkpoint {
	if deadline, ok := ctx.Deadline(); ok {
		halfCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = halfCtx
	}
	checkpoint, err := agent.runtime.Checkpoint(ctx, task.name, task.epoch)
	if err != nil {
		klog.ErrorS(err, "Task has no new checkpoint", "Task", task.name.String(), "Epoch", task.epoch)
	}
	return checkpoint
}

// recordStop records the end of a task that was stopped. workerStatus is how the worker lists the
// task; its state takes precedence if it is finished or failed.
func (agent *Agent) recordStop(task *stoppingTask, workerStatus worker.Status, reason string) {
	status := worker.Status{Task: task.name, Epoch: task.epoch, State: worker.Stopped, Checkpoint: task.checkpoint, Reason: reason}
	if workerStatus.Epoch == task.epoch {
		switch workerStatus.State {
		case worker.Running:
			return
		case worker.Finished, worker.Failed:
			status = workerStatus
		case worker.Stopped:
			if status.Checkpoint.Name == "" {
				status.Checkpoint = workerStatus.Checkpoint
			}
		}
	}
	if task.lost && status.State == worker.Stopped && workerStatus.Epoch != task.epoch {
		status.End = worker.Lost
	}
	agent.recordEnd(status, agent.time.Now())
	if end, ok := agent.unrecorded[task.name]; ok && end.Epoch == task.epoch {
		task.endStatus = &end
	}
}

// stopAll checkpoints and stops all running tasks and releases all reservations. It reports whether
// the ledger is empty afterwards.
func (agent *Agent) stopAll(reason string) bool {
	var tasks []*stoppingTask
	agent.control.Call(func() {
		for _, entry := range agent.ledger.Entries() {
			if entry.Running {
				tasks = append(tasks, &stoppingTask{name: entry.Task, epoch: entry.Epoch})
				continue
			}
			agent.ledger.Release(entry.Reservation, entry.Task)
		}
	})
	if len(tasks) == 0 {
		return true
	}
	klog.InfoS("Stopping all tasks", "Worker", agent.settings.Worker, "Tasks", len(tasks), "Reason", reason)
	ctx, cancel := agent.callContext()
	defer cancel()
	agent.stopOnWorker(ctx, tasks, true, reason)
	empty := false
	agent.control.Call(func() { empty = len(agent.ledger.Entries()) == 0 })
	return empty
}

// refusalAbsent is the refusal of a stop for an epoch that does not run on the worker and never
// will.
const refusalAbsent = "Absent"

func stoppedResult(ref *controlpb.TaskRef, checkpoint worker.Checkpoint) *controlpb.TaskResult {
	return &controlpb.TaskResult{Task: ref, Ok: true, Checkpoint: controlpb.FromCheckpoint(checkpoint)}
}
