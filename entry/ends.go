package entry

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/placement"
	"hyssopjunction/set"
)

// unreadWait is how long the end of a task whose job is not known here is reported before a missing
// row counts as deleted. A read right after the submission may still miss the row.
const unreadWait = clock.Minute

// Report takes the ends of tasks that an agent reports until they are recorded in the table.
func (entry *Entry) Report(ctx context.Context, request *controlpb.ReportRequest) (*controlpb.ReportReply, error) {
	if err := entry.notReady(); err != nil {
		return nil, err
	}
	reply := &controlpb.ReportReply{}
	unread := map[ident.Job][]*controlpb.TaskRef{}
	entry.control.Call(func() {
		now := entry.time.Now()
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
			worker := ident.Worker(request.GetWorker())
			reported, repeated := entry.reported[status.Task]
			if !repeated || reported.epoch < status.Epoch {
				entry.learned.taskEnded(worker, status, now)
				reported = reportedEnd{epoch: status.Epoch, first: now}
			}
			reported.last = now
			entry.reported[status.Task] = reported
			entry.handle(placement.TaskEnded{Worker: worker, Status: status})
			if now.Sub(reported.first) < unreadWait {
				continue
			}
			if _, known := entry.scheduler.Explain(status.Task.Job); !known {
				unread[status.Task.Job] = append(unread[status.Task.Job], message.Task)
			}
		}
	})
	for _, name := range set.SortedKeys(unread) {
		if entry.jobDeleted(ctx, name) {
			// There is nothing to record, and the agent must not report the end for ever.
			reply.Recorded = append(reply.Recorded, unread[name]...)
		}
	}
	return reply, nil
}

// jobDeleted reports whether the job certainly has no row. It takes the job over if it has one.
func (entry *Entry) jobDeleted(ctx context.Context, name ident.Job) bool {
	row, err := entry.store.Get(ctx, job.Key(name))
	if err != nil {
		return false
	}
	if row.Exists() {
		entry.control.Call(func() { entry.takeJob(name, row) })
	}
	return !row.Exists()
}
