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

// store is the platform's table in memory. A call takes effect and is answered at once.
type store struct {
	deployment *deployment
	rows       map[table.Key]table.Row
	// down refuses all calls. lossy loses every fifth commit before it takes effect, and the answer to
	// every third one after it took effect.
	down           bool
	lossy          bool
	commits        int
	lostAnswers    int
	refusedCommits int
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
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(store.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && store.rows[key].Exists() && len(rows) < limit {
			rows = append(rows, store.rows[key])
		}
	}
	return rows, nil
}

// Commit applies the transaction if its conditions hold.
func (store *store) Commit(_ context.Context, transaction table.Transaction) (table.Result, error) {
	if store.down {
		store.refusedCommits++
		return table.Result{}, table.ErrUnavailable{Reason: "outage"}
	}
	store.commits++
	if store.lossy && store.commits%5 == 0 {
		store.lostAnswers++
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "request lost"}
	}
	result, err := store.apply(transaction)
	if err == nil && store.lossy && store.commits%3 == 0 {
		store.lostAnswers++
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

// checkJob asserts that a job's row never regresses: epochs do not decrease, final tasks and the
// newest checkpoints stay, and tasks of a cancelled job are not claimed.
func (store *store) checkJob(before, after table.Row) {
	checks := store.deployment.checks
	next, err := job.Decode(after.Value)
	if err != nil {
		checks.fail("row %s cannot be read: %v", after.Key, err)
		return
	}
	if !before.Exists() {
		return
	}
	old, err := job.Decode(before.Value)
	if err != nil {
		checks.fail("row %s cannot be read: %v", before.Key, err)
		return
	}
	for index := range next.Tasks {
		oldTask, newTask := old.Tasks[index], next.Tasks[index]
		name := ident.Task{Job: next.Spec.Job, Index: index}
		checks.rowChanges++
		switch {
		case newTask.Epoch < oldTask.Epoch || newTask.Epoch > oldTask.Epoch+1:
			checks.fail("I3: task %s goes from epoch %d to %d", name, oldTask.Epoch, newTask.Epoch)
		case oldTask.State.Final() && newTask != oldTask:
			checks.fail("final task %s changes from %s to %s", name, oldTask.State, newTask.State)
		case newTask.Checkpoint.Epoch < oldTask.Checkpoint.Epoch:
			checks.fail("I3: task %s loses its newest checkpoint", name)
		case old.Cancelled && (!next.Cancelled || newTask.Epoch > oldTask.Epoch):
			checks.fail("cancelled task %s is claimed", name)
		case newTask.Epoch > oldTask.Epoch && store.deployment.taskAgents[name] != nil:
			checks.fail("I2: running task %s is claimed again", name)
		}
	}
}

// task returns a task and its job's row from the table, or zero values if there is no such row.
func (store *store) task(name ident.Task) (job.Task, *job.Row) {
	row, err := job.Decode(store.rows[job.Key(name.Job)].Value)
	if err != nil || name.Index >= len(row.Tasks) {
		return job.Task{}, &job.Row{}
	}
	return row.Tasks[name.Index], row
}
