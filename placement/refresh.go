package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

const (
	// firstRefreshDelay is the time from loading a row to reading it again for the first time. It
	// is longer than the deadline of a write that the previous home may have had under way.
	firstRefreshDelay = 10 * clock.Second
	// maxRefreshesPerRound bounds the rows read again in a round.
	maxRefreshesPerRound = 32
)

// rowRefresh is a job whose row is to be read again at due.
type rowRefresh struct {
	view *jobView
	due  clock.Time
}

// refreshRows reads rows again that were neither written nor read for some time. Otherwise a
// scheduler with nothing to write would not notice that another one has changed its job.
func (scheduler *Scheduler) refreshRows() {
	var keys []table.Key
	for len(scheduler.refreshQueue) > 0 && len(keys) < maxRefreshesPerRound && !scheduler.now.Before(scheduler.refreshQueue[0].due) {
		next := scheduler.refreshQueue[0]
		scheduler.refreshQueue = scheduler.refreshQueue[1:]
		if scheduler.jobs[next.view.name] != next.view || next.view.base.Final() {
			continue
		}
		due := scheduler.now.Add(scheduler.settings.Refresh)
		if scheduler.now.Sub(next.view.revisionSeenAt) >= firstRefreshDelay {
			keys = append(keys, job.Key(next.view.name))
		}
		scheduler.refreshQueue = append(scheduler.refreshQueue, rowRefresh{view: next.view, due: due})
	}
	if len(keys) > 0 {
		scheduler.readRows(keys)
	}
}

// refreshJob reads the job's row again because an agent reported a newer epoch than it has.
func (scheduler *Scheduler) refreshJob(view *jobView) {
	key := job.Key(view.name)
	if _, requested := scheduler.pendingReads[key]; !requested {
		scheduler.readRows([]table.Key{key})
	}
}
