package coordinator

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/intake"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Times of following the inbox.
const (
	// feedWait bounds the silence of a feed, so that one that went dead is noticed.
	feedWait = 2 * clock.Second
	// feedRetry separates attempts while the store does not answer.
	feedRetry = 150 * clock.Millisecond
)

// runTable holds the state of each job, written by the leader only.
const runTable = intake.StateTable

// load fills the book and returns the version after which the inbox is followed.
func (leader *Coordinator) load(ctx context.Context) (store.Version, error) {
	inbox, err := leader.listAll(ctx, intake.Table)
	if err != nil {
		return 0, err
	}
	runs, err := leader.listAll(ctx, runTable)
	if err != nil {
		return 0, err
	}
	learned, err := leader.listAll(ctx, lessonTable)
	if err != nil {
		return 0, err
	}
	states := map[workflow.ID]store.Row{}
	for _, row := range runs.Rows {
		states[workflow.ID(row.Key)] = row
	}
	leader.loop.Call(func() {
		leader.recall(learned.Rows)
		leader.receive(inbox.Rows, states)
	})
	return inbox.Version, nil
}

// listAll reads a table until the store answers or ctx or the term ends.
func (leader *Coordinator) listAll(ctx context.Context, table store.Table) (store.Rows, error) {
	for {
		rows, err := leader.need.Store.List(ctx, table, "", "")
		if err == nil {
			return rows, nil
		}
		klog.ErrorS(err, "Could not read a table", "Table", table)
		select {
		case <-leader.need.Clock.After(feedRetry):
		case <-ctx.Done():
			return store.Rows{}, errors.Join(err, ctx.Err())
		}
	}
}

// receive takes rows of the inbox. Jobs that are known stay as they are.
func (leader *Coordinator) receive(rows []store.Row, states map[workflow.ID]store.Row) {
	now := leader.need.Clock.Now()
	var cancelled []workflow.ID
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		kind, id, err := intake.ParseKey(row.Key)
		if err != nil {
			klog.ErrorS(err, "Row of the inbox ignored", "Key", row.Key)
			continue
		}
		switch kind {
		case intake.Cancellation:
			cancelled = append(cancelled, id)
		case intake.Submission:
			leader.admit(id, row.Value, states[id], now)
		}
	}
	for _, id := range cancelled {
		klog.InfoS("Job cancelled", "Job", id)
		leader.book.Cancel(id)
	}
}

func (leader *Coordinator) admit(id workflow.ID, value []byte, state store.Row, now clock.Time) {
	if _, known := leader.book.State(id); known {
		return
	}
	spec, err := workflow.DecodeSpec(id, value)
	if err != nil {
		klog.ErrorS(err, "Stored job ignored", "Job", id)
		return
	}
	age := max(0, leader.need.Store.Now().Sub(spec.Accepted))
	if state.Version == 0 {
		leader.book.Submit(spec, now.Add(-age))
		leader.show(id, workflow.Queued)
		klog.V(1).InfoS("Job received", "Job", id, "Queue", spec.Queue, "Steps", len(spec.Steps), "AgeMillis", int64(age))
		return
	}
	job, err := workflow.Restore(spec, state.Value)
	if err != nil {
		klog.ErrorS(err, "Stored state of a job cannot be used; the job stays as it is", "Job", id)
		return
	}
	leader.rows[id] = state.Version
	leader.book.Restore(job, now.Add(-age))
	leader.show(id, job.State)
}

// follow passes changes of the inbox to the control loop until the term ends.
func (leader *Coordinator) follow(after store.Version) {
	healthy := true
	for leader.base.Err() == nil {
		changes, err := leader.need.Store.Changes(leader.base, intake.Table, after, feedWait)
		if err == nil {
			if !healthy {
				klog.InfoS("Inbox regained")
			}
			healthy, after = true, changes.Version
			if len(changes.Rows) > 0 {
				leader.post(func() { leader.receive(changes.Rows, nil) })
			}
			continue
		}
		if store.IsErrHistoryGone(err) {
			klog.InfoS("Inbox read again, its history is gone", "After", after)
			if all, err := leader.listAll(leader.base, intake.Table); err == nil {
				after = all.Version
				leader.post(func() { leader.receive(all.Rows, nil) })
			}
			continue
		}
		if healthy && leader.base.Err() == nil {
			klog.ErrorS(err, "Inbox lost", "After", after)
		}
		healthy = false
		select {
		case <-leader.need.Clock.After(feedRetry):
		case <-leader.base.Done():
		}
	}
}
