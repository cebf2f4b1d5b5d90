package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

const (
	// firstRefresh is when a loaded row is read again for the first time: after the deadline of a
	// write that the previous home may have had under way.
	firstRefresh = 10 * clock.Second
	// maxRefreshes bounds the rows read again in a round.
	maxRefreshes = 32
)

// refresh is a job whose row is to be read again.
type refresh struct {
	view *jobView
	due  clock.Time
}

// refresh reads rows again that were not written or read for some time. Without it, a scheduler
// whose job was changed by someone else would not notice as long as it has nothing to write.
func (scheduler *Scheduler) refresh() {
	var keys []table.Key
	for len(scheduler.refreshes) > 0 && len(keys) < maxRefreshes && !scheduler.now.Before(scheduler.refreshes[0].due) {
		next := scheduler.refreshes[0]
		scheduler.refreshes = scheduler.refreshes[1:]
		if scheduler.jobs[next.view.name] != next.view || next.view.base.Final() {
			continue
		}
		due := scheduler.now.Add(scheduler.settings.Refresh)
		if scheduler.now.Sub(next.view.seenAt) >= firstRefresh {
			keys = append(keys, job.Key(next.view.name))
		}
		scheduler.refreshes = append(scheduler.refreshes, refresh{view: next.view, due: due})
	}
	if len(keys) > 0 {
		scheduler.read(keys)
	}
}

// refreshJob reads the job's row again because an agent speaks of a newer epoch.
func (scheduler *Scheduler) refreshJob(view *jobView) {
	key := job.Key(view.name)
	if _, asked := scheduler.reads[key]; !asked {
		scheduler.read([]table.Key{key})
	}
}
