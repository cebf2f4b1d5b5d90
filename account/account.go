// Package account splits the time of a job, from its acceptance to its end, by what the time was spent on. Only the chain of
// tasks that decided the end counts: of each step the task that finished last, and of its predecessors the one that finished
// last. The package holds no clock and does no I/O.
package account

import (
	"hyssopjunction/clock"
)

// Cause is what a part of a job's time was spent on.
type Cause uint8

// The causes, in the order of a job's life.
const (
	// Unseen is the time of which this leader knows nothing: the job was being stored, or another leader had it.
	Unseen Cause = iota
	// Stalled is the time in which the leader planned nothing.
	Stalled
	// Held is the wait for a delay or a trial to end.
	Held
	// Rack is the wait for the rack that holds the task's data.
	Rack
	// Room is the wait for idle cores.
	Room
	// Slow is the wait for a worker on which the task is expected to be fast enough.
	Slow
	// Work is the time of runs at full speed.
	Work
	// Throttled is the time that runs lost by being throttled.
	Throttled
	// Failed is the work of runs that failed by themselves, Moved that of runs that were stopped, and Lost that of runs that ended
	// with their worker or its lease, each since the last checkpoint.
	Failed
	Moved
	Lost
	causeCount
)

// Causes returns all causes in their order.
func Causes() []Cause {
	causes := make([]Cause, causeCount)
	for position := range causes {
		causes[position] = Cause(position)
	}
	return causes
}

// String returns the name that log lines have for the cause.
func (cause Cause) String() string {
	names := []string{"Unseen", "Stalled", "Held", "Rack", "Room", "Slow", "Work", "Throttled", "Failed", "Moved", "Lost"}
	if int(cause) >= len(names) {
		return "Unknown"
	}
	return names[cause]
}

// Split is a time split by cause.
type Split [causeCount]clock.Millis

// Add returns the sum of two splits.
func (split Split) Add(other Split) Split {
	for cause := range split {
		split[cause] += other[cause]
	}
	return split
}

// Sub returns the difference of two splits.
func (split Split) Sub(other Split) Split {
	for cause := range split {
		split[cause] -= other[cause]
	}
	return split
}

// Total returns the whole time.
func (split Split) Total() clock.Millis {
	total := clock.Millis(0)
	for _, share := range split {
		total += share
	}
	return total
}

// Run is the account of an active run. The zero value is that of a run about which nothing is known.
type Run struct {
	at       clock.Time
	throttle int
	// unsaved is the time since the last checkpoint.
	unsaved Split
	saved   Split
}

// NewRun returns the account of a run that is placed now.
func NewRun(now clock.Time) Run { return Run{at: now} }

// Report records that the run is throttled by a percentage, and whether its progress is in a checkpoint.
func (run *Run) Report(throttlePercent int, isSaved bool, now clock.Time) {
	run.throttle = throttlePercent
	run.settle(now)
	if isSaved {
		run.saved, run.unsaved = run.saved.Add(run.unsaved), Split{}
	}
}

// settle counts the time up to now at the last known throttle.
func (run *Run) settle(now clock.Time) {
	if run.at == 0 {
		run.at = now
	}
	const percent = 100
	elapsed := now.Sub(run.at)
	lost := elapsed * clock.Millis(run.throttle) / percent
	run.unsaved[Throttled] += lost
	run.unsaved[Work] += elapsed - lost
	run.at = now
}

// Ending tells how a run ended.
type Ending struct {
	// Finished reports that the task is done.
	Finished bool
	// Saved reports that a checkpoint holds all that the run did.
	Saved bool
	// Repeated is the cause that the work since the last checkpoint is counted by otherwise: Failed, Moved or Lost.
	Repeated Cause
}

// end returns the split of the run's whole time. What a run that did not finish did since its last checkpoint is repeated.
func (run *Run) end(ending Ending, now clock.Time) Split {
	run.settle(now)
	if ending.Finished || ending.Saved {
		return run.saved.Add(run.unsaved)
	}
	total := run.saved
	total[ending.Repeated] += run.unsaved.Total()
	return total
}

// Step is the account of the tasks of a step. Tasks that wait share the cause of their wait.
type Step struct {
	cause Cause
	at    clock.Time
	waits Split
	// spent holds the time of each task, and from what it had waited when its present wait began.
	spent []Split
	from  []Split
	// halfDone is when half of the tasks had finished, and done counts the finished ones.
	halfDone clock.Time
	done     int
	// endedAt is when the last task finished, and last its time.
	endedAt clock.Time
	last    Split
}

// NewStep returns the account of a step that became ready at a time, with a number of tasks of which some had finished before.
func NewStep(tasks, finished int, begunAt clock.Time) *Step {
	return &Step{at: begunAt, halfDone: begunAt, done: finished, spent: make([]Split, tasks), from: make([]Split, tasks)}
}

// maxPlanGap is the longest time between two looks at waiting tasks that does not count as Stalled.
const maxPlanGap = 500 * clock.Millisecond

// Wait records what the tasks that wait now wait for.
func (step *Step) Wait(cause Cause, now clock.Time) {
	step.settle(now)
	step.cause = cause
}

func (step *Step) settle(now clock.Time) {
	cause := step.cause
	if cause != Unseen && now.Sub(step.at) > maxPlanGap {
		cause = Stalled
	}
	step.waits[cause] += now.Sub(step.at)
	step.at = now
}

// Place records that the wait of a task ended.
func (step *Step) Place(index int, now clock.Time) {
	if step.endedAt != 0 {
		return
	}
	step.settle(now)
	step.spent[index] = step.spent[index].Add(step.waits.Sub(step.from[index]))
	step.from[index] = step.waits
}

// End records the end of a task's run. A task that did not finish waits again. Ends after that of the last task are ignored.
func (step *Step) End(index int, run *Run, ending Ending, now clock.Time) {
	if step.endedAt != 0 {
		return
	}
	step.spent[index] = step.spent[index].Add(run.end(ending, now))
	step.settle(now)
	step.from[index] = step.waits
	if !ending.Finished {
		return
	}
	step.done++
	if step.done == (len(step.spent)+1)/2 {
		step.halfDone = now
	}
	if step.done == len(step.spent) {
		step.endedAt, step.last = now, step.spent[index]
		step.spent, step.from = nil, nil
	}
}

// Ended returns when the last task finished, or 0.
func (step *Step) Ended() clock.Time { return step.endedAt }

// Chain adds up the steps that decided the end of a job: the one that ended last, the predecessor of it that ended last, and
// so on. It also returns the time that the last halves of these steps took. Steps may be nil; after returns the predecessors of
// a step.
func Chain(steps []*Step, after func(step int) []int) (total Split, tail clock.Millis) {
	position := latest(steps, allOf(len(steps)))
	for position >= 0 {
		step := steps[position]
		total, tail = total.Add(step.last), tail+step.endedAt.Sub(step.halfDone)
		position = latest(steps, after(position))
	}
	return total, tail
}

// latest returns the step among the positions that ended last, or a negative number if none has ended.
func latest(steps []*Step, positions []int) int {
	found := -1
	for _, position := range positions {
		if step := steps[position]; step != nil && step.endedAt != 0 && (found < 0 || step.endedAt.After(steps[found].endedAt)) {
			found = position
		}
	}
	return found
}

func allOf(count int) []int {
	positions := make([]int, count)
	for position := range positions {
		positions[position] = position
	}
	return positions
}
