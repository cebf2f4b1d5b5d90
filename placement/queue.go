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

// priorityCredit is how much earlier a job is due per level of priority. Because it is a fixed
// credit, a job of the lowest priority is overtaken only by jobs submitted up to 18 minutes later.
const priorityCredit = 2 * clock.Minute

// lane is the queue of one team's jobs of one urgency, in order of their keys.
type lane struct {
	team   ident.Team
	urgent bool
	jobs   []*jobView
	// next is the position within the current round.
	next int
}

func compareViews(first, second *jobView) int {
	return cmp.Or(cmp.Compare(first.key, second.key), strings.Compare(string(first.name), string(second.name)))
}

// enqueue puts a loaded job into its lane.
func (scheduler *Scheduler) enqueue(view *jobView) {
	spec := &view.row.Spec
	patience := spec.Patience
	if patience == 0 || patience > scheduler.settings.Starvation {
		patience = scheduler.settings.Starvation
	}
	submitted := view.loadedAt.Add(-view.base.Waited)
	view.key = submitted.Add(patience - clock.Millis(spec.Priority)*priorityCredit)
	position, found := slices.BinarySearchFunc(scheduler.lanes, spec, func(other *lane, spec *job.Spec) int {
		return cmp.Or(strings.Compare(string(other.team), string(spec.Team)), compareBool(other.urgent, spec.Urgent))
	})
	if !found {
		scheduler.lanes = slices.Insert(scheduler.lanes, position, &lane{team: spec.Team, urgent: spec.Urgent})
	}
	view.lane = scheduler.lanes[position]
	scheduler.noteQueue(view)
}

func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case first:
		return 1
	}
	return -1
}

// noteQueue has the job's place in the queue reviewed before the next search.
func (scheduler *Scheduler) noteQueue(view *jobView) {
	if !view.touched {
		view.touched = true
		scheduler.touched = append(scheduler.touched, view)
	}
}

// reviewQueue keeps each job in its lane exactly while it has tasks to place.
func (scheduler *Scheduler) reviewQueue() {
	for _, view := range scheduler.touched {
		view.touched = false
		if scheduler.jobs[view.name] == view {
			scheduler.reviewJob(view)
		}
	}
	clear(scheduler.touched)
	scheduler.touched = scheduler.touched[:0]
}

func (scheduler *Scheduler) reviewJob(view *jobView) {
	waiting := len(scheduler.waiting(view)) > 0
	if !waiting {
		scheduler.unqueue(view)
		if view.finalAt == 0 && view.row.Final() {
			view.finalAt = scheduler.now
			scheduler.retired = append(scheduler.retired, view)
		}
		return
	}
	if view.queued {
		return
	}
	position, _ := slices.BinarySearchFunc(view.lane.jobs, view, compareViews)
	view.lane.jobs = slices.Insert(view.lane.jobs, position, view)
	view.queued = true
}

func (scheduler *Scheduler) unqueue(view *jobView) {
	if !view.queued {
		return
	}
	position, found := slices.BinarySearchFunc(view.lane.jobs, view, compareViews)
	if found {
		view.lane.jobs = slices.Delete(view.lane.jobs, position, position+1)
	}
	view.queued = false
}

// waiting returns the indices of tasks that wait and are not reserved, in ascending order.
func (scheduler *Scheduler) waiting(view *jobView) []int {
	if !view.stale {
		return view.waiting
	}
	view.stale = false
	view.waiting = view.waiting[:0]
	if view.row.Cancelled {
		return view.waiting
	}
	for index := range view.row.Tasks {
		if view.row.Tasks[index].State != job.Waiting {
			continue
		}
		if _, reserving := view.reserving[index]; !reserving {
			view.waiting = append(view.waiting, index)
		}
	}
	return view.waiting
}

// waited returns the time since the submission.
func (scheduler *Scheduler) waited(view *jobView) clock.Millis {
	return view.base.Waited + scheduler.now.Sub(view.loadedAt)
}

// share returns the team's dominant share of all workers, in thousandths of a percent.
func (scheduler *Scheduler) share(team *teamView) int64 {
	used := scheduler.dependencies.Accounts.Used(team.name).Add(team.asked)
	part := func(amount, whole int64) int64 {
		if whole <= 0 {
			return 0
		}
		return amount * 100_000 / whole
	}
	return max(
		part(int64(used.CPU), int64(scheduler.total.CPU)),
		part(int64(used.Memory), int64(scheduler.total.Memory)),
		part(int64(used.Accelerators), int64(scheduler.total.Accelerators)),
	)
}

// learnedSize returns what to reserve for a task: the learned size, or the declared one if that is
// not usable.
func (scheduler *Scheduler) learnedSize(spec *job.Spec) unit.Resources {
	size := scheduler.dependencies.Sizer.Size(spec.Job, spec.Class, spec.Declared)
	if size.Negative() || size.IsZero() {
		size = spec.Declared
	}
	// Devices cannot be shared, so their number is never learned.
	size.Accelerators = spec.Declared.Accelerators
	return size
}

// size returns what to reserve for a task of a job that has not run. A size learned from others of
// its class does not make up for a declared size that no worker can hold.
func (scheduler *Scheduler) size(spec *job.Spec) unit.Resources {
	size := scheduler.learnedSize(spec)
	if !spec.Declared.FitsIn(size) && !scheduler.holdable(spec, spec.Declared) {
		return size.Max(spec.Declared)
	}
	return size
}

// sizeOf returns what to reserve for a task of the job. Once the job has run, its size is known from
// its own tasks, also if workers became smaller, for example by a preset's headroom.
func (scheduler *Scheduler) sizeOf(view *jobView) unit.Resources {
	size := scheduler.learnedSize(&view.row.Spec)
	if view.row.Spec.Declared.FitsIn(size) || view.ran() {
		return size
	}
	return scheduler.size(&view.row.Spec)
}

// ran reports whether a task of the job was placed before.
func (view *jobView) ran() bool {
	for index := range view.row.Tasks {
		if view.row.Tasks[index].Epoch > 0 {
			return true
		}
	}
	return false
}

// holdable reports whether an empty known worker could hold the size. It is true while no worker is
// known.
func (scheduler *Scheduler) holdable(spec *job.Spec, size unit.Resources) bool {
	for _, worker := range scheduler.order {
		if worker.known && spec.Allows(worker.state.DataCentre) && size.FitsIn(worker.state.Capacity) {
			return true
		}
	}
	return scheduler.total.IsZero()
}
