package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// maxDetails limits the descriptions of violations. The counts are not limited.
const maxDetails = 100

// Violations counts violations of the platform's rules for tasks. The zero value means none.
type Violations struct {
	// TwoPlaces counts runs that started while another run of the same task was running.
	TwoPlaces int
	// EpochReused counts runs with an epoch at or below that of an earlier run of the task.
	EpochReused int
	// AfterFinish counts runs that started after a run of the task had finished.
	AfterFinish int
	// BehindCheckpoint counts runs that started with less progress than a checkpoint held, and
	// LostMillis sums the difference. A checkpoint saved just before both its worker and agent were
	// lost counts too, because nothing else received its name.
	BehindCheckpoint int
	LostMillis       clock.Millis
	// OverCapacity counts starts that exceeded the capacity of their worker.
	OverCapacity int
	// Details describes the first violations.
	Details []string
}

// HasViolations reports whether there is any violation.
func (violations Violations) HasViolations() bool {
	return violations.TwoPlaces+violations.EpochReused+violations.AfterFinish+violations.BehindCheckpoint+violations.OverCapacity > 0
}

func (violations *Violations) describe(format string, values ...any) {
	if len(violations.Details) < maxDetails {
		violations.Details = append(violations.Details, fmt.Sprintf(format, values...))
	}
}

// RunCounts counts runs by their state.
type RunCounts struct {
	Started       int
	StartFailures int
	Running       int
	Finished      int
	Failed        int
	Stopped       int
	LeaseLapsed   int
	// RepeatedMillis is the progress that a later run had to repeat, because it was made after the
	// newest checkpoint. Some repetition is unavoidable when workers are lost.
	RepeatedMillis clock.Millis
}

// Violations checks all recorded runs.
func (records *Records) Violations() Violations {
	var violations Violations
	runsByTask := make(map[ident.Task][]Run)
	for _, run := range records.Runs() {
		runsByTask[run.Task] = append(runsByTask[run.Task], run)
	}
	for _, task := range sortedTasks(runsByTask) {
		violations.checkTask(runsByTask[task])
	}
	for _, violation := range records.CapacityViolations() {
		violations.OverCapacity++
		violations.describe("worker %s at %d: %s used of %s", violation.Worker, violation.At, violation.Used, violation.Capacity)
	}
	return violations
}

// checkTask checks the runs of one task, in the order of their starts.
func (violations *Violations) checkTask(runs []Run) {
	slices.SortStableFunc(runs, func(left, right Run) int { return cmp.Compare(left.Start, right.Start) })
	var previous Run // the previous run with the latest end
	var epoch ident.Epoch
	var savedProgress clock.Millis
	finished := false
	for index, run := range runs {
		if index > 0 {
			if run.Start.Before(endTime(previous)) {
				violations.TwoPlaces++
				violations.describe("task %s epoch %d started on %s at %d while epoch %d ran on %s until %d",
					run.Task, run.Epoch, run.Worker, run.Start, previous.Epoch, previous.Worker, endTime(previous))
			}
			if run.Epoch <= epoch {
				violations.EpochReused++
				violations.describe("task %s epoch %d started on %s after epoch %d", run.Task, run.Epoch, run.Worker, epoch)
			}
			if finished {
				violations.AfterFinish++
				violations.describe("task %s epoch %d started on %s after the task had finished", run.Task, run.Epoch, run.Worker)
			}
			if run.FromMillis < savedProgress {
				violations.BehindCheckpoint++
				violations.LostMillis += savedProgress - run.FromMillis
				violations.describe("task %s epoch %d started on %s from %s of %s saved", run.Task, run.Epoch, run.Worker, run.FromMillis, savedProgress)
			}
		}
		if index == 0 || endTime(run).After(endTime(previous)) {
			previous = run
		}
		epoch = max(epoch, run.Epoch)
		savedProgress = max(savedProgress, run.SavedMillis)
		finished = finished || run.State == worker.Finished
	}
}

// endTime returns the end of a run. For a running one it is later than all other times.
func endTime(run Run) clock.Time {
	if run.State == worker.Running {
		return math.MaxInt64
	}
	return run.End
}

// Counts counts the runs by their state.
func (records *Records) Counts() RunCounts {
	runs := records.Runs()
	records.mu.Lock()
	counts := RunCounts{Started: len(runs), StartFailures: records.startFailures}
	records.mu.Unlock()
	maxProgress := make(map[ident.Task]clock.Millis)
	for _, run := range runs {
		switch run.State {
		case worker.Running:
			counts.Running++
		case worker.Finished:
			counts.Finished++
		case worker.Failed:
			counts.Failed++
		case worker.Stopped:
			counts.Stopped++
		}
		if run.Reason == reasonLeaseLapsed {
			counts.LeaseLapsed++
		}
		if run.Kind == worker.Batch {
			counts.RepeatedMillis += max(0, min(maxProgress[run.Task], run.ToMillis)-run.FromMillis)
			maxProgress[run.Task] = max(maxProgress[run.Task], run.ToMillis)
		}
	}
	return counts
}

func sortedTasks(runsByTask map[ident.Task][]Run) []ident.Task {
	tasks := make([]ident.Task, 0, len(runsByTask))
	for task := range runsByTask {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, compareTasks)
	return tasks
}
