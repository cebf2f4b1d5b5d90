package entry

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
)

// reportHold is how long the reply to a report waits for the ends to be recorded. A round and a commit
// record them within about 300 ms, and an agent repeats a report after 1 s, so that without the wait each
// end costs two reports. It is below the 2 s after which an agent takes the call for lost.
const reportHold = 700 * clock.Millisecond

// heldReport is a report whose reply waits until its ends are recorded or until a time has passed. It
// belongs to the control goroutine, apart from done.
type heldReport struct {
	pending map[ident.Task]ident.Epoch
	until   clock.Time
	done    chan struct{}
}

// Report takes the ends of tasks that an agent reports until they are recorded in the table.
func (entry *Entry) Report(ctx context.Context, request *controlpb.ReportRequest) (*controlpb.ReportReply, error) {
	if err := entry.notReady(); err != nil {
		return nil, err
	}
	reply := &controlpb.ReportReply{}
	var held *heldReport
	entry.control.Call(func() { held = entry.takeReport(request, reply) })
	if held == nil {
		return reply, nil
	}
	select {
	case <-held.done:
	case <-ctx.Done():
	case <-entry.quit:
	}
	entry.control.Call(func() {
		delete(entry.reports, held)
		reply.Recorded = nil
		for _, message := range request.GetEnded() {
			task, epoch := controlpb.ToTask(message.GetTask())
			if known, ok := entry.recorded[task]; ok && known.epoch >= epoch {
				reply.Recorded = append(reply.Recorded, message.Task)
			}
		}
	})
	return reply, nil
}

// takeReport passes the ends to the scheduler. It fills the reply, or returns the report if its reply has to
// wait. It runs on the control goroutine.
func (entry *Entry) takeReport(request *controlpb.ReportRequest, reply *controlpb.ReportReply) *heldReport {
	now := entry.time.Now()
	held := &heldReport{pending: map[ident.Task]ident.Epoch{}, until: now.Add(reportHold), done: make(chan struct{})}
	entry.reports[held] = struct{}{}
	for _, message := range request.GetEnded() {
		status := controlpb.ToStatus(message)
		if known, ok := entry.recorded[status.Task]; ok && known.epoch >= status.Epoch {
			reply.Recorded = append(reply.Recorded, message.Task)
			continue
		}
		if !entry.isHome(status.Task.Job) {
			reply.Misdirected = append(reply.Misdirected, message.Task)
			continue
		}
		name := ident.Worker(request.GetWorker())
		entry.countEnd(name, status, now)
		held.pending[status.Task] = status.Epoch
		entry.knowJob(status)
		entry.handle(placement.TaskEnded{Worker: name, Status: status})
	}
	if len(held.pending) == 0 {
		delete(entry.reports, held)
		return nil
	}
	return held
}

// noteRecorded remembers that the end of a task is in the table and lets the reports go that waited for it
// alone.
func (entry *Entry) noteRecorded(task ident.Task, epoch ident.Epoch) {
	entry.recorded[task] = recordedEnd{epoch: epoch, at: entry.time.Now()}
	for held := range entry.reports {
		if waits, ok := held.pending[task]; ok && waits <= epoch {
			delete(held.pending, task)
			if len(held.pending) == 0 {
				close(held.done)
				delete(entry.reports, held)
			}
		}
	}
}

// releaseReports lets the reports go that have waited long enough.
func (entry *Entry) releaseReports(now clock.Time) {
	for held := range entry.reports {
		if !now.Before(held.until) {
			close(held.done)
			delete(entry.reports, held)
		}
	}
}
