package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Delays of tasks that are started again and again to no avail.
const (
	// quickFailure is the time within which the failure of a standing run, which has no limit of attempts, delays the next one.
	quickFailure = 3 * clock.Second
	// firstRestartDelay doubles with each further failure, up to maxRestartDelay. A standing task must be started within 3 s
	// if any worker has room for it.
	firstRestartDelay = 250 * clock.Millisecond
	maxRestartDelay   = 2 * clock.Second
)

// restartDelay is how long a task is not started again.
type restartDelay struct {
	delay clock.Millis
	until clock.Time
}

// delayRestart delays the next start of a task, for longer than the last time.
func (record *jobRecord) delayRestart(name workflow.Name, now clock.Time) {
	if record.delays == nil {
		record.delays = map[workflow.Name]restartDelay{}
	}
	delay := min(max(firstRestartDelay, 2*record.delays[name].delay), maxRestartDelay)
	record.delays[name] = restartDelay{delay: delay, until: now.Add(delay)}
}

// recordStandingFailure delays the next start of a standing task that failed shortly after its start.
func (record *jobRecord) recordStandingFailure(run *activeRun, now clock.Time) {
	if run.restored || now.Sub(run.placedAt) >= quickFailure {
		delete(record.delays, run.name)
		return
	}
	record.delayRestart(run.name, now)
}

// isDelayed reports whether a task must not be started yet.
func (record *jobRecord) isDelayed(name workflow.Name, now clock.Time) bool {
	return now.Before(record.delays[name].until)
}
