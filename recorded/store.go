package recorded

import (
	"context"
	"maps"
	"slices"
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

// store is the platform's table in memory. Every answer is decided when the call is made.
type store struct {
	deployment *deployment
	rows       map[table.Key]table.Row
	// down refuses all calls. Lossy loses the answer of each third commit after it took effect, and
	// each fifth commit before.
	down    bool
	lossy   bool
	commits int
	lost    int
	refused int
}

func newStore(deployment *deployment) *store {
	return &store{deployment: deployment, rows: make(map[table.Key]table.Row)}
}

// Get returns one row.
func (store *store) Get(_ context.Context, key table.Key) (table.Row, error) {
	if store.down {
		return table.Row{}, table.ErrUnavailable{Reason: "outage"}
	}
	row := store.rows[key]
	row.Key = key
	return row, nil
}

// Range returns existing rows in ascending order.
func (store *store) Range(_ context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	if store.down {
		return nil, table.ErrUnavailable{Reason: "outage"}
	}
	var found []table.Row
	for _, key := range slices.Sorted(maps.Keys(store.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && store.rows[key].Exists() && len(found) < limit {
			found = append(found, store.rows[key])
		}
	}
	return found, nil
}

// Commit applies the transaction if its conditions hold.
func (store *store) Commit(_ context.Context, transaction table.Transaction) (table.Result, error) {
	if store.down {
		store.refused++
		return table.Result{}, table.ErrUnavailable{Reason: "outage"}
	}
	store.commits++
	if store.lossy && store.commits%5 == 0 {
		store.lost++
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "request lost"}
	}
	result, err := store.apply(transaction)
	if err == nil && store.lossy && store.commits%3 == 0 {
		store.lost++
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "answer lost"}
	}
	return result, err
}

func (store *store) apply(transaction table.Transaction) (table.Result, error) {
	for _, condition := range transaction.Conditions {
		if row := store.rows[condition.Key]; row.Revision != condition.Revision {
			return table.Result{}, table.ErrConflict{Key: condition.Key, Want: condition.Revision, Have: row.Revision, Winner: row.Write}
		}
	}
	result := table.Result{Revisions: make(map[table.Key]table.Revision)}
	for _, operation := range transaction.Operations {
		before := store.rows[operation.Key]
		row := table.Row{
			Key: operation.Key, Value: slices.Clone(operation.Value), Revision: before.Revision + 1,
			Write: transaction.Write, Deleted: operation.Delete,
		}
		store.rows[operation.Key] = row
		result.Revisions[operation.Key] = row.Revision
		if strings.HasPrefix(string(operation.Key), job.KeyPrefix) {
			store.checkJob(before, row)
		}
	}
	return result, nil
}

// checkJob asserts that a job's row never goes back: epochs do not fall, final tasks and newest
// checkpoints stay, and a cancelled job is not claimed.
func (store *store) checkJob(before, after table.Row) {
	checks := store.deployment.checks
	next, err := job.Decode(after.Value)
	if err != nil {
		checks.broken("row %s cannot be read: %v", after.Key, err)
		return
	}
	if !before.Exists() {
		return
	}
	old, err := job.Decode(before.Value)
	if err != nil {
		checks.broken("row %s cannot be read: %v", before.Key, err)
		return
	}
	for index := range next.Tasks {
		was, is := old.Tasks[index], next.Tasks[index]
		name := ident.Task{Job: next.Spec.Job, Index: index}
		checks.rows++
		switch {
		case is.Epoch < was.Epoch || is.Epoch > was.Epoch+1:
			checks.broken("I3: task %s goes from epoch %d to %d", name, was.Epoch, is.Epoch)
		case was.State.Final() && is != was:
			checks.broken("final task %s changes from %s to %s", name, was.State, is.State)
		case is.Checkpoint.Epoch < was.Checkpoint.Epoch:
			checks.broken("I3: task %s loses its newest checkpoint", name)
		case old.Cancelled && (!next.Cancelled || is.Epoch > was.Epoch):
			checks.broken("cancelled task %s is claimed", name)
		case is.Epoch > was.Epoch && store.deployment.places[name] != nil:
			checks.broken("I2: running task %s is claimed again", name)
		}
	}
}

// task returns a task as the table holds it.
func (store *store) task(name ident.Task) (job.Task, *job.Row) {
	row, err := job.Decode(store.rows[job.Key(name.Job)].Value)
	if err != nil || name.Index >= len(row.Tasks) {
		return job.Task{}, &job.Row{}
	}
	return row.Tasks[name.Index], row
}
