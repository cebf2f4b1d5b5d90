package scheduler

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/speculation"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of copies.
const (
	// copyInterval is the time between two considerations of copies. Evidence comes with reports, of which each agent sends
	// one every 600 ms.
	copyInterval = 200 * clock.Millisecond
	// maxCopiesPerRound limits the processor time of one consideration: the choice of a worker looks at all workers.
	maxCopiesPerRound = 8
	// maxWaitingNeeds is the number of different requirements of waiting quick tasks that are told apart. Beyond it nothing
	// is copied.
	maxWaitingNeeds = 16
	// copyRetryInterval is the shortest time between two copies of a run. Refused starts are repeated after refusalDelay at
	// the earliest, and a copy that was refused costs a start although it took no work.
	copyRetryInterval = 2 * refusalDelay
	// unreachableGrace is how long a worker must be unreachable before its runs are copied: an agent that lost its session
	// opens the next one within a report interval.
	unreachableGrace = 600 * clock.Millisecond
	// crashReportTime is how long an agent takes at most to report that its worker has crashed: it waits for a while that
	// nothing listens, and then reports at once.
	crashReportTime = 1200 * clock.Millisecond
	// orphanGrace is how long a new leader waits for the agents before it copies runs whose worker none has reported. It
	// is the silence from which the heartbeat lists a node.
	orphanGrace = 2100 * clock.Millisecond
)

// CopyOutcome is how a copy ended.
type CopyOutcome string

// Outcomes of copies.
const (
	// CopyFirst: the copy finished first.
	CopyFirst CopyOutcome = "first"
	// CopySecond: the other run of the task finished first.
	CopySecond CopyOutcome = "second"
	// CopyFailed: the copy ended with an error.
	CopyFailed CopyOutcome = "failed"
	// CopyLost: the copy was rejected, stopped for another reason or lost with its worker.
	CopyLost CopyOutcome = "lost"
	// CopyClosed: the job was cancelled or failed first.
	CopyClosed CopyOutcome = "closed"
)

// CopyOutcomes holds all outcomes.
var CopyOutcomes = []CopyOutcome{CopyFirst, CopySecond, CopyFailed, CopyLost, CopyClosed}

// CopyEvent is the decision for a copy or, if Outcome is set, its end.
type CopyEvent struct {
	Name     workflow.Name
	Run      workflow.Run
	Worker   Incarnation
	Evidence speculation.Evidence
	// OtherRun and OtherWorker are the run that is copied, State and Siblings what was known of it and of its step, and
	// Duration the expected duration of the copy.
	OtherRun    workflow.Run
	OtherWorker Incarnation
	State       speculation.Run
	Siblings    speculation.Step
	Duration    clock.Millis
	// Left is the budget that is left.
	Left speculation.Work
	// Successes is how many of the latest SlowOutcomes copies for slowness finished first.
	Successes, SlowOutcomes int
	Outcome                 CopyOutcome
	// Took is the work that a copy took that has ended.
	Took speculation.Work
}

// copyState is the scheduler's state about copies. It is not stored: after a change of leader the runs are in the rows,
// and budget and feedback start anew.
type copyState struct {
	// runs holds the active runs of tasks that may have two.
	runs map[*activeRun]struct{}
	// placed holds the decisions for the active copies.
	placed   map[speculation.Key]CopyEvent
	budget   *speculation.Budget
	feedback speculation.Feedback
	events   []CopyEvent
	// consideredAt is when copies were last considered.
	consideredAt clock.Time
	// waiting holds the requirements of quick tasks that found no room when tasks were last planned, at waitingAt.
	waiting   []waitingNeed
	waitingAt clock.Time
	withheld  WithheldCopies
}

// WithheldCopies counts the late runs that got no copy when copies were last considered, by reason.
type WithheldCopies struct {
	// Budget: the budget is used up.
	Budget int
	// Feedback: the runs are slow, and too few copies for slowness finish first.
	Feedback int
	// Worker: no worker has room on which the copy is expected to end first, quick tasks wait for the room, or the run has
	// its turn later.
	Worker int
}

// waitingNeed holds the requirements of a waiting quick task. The rack is set if the task waits for the one that holds its
// data, although it could run elsewhere.
type waitingNeed struct {
	need    unit.Resources
	label   string
	rack    string
	service workflow.Service
}

func newCopyState() copyState {
	return copyState{runs: map[*activeRun]struct{}{}, placed: map[speculation.Key]CopyEvent{}, budget: speculation.NewBudget()}
}

// add records an active run.
func (state *copyState) add(run *activeRun) {
	if run.step.MayHaveCopies() {
		state.runs[run] = struct{}{}
	}
}

// recordWaiting records that tasks of a candidate found no room on the rack or, if that is empty, on any worker.
func (state *copyState) recordWaiting(candidate candidate, rack string, now clock.Time) {
	if candidate.rank != rankQuick {
		return
	}
	if state.waitingAt != now {
		state.waiting, state.waitingAt = state.waiting[:0], now
	}
	spec := &candidate.record.job.Spec
	step := &spec.Steps[candidate.step]
	need := waitingNeed{need: step.Reserved(), label: step.Label, rack: rack, service: spec.Service}
	if len(state.waiting) <= maxWaitingNeeds && !slices.Contains(state.waiting, need) {
		state.waiting = append(state.waiting, need)
	}
}

// isWanted reports whether a waiting quick task could run on the worker if there were room.
func (state *copyState) isWanted(worker *workerState) bool {
	return slices.ContainsFunc(state.waiting, func(waiting waitingNeed) bool {
		return worker.Service == waiting.service && waiting.need.FitsIn(worker.Capacity) &&
			(waiting.label == "" || slices.Contains(worker.Labels, waiting.label)) && (waiting.rack == "" || slices.Contains(worker.Labels, waiting.rack))
	})
}

// recordCopyEnd records the end of a run of a task that may have two, before its job does.
func (scheduler *Scheduler) recordCopyEnd(run *activeRun, cause workflow.Cause) {
	state := &scheduler.copies
	if _, ok := state.runs[run]; !ok {
		return
	}
	delete(state.runs, run)
	needed := run.isNeeded()
	key := speculation.Key{Name: run.name, Run: run.number}
	event, isCopy := state.placed[key]
	if !isCopy {
		if !run.restored {
			state.budget.RecordRun(speculation.WorkOf(run.step.Need.CPU, scheduler.now.Sub(run.placedAt)), scheduler.now)
		}
	} else {
		delete(state.placed, key)
		event.Outcome, event.Took = copyOutcome(run, cause, needed), state.budget.End(key, scheduler.now)
		if event.Evidence == speculation.Slow && (event.Outcome == CopyFirst || event.Outcome == CopySecond) {
			state.feedback.RecordOutcome(event.Outcome == CopyFirst, scheduler.now)
		}
		state.events = append(state.events, event)
	}
	if record, ok := scheduler.jobs[run.name.Job]; ok && needed && cause == workflow.Finished && !run.restored {
		record.addDuration(run.name, scheduler.now.Sub(run.placedAt))
	}
}

// copyOutcome returns how a copy ended.
func copyOutcome(run *activeRun, cause workflow.Cause, needed bool) CopyOutcome {
	switch {
	case !needed && run.job.IsSuperseded(run.name, run.number):
		return CopySecond
	case !needed:
		return CopyClosed
	case cause == workflow.Finished:
		return CopyFirst
	case cause == workflow.Faulted:
		return CopyFailed
	default:
		return CopyLost
	}
}

// addDuration records the duration of a finished run of a step, named by any of its tasks.
func (record *jobRecord) addDuration(name workflow.Name, duration clock.Millis) {
	if record.durations == nil {
		record.durations = map[workflow.Name][]clock.Millis{}
	}
	name.Index = 0
	durations := record.durations[name]
	position, _ := slices.BinarySearch(durations, duration)
	record.durations[name] = slices.Insert(durations, position, duration)
}

// siblings returns what is known of the step of a run.
func (record *jobRecord) siblings(run *activeRun) speculation.Step {
	name := run.name
	name.Index = 0
	durations := record.durations[name]
	step := speculation.Step{Tasks: run.step.Count, Finished: len(durations), Estimate: run.step.Estimate}
	if len(durations) > 0 {
		step.Median = durations[len(durations)/2]
	}
	return step
}

// dropDurations forgets the durations of the step of a task once the step is done.
func (record *jobRecord) dropDurations(name workflow.Name) {
	if occurrence, ok := record.job.Occurrence(name.Occurrence); !ok || occurrence.Unfinished(name.Step) == 0 {
		name.Index = 0
		delete(record.durations, name)
	}
}

// workWithCopies returns the work of the job's tasks that may have two runs.
func (record *jobRecord) workWithCopies() speculation.Work {
	total := speculation.Work(0)
	for _, step := range record.job.Spec.Steps {
		if step.MayHaveCopies() {
			total += speculation.Work(step.Count) * speculation.WorkOf(step.Need.CPU, speculation.Step{Estimate: step.Estimate}.Duration())
		}
	}
	return total
}

// lateRun is a run for which there is evidence that it ends late.
type lateRun struct {
	*activeRun
	record   *jobRecord
	state    speculation.Run
	siblings speculation.Step
	evidence speculation.Evidence
}

// placeCopies places copies of runs that are expected to end late, as far as the budget and the workers have room.
func (scheduler *Scheduler) placeCopies(now clock.Time) {
	state := &scheduler.copies
	if now.Sub(state.consideredAt) < copyInterval {
		return
	}
	state.consideredAt, state.withheld = now, WithheldCopies{}
	if state.waitingAt != now {
		state.waiting = state.waiting[:0]
	}
	runs := scheduler.lateRuns(now)
	if len(state.waiting) > maxWaitingNeeds {
		state.withheld.Worker = len(runs)
		return
	}
	slices.SortFunc(runs, func(left, right lateRun) int {
		return cmp.Or(cmp.Compare(left.copyTriedAt, right.copyTriedAt), cmp.Compare(right.state.Remaining(), left.state.Remaining()), compareNames(left.name, right.name))
	})
	tries := 0
	for _, run := range runs {
		switch {
		case run.evidence == speculation.Slow && !state.feedback.AllowsSlow(now):
			state.withheld.Feedback++
		case scheduler.leftAfterCopy(run, now) < 0:
			state.withheld.Budget++
		case tries >= maxCopiesPerRound || !scheduler.placeCopy(run, now):
			state.withheld.Worker++
			tries++
		default:
			tries++
		}
	}
}

// WithheldCopies returns the counts of the late runs that got no copy.
func (scheduler *Scheduler) WithheldCopies() WithheldCopies { return scheduler.copies.withheld }

// lateRuns returns the runs that have no copy and for which there is evidence that they end late.
func (scheduler *Scheduler) lateRuns(now clock.Time) []lateRun {
	var runs []lateRun
	for run := range scheduler.copies.runs {
		record, ok := scheduler.open[run.name.Job]
		if !ok || !run.isNeeded() {
			continue
		}
		task := run.job.Task(run.name)
		// The failure of a copy must not fail a job whose first run could still finish.
		if task.Other.Run != 0 && task.Worker != "" || task.Failures+1 >= run.job.Spec.Policy.MaxAttempts {
			continue
		}
		if run.job.HasCrashes(run.name) || run.mayHaveCrashed(now) {
			continue // A copy might crash another worker.
		}
		if run.copiedAt != 0 && now.Sub(run.copiedAt) < copyRetryInterval {
			continue
		}
		state := run.observe(now)
		if run.stopping && !state.Unreachable && !state.Overdue {
			continue // Its end is listed soon, and the task is placed again.
		}
		siblings := record.siblings(run)
		if evidence := speculation.Assess(state, siblings); evidence != speculation.None {
			runs = append(runs, lateRun{activeRun: run, record: record, state: state, siblings: siblings, evidence: evidence})
		}
	}
	return runs
}

// observe returns what is known of a run. The time of a restored run counts from when it was first observed.
func (run *activeRun) observe(now clock.Time) speculation.Run {
	if run.observedAt == 0 {
		run.observedAt = now
	}
	state := speculation.Run{Elapsed: now.Sub(run.observedAt), Percent: run.progressPercent, ProgressAge: now.Sub(max(run.observedAt, run.progressAt))}
	worker := run.worker
	if worker == nil {
		state.Unreachable = state.Elapsed >= orphanGrace
		return state
	}
	state.ReportAge = now.Sub(worker.listedAt)
	state.Unreachable = !worker.reachable && now.Sub(max(worker.unreachableSince, run.observedAt)) >= unreachableGrace
	state.Overdue = worker.reachable && worker.overdue
	state.Probation = worker.health.probation
	return state
}

// mayHaveCrashed reports whether the worker of a run stopped answering before it listed the run, and its agent may still
// report that the worker has crashed.
func (run *activeRun) mayHaveCrashed(now clock.Time) bool {
	return run.listedAt == 0 && run.worker != nil && !run.worker.reachable && now.Sub(run.worker.unreachableSince) < crashReportTime
}

// leftAfterCopy returns the budget that is left after a copy of the run.
func (scheduler *Scheduler) leftAfterCopy(run lateRun, now clock.Time) speculation.Work {
	return scheduler.copies.budget.Left(run.record.workWithCopies(), now) - speculation.WorkOf(run.step.Need.CPU, run.siblings.Duration())
}

// placeCopy places a copy of a run if a worker has room on which it is expected to end first, and reports whether it did.
func (scheduler *Scheduler) placeCopy(run lateRun, now clock.Time) bool {
	run.copyTriedAt = now
	state, left, duration := &scheduler.copies, scheduler.leftAfterCopy(run, now), run.siblings.Duration()
	worker := scheduler.chooseCopyWorker(run.activeRun, run.record, now)
	if worker == nil {
		return false
	}
	duration = clock.Millis(scheduler.bounds.DataFactor(isRemote(run.step, worker)) * float64(duration))
	if run.evidence == speculation.Slow {
		if !speculation.EndsSooner(run.state, duration) {
			return false
		}
		state.feedback.RecordPlaced(now)
	}
	run.copiedAt = now
	number := run.job.NextRun(run.name)
	event := CopyEvent{
		Name: run.name, Run: number, Worker: worker.Incarnation, Evidence: run.evidence, OtherRun: run.number,
		State: run.state, Siblings: run.siblings, Duration: duration, Left: left,
	}
	if run.worker != nil {
		event.OtherWorker = run.worker.Incarnation
	}
	event.Successes, event.SlowOutcomes = state.feedback.Successes()
	key := speculation.Key{Name: run.name, Run: number}
	state.placed[key] = event
	state.budget.Place(key, run.step.Need.CPU, duration, now)
	state.events = append(state.events, event)
	scheduler.placeTask(run.record, run.step, run.name, number, worker, now)
	return true
}

// chooseCopyWorker returns a worker for a copy of a run, or nil. A worker on another rack is preferred, unless the data is
// in the rack of the run.
func (scheduler *Scheduler) chooseCopyWorker(run *activeRun, record *jobRecord, now clock.Time) *workerState {
	mayUse := func(worker *workerState) bool {
		return worker != run.worker && !worker.health.probation && !scheduler.copies.isWanted(worker)
	}
	if run.worker != nil && (run.step.DataRack == "" || isRemote(run.step, run.worker)) {
		rack := run.worker.rack()
		worker := scheduler.chooseWorkerAmong(record, run.step, run.name, false, 0, now, func(worker *workerState) bool {
			return worker.rack() != rack && mayUse(worker)
		})
		if worker != nil {
			return worker
		}
	}
	return scheduler.chooseWorkerAmong(record, run.step, run.name, false, 0, now, mayUse)
}

// TakeCopyEvents returns and resets the decisions for copies and their ends since the last call.
func (scheduler *Scheduler) TakeCopyEvents() []CopyEvent {
	events := scheduler.copies.events
	scheduler.copies.events = nil
	return events
}

// stopSuperseded stops the runs of a task that are active although the task is done. A run whose worker is unknown is
// stopped once the worker is reported.
func (scheduler *Scheduler) stopSuperseded(job *workflow.Job, name workflow.Name) {
	for _, superseded := range job.Superseded {
		if superseded.Name != name {
			continue
		}
		if worker, ok := scheduler.workers[Incarnation(superseded.Worker)]; ok {
			if run, ok := worker.runs[name]; ok && run.number == superseded.Run {
				scheduler.stopRun(run, StopSuperseded)
			}
		}
	}
}

// otherRun returns the other active run of a task that has two, or nil. It is nil too if its worker is unknown.
func (scheduler *Scheduler) otherRun(run *activeRun) *activeRun {
	task := run.job.Task(run.name)
	if task == nil || task.Other.Run == 0 {
		return nil
	}
	for _, other := range task.ActiveRuns() {
		if worker, ok := scheduler.workers[Incarnation(other.Worker)]; ok && other.Run != run.number {
			return worker.runs[run.name]
		}
	}
	return nil
}

// isAhead reports whether no other run of the task has made more progress, so that the checkpoint of the run is the one
// to resume from.
func (scheduler *Scheduler) isAhead(run *activeRun) bool {
	other := scheduler.otherRun(run)
	return other == nil || run.progressPercent >= other.progressPercent
}
