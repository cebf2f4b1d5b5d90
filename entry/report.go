package entry

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
)

// reportWait is how long the reply to a report waits until the ends are recorded. A round and a
// commit record them within about 300 ms, while an agent repeats an unrecorded report after 1 s, so
// without the wait each end would take two reports. It is below the 2 s after which an agent gives
// up on the call.
const reportWait = 700 * clock.Millisecond

// waitingReport is a report whose reply waits until its ends are recorded or the deadline passes.
// It belongs to the control goroutine, except for done.
type waitingReport struct {
	pending  map[ident.Task]ident.Epoch
	deadline clock.Time
	done     chan struct{}
}

// Report receives the ends of tasks. Agents repeat them until the reply says that they are recorded
// in the table.
func (entry *Entry) Report(ctx context.Context, request *controlpb.ReportRequest) (*controlpb.ReportReply, error) {
	if err := entry.checkReady(); err != nil {
		return nil, err
	}
	reply := &controlpb.ReportReply{}
	var report *waitingReport
	entry.control.Call(func() { report = entry.processReport(request, reply) })
	if report == nil {
		return reply, nil
	}
	select {
	case <-report.done:
	case <-ctx.Done():
	case <-entry.quit:
	}
	entry.control.Call(func() {
		delete(entry.waitingReports, report)
		reply.Recorded = nil
		for _, message := range request.GetEnded() {
			task, epoch := controlpb.ToTask(message.GetTask())
			if end, ok := entry.recordedEnds[task]; ok && end.epoch >= epoch {
				reply.Recorded = append(reply.Recorded, message.Task)
			}
		}
	})
	return reply, nil
}

// processReport passes the ends to the scheduler. It fills the reply, or returns a waitingReport if
// the reply has to wait. It runs on the control goroutine.
func (entry *Entry) processReport(request *controlpb.ReportRequest, reply *controlpb.ReportReply) *waitingReport {
	now := entry.time.Now()
	report := &waitingReport{pending: map[ident.Task]ident.Epoch{}, deadline: now.Add(reportWait), done: make(chan struct{})}
	entry.waitingReports[report] = struct{}{}
	for _, message := range request.GetEnded() {
		status := controlpb.ToStatus(message)
		if end, ok := entry.recordedEnds[status.Task]; ok && end.epoch >= status.Epoch {
			reply.Recorded = append(reply.Recorded, message.Task)
			continue
		}
		if !entry.isHome(status.Task.Job) {
			reply.Misdirected = append(reply.Misdirected, message.Task)
			continue
		}
		name := ident.Worker(request.GetWorker())
		entry.countEnd(name, status, now)
		report.pending[status.Task] = status.Epoch
		entry.loadUnknownJob(status)
		entry.handle(placement.TaskEnded{Worker: name, Status: status})
	}
	if len(report.pending) == 0 {
		delete(entry.waitingReports, report)
		return nil
	}
	return report
}

// markRecorded stores that the end of a task is recorded in the table, and completes the reports
// that wait for no other end.
func (entry *Entry) markRecorded(task ident.Task, epoch ident.Epoch) {
	entry.recordedEnds[task] = recordedEnd{epoch: epoch, at: entry.time.Now()}
	for report := range entry.waitingReports {
		if reportedEpoch, ok := report.pending[task]; ok && reportedEpoch <= epoch {
			delete(report.pending, task)
			if len(report.pending) == 0 {
				close(report.done)
				delete(entry.waitingReports, report)
			}
		}
	}
}

// expireReports completes the reports whose deadline has passed.
func (entry *Entry) expireReports(now clock.Time) {
	for report := range entry.waitingReports {
		if !now.Before(report.deadline) {
			close(report.done)
			delete(entry.waitingReports, report)
		}
	}
}
