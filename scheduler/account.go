package scheduler

import (
	"hyssopjunction/account"
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// JobAccount tells where the time of a job went that ended.
type JobAccount struct {
	Job   workflow.ID
	Queue workflow.Queue
	State workflow.State
	// Kind is quick or filling.
	Kind string
	// Age is the time from the acceptance to the end, Objective the time within which the job should have ended, and Path the
	// length of its longest chain by the submitter's estimates.
	Age, Objective, Path clock.Millis
	// Work is that of all tasks by the submitter's estimates, in core-milliseconds.
	Work int64
	// Spent is the time of the chain of tasks that decided the end. It adds up to Age.
	Spent account.Split
	// Tail is the time that the last halves of the steps of this chain took.
	Tail clock.Millis
	// Image is that of the first step.
	Image string
}

// TakeAccounts returns and resets the accounts of the jobs that ended since the last call.
func (scheduler *Scheduler) TakeAccounts() []JobAccount {
	accounts := scheduler.accounts
	scheduler.accounts = nil
	return accounts
}

// stepAccount returns the account of a step, or nil for gangs, standing tasks and scheduled jobs. It begins when the step became
// ready.
func (record *jobRecord) stepAccount(occurrence, step int) *account.Step {
	if record.job.Spec.Repetitions > 0 || record.job.Spec.Steps[step].Standing || record.job.Spec.Steps[step].Gang || occurrence != 0 {
		return nil
	}
	if record.steps == nil {
		record.steps = make([]*account.Step, len(record.job.Spec.Steps))
	}
	if record.steps[step] == nil {
		begunAt := record.acceptedAt
		for _, earlier := range record.job.Spec.Steps[step].After {
			if known := record.steps[earlier]; known != nil {
				begunAt = max(begunAt, known.Ended())
			}
		}
		record.steps[step] = account.NewStep(record.job.Spec.Steps[step].Count, record.finishedTasks(step), begunAt)
	}
	return record.steps[step]
}

// finishedTasks returns the number of the finished tasks of a step in the first occurrence.
func (record *jobRecord) finishedTasks(step int) int {
	finished := 0
	if occurrence, ok := record.job.Occurrence(0); ok {
		for _, task := range occurrence.Steps[step] {
			if task.Phase == workflow.Done {
				finished++
			}
		}
	}
	return finished
}

// accountWait records what the waiting tasks of a candidate wait for.
func (candidate *candidate) accountWait(cause account.Cause, now clock.Time) {
	if step := candidate.record.stepAccount(candidate.occurrence.Number, candidate.step); step != nil {
		step.Wait(cause, now)
	}
}

// accountPlacement records that a task was placed.
func (record *jobRecord) accountPlacement(run *activeRun, now clock.Time) {
	run.account = account.NewRun(now)
	if step := record.stepAccount(run.name.Occurrence, run.name.Step); step != nil && !run.isCopy {
		step.Place(run.name.Index, now)
	}
}

// accountEnd records the end of a run.
func (record *jobRecord) accountEnd(run *activeRun, cause workflow.Cause, saved workflow.Checkpoint, now clock.Time) {
	ending := account.Ending{Finished: cause == workflow.Finished, Saved: saved != "" && saved != run.savedAs, Repeated: account.Lost}
	switch {
	case cause == workflow.Faulted:
		ending.Repeated = account.Failed
	case run.stopping:
		ending.Repeated = account.Moved
	}
	if step := record.stepAccount(run.name.Occurrence, run.name.Step); step != nil && (ending.Finished || !run.isCopy) {
		step.End(run.name.Index, &run.account, ending, now)
	}
}

// accountJob keeps the account of a job that has ended.
func (scheduler *Scheduler) accountJob(record *jobRecord, now clock.Time) {
	spec := &record.job.Spec
	if record.steps == nil || len(spec.Steps) == 0 {
		return
	}
	entry := JobAccount{
		Job: spec.ID, Queue: spec.Queue, State: record.job.State, Kind: "quick", Image: spec.Steps[0].Image,
		Age: now.Sub(record.acceptedAt), Objective: scheduler.objective(record), Path: spec.CriticalPathOf(scheduler.taskTimesOf(record)),
	}
	for position := range spec.Steps {
		step := &spec.Steps[position]
		entry.Work += int64(step.Count) * int64(step.Need.CPU) * int64(scheduler.taskTime(record, position)) / milliPerCore
		if step.Fills {
			entry.Kind = "filling"
		}
	}
	entry.Spent, entry.Tail = account.Chain(record.steps, func(step int) []int { return spec.Steps[step].After })
	entry.Spent[account.Unseen] += max(0, entry.Age-entry.Spent.Total())
	scheduler.accounts = append(scheduler.accounts, entry)
	record.steps = nil
}
