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

// maxDetails bounds the descriptions kept of violations; the counts are not bounded.
const maxDetails = 100

// Violations count what must never happen to tasks. The zero value is a clean record.
type Violations struct {
	// TwoPlaces counts runs that started while another run of the same task was running.
	TwoPlaces int
	// EpochReused counts runs with an epoch at or below that of an earlier run of the task.
	EpochReused int
	// AfterFinish counts runs that started after a run of the task had finished.
	AfterFinish int
	// BehindCheckpoint counts runs that started from less progress than was saved before, and
	// LostMillis is the sum of that progress. A checkpoint saved just before its worker and agent
	// were lost also counts, because nobody else learned of it.
	BehindCheckpoint int
	LostMillis       clock.Millis
	// OverCapacity counts starts that exceeded the capacity of their worker.
	OverCapacity int
	// Details describes the first violations.
	Details []string
}

// Any reports whether there is a violation.
func (violations Violations) Any() bool {
	return violations.TwoPlaces+violations.EpochReused+violations.AfterFinish+violations.BehindCheckpoint+violations.OverCapacity > 0
}

func (violations *Violations) describe(format string, values ...any) {
	if len(violations.Details) < maxDetails {
		violations.Details = append(violations.Details, fmt.Sprintf(format, values...))
	}
}

// RunCounts count runs by their state.
type RunCounts struct {
	Started       int
	StartFailures int
	Running       int
	Finished      int
	Failed        int
	Stopped       int
	LeaseLapsed   int
	// RepeatedMillis is the progress that was made after the newest checkpoint of a run and was
	// made again by a later run. Some of it is unavoidable when workers are lost.
	RepeatedMillis clock.Millis
}

// Violations checks all runs.
func (records *Records) Violations() Violations {
	var violations Violations
	byTask := make(map[ident.Task][]Run)
	for _, run := range records.Runs() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for _, task := range sortedTasks(byTask) {
		violations.checkTask(byTask[task])
	}
	for _, exceeded := range records.CapacityViolations() {
		violations.OverCapacity++
		violations.describe("worker %s at %d: %s used of %s", exceeded.Worker, exceeded.At, exceeded.Used, exceeded.Capacity)
	}
	return violations
}

// checkTask checks the runs of one task in the order of their starts.
func (violations *Violations) checkTask(runs []Run) {
	slices.SortStableFunc(runs, func(left, right Run) int { return cmp.Compare(left.Start, right.Start) })
	var before Run // the earlier run that ended last
	var epoch ident.Epoch
	var saved clock.Millis
	finished := false
	for index, run := range runs {
		if index > 0 {
			if run.Start.Before(endOf(before)) {
				violations.TwoPlaces++
				violations.describe("task %s epoch %d started on %s at %d while epoch %d ran on %s until %d",
					run.Task, run.Epoch, run.Worker, run.Start, before.Epoch, before.Worker, endOf(before))
			}
			if run.Epoch <= epoch {
				violations.EpochReused++
				violations.describe("task %s epoch %d started on %s after epoch %d", run.Task, run.Epoch, run.Worker, epoch)
			}
			if finished {
				violations.AfterFinish++
				violations.describe("task %s epoch %d started on %s after the task had finished", run.Task, run.Epoch, run.Worker)
			}
			if run.FromMillis < saved {
				violations.BehindCheckpoint++
				violations.LostMillis += saved - run.FromMillis
				violations.describe("task %s epoch %d started on %s from %s of %s saved", run.Task, run.Epoch, run.Worker, run.FromMillis, saved)
			}
		}
		if index == 0 || endOf(run).After(endOf(before)) {
			before = run
		}
		epoch = max(epoch, run.Epoch)
		saved = max(saved, run.SavedMillis)
		finished = finished || run.State == worker.Finished
	}
}

// endOf returns the end of a run, which is beyond all times for a running one.
func endOf(run Run) clock.Time {
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
	reached := make(map[ident.Task]clock.Millis)
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
			counts.RepeatedMillis += max(0, min(reached[run.Task], run.ToMillis)-run.FromMillis)
			reached[run.Task] = max(reached[run.Task], run.ToMillis)
		}
	}
	return counts
}

func sortedTasks(byTask map[ident.Task][]Run) []ident.Task {
	tasks := make([]ident.Task, 0, len(byTask))
	for task := range byTask {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, compareTasks)
	return tasks
}
