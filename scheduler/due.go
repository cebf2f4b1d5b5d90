package scheduler

import (
	"cmp"
	"slices"

	"hyssopjunction/workflow"
)

// SetTaskLimit limits the tasks of open jobs that are held in memory; 0 means no limit. Jobs beyond it stay queued, in the order of
// their priority and age, until earlier tasks have ended.
func (scheduler *Scheduler) SetTaskLimit(limit int) { scheduler.taskLimit = limit }

// addDueOccurrences adds the occurrences that are due at the time of day, in Unix milliseconds.
func (scheduler *Scheduler) addDueOccurrences(timeOfDay int64) {
	held := 0
	var due []*jobRecord
	for _, record := range scheduler.open {
		held += len(record.job.Occurrences) * record.tasks
		if record.job.HasDueOccurrence(timeOfDay) {
			due = append(due, record)
		}
	}
	slices.SortFunc(due, func(left, right *jobRecord) int {
		return cmp.Or(cmp.Compare(left.job.Spec.Policy.Priority, right.job.Spec.Policy.Priority), cmp.Compare(left.acceptedAt, right.acceptedAt),
			cmp.Compare(left.job.Spec.ID, right.job.Spec.ID))
	})
	for _, record := range due {
		if scheduler.taskLimit > 0 && held > 0 && held+record.tasks > scheduler.taskLimit {
			continue
		}
		scheduler.considered = record.job.Spec.ID
		before := len(record.job.Occurrences)
		if record.job.AddDueOccurrences(timeOfDay) {
			scheduler.dirty = true
			scheduler.dirtyJobs[record.job.Spec.ID] = record
		}
		held += (len(record.job.Occurrences) - before) * record.tasks
	}
	scheduler.considered = ""
}

// taskCount returns the number of tasks of an occurrence of a job.
func taskCount(spec workflow.Spec) int {
	count := 0
	for _, step := range spec.Steps {
		count += step.Count
	}
	return count
}
