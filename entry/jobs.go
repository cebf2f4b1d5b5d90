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
	// pendingPrefix starts the keys of rows that tell the home of a job to read its row. They exist
	// from a change by another entry until the home has read it, so a range read of them is small.
	pendingPrefix = "Pending/"
	// scanInterval is how often all job rows are read although the live entries did not change. A
	// scan reads some 100 KB at the design size, so it must be rare to stay below 7 KB/s.
	scanInterval = 15 * clock.Minute
	// jobPage is the number of rows read at once.
	jobPage = 100
)

func pendingKey(name ident.Job) table.Key {
	return table.Key(pendingPrefix + string(name))
}

// isHome reports whether this entry schedules the job. It runs on the control goroutine.
func (entry *Entry) isHome(name ident.Job) bool {
	home, ok := membership.JobHome(name, entry.settings.Region, entry.entries.Live(entry.time.Now())).Get()
	return ok && home.ID == entry.settings.ID
}

// adopt reads the jobs whose rows were changed by other entries.
func (entry *Entry) adopt() {
	if !entry.publisher.Ready() {
		return
	}
	ctx, cancel := entry.call(4 * clock.Second)
	defer cancel()
	after := table.Key("")
	for {
		rows, err := entry.store.Range(ctx, pendingPrefix, after, jobPage)
		if err != nil {
			return
		}
		for _, row := range rows {
			after = row.Key
			name := ident.Job(row.Key[len(pendingPrefix):])
			if !entry.mine(name) || entry.loadJob(ctx, name) != nil {
				continue
			}
			entry.clearPending(ctx, row)
		}
		// Rows of jobs whose home is another entry, which may be slow or gone, must not hide the others.
		if len(rows) < jobPage {
			return
		}
	}
}

func (entry *Entry) mine(name ident.Job) bool {
	mine := false
	entry.control.Call(func() { mine = entry.isHome(name) })
	return mine
}

// clearPending removes the row if it was not written again since it was read.
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
	entry.control.Call(func() { entry.takeJob(name, row) })
	return nil
}

func (entry *Entry) takeJob(name ident.Job, row table.Row) {
	if !entry.homed[name] {
		entry.homed[name] = true
		adoptedJobs.Inc()
		klog.InfoS("Home of job", "Job", name, "Revision", row.Revision)
	}
	if content, err := job.Decode(row.Value); err == nil {
		if content.Spec.Urgent && !content.Final() {
			entry.urgent[name] = true
		}
		entry.reviewPlacements(content)
	}
	entry.handle(placement.JobLoaded{Row: row})
}

// reviewPlacements has the rows of workers read that hold tasks of the job and are not in the view.
// Their incarnations may have ended before this entry started, and nobody would tell it.
func (entry *Entry) reviewPlacements(content *job.Row) {
	for index := range content.Tasks {
		worker := content.Tasks[index].Placement.Worker
		if worker == "" {
			continue
		}
		_, seen := entry.workers.Get(worker)
		_, silent := entry.silent[worker]
		if !seen && !silent {
			entry.silent[worker] = silence{due: entry.time.Now()}
		}
	}
}

// scanJobs reads all job rows. It runs when the live entries change, because jobs then change their
// home, and now and then as a safeguard.
func (entry *Entry) scanJobs() {
	if !entry.publisher.Ready() {
		return
	}
	after := table.Key("")
	for {
		ctx, cancel := entry.call(4 * clock.Second)
		rows, err := entry.store.Range(ctx, job.KeyPrefix, after, jobPage)
		cancel()
		if err != nil {
			klog.V(1).InfoS("Job rows were not read", "Reason", err.Error())
			return
		}
		var expired []table.Row
		entry.control.Call(func() {
			for _, row := range rows {
				entry.sortJob(row)
				if entry.jobExpired(row) {
					expired = append(expired, row)
				}
			}
		})
		entry.deleteJobs(expired)
		if len(rows) < jobPage {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

// jobExpired reports whether a job homed here ended so long ago that its row is deleted. The time
// counts from when this process first saw the end, because clocks of processes cannot be compared.
func (entry *Entry) jobExpired(row table.Row) bool {
	name := ident.Job(row.Key[len(job.KeyPrefix):])
	if !entry.homed[name] {
		delete(entry.finalSince, name)
		return false
	}
	content, err := job.Decode(row.Value)
	if err != nil || !content.Final() {
		return false
	}
	now := entry.time.Now()
	since, known := entry.finalSince[name]
	if !known {
		entry.finalSince[name] = now
		return false
	}
	return now.Sub(since) >= entry.settings.JobRetention
}

// deleteJobs deletes rows of ended jobs that did not change since they were read. Their names stay
// used, because a deleted row keeps its revision.
func (entry *Entry) deleteJobs(rows []table.Row) {
	for _, row := range rows {
		ctx, cancel := entry.call(entry.settings.CallTimeout)
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
			delete(entry.homed, name)
			entry.handle(placement.JobDropped{Job: name})
		})
	}
}

// sortJob takes the job if this entry is its home and drops it otherwise.
func (entry *Entry) sortJob(row table.Row) {
	name := ident.Job(row.Key[len(job.KeyPrefix):])
	if entry.isHome(name) {
		entry.takeJob(name, row)
		return
	}
	if _, substitute := entry.substituted[name]; !substitute {
		entry.dropJob(name)
	}
}

// dropJob leaves a job to its home.
func (entry *Entry) dropJob(name ident.Job) {
	if entry.homed[name] {
		delete(entry.homed, name)
		klog.InfoS("No longer home of job", "Job", name)
		entry.handle(placement.JobDropped{Job: name})
	}
}

// Notify loads jobs that another entry changed.
func (entry *Entry) Notify(ctx context.Context, request *controlpb.NotifyRequest) (*controlpb.NotifyReply, error) {
	for _, name := range request.GetJobs() {
		if !entry.mine(ident.Job(name)) {
			continue
		}
		if err := entry.loadJob(ctx, ident.Job(name)); err != nil {
			return nil, err
		}
	}
	return &controlpb.NotifyReply{}, nil
}

// notifyHome tells the home of a job that its row changed, and reports whether the home answered. The
// pending row reaches the home if this call does not.
func (entry *Entry) notifyHome(ctx context.Context, name ident.Job) bool {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout.Duration())
	defer cancel()
	var home membership.Entry
	found := false
	entry.control.Call(func() {
		home, found = membership.JobHome(name, entry.settings.Region, entry.entries.Live(entry.time.Now())).Get()
	})
	if !found {
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
		// The connection may be silent, so the next message dials anew.
		entry.connections.Discard(home.ControlAddress)
	}
	return err == nil
}

// knowJob reads the row of a job that a reported end names and that this entry has not read. The
// scheduler drops ends of unknown jobs, and the report is repeated. If the row was deleted, there is
// nothing to record.
func (entry *Entry) knowJob(status worker.Status) {
	name := status.Task.Job
	if entry.homed[name] {
		return
	}
	entry.spawn(func() {
		ctx, cancel := entry.call(entry.settings.CallTimeout)
		defer cancel()
		row, err := entry.store.Get(ctx, job.Key(name))
		if err != nil {
			return
		}
		row.Key = job.Key(name)
		entry.control.Call(func() {
			if row.Exists() {
				entry.takeJob(name, row)
				return
			}
			entry.noteRecorded(status.Task, status.Epoch)
		})
	})
}

// countEnd takes an end as evidence once. The end of a job whose row was not read yet is counted when
// its report is repeated, because the job's class is not known before.
func (entry *Entry) countEnd(on ident.Worker, status worker.Status, now clock.Time) {
	spec, resumed, known := entry.scheduler.Spec(status.Task)
	if !known {
		return
	}
	if entry.counted[status.Task].epoch < status.Epoch {
		entry.learned.taskEnded(on, status, ending{class: spec.Class, resumed: resumed, largest: entry.learned.largest}, now)
	}
	entry.counted[status.Task] = recordedEnd{epoch: status.Epoch, at: now}
}

// sweep deletes claim rows of keyed submissions whose retention is over.
func (entry *Entry) sweep() {
	if !entry.publisher.Ready() {
		return
	}
	ctx, cancel := entry.call(4 * clock.Second)
	defer cancel()
	if _, err := entry.sweeper.Step(ctx, entry.time.Now(), jobPage); err != nil {
		klog.V(1).InfoS("Old claims were not swept", "Reason", err.Error())
	}
	entry.dispatcher.Flush(ctx)
}
