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

// Reserve holds capacity for tasks until the reservation expires. A call for another incarnation
// is answered without results.
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
	err := agent.admissible(now)
	if err == nil {
		err = agent.ledger.Reserve(capacity.Reservation(request.Reservation), name, epoch, size, clock.Millis(request.TermMillis), now)
	}
	if err != nil {
		return refused(spec.Task, err)
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

// admissible refuses new tasks while the lease is missing or too short to start anything.
func (agent *Agent) admissible(now clock.Time) error {
	if agent.holder.Left(now) <= agent.settings.StopMargin {
		return ErrNoLease{Worker: agent.settings.Worker}
	}
	return nil
}

// Start starts reserved tasks whose claim is committed. A task without a result is unresolved, and
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
			already, err := agent.start(capacity.Reservation(request.Reservation), name, epoch, now)
			switch {
			case capacity.IsErrNotRebuilt(err):
			case err != nil:
				reply.Results = append(reply.Results, refused(ref, err))
			default:
				reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true})
				if !already {
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

func (agent *Agent) start(reservation capacity.Reservation, name ident.Task, epoch ident.Epoch, now clock.Time) (bool, error) {
	if err := agent.admissible(now); err != nil && agent.ledger.Ready() {
		if agent.alreadyStarted(name, epoch) {
			return true, nil
		}
		agent.ledger.Fence(name, epoch, now)
		return false, err
	}
	return agent.ledger.Start(reservation, name, epoch, now)
}

// alreadyStarted reports whether the epoch was started here before.
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

// launch asks the worker to run a task that the ledger holds as running. Without an answer the call
// is repeated at the next reading of the worker's list; starts are idempotent per epoch.
func (agent *Agent) launch(name ident.Task) {
	var spec worker.Spec
	var expiry worker.Instant
	start := false
	agent.control.Call(func() {
		known := agent.tasks[name]
		if known == nil || known.starting || known.confirmed || !agent.holder.Valid(agent.time.Now()) {
			return
		}
		spec = known.spec
		if expiry, start = agent.holder.WorkerExpiry(); start {
			known.starting = true
		}
	})
	if !start {
		return
	}
	ctx, cancel := agent.workerCall()
	err := agent.runtime.Start(ctx, spec, expiry)
	cancel()
	agent.control.Call(func() { agent.launched(spec, err) })
}

func (agent *Agent) launched(spec worker.Spec, err error) {
	if known := agent.tasks[spec.Task]; known != nil && known.spec.Epoch == spec.Epoch {
		known.starting = false
		if err == nil {
			known.confirm(agent.time.Now())
		}
	}
	switch {
	case err == nil:
		klog.InfoS("Task started", "Worker", agent.settings.Worker, "Task", spec.Task.String(), "Epoch", spec.Epoch)
	case worker.IsErrUnavailable(err), worker.IsErrLeaseLapsed(err):
		// A lapsed lease is no failure of the task, and an earlier start without an answer may have run.
		klog.ErrorS(err, "Start has no answer", "Worker", agent.settings.Worker, "Task", spec.Task.String(), "Epoch", spec.Epoch)
	default:
		agent.taskEnded(worker.Status{
			Task: spec.Task, Epoch: spec.Epoch, State: worker.Failed,
			Resources: spec.Resources, Checkpoint: spec.Checkpoint, Reason: err.Error(),
		}, agent.time.Now())
	}
}

// Release gives up reservations.
func (agent *Agent) Release(_ context.Context, request *controlpb.ReleaseRequest) (*controlpb.ReleaseReply, error) {
	agent.control.Call(func() {
		for _, ref := range request.Tasks {
			name, _ := controlpb.ToTask(ref)
			agent.ledger.Release(capacity.Reservation(request.Reservation), name)
		}
	})
	return &controlpb.ReleaseReply{}, nil
}

// Throttle limits the processor time of tasks.
func (agent *Agent) Throttle(ctx context.Context, request *controlpb.ThrottleRequest) (*controlpb.ThrottleReply, error) {
	reply := &controlpb.ThrottleReply{}
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return reply, nil
	}
	for _, ref := range request.Tasks {
		name, epoch := controlpb.ToTask(ref)
		if err := agent.runtime.Throttle(ctx, name, epoch, int(request.Percent)); err != nil {
			reply.Results = append(reply.Results, refused(ref, err))
			continue
		}
		reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true})
	}
	return reply, nil
}

// Save makes tasks write a checkpoint while they run on.
func (agent *Agent) Save(ctx context.Context, request *controlpb.SaveRequest) (*controlpb.SaveReply, error) {
	reply := &controlpb.SaveReply{}
	if ident.Incarnation(request.Incarnation) != agent.Incarnation() {
		return reply, nil
	}
	for _, ref := range request.Tasks {
		name, epoch := controlpb.ToTask(ref)
		saved, err := agent.runtime.Checkpoint(ctx, name, epoch)
		if err != nil {
			reply.Results = append(reply.Results, refused(ref, err))
			continue
		}
		reply.Results = append(reply.Results, &controlpb.TaskResult{Task: ref, Ok: true, Checkpoint: controlpb.FromCheckpoint(saved)})
	}
	return reply, nil
}

func refused(ref *controlpb.TaskRef, err error) *controlpb.TaskResult {
	return &controlpb.TaskResult{Task: ref, Refusal: refusalName(err)}
}
