package placement

import (
	"cmp"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
)

// priorityCredit is how much earlier a job is due per level of priority. The credit does not grow
// with time, so a job of the lowest priority is overtaken only by jobs submitted up to 18 minutes
// later.
const priorityCredit = 2 * clock.Minute

// teamQueue holds one team's jobs with waiting tasks, either the urgent or the ordinary ones, in
// order of their queue keys.
type teamQueue struct {
	team   ident.Team
	urgent bool
	jobs   []*jobView
	// nextIndex is the position at which the next pass continues.
	nextIndex int
}

// compareQueueOrder orders jobs by queue key, then by name.
func compareQueueOrder(first, second *jobView) int {
	return cmp.Or(cmp.Compare(first.queueKey, second.queueKey), strings.Compare(string(first.name), string(second.name)))
}

// assignQueue computes the job's queue key and selects its queue.
func (scheduler *Scheduler) assignQueue(view *jobView) {
	spec := &view.row.Spec
	patience := spec.Patience
	if patience == 0 || patience > scheduler.settings.Starvation {
		patience = scheduler.settings.Starvation
	}
	submittedAt := view.loadedAt.Add(-view.base.Waited)
	view.queueKey = submittedAt.Add(patience - clock.Millis(spec.Priority)*priorityCredit)
	position, found := slices.BinarySearchFunc(scheduler.queues, spec, func(other *teamQueue, spec *job.Spec) int {
		return cmp.Or(strings.Compare(string(other.team), string(spec.Team)), compareBool(other.urgent, spec.Urgent))
	})
	if !found {
		scheduler.queues = slices.Insert(scheduler.queues, position, &teamQueue{team: spec.Team, urgent: spec.Urgent})
	}
	view.queue = scheduler.queues[position]
	scheduler.markQueueDirty(view)
}

// compareBool orders true before false.
func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case first:
		return 1
	}
	return -1
}

// markQueueDirty schedules an update of the job's queue membership before the next pass.
func (scheduler *Scheduler) markQueueDirty(view *jobView) {
	if !view.queueDirty {
		view.queueDirty = true
		scheduler.queueDirtyJobs = append(scheduler.queueDirtyJobs, view)
	}
}

// updateQueues adds jobs that have tasks to place to their queues, and removes those that have
// none.
func (scheduler *Scheduler) updateQueues() {
	for _, view := range scheduler.queueDirtyJobs {
		view.queueDirty = false
		if scheduler.jobs[view.name] == view {
			scheduler.updateQueueMembership(view)
		}
	}
	clear(scheduler.queueDirtyJobs)
	scheduler.queueDirtyJobs = scheduler.queueDirtyJobs[:0]
}

// updateQueueMembership adds the job to its queue if it has tasks to place and removes it
// otherwise. It also records when the job became final.
func (scheduler *Scheduler) updateQueueMembership(view *jobView) {
	hasWaiting := len(scheduler.waitingTasks(view)) > 0
	if !hasWaiting {
		scheduler.dequeue(view)
		if view.finalAt == 0 && view.row.Final() {
			view.finalAt = scheduler.now
			scheduler.finalJobs = append(scheduler.finalJobs, view)
		}
		return
	}
	if view.queued {
		return
	}
	position, _ := slices.BinarySearchFunc(view.queue.jobs, view, compareQueueOrder)
	view.queue.jobs = slices.Insert(view.queue.jobs, position, view)
	view.queued = true
}

func (scheduler *Scheduler) dequeue(view *jobView) {
	if !view.queued {
		return
	}
	position, found := slices.BinarySearchFunc(view.queue.jobs, view, compareQueueOrder)
	if found {
		view.queue.jobs = slices.Delete(view.queue.jobs, position, position+1)
	}
	view.queued = false
}

// waitingTasks returns the indices of tasks that wait and are not reserved, in ascending order.
func (scheduler *Scheduler) waitingTasks(view *jobView) []int {
	if !view.waitingStale {
		return view.waiting
	}
	view.waitingStale = false
	view.waiting = view.waiting[:0]
	if view.row.Cancelled {
		return view.waiting
	}
	for index := range view.row.Tasks {
		if view.row.Tasks[index].State != job.Waiting {
			continue
		}
		if _, held := view.holds[index]; !held {
			view.waiting = append(view.waiting, index)
		}
	}
	return view.waiting
}

// waitingTime returns the time since the submission.
func (scheduler *Scheduler) waitingTime(view *jobView) clock.Millis {
	return view.base.Waited + scheduler.now.Sub(view.loadedAt)
}

// dominantShare returns the team's dominant share of the total capacity, in thousandths of a
// percent.
func (scheduler *Scheduler) dominantShare(team *teamView) int64 {
	used := scheduler.dependencies.Accounts.Used(team.name).Add(team.uncommitted)
	share := func(amount, whole int64) int64 {
		if whole <= 0 {
			return 0
		}
		return amount * 100_000 / whole
	}
	return max(
		share(int64(used.CPU), int64(scheduler.totalCapacity.CPU)),
		share(int64(used.Memory), int64(scheduler.totalCapacity.Memory)),
		share(int64(used.Accelerators), int64(scheduler.totalCapacity.Accelerators)),
	)
}

// learnedSize returns what to reserve for a task: the learned size, or the declared one if the
// learned one is unusable.
func (scheduler *Scheduler) learnedSize(spec *job.Spec) unit.Resources {
	size := scheduler.dependencies.Sizer.Size(spec.Job, spec.Class, spec.Declared)
	if size.Negative() || size.IsZero() {
		size = spec.Declared
	}
	// Accelerators cannot be shared, so their number is never learned.
	size.Accelerators = spec.Declared.Accelerators
	return size
}

// sizeForNewJob returns what to reserve for a task of a job that has not run. If no worker can hold
// the declared size, a smaller size learned from other jobs of the class is not used.
func (scheduler *Scheduler) sizeForNewJob(spec *job.Spec) unit.Resources {
	size := scheduler.learnedSize(spec)
	if !spec.Declared.FitsIn(size) && !scheduler.fitsSomeWorker(spec, spec.Declared) {
		return size.Max(spec.Declared)
	}
	return size
}

// sizeForJob returns what to reserve for a task of the job. Once the job has run, the learned size
// is that of its own tasks and is used even if workers became smaller since, for example by the
// headroom of a preset.
func (scheduler *Scheduler) sizeForJob(view *jobView) unit.Resources {
	size := scheduler.learnedSize(&view.row.Spec)
	if view.row.Spec.Declared.FitsIn(size) || view.hasRun() {
		return size
	}
	return scheduler.sizeForNewJob(&view.row.Spec)
}

// hasRun reports whether a task of the job was placed before.
func (view *jobView) hasRun() bool {
	for index := range view.row.Tasks {
		if view.row.Tasks[index].Epoch > 0 {
			return true
		}
	}
	return false
}

// fitsSomeWorker reports whether a worker with a reported state could hold the size when empty. It
// is true while no worker has reported.
func (scheduler *Scheduler) fitsSomeWorker(spec *job.Spec, size unit.Resources) bool {
	for _, worker := range scheduler.sortedWorkers {
		if worker.hasState && spec.Allows(worker.state.DataCentre) && size.FitsIn(worker.state.Capacity) {
			return true
		}
	}
	return scheduler.totalCapacity.IsZero()
}
