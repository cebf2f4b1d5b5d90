package entry

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/estimate"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
	"hyssopjunction/placement"
	"hyssopjunction/quarantine"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// plannedLoad is the load, in percent of a worker's processors, at which interference is predicted
// for a placement.
const plannedLoad = 80

// learned holds what the entry learns about sizes, interference and faults. It belongs to the
// control goroutine.
type learned struct {
	sizes    *estimate.Model
	pairs    *interference.Model
	health   *quarantine.Tracker
	governor *interference.Governor
	// startBatch is whether the preset in force lets ordinary work start.
	startBatch bool
	// largest is the most memory that a worker has for tasks.
	largest unit.Mebibytes
}

func newLearned() *learned {
	pairs := interference.New(interference.Defaults())
	return &learned{
		sizes:      estimate.New(estimate.Defaults()),
		pairs:      pairs,
		health:     quarantine.New(quarantine.Defaults()),
		governor:   interference.NewGovernor(interference.Omaruru(), pairs),
		startBatch: true,
	}
}

// Slowdown predicts the slowdown of a class beside residents in percent.
func (learned *learned) Slowdown(class string, residents []string) int {
	return learned.pairs.At(plannedLoad).Slowdown(class, residents)
}

// Admit refuses ordinary work while the preset in force does not let it start.
func (learned *learned) Admit(_ ident.Team, _ unit.Resources, urgent bool) (reason string, ok bool) {
	if !urgent && !learned.startBatch {
		return "the preset in force starts no ordinary work", false
	}
	return "", true
}

// started records confirmed starts as evidence about the worker.
func (learned *learned) started(on ident.Worker, results []placement.StartResult, now clock.Time) {
	for _, result := range results {
		if result.OK {
			learned.health.Started(result.Task, on, now)
		}
	}
}

// ending is what the entry knows of the job of an ended task.
type ending struct {
	class string
	// resumed tasks ran only for a part of their run time.
	resumed bool
	// largest is the most memory that a worker has for tasks.
	largest unit.Mebibytes
}

// taskEnded records an end as evidence about the worker and the job and as a measurement of its size.
// Running out of memory is neither the worker's fault nor a reason to wait: the next attempt asks for
// more.
func (learned *learned) taskEnded(on ident.Worker, status worker.Status, known ending, now clock.Time) {
	name := status.Task.Job
	if status.Peak > 0 {
		learned.sizes.Peak(name, known.class, status.Peak, now)
	}
	switch {
	case status.State == worker.Finished:
		learned.health.Succeeded(status.Task, on, now)
		if status.Ran > 0 && !known.resumed {
			learned.sizes.Finished(name, known.class, status.Ran, now)
		}
	case status.State == worker.Failed && status.End == worker.OutOfMemory:
		learned.health.Stopped(status.Task, on)
		floor := learned.sizes.OutOfMemory(name, known.class, status.Resources.Memory, known.largest)
		klog.InfoS("Task ran out of memory", "Task", status.Task.String(), "Epoch", status.Epoch, "Worker", on,
			"LimitMiB", status.Resources.Memory, "NextMiB", floor)
	case status.State == worker.Failed:
		learned.health.Failed(status.Task, on, status.Reason, now)
	case status.State == worker.Stopped:
		learned.health.Stopped(status.Task, on)
	}
}

// Size returns the size to reserve for a task of the job. The margin on measured memory does not pass
// the largest worker: only a task that ran out of memory there cannot run.
func (learned *learned) Size(name ident.Job, class string, declared unit.Resources) unit.Resources {
	size := learned.sizes.Size(name, class, declared)
	if largest := learned.largest; size.Memory > largest && declared.Memory <= largest && learned.sizes.Floor(name, class) <= largest {
		size.Memory = largest
	}
	return size
}
