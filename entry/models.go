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

// plannedLoadPercent is the CPU load of a worker for which placement predicts interference.
const plannedLoadPercent = 80

// learnedModels holds the models of task sizes, interference and faults that the entry learns. It
// belongs to the control goroutine.
type learnedModels struct {
	sizes        *estimate.Model
	interference *interference.Model
	health       *quarantine.Tracker
	governor     *interference.Governor
	// startBatch is set if the preset in force allows ordinary work to start.
	startBatch bool
	// largestMemory is the most memory that a worker has for tasks.
	largestMemory unit.Mebibytes
}

func newLearnedModels() *learnedModels {
	interferenceModel := interference.NewModel(interference.Defaults())
	return &learnedModels{
		sizes:        estimate.New(estimate.Defaults()),
		interference: interferenceModel,
		health:       quarantine.New(quarantine.Defaults()),
		governor:     interference.NewGovernor(interference.LatencyFirst(), interferenceModel),
		startBatch:   true,
	}
}

// Slowdown predicts the slowdown in percent of a class of tasks beside residents of the given
// classes.
func (models *learnedModels) Slowdown(class string, residents []string) int {
	return models.interference.At(plannedLoadPercent).Slowdown(class, residents)
}

// Admit refuses ordinary work while the preset in force does not allow it to start.
func (models *learnedModels) Admit(_ ident.Team, _ unit.Resources, urgent bool) (reason string, ok bool) {
	if !urgent && !models.startBatch {
		return "the preset in force starts no ordinary work", false
	}
	return "", true
}

// recordStarts records confirmed starts as evidence about the worker.
func (models *learnedModels) recordStarts(on ident.Worker, results []placement.StartResult, now clock.Time) {
	for _, result := range results {
		if result.OK {
			models.health.Started(result.Task, on, now)
		}
	}
}

// endedJob describes the job of an ended task.
type endedJob struct {
	class string
	// resumed is set if the task started from a checkpoint, so that it ran only for a part of its
	// run time.
	resumed bool
	// largestMemory is the most memory that a worker has for tasks.
	largestMemory unit.Mebibytes
}

// taskEnded records an end as evidence about the worker and the job and as a sample of the job's
// size. Running out of memory does not count as a failure of the worker or the job: the next
// attempt asks for more memory.
func (models *learnedModels) taskEnded(on ident.Worker, status worker.Status, job endedJob, now clock.Time) {
	name := status.Task.Job
	if status.Peak > 0 {
		models.sizes.RecordPeak(name, job.class, status.Peak, now)
	}
	switch {
	case status.State == worker.Finished:
		models.health.Succeeded(status.Task, on, now)
		if status.Ran > 0 && !job.resumed {
			models.sizes.RecordRunTime(name, job.class, status.Ran, now)
		}
	case status.State == worker.Failed && status.End == worker.OutOfMemory:
		models.health.Stopped(status.Task, on)
		floor := models.sizes.RecordOutOfMemory(name, job.class, status.Resources.Memory, job.largestMemory)
		klog.InfoS("Task ran out of memory", "Task", status.Task.String(), "Epoch", status.Epoch, "Worker", on,
			"LimitMiB", status.Resources.Memory, "NextMiB", floor)
	case status.State == worker.Failed:
		models.health.Failed(status.Task, on, status.Reason, now)
	case placement.IsEarlyLoss(status):
		models.health.Lost(status.Task, on, "ended with the worker's process", now)
	case status.State == worker.Stopped:
		models.health.Stopped(status.Task, on)
	}
}

// Size returns the size to reserve for a task of the job. The margin on measured memory is limited
// to the largest worker, so that only a task that ran out of memory there cannot be placed.
func (models *learnedModels) Size(name ident.Job, class string, declared unit.Resources) unit.Resources {
	size := models.sizes.Size(name, class, declared)
	if largestMemory := models.largestMemory; size.Memory > largestMemory && declared.Memory <= largestMemory && models.sizes.Floor(name, class) <= largestMemory {
		size.Memory = largestMemory
	}
	return size
}
