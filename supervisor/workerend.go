package supervisor

import (
	"context"

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

// reasonWorkerGone is why a run was interrupted that was active when its worker ended.
const reasonWorkerGone = "WorkerGone"

// endReport is the progress of the report that a worker's incarnation has ended.
type endReport int

const (
	endNotReported endReport = iota
	endPending
	endStored
)

// endIncarnation records that the worker's process has ended, and its incarnation with it.
func (supervisor *Supervisor) endIncarnation(worker *workerState, reason string) {
	if worker.lapsed && worker.endReport != endNotReported {
		return
	}
	klog.InfoS("Worker is gone", "Worker", worker.incarnation, "Reason", reason)
	worker.lapsed = true
	supervisor.requestReport()
	if worker.endReport != endPending && supervisor.baseContext.Err() == nil {
		worker.endReport = endPending
		supervisor.pendingEnds++
		supervisor.reportEnd(worker)
	}
}

// reportEnd reports in the background that the worker's incarnation has ended, until a leader has stored it or the worker
// answers again. The session's reports are not enough: a leader that cannot store them takes them along when its term
// ends, and by then this process may have ended too.
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
				supervisor.loop.Call(func() { supervisor.finishEndReport(worker, endStored) })
				return
			}
			supervisor.sleep(endRetryInterval)
		}
	})
}

// finishEndReport records the outcome of a pending report.
func (supervisor *Supervisor) finishEndReport(worker *workerState, outcome endReport) {
	worker.endReport = outcome
	supervisor.pendingEnds--
}

// newWorkerEnd returns the report that the worker's incarnation has ended. Runs that were active count as interrupted; their
// checkpoints may not be stored yet.
func (supervisor *Supervisor) newWorkerEnd(worker *workerState) *session.WorkerEnd {
	end := &session.WorkerEnd{Node: supervisor.node, Incarnation: worker.incarnation}
	for _, item := range worker.listing.Ended {
		if item.Number > worker.recordedEnd {
			end.Ends = append(end.Ends, newSessionEnd(item))
		}
	}
	number := max(worker.recordedEnd, lastEndNumber(worker.listing.Ended))
	for _, item := range worker.listing.Active {
		if item.Saved != "" {
			number++
			end.Ends = append(end.Ends, session.End{
				Number: number, Task: item.Task, Run: item.Run, Cause: workflow.Interrupted, Reason: reasonWorkerGone, Saved: item.Saved,
			})
		}
	}
	return end
}

// sendEnd reports the end of a worker and returns whether it is stored.
func (supervisor *Supervisor) sendEnd(directory Directory, leader string, end *session.WorkerEnd, attempt int) bool {
	stored, err := directory.EndWorker(supervisor.baseContext, leader, end)
	if stored || attempt == 1 {
		klog.InfoS("End of the worker reported", "Worker", end.Incarnation, "Attempt", attempt, "Stored", stored, "UnacknowledgedEnds", len(end.Ends), "Error", err)
	}
	return stored
}

// Shutdown stops the supervisor. It goes on until ctx ends while its worker shuts down too or does not listen, or the
// end of a worker is not stored yet, because nobody else can tell.
func (supervisor *Supervisor) Shutdown(ctx context.Context) {
	for ctx.Err() == nil {
		waits := false
		supervisor.loop.Call(func() {
			worker := supervisor.worker
			mayEnd := worker != nil && !worker.lapsed && (worker.announcement.Draining || worker.notListeningSince != 0)
			waits = mayEnd || supervisor.pendingEnds > 0
		})
		if !waits {
			break
		}
		select {
		case <-supervisor.clock.After(shutdownCheckInterval):
		case <-ctx.Done():
		}
	}
	supervisor.Close()
}
