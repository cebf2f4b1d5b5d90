package coordinator

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/intake"
	"hyssopjunction/set"
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

// load fills the book and returns the version after which the inbox is followed. The tables may be read
// at the same time: only the leader writes states.
func (leader *Coordinator) load(ctx context.Context) (store.Version, error) {
	var inbox, runs, learned store.Rows
	group, ctx := errgroup.WithContext(ctx)
	for table, rows := range map[store.Table]*store.Rows{intake.Table: &inbox, runTable: &runs, lessonTable: &learned} {
		group.Go(func() error {
			var err error
			*rows, err = leader.listAll(ctx, table)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	states := map[workflow.ID]store.Row{}
	for _, row := range runs.Rows {
		states[workflow.ID(row.Key)] = row
	}
	leader.loop.Call(func() {
		leader.recall(learned.Rows)
		leader.receive(inbox.Rows, states)
		leader.adopt(states)
	})
	return inbox.Version, nil
}

// adopt takes over the removal of states whose jobs an earlier leader archived.
func (leader *Coordinator) adopt(states map[workflow.ID]store.Row) {
	now := leader.need.Clock.Now()
	for _, id := range set.SortedKeys(states) {
		if _, known := leader.inbox[id]; known {
			continue
		}
		state, err := workflow.DecodeStateOf(id, states[id].Value)
		if err != nil || !state.Final() {
			klog.InfoS("State without a job left alone", "Job", id, "State", state, "Error", err)
			continue
		}
		leader.show(id, state)
		leader.dropped = append(leader.dropped, archived{id: id, version: states[id].Version, at: now})
	}
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
	cancelled := map[workflow.ID]store.Version{}
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
			cancelled[id] = row.Version
		case intake.Submission:
			leader.admit(id, row, states[id], now)
		}
	}
	for _, id := range set.SortedKeys(cancelled) {
		klog.InfoS("Job cancelled", "Job", id)
		leader.book.Cancel(id)
		if versions, ok := leader.inbox[id]; ok {
			versions.Cancellation = cancelled[id]
			leader.inbox[id] = versions
		}
	}
}

func (leader *Coordinator) admit(id workflow.ID, row, state store.Row, now clock.Time) {
	// A feed that was resumed may report jobs again that were archived meanwhile.
	if _, known := leader.State(id); known {
		return
	}
	spec, err := workflow.DecodeSpec(id, row.Value)
	if err != nil {
		klog.ErrorS(err, "Stored job ignored", "Job", id)
		return
	}
	leader.inbox[id] = intake.Versions{Submission: row.Version}
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
	if job.State.Final() {
		leader.endedAt[id] = now
	}
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
