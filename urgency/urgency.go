// Package urgency decides how urgent the active runs of a job are, from what the leader knows of them. The agents divide
// the pace that serving tasks allow by it. The package starts no goroutine and reads no clock.
package urgency

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
)

// Parameters of the decision. Times are shares of the job's objective, which is what its caller needs.
const (
	// worthlessFactor times the objective is the age from which finishing a job has no value.
	worthlessFactor = 3
	// littleSlackShare is the slack, as a share of the objective, from which the runs of a committed job are elevated. An
	// objective is about twice the critical path, so a job whose tasks never wait keeps about half of it; with a quarter
	// left, one more wait for a pace or a place uses up the rest.
	littleSlackShare = 0.25
	// enoughSlackShare is the slack from which they are no longer elevated. The difference to littleSlackShare is more
	// than one report changes an estimate by.
	enoughSlackShare = 0.35
	// reactionShare is how long before its objective a job must be expected to end at the present pace, as a share of the
	// objective. It is about 0.9 s for filling jobs: the time for a report, a level and the pace that follows from it.
	reactionShare = 0.1
	// optimisticShare is the share of the estimated rest after which a job could end if all went well. A job is given up
	// only if even that is too late: task times vary by a tenth around their estimate, and reports are up to 0.6 s old.
	optimisticShare = 0.8
	// lastTasksShare is the share of a step's tasks that may be unfinished for its runs to be critical. While more are, the
	// end of the step depends on all of them alike, and raising all leaves nothing to divide.
	lastTasksShare = 0.5
	// slowFactor times the median time of the finished siblings is the time after which a run is slow. Tasks that take
	// longer by nature do so by a factor of 7, and paces halve the speed of others.
	slowFactor = 3
	// MinSiblings is the number of finished siblings from which their median is used.
	MinSiblings = 3
	// minMeasuredShare is the progress from which a run's own speed is used instead of the estimate. Progress is reported
	// in whole percents every 0.6 s.
	minMeasuredShare = 0.15
	// minRestShare is the least rest of an unfinished run, as a share of its expected time.
	minRestShare = 0.05
	// maxExtrapolation is how long a run is assumed to go on as last reported: two reports. Nothing is known of a run whose
	// agent is silent for longer.
	maxExtrapolation = 1200 * clock.Millisecond
	// minPace bounds the time that a paused run is expected to take.
	minPace = 0.01
)

// Job describes an occurrence of a job with active runs.
type Job struct {
	AcceptedAt clock.Time
	// Objective is the time within which the job should end, or 0 if it has none.
	Objective clock.Millis
	// Committed reports that the job gets capacity before others.
	Committed bool
	Steps     []Step
}

// Step describes a step of the job.
type Step struct {
	Estimate clock.Millis
	// After lists the earlier steps whose tasks must all be done first.
	After []int
	Count int
	// Unfinished is the number of tasks that are not done.
	Unfinished int
	// Median is the median time of the finished runs, or 0 if there are fewer than MinSiblings.
	Median clock.Millis
}

// expected returns how long a task is expected to run.
func (step Step) expected() float64 {
	if step.Median > 0 {
		return float64(step.Median)
	}
	return float64(step.Estimate)
}

// Run describes an active run that is not being stopped.
type Run struct {
	Step int
	// Age is the time since the run was placed, or since the leader knows of it.
	Age clock.Millis
	// Progress is the share of the task that was done at the last report, and ReportAge the time since then.
	Progress  float64
	ReportAge clock.Millis
	// Worked is the time since the first report, in which Progress rose from FirstProgress, times the pace in that time.
	Worked        clock.Millis
	FirstProgress float64
	// Pace is the share of the full speed at which the run works.
	Pace float64
	// Leftover reports that the run was placed when its job was not committed.
	Leftover bool
	// Level is the present level.
	Level pacing.Urgency
}

// rest returns the time that the run still needs at full pace.
func (run Run) rest(step Step) float64 {
	expected := step.expected()
	rest := expected * (1 - run.Progress)
	if done := run.Progress - run.FirstProgress; done >= minMeasuredShare && run.Worked > 0 {
		rest = float64(run.Worked) / done * (1 - run.Progress)
	} else if run.Progress == 0 {
		rest = expected - float64(run.Worked) // The worker may not report progress.
	}
	return math.Max(minRestShare*expected, rest-float64(min(run.ReportAge, maxExtrapolation))*run.Pace)
}

// Decision is the outcome of Decide.
type Decision struct {
	// Levels holds the levels of the runs, by their position.
	Levels []pacing.Urgency
	// Rest is the time that the job still needs if all its tasks run at full pace and none waits.
	Rest clock.Millis
	// Slack is the time from then to the objective. It is 0 if the job has no objective.
	Slack clock.Millis
	// StartLevel is the level at which further runs of the job start.
	StartLevel pacing.Urgency
}

// Decide returns the levels of a job's runs. It appends to levels, which may be nil.
func Decide(job Job, runs []Run, levels []pacing.Urgency, now clock.Time) Decision {
	outlook := newOutlook(job, runs)
	decision := Decision{Rest: clock.Millis(outlook.rest)}
	due := math.Inf(1)
	if job.Objective > 0 {
		due = float64(job.AcceptedAt.Add(job.Objective).Sub(now))
		decision.Slack = clock.Millis(due - outlook.rest)
	}
	isBackground := job.isHopeless(outlook.rest, due, runs)
	switch {
	case isBackground || !job.Committed:
		decision.StartLevel = pacing.Background
	case job.isElevated(Run{}, outlook.rest, due):
		decision.StartLevel = pacing.Elevated
	}
	for _, run := range runs {
		level := pacing.Normal
		switch {
		case isBackground || run.Leftover && !job.Committed:
			level = pacing.Background
		case run.Level == pacing.Critical || job.isCritical(run, outlook, due):
			// A critical run works faster because it is critical, so its pace does not tell that it may be lowered.
			level = pacing.Critical
		case job.isElevated(run, outlook.rest, due):
			level = pacing.Elevated
		}
		levels = append(levels, level)
	}
	decision.Levels = levels
	return decision
}

// outlook is what is expected of a job if all its tasks run at full pace and none waits.
type outlook struct {
	rest float64
	// after holds the time from the end of each step to that of the job, and waits tells in which steps tasks have no run.
	after []float64
	waits []bool
}

func newOutlook(job Job, runs []Run) outlook {
	size := len(job.Steps)
	rests, active := make([]float64, size), make([]int, size)
	result := outlook{after: make([]float64, size), waits: make([]bool, size)}
	for _, run := range runs {
		active[run.Step]++
		rests[run.Step] = math.Max(rests[run.Step], run.rest(job.Steps[run.Step]))
	}
	for position, step := range job.Steps {
		if step.Unfinished > active[position] {
			result.waits[position] = true
			rests[position] = math.Max(rests[position], step.expected())
		}
	}
	for position := size - 1; position >= 0; position-- {
		total := rests[position] + result.after[position]
		result.rest = math.Max(result.rest, total)
		for _, earlier := range job.Steps[position].After {
			result.after[earlier] = math.Max(result.after[earlier], total)
		}
	}
	return result
}

// isHopeless reports whether the job can no longer meet its objective. Once its runs are in the background for that, they
// stay there until the estimate, and not only an optimistic one, says otherwise.
func (job Job) isHopeless(rest, due float64, runs []Run) bool {
	if job.Objective <= 0 {
		return false
	}
	if due <= -(worthlessFactor-1)*float64(job.Objective) {
		return true
	}
	for _, run := range runs {
		if run.Level == pacing.Background && !run.Leftover {
			return rest > due
		}
	}
	return optimisticShare*rest > due
}

// isCritical reports whether a run is among the last of its step and would make the job miss its objective at the present
// pace.
func (job Job) isCritical(run Run, outlook outlook, due float64) bool {
	step := job.Steps[run.Step]
	if job.Objective <= 0 || outlook.waits[run.Step] || float64(step.Unfinished) > math.Max(1, lastTasksShare*float64(step.Count)) {
		return false
	}
	end := run.rest(step)/math.Max(minPace, run.Pace) + outlook.after[run.Step]
	return end > due-reactionShare*float64(job.Objective)
}

// isElevated reports whether the job is committed and has little slack, or the run is slow.
func (job Job) isElevated(run Run, rest, due float64) bool {
	if run.Age > 0 && job.Steps[run.Step].Median > 0 && run.Age >= slowFactor*job.Steps[run.Step].Median {
		return true
	}
	share := littleSlackShare
	if run.Level == pacing.Elevated {
		share = enoughSlackShare
	}
	return job.Committed && job.Objective > 0 && due-rest < share*float64(job.Objective)
}
