package placement

import (
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// teamLimits is a Quotas that limits the CPU of each team to teamLimit.
type teamLimits struct {
	used map[ident.Team]unit.Resources
}

const teamLimit = unit.MilliCPU(60_000)

func (limits *teamLimits) Observe(team ident.Team, used unit.Resources) { limits.used[team] = used }

func (limits *teamLimits) Admit(team ident.Team, want unit.Resources, _ bool) (reason string, ok bool) {
	return "limit", limits.used[team].CPU+want.CPU <= teamLimit
}

// fakeTable is a table with conditional transactions and outages. It checks every row written.
type fakeTable struct {
	harness *harness
	rows    map[table.Key]table.Row
	down    bool
	// quotaUnchecked turns off the check of the teams' quota.
	quotaUnchecked bool
	usage          map[ident.Team]unit.Resources
	writes         int
}

func newFakeTable(harness *harness) *fakeTable {
	return &fakeTable{harness: harness, rows: make(map[table.Key]table.Row), usage: make(map[ident.Team]unit.Resources)}
}

func (fake *fakeTable) put(key table.Key, value []byte) {
	fake.writes++
	row := fake.rows[key]
	fake.rows[key] = table.Row{Key: key, Value: value, Revision: row.Revision + 1, Write: ident.Write(fmt.Sprintf("operator-%d", fake.writes))}
}

func (fake *fakeTable) commit(transaction table.Transaction) (table.Result, error) {
	if fake.down {
		return table.Result{}, table.ErrUnavailable{Reason: "outage"}
	}
	for _, condition := range transaction.Conditions {
		if have := fake.rows[condition.Key].Revision; have != condition.Revision {
			return table.Result{}, table.ErrConflict{Key: condition.Key, Want: condition.Revision, Have: have}
		}
	}
	result := table.Result{Revisions: make(map[table.Key]table.Revision)}
	teams := make(set.Set[ident.Team])
	for _, operation := range transaction.Operations {
		before := fake.rows[operation.Key]
		fake.rows[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: before.Revision + 1, Write: transaction.Write}
		result.Revisions[operation.Key] = before.Revision + 1
		if len(operation.Key) > 4 && operation.Key[:4] == "Job/" {
			fake.checkJob(before, operation.Value, teams)
		}
	}
	for team := range teams {
		used, err := DecodeTeamUsage(fake.rows[TeamKey(team)])
		if err != nil || used != fake.usage[team] {
			fake.harness.failf("row of team %s has usage %s, its job rows %s (%v)", team, used, fake.usage[team], err)
		}
		if used.CPU > teamLimit && !fake.quotaUnchecked {
			fake.harness.failf("team %s uses %s, above its quota", team, used)
		}
	}
	return result, nil
}

// checkJob fails the test if a job row goes back: an epoch falls, a final state changes, a
// checkpoint is replaced by an older one, or a running or cancelled task is claimed.
func (fake *fakeTable) checkJob(before table.Row, value []byte, teams set.Set[ident.Team]) {
	after, err := job.Decode(value)
	if err != nil {
		fake.harness.failf("written row: %v", err)
	}
	team := after.Spec.Team
	teams.Add(team)
	fake.usage[team] = fake.usage[team].Add(after.Usage())
	if !before.Exists() {
		return
	}
	stored, err := job.Decode(before.Value)
	if err != nil {
		fake.harness.failf("stored row: %v", err)
	}
	fake.usage[team] = fake.usage[team].Sub(stored.Usage())
	for index := range after.Tasks {
		beforeTask, afterTask := stored.Tasks[index], after.Tasks[index]
		name := ident.Task{Job: after.Spec.Job, Index: index}
		switch {
		case afterTask.Epoch < beforeTask.Epoch || afterTask.Epoch > beforeTask.Epoch+1:
			fake.harness.failf("task %s goes from epoch %d to %d", name, beforeTask.Epoch, afterTask.Epoch)
		case beforeTask.State.Final() && afterTask != beforeTask:
			fake.harness.failf("final task %s changes from %v to %v", name, beforeTask, afterTask)
		case afterTask.Checkpoint.Epoch < beforeTask.Checkpoint.Epoch:
			fake.harness.failf("task %s loses its newest checkpoint", name)
		case stored.Cancelled && (!after.Cancelled || afterTask.Epoch > beforeTask.Epoch):
			fake.harness.failf("cancelled task %s was claimed", name)
		case afterTask.Epoch > beforeTask.Epoch && beforeTask.State.Live() && fake.harness.running[name] != nil:
			fake.harness.failf("running task %s was claimed again", name)
		}
	}
}

// task returns the task and its job's row from the table.
func (fake *fakeTable) task(name ident.Task) (job.Task, *job.Row) {
	row, err := job.Decode(fake.rows[job.Key(name.Job)].Value)
	if err != nil {
		fake.harness.failf("row of %s: %v", name, err)
	}
	return row.Tasks[name.Index], row
}
