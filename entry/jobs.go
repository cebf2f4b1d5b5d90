package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

const (
	// pendingPrefix starts the keys of rows that ask the home of a job to read the job's row. Such
	// a row exists from a change by another entry until the home has read it, so a range read of
	// them is small.
	pendingPrefix = "Pending/"
	// scanInterval is how often all job rows are read while the live entries do not change. A scan
	// reads some 100 KB at the design size, so it must be rare for the traffic of a daemon to stay
	// below its limit of 7 KB/s.
	scanInterval = 15 * clock.Minute
	// rowsPerPage is the number of rows in one range read.
	rowsPerPage = 100
)

// pendingKey returns the key of a job's pending row.
func pendingKey(name ident.Job) table.Key {
	return table.Key(pendingPrefix + string(name))
}

// isHome reports whether this entry is the home of the job. It runs on the control goroutine.
func (entry *Entry) isHome(name ident.Job) bool {
	home, ok := membership.JobHome(name, entry.settings.Region, entry.entries.Live(entry.time.Now())).Get()
	return ok && home.ID == entry.settings.ID
}

// loadPendingJobs reads the jobs homed here whose rows were changed by other entries.
func (entry *Entry) loadPendingJobs() {
	if !entry.configPublisher.Ready() {
		return
	}
	ctx, cancel := entry.callContext(4 * clock.Second)
	defer cancel()
	after := table.Key("")
	for {
		rows, err := entry.store.Range(ctx, pendingPrefix, after, rowsPerPage)
		if err != nil {
			return
		}
		for _, row := range rows {
			after = row.Key
			name := ident.Job(row.Key[len(pendingPrefix):])
			if !entry.homedHere(name) || entry.loadJob(ctx, name) != nil {
				continue
			}
			entry.clearPending(ctx, row)
		}
		// All pages are read, because pending rows of other homes, which may be slow or gone, can
		// fill the first ones.
		if len(rows) < rowsPerPage {
			return
		}
	}
}

// homedHere is isHome for goroutines other than the control goroutine.
func (entry *Entry) homedHere(name ident.Job) bool {
	isHome := false
	entry.control.Call(func() { isHome = entry.isHome(name) })
	return isHome
}

// clearPending removes the row unless it was written again since it was read.
func (entry *Entry) clearPending(ctx context.Context, row table.Row) {
	_, err := entry.store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: row.Key, Revision: row.Revision}},
		Operations: []table.Operation{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		klog.V(1).InfoS("Pending row was not removed", "Key", row.Key, "Reason", err.Error())
	}
}

// loadJob reads a job's row and passes it to the scheduler.
func (entry *Entry) loadJob(ctx context.Context, name ident.Job) error {
	row, err := entry.store.Get(ctx, job.Key(name))
	if err != nil {
		return err
	}
	row.Key = job.Key(name)
	entry.control.Call(func() { entry.adoptJob(name, row) })
	return nil
}

// adoptJob passes the row of a job homed here to the scheduler. It runs on the control goroutine.
func (entry *Entry) adoptJob(name ident.Job, row table.Row) {
	if !entry.homedJobs[name] {
		entry.homedJobs[name] = true
		adoptedJobs.Inc()
		klog.InfoS("Home of job", "Job", name, "Revision", row.Revision)
	}
	if content, err := job.Decode(row.Value); err == nil {
		if content.Spec.Urgent && !content.Final() {
			entry.urgentJobs[name] = true
		}
		entry.reviewPlacements(content)
	}
	entry.handle(placement.JobLoaded{Row: row})
}

// reviewPlacements schedules a review of the workers that hold tasks of the job and have not
// announced themselves. Their incarnations may have ended before this entry started, in which case
// no exchange reports it.
func (entry *Entry) reviewPlacements(content *job.Row) {
	for index := range content.Tasks {
		worker := content.Tasks[index].Placement.Worker
		if worker == "" {
			continue
		}
		_, reported := entry.workers.Get(worker)
		_, unresponsive := entry.unresponsive[worker]
		if !reported && !unresponsive {
			entry.unresponsive[worker] = unresponsiveWorker{nextReview: entry.time.Now()}
		}
	}
}

// scanJobs reads all job rows. It runs when the live entries change, because jobs then change their
// home, and at scanInterval as a safeguard.
func (entry *Entry) scanJobs() {
	if !entry.configPublisher.Ready() {
		return
	}
	after := table.Key("")
	for {
		ctx, cancel := entry.callContext(4 * clock.Second)
		rows, err := entry.store.Range(ctx, job.KeyPrefix, after, rowsPerPage)
		cancel()
		if err != nil {
			klog.V(1).InfoS("Job rows were not read", "Reason", err.Error())
			return
		}
		var expired []table.Row
		entry.control.Call(func() {
			for _, row := range rows {
				entry.adoptOrRemoveJob(row)
				if entry.jobExpired(row) {
					expired = append(expired, row)
				}
			}
		})
		entry.deleteJobs(expired)
		if len(rows) < rowsPerPage {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

// jobExpired reports whether a job homed here ended so long ago that its row is to be deleted. The
// time counts from when this process first saw the end, because the clocks of processes are not
// comparable.
func (entry *Entry) jobExpired(row table.Row) bool {
	name := ident.Job(row.Key[len(job.KeyPrefix):])
	if !entry.homedJobs[name] {
		delete(entry.finalSince, name)
		return false
	}
	content, err := job.Decode(row.Value)
	if err != nil || !content.Final() {
		return false
	}
	now := entry.time.Now()
	since, ok := entry.finalSince[name]
	if !ok {
		entry.finalSince[name] = now
		return false
	}
	return now.Sub(since) >= entry.settings.JobRetention
}

// deleteJobs deletes rows of ended jobs that did not change since they were read. The names cannot
// be used again, because a deleted row keeps its revision.
func (entry *Entry) deleteJobs(rows []table.Row) {
	for _, row := range rows {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		_, err := entry.store.Commit(ctx, table.Transaction{
			Conditions: []table.Condition{{Key: row.Key, Revision: row.Revision}},
			Operations: []table.Operation{{Key: row.Key, Delete: true}},
		})
		cancel()
		if err != nil {
			klog.V(1).InfoS("Row of an ended job was not deleted", "Key", row.Key, "Reason", err.Error())
			continue
		}
		name := ident.Job(row.Key[len(job.KeyPrefix):])
		entry.control.Call(func() {
			delete(entry.finalSince, name)
			delete(entry.homedJobs, name)
			entry.handle(placement.JobRemoved{Job: name})
		})
	}
}

// adoptOrRemoveJob adopts the job if this entry is its home and removes it otherwise, unless it is a
// substitute for the home.
func (entry *Entry) adoptOrRemoveJob(row table.Row) {
	name := ident.Job(row.Key[len(job.KeyPrefix):])
	if entry.isHome(name) {
		entry.adoptJob(name, row)
		return
	}
	if _, substituted := entry.substitutions[name]; !substituted {
		entry.removeJob(name)
	}
}

// removeJob stops scheduling a job whose home is another entry.
func (entry *Entry) removeJob(name ident.Job) {
	if entry.homedJobs[name] {
		delete(entry.homedJobs, name)
		klog.InfoS("No longer home of job", "Job", name)
		entry.handle(placement.JobRemoved{Job: name})
	}
}

// Notify reads jobs that another entry changed.
func (entry *Entry) Notify(ctx context.Context, request *controlpb.NotifyRequest) (*controlpb.NotifyReply, error) {
	for _, name := range request.GetJobs() {
		if !entry.homedHere(ident.Job(name)) {
			continue
		}
		if err := entry.loadJob(ctx, ident.Job(name)); err != nil {
			return nil, err
		}
	}
	return &controlpb.NotifyReply{}, nil
}

// notifyHome informs the home of a job that its row changed, and reports whether the home answered.
// A home that did not answer finds the job by its pending row.
func (entry *Entry) notifyHome(ctx context.Context, name ident.Job) bool {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout.Duration())
	defer cancel()
	var home membership.Entry
	ok := false
	entry.control.Call(func() {
		home, ok = membership.JobHome(name, entry.settings.Region, entry.entries.Live(entry.time.Now())).Get()
	})
	if !ok {
		return false
	}
	if home.ID == entry.settings.ID {
		return entry.loadJob(ctx, name) == nil
	}
	client, err := entry.connections.Entry(home.ControlAddress)
	if err == nil {
		_, err = client.Notify(ctx, &controlpb.NotifyRequest{Jobs: []string{string(name)}})
	}
	if err != nil {
		klog.V(1).InfoS("Home of job was not notified", "Job", name, "Entry", home.ID, "Reason", err.Error())
		// Closes the connection, which may be silent, so that the next call dials again.
		entry.connections.Discard(home.ControlAddress)
	}
	return err == nil
}

// loadUnknownJob reads the row of a job whose task ended and that this entry has not read yet. The
// scheduler ignores ends of unknown jobs, but the report is repeated. If the row was deleted, the
// end counts as recorded, because there is nowhere to record it.
func (entry *Entry) loadUnknownJob(status worker.Status) {
	name := status.Task.Job
	if entry.homedJobs[name] {
		return
	}
	entry.spawn(func() {
		ctx, cancel := entry.callContext(entry.settings.CallTimeout)
		defer cancel()
		row, err := entry.store.Get(ctx, job.Key(name))
		if err != nil {
			return
		}
		row.Key = job.Key(name)
		entry.control.Call(func() {
			if row.Exists() {
				entry.adoptJob(name, row)
				return
			}
			entry.markRecorded(status.Task, status.Epoch)
		})
	})
}

// countEnd records an end once as evidence about the worker and the job. The end of an unknown job
// is not counted until its report is repeated, because the job's class is needed.
func (entry *Entry) countEnd(on ident.Worker, status worker.Status, now clock.Time) {
	spec, resumed, ok := entry.scheduler.Spec(status.Task)
	if !ok {
		return
	}
	if entry.countedEnds[status.Task].epoch < status.Epoch {
		entry.models.taskEnded(on, status, endedJob{class: spec.Class, resumed: resumed, largestMemory: entry.models.largestMemory}, now)
	}
	entry.countedEnds[status.Task] = recordedEnd{epoch: status.Epoch, at: now}
}

// sweep deletes claim rows of keyed submissions whose retention is over.
func (entry *Entry) sweep() {
	if !entry.configPublisher.Ready() {
		return
	}
	ctx, cancel := entry.callContext(4 * clock.Second)
	defer cancel()
	if _, err := entry.sweeper.Step(ctx, entry.time.Now(), rowsPerPage); err != nil {
		klog.V(1).InfoS("Old claims were not swept", "Reason", err.Error())
	}
	entry.dispatcher.Flush(ctx)
}
