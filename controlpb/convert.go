package controlpb

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// FromResources returns the message for resources.
func FromResources(resources unit.Resources) *Resources {
	return &Resources{
		CpuMilli:     int64(resources.CPU),
		MemoryMib:    int64(resources.Memory),
		Accelerators: int64(resources.Accelerators),
	}
}

// ToResources returns the resources in a message. A nil message holds none.
func ToResources(message *Resources) unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(message.GetCpuMilli()),
		Memory:       unit.Mebibytes(message.GetMemoryMib()),
		Accelerators: unit.Accelerators(message.GetAccelerators()),
	}
}

// FromTask returns the message for a task and its epoch.
func FromTask(task ident.Task, epoch ident.Epoch) *TaskRef {
	return &TaskRef{Job: string(task.Job), Index: int32(task.Index), Epoch: uint64(epoch)}
}

// ToTask returns the task and the epoch in a message.
func ToTask(message *TaskRef) (ident.Task, ident.Epoch) {
	task := ident.Task{Job: ident.Job(message.GetJob()), Index: int(message.GetIndex())}
	return task, ident.Epoch(message.GetEpoch())
}

// FromCheckpoint returns the message for a checkpoint, or nil if there is no checkpoint.
func FromCheckpoint(checkpoint worker.Checkpoint) *Checkpoint {
	if checkpoint.Name == "" {
		return nil
	}
	return &Checkpoint{Epoch: uint64(checkpoint.Epoch), Name: checkpoint.Name}
}

// ToCheckpoint returns the checkpoint in a message. A nil message means no checkpoint.
func ToCheckpoint(message *Checkpoint) worker.Checkpoint {
	return worker.Checkpoint{Epoch: ident.Epoch(message.GetEpoch()), Name: message.GetName()}
}

// FromStatus returns the message for a worker's record of a task.
func FromStatus(status worker.Status) *TaskStatus {
	return &TaskStatus{
		Task:            FromTask(status.Task, status.Epoch),
		State:           string(status.State),
		Resources:       FromResources(status.Resources),
		Checkpoint:      FromCheckpoint(status.Checkpoint),
		ThrottlePercent: int32(status.Throttle),
		Reason:          status.Reason,
		End:             string(status.End),
		PeakMemoryMib:   int64(status.Peak),
		RanMillis:       int64(status.Ran),
	}
}

// ToStatus returns the worker's record of a task in a message.
func ToStatus(message *TaskStatus) worker.Status {
	task, epoch := ToTask(message.GetTask())
	return worker.Status{
		Task:       task,
		Epoch:      epoch,
		State:      worker.State(message.GetState()),
		Resources:  ToResources(message.GetResources()),
		Checkpoint: ToCheckpoint(message.GetCheckpoint()),
		Throttle:   int(message.GetThrottlePercent()),
		Reason:     message.GetReason(),
		End:        worker.EndCause(message.GetEnd()),
		Peak:       unit.Mebibytes(message.GetPeakMemoryMib()),
		Ran:        clock.Millis(message.GetRanMillis()),
	}
}

// FromUsage returns the message for a sample of a task's usage.
func FromUsage(usage worker.Usage) *TaskUsage {
	return &TaskUsage{
		Task:            FromTask(usage.Task, 0),
		Resources:       FromResources(usage.Resources),
		SlowdownPercent: int32(usage.Slowdown),
		LagMillis:       int64(usage.Lag),
	}
}
