package supervisor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

const (
	// endRetryInterval is the time between two attempts to have the end of a worker stored.
	endRetryInterval = 200 * clock.Millisecond
	// shutdownCheckInterval is how often a supervisor that shuts down checks whether it may stop.
	shutdownCheckInterval = 20 * clock.Millisecond
)

// Reasons why a run was interrupted that was active when its worker ended or lapsed.
const (
	reasonWorkerGone   = "WorkerGone"
	reasonWorkerLapsed = "WorkerLapsed"
)

// endReport is the progress of the report that a worker's incarnation has ended, or that its lease has lapsed.
type endReport int

const (
	endNotReported endReport = iota
	endPending
	endStored
)

// endIncarnation records that the worker's process has ended, and its incarnation with it.
func (supervisor *Supervisor) endIncarnation(worker *workerState, reason string) {
	if worker.ended && worker.endReport != endNotReported {
		return
	}
	klog.InfoS("Worker is gone", "Worker", worker.incarnation, "Reason", reason)
	supervisor.recordCrash(worker)
	worker.lapsed, worker.ended, worker.endedAt = true, true, supervisor.clocks.Boot.Now()
	worker.endStarts(worker.endedAt) // If the worker answers again, the leader may have placed their tasks elsewhere.
	// The next report has the worker's profile, also if it answers again by then: the profile shows which is the newer.
	supervisor.session.reportedWorker = nil
	supervisor.requestReport()
	supervisor.startEndReport(worker)
}

// startEndReport starts the report of a worker that has ended or lapsed, unless it is in progress.
func (supervisor *Supervisor) startEndReport(worker *workerState) {
	if worker.endReport != endPending && supervisor.baseContext.Err() == nil {
		worker.endReport = endPending
		supervisor.pendingEnds++
		supervisor.reportEnd(worker)
	}
}

// reportEnd reports in the background that the worker's incarnation has ended or its lease has lapsed, until a leader has
// stored it or the worker answers again. The session's reports are not enough: a leader that cannot store them takes them
// along when its term ends, and by then this process may have ended too.
func (supervisor *Supervisor) reportEnd(worker *workerState) {
	supervisor.background(func() {
		for attempt := 1; supervisor.baseContext.Err() == nil; attempt++ {
			var end *session.WorkerEnd
			var directory Directory
			leader := ""
			supervisor.loop.Call(func() {
				directory, leader = supervisor.directory, supervisor.session.leader
				if !worker.lapsed {
					supervisor.finishEndReport(worker, endNotReported)
					return
				}
				end = supervisor.newWorkerEnd(worker)
			})
			if end == nil {
				return
			}
			if directory != nil && supervisor.sendEnd(directory, leader, end, attempt) {
				finished := false
				supervisor.loop.Call(func() {
					finished = !end.Lapsed || !worker.ended // The worker's process may have ended since.
					if finished {
						supervisor.finishEndReport(worker, endStored)
					}
				})
				if finished {
					return
				}
				continue
			}
			supervisor.sleep(endRetryInterval)
		}
	})
}

// finishEndReport records the outcome of a pending report.
func (supervisor *Supervisor) finishEndReport(worker *workerState, outcome endReport) {
	worker.endReport = outcome
	supervisor.crashed = removeWorker(supervisor.crashed, worker)
	supervisor.pendingEnds--
}

// newWorkerEnd returns the report that the worker's incarnation has ended, or that its lease has lapsed. Runs that were
// active count as interrupted; their checkpoints may not be stored yet. The report of a lapse lists all of them but those
// that the worker may not have started yet: a later process of the agent may start them if the leader orders it again.
func (supervisor *Supervisor) newWorkerEnd(worker *workerState) *session.WorkerEnd {
	end := &session.WorkerEnd{Node: supervisor.node, Incarnation: worker.incarnation, Lapsed: !worker.ended}
	if worker.ended {
		end.At = worker.endedAt
	}
	if worker.ended && worker.crash != nil {
		crash := worker.crash.message(worker.incarnation, supervisor.clocks.Boot.Now())
		end.Crash = &crash
	}
	for _, item := range worker.listing.Ended {
		if item.Number > worker.recordedEnd {
			end.Ends = append(end.Ends, newSessionEnd(item))
		}
	}
	number := max(worker.recordedEnd, lastEndNumber(worker.listing.Ended))
	saved := map[runKey]workflow.Checkpoint{}
	for _, item := range worker.listing.Active {
		key := runKey{item.Task, item.Run}
		saved[key] = item.Saved
		if worker.ended && item.Saved != "" {
			number++
			end.Ends = append(end.Ends, newInterruptedEnd(number, key, reasonWorkerGone, item.Saved))
		}
	}
	if worker.ended {
		if worker.successor != nil {
			for _, item := range worker.successor.ends {
				number++
				item.Number = number
				end.Ends = append(end.Ends, newSessionEnd(item))
			}
		}
		return end
	}
	for _, key := range worker.sortedKnownRuns() {
		number++
		end.Ends = append(end.Ends, newInterruptedEnd(number, key, reasonWorkerLapsed, saved[key]))
	}
	return end
}

// newInterruptedEnd returns the end of a run that the worker did not list.
func newInterruptedEnd(number int64, key runKey, reason string, saved workflow.Checkpoint) session.End {
	return session.End{Number: number, Task: key.task, Run: key.number, Cause: workflow.Interrupted, Reason: reason, Saved: saved}
}

// sortedKnownRuns returns the runs that the worker refuses to start again once they have ended.
func (worker *workerState) sortedKnownRuns() []runKey {
	var keys []runKey
	for key, run := range worker.runs {
		if run.known {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right runKey) int {
		return cmp.Or(cmp.Compare(left.task, right.task), cmp.Compare(left.number, right.number))
	})
	return keys
}

// sendEnd reports the end or the lapse of a worker and returns whether it is stored.
func (supervisor *Supervisor) sendEnd(directory Directory, leader string, end *session.WorkerEnd, attempt int) bool {
	stored, err := directory.EndWorker(supervisor.baseContext, leader, end)
	if stored || attempt == 1 {
		klog.InfoS("End of the worker reported", "Worker", end.Incarnation, "Lapsed", end.Lapsed, "Attempt", attempt, "Stored", stored, "Ends", len(end.Ends), "Error", err)
	}
	return stored
}

// Shutdown stops the supervisor. It goes on until ctx ends while its worker shuts down too, does not listen or has a successor, or the
// end or the lapse of a worker is not stored yet, because nobody else can tell. It also goes on while runs may outlast the
// grant, and stops them before ctx ends, because the next process of the agent does not know that grant. For the same reason it waits for the lapse of a lease that has
// outlasted the grant.
func (supervisor *Supervisor) Shutdown(ctx context.Context) {
	for ctx.Err() == nil {
		waits, endsSoon := false, endsWithin(ctx, supervisor.stopLead())
		supervisor.loop.Call(func() {
			worker := supervisor.worker
			mayEnd := worker != nil && !worker.lapsed && (worker.announcement.Draining || worker.notListeningSince != 0 || worker.successor != nil)
			overruns := supervisor.hasOverrunningRuns()
			if overruns && endsSoon {
				supervisor.stopOverrun(worker, supervisor.clocks.Boot.Now())
			}
			waits = mayEnd || overruns || worker != nil && worker.awaitsLapse() || supervisor.pendingEnds > 0
		})
		if !waits {
			break
		}
		select {
		case <-supervisor.clocks.Boot.After(shutdownCheckInterval):
		case <-ctx.Done():
		}
	}
	supervisor.Close()
}

// endsWithin reports whether ctx ends within the time.
func endsWithin(ctx context.Context, millis clock.Millis) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) <= millis.Duration()
}
