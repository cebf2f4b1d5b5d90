package workflow

import (
	"slices"

	"hyssopjunction/clock"
)

// Phase tells whether a task is waiting, active or done.
type Phase uint8

// Phases of a task.
const (
	// Waiting tasks have no active run: none was started yet, or the last one ended without completing the
	// task.
	Waiting Phase = iota
	// Active tasks have a run on a worker.
	Active
	// Done tasks have a run that finished.
	Done
)

// String returns the name of the phase.
func (phase Phase) String() string {
	switch phase {
	case Waiting:
		return "waiting"
	case Active:
		return "active"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// State is the progress of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (state State) Final() bool {
	return state == Completed || state == Failed || state == Cancelled
}

// Cause is the cause of the end of a run.
type Cause uint8

// Causes of the end of a run.
const (
	// Finished runs ended with success.
	Finished Cause = iota + 1
	// Faulted runs failed through the task or the worker. They count towards Policy.MaxAttempts.
	Faulted
	// Interrupted runs were stopped, or lost when their worker's lease lapsed.
	Interrupted
)

// ActiveRun is a run that has not ended, and the incarnation of its worker.
type ActiveRun struct {
	Run    Run
	Worker string
}

// SupersededRun is an active run of a task that is done, because its other run finished first. Its end changes nothing.
type SupersededRun struct {
	Name Name
	ActiveRun
}

// Task is the state of one task. An active task has one run, or two if its step permits copies.
type Task struct {
	Phase Phase
	// Run is the number of the last run, or 0 if there was none.
	Run Run
	// Worker is the incarnation of the worker of the last run while that is active, or empty.
	Worker string
	// Other is the active run that was placed before the last run, which is a copy of it. Its number is 0 if there is
	// none.
	Other ActiveRun
	// Failures counts the runs that ended as Faulted.
	Failures int
	// Saved is the newest checkpoint.
	Saved Checkpoint
}

// ActiveRuns returns the active runs of the task by ascending number.
func (task *Task) ActiveRuns() []ActiveRun {
	var runs []ActiveRun
	if task.Other.Run != 0 {
		runs = append(runs, task.Other)
	}
	if task.Phase == Active && task.Worker != "" {
		runs = append(runs, ActiveRun{Run: task.Run, Worker: task.Worker})
	}
	return runs
}

// Workers returns the workers of the active runs, separated by commas.
func (task *Task) Workers() string {
	if task.Other.Run != 0 && task.Worker != "" {
		return task.Other.Worker + "," + task.Worker
	}
	return task.Other.Worker + task.Worker
}

// HasRun reports whether the run with the number is active.
func (task *Task) HasRun(number Run) bool {
	return task.Phase == Active && number != 0 && (number == task.Other.Run || number == task.Run && task.Worker != "")
}

// removeRun removes an active run. The task waits if it was the only one.
func (task *Task) removeRun(number Run) {
	if number == task.Other.Run {
		task.Other = ActiveRun{}
	} else {
		task.Worker = ""
	}
	if task.Other.Run == 0 && task.Worker == "" {
		task.Phase = Waiting
	}
}

// Occurrence is one repetition of all steps of a job.
type Occurrence struct {
	Number int
	// Steps holds the tasks by position of the step and index of the task.
	Steps [][]Task
	// unfinished holds the number of tasks of each step that are not done.
	unfinished []int
}

// Complete reports whether all tasks are done.
func (occurrence *Occurrence) Complete() bool {
	for _, count := range occurrence.unfinished {
		if count > 0 {
			return false
		}
	}
	return true
}

// hasTask reports whether the occurrence has a task at the position of the step and the index.
func (occurrence *Occurrence) hasTask(step, index int) bool {
	return step >= 0 && step < len(occurrence.Steps) && index >= 0 && index < len(occurrence.Steps[step])
}

// Unfinished returns the number of tasks of the step that are not done.
func (occurrence *Occurrence) Unfinished(step int) int { return occurrence.unfinished[step] }

// Waiting returns the number of tasks of the step that wait.
func (occurrence *Occurrence) Waiting(step int) int {
	waiting := 0
	for _, task := range occurrence.Steps[step] {
		if task.Phase == Waiting {
			waiting++
		}
	}
	return waiting
}

// Job is a job with the state of its tasks. Its methods are not safe for concurrent use.
type Job struct {
	Spec  Spec
	State State
	// Occurrences holds the occurrences that are due and not complete, by ascending number.
	Occurrences []*Occurrence
	// Next is the number of the first occurrence that is not due yet.
	Next int
	// Superseded holds the runs that are active although their task is done. Their occurrence may be complete.
	Superseded []SupersededRun
	// Crashes holds the crashes that tasks of the job may have caused and have not been cleared of, oldest first.
	Crashes []Crash
}

// New returns a queued job without occurrences. AddDueOccurrences adds them.
func New(spec Spec) *Job {
	return &Job{Spec: spec, State: Queued}
}

// Total returns the number of occurrences of the job.
func (job *Job) Total() int { return max(1, job.Spec.Repetitions) }

// DueAt returns the time of day at which the next occurrence is due, in Unix milliseconds, or false if there is
// no further occurrence.
func (job *Job) DueAt() (int64, bool) {
	if job.Next >= job.Total() {
		return 0, false
	}
	if job.Spec.Repetitions == 0 {
		return 0, true
	}
	return job.Spec.StartAt + int64(job.Next)*int64(job.Spec.Interval), true
}

// AddDueOccurrences adds the occurrences that are due at the time of day, in Unix milliseconds, and reports
// whether it added any. An occurrence that would raise the number of tasks above maxTasks waits until earlier ones are
// complete: the job's state is one row, and the leader holds all tasks in memory.
func (job *Job) AddDueOccurrences(timeOfDay int64) bool {
	added := false
	for job.HasDueOccurrence(timeOfDay) {
		job.Occurrences = append(job.Occurrences, job.newOccurrence(job.Next))
		job.Next++
		added = true
	}
	return added
}

// HasDueOccurrence reports whether AddDueOccurrences would add an occurrence at the time of day, in Unix milliseconds.
func (job *Job) HasDueOccurrence(timeOfDay int64) bool {
	if job.State.Final() {
		return false
	}
	due, ok := job.DueAt()
	return ok && due <= timeOfDay && job.hasRoomForOccurrence()
}

// hasRoomForOccurrence reports whether another occurrence keeps the number of tasks within maxTasks.
func (job *Job) hasRoomForOccurrence() bool {
	tasks := 0
	for _, step := range job.Spec.Steps {
		tasks += step.Count
	}
	return len(job.Occurrences) == 0 || (len(job.Occurrences)+1)*tasks <= maxTasks
}

// newOccurrence returns an occurrence whose tasks had no run yet.
func (job *Job) newOccurrence(number int) *Occurrence {
	occurrence := &Occurrence{Number: number, Steps: make([][]Task, len(job.Spec.Steps)), unfinished: make([]int, len(job.Spec.Steps))}
	for position, step := range job.Spec.Steps {
		occurrence.Steps[position] = make([]Task, step.Count)
		occurrence.unfinished[position] = step.Count
	}
	return occurrence
}

// Occurrence returns the occurrence with the number, or false if it is not due or complete.
func (job *Job) Occurrence(number int) (*Occurrence, bool) {
	for _, occurrence := range job.Occurrences {
		if occurrence.Number == number {
			return occurrence, true
		}
	}
	return nil, false
}

// Task returns the task with the name, or nil if the job has no such task in a due and incomplete occurrence.
func (job *Job) Task(name Name) *Task {
	occurrence, ok := job.Occurrence(name.Occurrence)
	if !ok || !occurrence.hasTask(name.Step, name.Index) {
		return nil
	}
	return &occurrence.Steps[name.Step][name.Index]
}

// Ready reports whether all steps that the step depends on are done.
func (job *Job) Ready(occurrence *Occurrence, step int) bool {
	for _, earlier := range job.Spec.Steps[step].After {
		if occurrence.unfinished[earlier] > 0 {
			return false
		}
	}
	return true
}

// NextRun returns the number of the next run of a task. All members of a gang get the same number, which is
// higher than those of all their earlier runs.
func (job *Job) NextRun(name Name) Run {
	if !job.Spec.Steps[name.Step].Gang {
		return job.Task(name).Run + 1
	}
	occurrence, _ := job.Occurrence(name.Occurrence)
	highest := Run(0)
	for _, member := range occurrence.Steps[name.Step] {
		highest = max(highest, member.Run)
	}
	return highest + 1
}

// Place records the start of a run on a worker. An active task gets a copy of its only run.
func (job *Job) Place(name Name, run Run, worker string) {
	task := job.Task(name)
	if task.Phase == Active && task.Worker != "" {
		task.Other = ActiveRun{Run: task.Run, Worker: task.Worker}
	}
	task.Phase, task.Run, task.Worker = Active, run, worker
	if job.State == Queued {
		job.State = Running
	}
}

// MoveRun records that an active run is on another worker, and reports whether the job has the run.
func (job *Job) MoveRun(name Name, number Run, worker string) bool {
	if job.HasRun(name, number) {
		task := job.Task(name)
		if number == task.Other.Run {
			task.Other.Worker = worker
		} else {
			task.Worker = worker
		}
		return true
	}
	for position := range job.Superseded {
		if run := &job.Superseded[position]; run.Name == name && run.Run == number {
			run.Worker = worker
			return true
		}
	}
	return false
}

// HasRun reports whether the run is an active run of a task that is not done.
func (job *Job) HasRun(name Name, number Run) bool {
	task := job.Task(name)
	return task != nil && task.HasRun(number)
}

// EndRun records the end of an active run, with the last checkpoint that it saved. If it finished, the other run of the
// task becomes a superseded one. If not, the other run goes on. It reports whether the job had the run.
func (job *Job) EndRun(name Name, number Run, cause Cause, saved Checkpoint) bool {
	if !job.HasRun(name, number) {
		return job.endSuperseded(name, number)
	}
	task := job.Task(name)
	if saved != "" {
		job.SaveCheckpoint(name, saved)
	}
	task.removeRun(number)
	switch cause {
	case Finished:
		for _, other := range task.ActiveRuns() {
			job.Superseded = append(job.Superseded, SupersededRun{Name: name, ActiveRun: other})
			task.removeRun(other.Run)
		}
		job.finishTask(name)
	case Faulted:
		task.Failures++
		if !job.Spec.Steps[name.Step].Standing && task.Failures >= job.Spec.Policy.MaxAttempts {
			job.State = Failed
		}
	case Interrupted:
	}
	return true
}

// HasResults reports whether what is stored of the job shows that one of its tasks has started: a task is done, has failed or
// has a checkpoint, or an occurrence is complete.
func (job *Job) HasResults() bool {
	if len(job.Occurrences) < job.Next {
		return true
	}
	for _, occurrence := range job.Occurrences {
		for _, tasks := range occurrence.Steps {
			for _, task := range tasks {
				if task.Phase == Done || task.Failures > 0 || task.Saved != "" {
					return true
				}
			}
		}
	}
	return false
}

// EndRunOfFinalJob records the end of a run of a final job, whose state does not change. It reports whether the job had
// the run.
func (job *Job) EndRunOfFinalJob(name Name, number Run) bool {
	if !job.HasRun(name, number) {
		return job.endSuperseded(name, number)
	}
	job.Task(name).removeRun(number)
	return true
}

// IsSuperseded reports whether the run is active although another one of its task finished.
func (job *Job) IsSuperseded(name Name, number Run) bool {
	return slices.ContainsFunc(job.Superseded, func(run SupersededRun) bool { return run.Name == name && run.Run == number })
}

// endSuperseded removes a superseded run and reports whether there was one.
func (job *Job) endSuperseded(name Name, number Run) bool {
	before := len(job.Superseded)
	job.Superseded = slices.DeleteFunc(job.Superseded, func(run SupersededRun) bool { return run.Name == name && run.Run == number })
	return len(job.Superseded) < before
}

// SaveCheckpoint records a checkpoint of a task. A checkpoint of a gang's member is recorded for all members,
// because they must all resume from the same one.
func (job *Job) SaveCheckpoint(name Name, saved Checkpoint) {
	occurrence, ok := job.Occurrence(name.Occurrence)
	if !ok {
		return
	}
	if !job.Spec.Steps[name.Step].Gang {
		occurrence.Steps[name.Step][name.Index].Saved = saved
		return
	}
	for index := range occurrence.Steps[name.Step] {
		occurrence.Steps[name.Step][index].Saved = saved
	}
}

// finishTask records that a run finished, and completes the occurrence and the job if no task is left.
func (job *Job) finishTask(name Name) {
	occurrence, _ := job.Occurrence(name.Occurrence)
	step := job.Spec.Steps[name.Step]
	if step.Standing {
		return
	}
	tasks := occurrence.Steps[name.Step]
	if step.Gang {
		// All members of a gang finish together, so the first end applies to all.
		for index := range tasks {
			tasks[index].Phase, tasks[index].Worker = Done, ""
		}
		occurrence.unfinished[name.Step] = 0
	} else {
		tasks[name.Index].Phase = Done
		occurrence.unfinished[name.Step]--
	}
	if !occurrence.Complete() {
		return
	}
	job.Occurrences = slices.DeleteFunc(job.Occurrences, func(other *Occurrence) bool { return other == occurrence })
	if len(job.Occurrences) == 0 && job.Next >= job.Total() && !job.State.Final() {
		job.State = Completed
	}
}

// EachTask calls visit for every task of the occurrences that are due and not complete.
func (job *Job) EachTask(visit func(name Name, task *Task)) {
	for _, occurrence := range job.Occurrences {
		for step := range occurrence.Steps {
			for index := range occurrence.Steps[step] {
				visit(Name{Job: job.Spec.ID, Occurrence: occurrence.Number, Step: step, Index: index}, &occurrence.Steps[step][index])
			}
		}
	}
}

// EachRun calls visit for every active run, including superseded ones.
func (job *Job) EachRun(visit func(name Name, run ActiveRun)) {
	job.EachTask(func(name Name, task *Task) {
		for _, run := range task.ActiveRuns() {
			visit(name, run)
		}
	})
	for _, run := range job.Superseded {
		visit(run.Name, run.ActiveRun)
	}
}

// RemainingCriticalPath returns the length of the critical path of the steps that are not done: the longest sum of the
// times of their tasks. It ignores the progress of active tasks.
func (job *Job) RemainingCriticalPath(occurrence *Occurrence, times TimeFunc) clock.Millis {
	longest := clock.Millis(0)
	ends := make([]clock.Millis, len(job.Spec.Steps))
	for position, step := range job.Spec.Steps {
		begin := clock.Millis(0)
		for _, earlier := range step.After {
			begin = max(begin, ends[earlier])
		}
		ends[position] = begin
		if occurrence.unfinished[position] > 0 {
			ends[position] += times(position)
		}
		longest = max(longest, ends[position])
	}
	return longest
}

// RemainingWork returns the processor time of the tasks that are not done, in thousandths of a core times
// milliseconds, from their requested CPU and the times that they take.
func (job *Job) RemainingWork(occurrence *Occurrence, times TimeFunc) int64 {
	work := int64(0)
	for position, step := range job.Spec.Steps {
		work += int64(occurrence.unfinished[position]) * int64(step.Need.CPU) * int64(times(position))
	}
	return work
}
