package agent

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// Reserve holds capacity for tasks until the reservation expires. For another incarnation the reply
// has no results.
func (agent *Agent) Reserve(_ context.Context, request *controlpb.ReserveRequest) (*controlpb.ReserveReply, error) {
	reply := &controlpb.ReserveReply{}
	agent.control.Call(func() {
		if ident.Incarnation(request.Incarnation) != agent.incarnation {
			return
		}
		now := agent.time.Now()
		for _, spec := range request.Tasks {
			reply.Results = append(reply.Results, agent.reserve(request, spec, now))
		}
		reply.Free = controlpb.FromResources(agent.ledger.Free())
	})
	return reply, nil
}

func (agent *Agent) reserve(request *controlpb.ReserveRequest, spec *controlpb.TaskSpec, now clock.Time) *controlpb.TaskResult {
	name, epoch := controlpb.ToTask(spec.Task)
	size := controlpb.ToResources(spec.Resources)
	err := agent.checkLease(now)
	if err == nil {
		err = agent.ledger.Reserve(capacity.Reservation(request.Reservation), name, epoch, size, clock.Millis(request.TermMillis), now)
	}
	if err != nil {
		return refusedResult(spec.Task, err)
	}
	agent.tasks[name] = &task{
		spec: worker.Spec{
			Task: name, Epoch: epoch, Kind: worker.Kind(spec.Kind), Resources: size,
			Payload: spec.Payload, Checkpoint: controlpb.ToCheckpoint(spec.Checkpoint),
		},
		team:   ident.Team(spec.Team),
		class:  spec.Class,
		urgent: spec.Urgent,
	}
	return &controlpb.TaskResult{Task: spec.Task, Ok: true}
}

// checkLease returns ErrNoLease if the lease is missing or too short to start tasks.
func (agent *Agent) checkLease(now clock.Time) error {
	if agent.holder.Remaining(now) <= agent.settings.StopMargin {
		return ErrNoLease{Worker: agent.settings.Worker}
	}
	return nil
}

// Start starts reserved tasks whose claims are committed. A task without a result is unresolved and
// the caller repeats the call.
func (agent *Agent) Start(ctx context.Context, request *controlpb.StartRequest) (*controlpb.StartReply, error) {
	reply := &controlpb.StartReply{}
	var launches []ident.Task
	agent.control.Call(func() {
		if ident.Incarnation(request.Incarnation) != agent.incarnation {
			return
		}
		now := agent.time.Now()
		for _, ref := range request.Tasks {
			name, epoch := controlpb.ToTask(ref)
			started, err := agent.start(capacity.Reservation(request.Reservation), name, epoch, now)
			switch {
			case capacity.IsErrNotRebuilt(err):
			case err != nil:
				reply.Results = append(reply.Results, refusedResult(ref, err))
			default:
				reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true})
				if !started {
					launches = append(launches, name)
				}
			}
		}
	})
	for _, name := range launches {
		agent.spawn(func() { agent.launch(name) })
	}
	return reply, ctx.Err()
}

// start makes the ledger count a reserved task as running. It returns true if the epoch was started
// before. After an error other than ErrNotRebuilt the epoch is fenced.
func (agent *Agent) start(reservation capacity.Reservation, name ident.Task, epoch ident.Epoch, now clock.Time) (bool, error) {
	if err := agent.checkLease(now); err != nil && agent.ledger.Ready() {
		if agent.alreadyStarted(name, epoch) {
			return true, nil
		}
		agent.ledger.Fence(name, epoch, now)
		return false, err
	}
	return agent.ledger.Start(reservation, name, epoch, now)
}

// alreadyStarted reports whether this epoch of the task runs here or ended here.
func (agent *Agent) alreadyStarted(name ident.Task, epoch ident.Epoch) bool {
	if agent.ledger.EndedUnrecorded(name, epoch) {
		return true
	}
	for _, entry := range agent.ledger.Entries() {
		if entry.Task == name && entry.Epoch == epoch && entry.Running {
			return true
		}
	}
	return false
}

// launch starts a task that the ledger counts as running on the worker. An unanswered start is
// repeated after the next read of the worker's list; starts are idempotent per epoch.
func (agent *Agent) launch(name ident.Task) {
	var spec worker.Spec
	var expiry worker.Instant
	ready := false
	agent.control.Call(func() {
		task := agent.tasks[name]
		if task == nil || task.starting || task.confirmed || !agent.holder.Valid(agent.time.Now()) {
			return
		}
		spec = task.spec
		if expiry, ready = agent.holder.WorkerExpiry(agent.time.Now()); ready {
			task.starting = true
		}
	})
	if !ready {
		return
	}
	ctx, cancel := agent.workerCallContext()
	err := agent.runtime.Start(ctx, spec, expiry)
	cancel()
	agent.control.Call(func() { agent.applyStartResult(spec, err) })
}

func (agent *Agent) applyStartResult(spec worker.Spec, err error) {
	if task := agent.tasks[spec.Task]; task != nil && task.spec.Epoch == spec.Epoch {
		task.starting = false
		if err == nil {
			task.confirm(agent.time.Now())
		}
	}
	switch {
	case err == nil:
		klog.InfoS("Task started", "Worker", agent.settings.Worker, "Task", spec.Task.String(), "Epoch", spec.Epoch)
	case worker.IsErrUnavailable(err), worker.IsErrLeaseLapsed(err):
		// A lapsed lease is not a failure of the task, and an earlier start whose reply was lost
		// may have run.
		klog.ErrorS(err, "Start has no answer", "Worker", agent.settings.Worker, "Task", spec.Task.String(), "Epoch", spec.Epoch)
	default:
		agent.recordEnd(worker.Status{
			Task: spec.Task, Epoch: spec.Epoch, State: worker.Failed,
			Resources: spec.Resources, Checkpoint: spec.Checkpoint, Reason: err.Error(),
		}, agent.time.Now())
	}
}

// Release releases reservations.
func (agent *Agent) Release(_ context.Context, request *controlpb.ReleaseRequest) (*controlpb.ReleaseReply, error) {
	agent.control.Call(func() {
		for _, ref := range request.Tasks {
			name, _ := controlpb.ToTask(ref)
			agent.ledger.Release(capacity.Reservation(request.Reservation), name)
		}
	})
	return &controlpb.ReleaseReply{}, nil
}

// Throttle limits the CPU usage of tasks to a percentage.
func (agent *Agent) Throttle(ctx context.Context, request *controlpb.ThrottleRequest) (*controlpb.ThrottleReply, error) {
	reply := &controlpb.ThrottleReply{}
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return reply, nil
	}
	for _, ref := range request.Tasks {
		name, epoch := controlpb.ToTask(ref)
		if err := agent.runtime.Throttle(ctx, name, epoch, int(request.Percent)); err != nil {
			reply.Results = append(reply.Results, refusedResult(ref, err))
			continue
		}
		reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true})
	}
	return reply, nil
}

// Save makes running tasks write a checkpoint without stopping them.
func (agent *Agent) Save(ctx context.Context, request *controlpb.SaveRequest) (*controlpb.SaveReply, error) {
	reply := &controlpb.SaveReply{}
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return reply, nil
	}
	for _, ref := range request.Tasks {
		name, epoch := controlpb.ToTask(ref)
		checkpoint, err := agent.runtime.Checkpoint(ctx, name, epoch)
		if err != nil {
			reply.Results = append(reply.Results, refusedResult(ref, err))
			continue
		}
		reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true, Checkpoint: controlpb.FromCheckpoint(checkpoint)})
	}
	return reply, nil
}

func refusedResult(ref *controlpb.TaskRef, err error) *controlpb.TaskResult {
	return &controlpb.TaskResult{Task: ref, Refusal: refusalName(err)}
}
