package placement

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
)

// Explanation describes the state of a job.
type Explanation struct {
	Job    ident.Job
	States map[job.State]int
	// Reason is why waiting or parked tasks are not placed; empty if there are none.
	Reason string
	// Waited is the time since the submission.
	Waited clock.Millis
	// Late is set if a task still waits for its first start after the job's patience.
	Late bool
}

// Explain describes the state of a job. It returns false if the job is unknown here.
func (scheduler *Scheduler) Explain(name ident.Job) (Explanation, bool) {
	view, ok := scheduler.jobs[name]
	if !ok {
		return Explanation{}, false
	}
	explanation := Explanation{Job: name, States: make(map[job.State]int), Waited: scheduler.waitingTime(view)}
	unplaced, neverPlaced := false, false
	parkedReason := ""
	for index := range view.row.Tasks {
		task := &view.row.Tasks[index]
		explanation.States[task.State]++
		if task.State == job.Waiting || task.State == job.Parked {
			unplaced = true
			neverPlaced = neverPlaced || task.Epoch == 0
		}
		if task.State == job.Parked && parkedReason == "" {
			parkedReason = task.Reason
		}
	}
	if unplaced {
		explanation.Reason = view.reason
		if parkedReason != "" {
			explanation.Reason = parkedReason
		}
		if scheduler.now.Before(scheduler.tableRetryAt) {
			explanation.Reason = "TableUnavailable: nothing is placed while the table cannot be written"
		}
		if explanation.Reason == "" {
			explanation.Reason = "Waiting for the next round"
		}
	}
	patience := view.row.Spec.Patience
	explanation.Late = neverPlaced && patience > 0 && explanation.Waited > patience
	return explanation, true
}

// Job returns a copy of the job's row as this scheduler sees it, including changes that are not in
// the table yet, and false if the job is unknown here.
func (scheduler *Scheduler) Job(name ident.Job) (*job.Row, bool) {
	view, ok := scheduler.jobs[name]
	if !ok {
		return nil, false
	}
	return view.row.Clone(), true
}

// Fits reports whether the workers with a reported state could hold the job when empty, and the
// reason if not. Submissions are refused if they could not, so it returns true while no worker has
// reported.
func (scheduler *Scheduler) Fits(spec job.Spec) (reason string, ok bool) {
	if scheduler.totalCapacity.IsZero() {
		return "", true
	}
	return scheduler.couldFit(&spec, scheduler.sizeForNewJob(&spec))
}

// LargestMemory returns the largest memory for tasks among the workers with a reported state.
func (scheduler *Scheduler) LargestMemory() unit.Mebibytes {
	largest := unit.Mebibytes(0)
	for _, worker := range scheduler.sortedWorkers {
		if worker.hasState {
			largest = max(largest, worker.state.Capacity.Memory)
		}
	}
	return largest
}

// Spec returns the job's specification, and whether an earlier placement of the task left a
// checkpoint that a later one resumed from. It returns false if the job is unknown here.
func (scheduler *Scheduler) Spec(task ident.Task) (spec job.Spec, resumed, ok bool) {
	view, ok := scheduler.jobs[task.Job]
	if !ok {
		return job.Spec{}, false, false
	}
	if task.Index >= 0 && task.Index < len(view.row.Tasks) {
		resumed = view.row.Tasks[task.Index].Checkpoint.Name != ""
	}
	return view.row.Spec, resumed, true
}

// couldFit reports whether the workers could hold the job when empty, and the reason if not.
// Workers in closed data centres count, because the data centres return.
func (scheduler *Scheduler) couldFit(spec *job.Spec, size unit.Resources) (reason string, ok bool) {
	fitting := int64(0)
	var largest unit.Resources
	for _, worker := range scheduler.sortedWorkers {
		if !worker.hasState || !spec.Allows(worker.state.DataCentre) {
			continue
		}
		largest = largest.Max(worker.state.Capacity)
		if !size.FitsIn(worker.state.Capacity) {
			continue
		}
		if !spec.Gang {
			return "", true
		}
		fitting += countFitting(size, worker.state.Capacity)
		if fitting >= int64(spec.Count) {
			return "", true
		}
	}
	if fitting > 0 {
		return fmt.Sprintf("NeverFits: all %d tasks must run together, workers hold %d of them", spec.Count, fitting), false
	}
	return fmt.Sprintf("NeverFits: a task needs %s, workers hold up to %s", size, largest), false
}

// countFitting returns how many tasks of the size fit in room.
func countFitting(size, room unit.Resources) int64 {
	count := int64(job.MaxTasks)
	if size.CPU > 0 {
		count = min(count, int64(room.CPU/size.CPU))
	}
	if size.Memory > 0 {
		count = min(count, int64(room.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		count = min(count, int64(room.Accelerators/size.Accelerators))
	}
	return count
}

// Stats holds the current numbers of jobs and tasks, and counters since New. BadRows counts rows that
// cannot be used, and TeamRepairs refunds that exceeded the usage in the team's row.
type Stats struct {
	Jobs, Waiting, Live, Parked                    int
	Transactions, Claims, Conflicts, Unknown       int
	Placed, Started, NotStarted, Evictions, Losses int
	Preemptions, Refusals, BadRows, TeamRepairs    int
}

// Stats returns the counters.
func (scheduler *Scheduler) Stats() Stats {
	stats := scheduler.stats
	stats.Jobs = len(scheduler.jobs)
	for _, view := range scheduler.jobs {
		for index := range view.row.Tasks {
			switch state := view.row.Tasks[index].State; {
			case state == job.Waiting:
				stats.Waiting++
			case state == job.Parked:
				stats.Parked++
			case state.Live():
				stats.Live++
			}
		}
	}
	return stats
}
