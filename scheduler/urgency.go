package scheduler

import (
	"fmt"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/mechanism"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/urgency"
	"hyssopjunction/workflow"
)

// Parameters of the levels of urgency.
const (
	// urgencyInterval is the shortest time between two decisions for a job and between two for a worker: that of two
	// reports of progress.
	urgencyInterval = 500 * clock.Millisecond
	// maxFinishedTimes is the number of times of finished runs that are kept for each step. More change the median little.
	maxFinishedTimes = 31
)

// jobUrgency is what the scheduler keeps about a job to decide the urgency of its runs. It is not stored: a new leader
// starts without it.
type jobUrgency struct {
	// runs holds the active runs.
	runs set.Set[*activeRun]
	// decidedAt is when the levels were last decided, and startLevel the level of new runs since then.
	decidedAt  clock.Time
	startLevel pacing.Urgency
	// committed reports that the job was committed then.
	committed bool
	// finishedTimes holds times of finished filling runs in ascending order, by step.
	finishedTimes map[int][]clock.Millis
}

// add adds an active run.
func (state *jobUrgency) add(run *activeRun) {
	if state.runs == nil {
		state.runs = set.New[*activeRun]()
	}
	state.runs.Add(run)
}

// median returns the median time of the step's finished runs, or 0 if there are too few.
func (state *jobUrgency) median(step int) clock.Millis {
	times := state.finishedTimes[step]
	if len(times) < urgency.MinSiblings {
		return 0
	}
	return times[len(times)/2]
}

// runPace is what the reports tell about the speed of a run.
type runPace struct {
	// begunAt is when the run was placed, or first reported to a leader that did not place it.
	begunAt clock.Time
	// isWhole reports that this leader placed the run and that it did not resume from a checkpoint.
	isWhole bool
	// reportedAt is when the run was last reported, or 0, and throttlePercent by how much it was throttled then.
	reportedAt      clock.Time
	throttlePercent int
	// worked is the time since the first report times the pace in it. The progress was firstPercent at that report.
	worked       float64
	firstPercent int
}

// record records a report. The pace that it states applies to the time since the report before.
func (state *runPace) record(item Progress, now clock.Time) {
	if state.reportedAt == 0 {
		state.firstPercent = item.Percent
	} else {
		state.worked += float64(now.Sub(state.reportedAt)) * (1 - float64(state.throttlePercent+item.ThrottlePercent)/200)
	}
	if state.begunAt == 0 {
		state.begunAt = now
	}
	state.reportedAt, state.throttlePercent = now, item.ThrottlePercent
}

// recordFinishedTime records the time of a finished filling run, to compare its siblings with it.
func (scheduler *Scheduler) recordFinishedTime(run *activeRun, now clock.Time) {
	record, ok := scheduler.jobs[run.name.Job]
	if !ok || !run.step.Fills || !run.pace.isWhole {
		return
	}
	state := &record.urgency
	if state.finishedTimes == nil {
		state.finishedTimes = map[int][]clock.Millis{}
	}
	times := state.finishedTimes[run.name.Step]
	if len(times) >= maxFinishedTimes {
		return
	}
	took := now.Sub(run.pace.begunAt)
	position, _ := slices.BinarySearch(times, took)
	state.finishedTimes[run.name.Step] = slices.Insert(times, position, took)
}

// setStartUrgency sets the urgency of a run that is being placed, and records the run for later decisions. It is called
// for each placed run. The levels of the job are decided at most once in urgencyInterval, unless its commitment changed.
func (scheduler *Scheduler) setStartUrgency(record *jobRecord, run *activeRun, now clock.Time) {
	run.pace.begunAt = now
	if run.step.Fills {
		if scheduler.uses(mechanism.Urgency) && (now.Sub(record.urgency.decidedAt) >= urgencyInterval || record.isCommitted() != record.urgency.committed) {
			scheduler.decideUrgencies(record, now)
		}
		task := record.job.Task(run.name)
		run.pace.isWhole = task != nil && task.Saved == ""
		run.leftover = !record.urgency.committed
		run.urgency = record.urgency.startLevel
	}
	record.urgency.add(run)
}

// UrgencyDecision describes a decision that changed levels of a job's runs.
type UrgencyDecision struct {
	Job       workflow.ID
	Committed bool
	// Objective is the time within which the job should end after its acceptance, Age the time since then. Rest is what
	// the job still needs if all its tasks run at full pace, and Slack the time from then to its objective.
	Objective, Age, Rest, Slack clock.Millis
	// ReportAge is the age of the oldest report that the decision uses.
	ReportAge clock.Millis
	// Runs is the number of active filling runs, and Changed counts the changed ones by their new level.
	Runs    int
	Changed map[pacing.Urgency]int
}

// UpdateUrgencies decides the levels of the jobs that have filling runs on the incarnation, after its report was
// recorded. It returns all decisions since the last call that changed levels.
func (scheduler *Scheduler) UpdateUrgencies(incarnation Incarnation, now clock.Time) []UrgencyDecision {
	worker, ok := scheduler.workers[incarnation]
	if ok && scheduler.uses(mechanism.Urgency) && worker.fillingCPU > 0 && now.Sub(worker.urgenciesAt) >= urgencyInterval {
		worker.urgenciesAt = now
		for _, run := range worker.runs {
			record, ok := scheduler.jobs[run.name.Job]
			if ok && run.step.Fills && !record.job.State.Final() && now.Sub(record.urgency.decidedAt) >= urgencyInterval {
				scheduler.decideUrgencies(record, now)
			}
		}
	}
	decisions := scheduler.urgencyDecisions
	scheduler.urgencyDecisions = nil
	return decisions
}

// urgencyBuffers holds the inputs and results of a decision.
type urgencyBuffers struct {
	active []*activeRun
	runs   []urgency.Run
	steps  []urgency.Step
	levels []pacing.Urgency
}

// decideUrgencies decides the levels of all active runs of a job.
func (scheduler *Scheduler) decideUrgencies(record *jobRecord, now clock.Time) {
	if committed := record.isCommitted(); record.urgency.decidedAt != 0 && committed != record.urgency.committed {
		record.recordDecision(explanation.Committed, fmt.Sprintf("committed %t", committed), now)
	}
	record.urgency.decidedAt, record.urgency.committed = now, record.isCommitted()
	outcome := UrgencyDecision{Job: record.job.Spec.ID, Committed: record.urgency.committed, Objective: scheduler.objective(record), Age: now.Sub(record.acceptedAt)}
	for _, occurrence := range record.job.Occurrences {
		scheduler.decideOccurrence(record, occurrence, &outcome, now)
	}
	if len(outcome.Changed) > 0 {
		record.recordDecision(explanation.Paced, fmt.Sprintf("runs by new level %v, slack %d ms", outcome.Changed, outcome.Slack), now)
		scheduler.urgencyDecisions = append(scheduler.urgencyDecisions, outcome)
	}
}

// decideOccurrence decides the levels of the active runs of an occurrence and adds the changes to the outcome.
func (scheduler *Scheduler) decideOccurrence(record *jobRecord, occurrence *workflow.Occurrence, outcome *UrgencyDecision, now clock.Time) {
	buffers := &scheduler.urgencies
	buffers.active, buffers.runs, buffers.steps = buffers.active[:0], buffers.runs[:0], buffers.steps[:0]
	for position := range record.job.Spec.Steps {
		step := &record.job.Spec.Steps[position]
		buffers.steps = append(buffers.steps, urgency.Step{
			Estimate: scheduler.taskTime(record, position), After: step.After, Count: step.Count, Unfinished: occurrence.Unfinished(position), Median: record.urgency.median(position),
		})
	}
	for run := range record.urgency.runs {
		if run.name.Occurrence == occurrence.Number && !run.stopping && run.decidesEnd() {
			buffers.active = append(buffers.active, run)
			buffers.runs = append(buffers.runs, run.urgencyInput(now))
		}
	}
	job := urgency.Job{AcceptedAt: record.acceptedAt, Objective: outcome.Objective, Committed: outcome.Committed, Steps: buffers.steps}
	if record.job.Spec.Repetitions > 0 {
		job.Objective = 0 // The objective counts from the acceptance, not from the occurrence.
	}
	decision := urgency.Decide(job, buffers.runs, buffers.levels[:0], now)
	buffers.levels = decision.Levels
	record.urgency.startLevel = decision.StartLevel
	outcome.Rest, outcome.Slack = decision.Rest, decision.Slack
	for position, run := range buffers.active {
		if !run.step.Fills {
			continue
		}
		outcome.Runs++
		outcome.ReportAge = max(outcome.ReportAge, buffers.runs[position].ReportAge)
		if level := decision.Levels[position]; level != run.urgency {
			run.urgency = level
			if outcome.Changed == nil {
				outcome.Changed = map[pacing.Urgency]int{}
			}
			outcome.Changed[level]++
		}
	}
}

// decidesEnd reports whether the end of the task is expected from the run: it is needed and has no copy, which would have
// been placed because it is expected to end sooner. Otherwise a task with two runs would count twice.
func (run *activeRun) decidesEnd() bool {
	if !run.step.MayHaveCopies() {
		return true
	}
	task := run.job.Task(run.name)
	return task != nil && task.HasRun(run.number) && (run.number == task.Run || task.Worker == "")
}

// urgencyInput returns what a decision needs of the run.
func (run *activeRun) urgencyInput(now clock.Time) urgency.Run {
	const percent = 100
	input := urgency.Run{
		Step: run.name.Step, Age: now.Sub(run.pace.begunAt), Progress: float64(run.progressPercent) / percent, FirstProgress: float64(run.pace.firstPercent) / percent,
		Worked: clock.Millis(run.pace.worked), Pace: 1 - float64(run.pace.throttlePercent)/percent, Leftover: run.leftover, Level: run.urgency,
	}
	switch {
	case run.pace.reportedAt != 0:
		input.ReportAge = now.Sub(run.pace.reportedAt)
	case run.pace.begunAt != 0:
		input.ReportAge = input.Age
	default:
		input.Age = 0 // The run is an orphan of an earlier leader.
	}
	return input
}

// RunUrgency is the urgency of a filling run.
type RunUrgency struct {
	Name    workflow.Name
	Run     workflow.Run
	Urgency pacing.Urgency
}

// Urgencies returns the urgencies of the filling runs on the incarnation, in no particular order.
func (scheduler *Scheduler) Urgencies(incarnation Incarnation) []RunUrgency {
	worker, ok := scheduler.workers[incarnation]
	if !ok || worker.fillingCPU == 0 {
		return nil
	}
	var list []RunUrgency
	for _, run := range worker.runs {
		if run.step.Fills && !run.stopping {
			list = append(list, RunUrgency{Name: run.name, Run: run.number, Urgency: run.urgency})
		}
	}
	return list
}
