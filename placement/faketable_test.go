package placement

import (
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// limits admits a team up to a fixed amount of processor time.
type limits struct {
	used map[ident.Team]unit.Resources
}

const teamLimit = unit.MilliCPU(60_000)

func (quota *limits) Observe(team ident.Team, used unit.Resources) { quota.used[team] = used }

func (quota *limits) Admit(team ident.Team, want unit.Resources, _ bool) (reason string, ok bool) {
	return "limit", quota.used[team].CPU+want.CPU <= teamLimit
}

// fakeTable is the table service with conditions, outages and checks of its content.
type fakeTable struct {
	world *world
	rows  map[table.Key]table.Row
	down  bool
	// unlimited stops the check of the teams' quota.
	unlimited bool
	usage     map[ident.Team]unit.Resources
	write     int
}

func newFakeTable(world *world) *fakeTable {
	return &fakeTable{world: world, rows: make(map[table.Key]table.Row), usage: make(map[ident.Team]unit.Resources)}
}

func (fake *fakeTable) put(key table.Key, value []byte) {
	fake.write++
	row := fake.rows[key]
	fake.rows[key] = table.Row{Key: key, Value: value, Revision: row.Revision + 1, Write: ident.Write(fmt.Sprintf("operator-%d", fake.write))}
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
	touched := make(set.Set[ident.Team])
	for _, operation := range transaction.Operations {
		before := fake.rows[operation.Key]
		fake.rows[operation.Key] = table.Row{Key: operation.Key, Value: operation.Value, Revision: before.Revision + 1, Write: transaction.Write}
		result.Revisions[operation.Key] = before.Revision + 1
		if len(operation.Key) > 4 && operation.Key[:4] == "Job/" {
			fake.checkJob(before, operation.Value, touched)
		}
	}
	for team := range touched {
		used, err := DecodeTeamUsage(fake.rows[TeamKey(team)])
		if err != nil || used != fake.usage[team] {
			fake.world.failf("row of team %s says %s, its job rows %s (%v)", team, used, fake.usage[team], err)
		}
		if used.CPU > teamLimit && !fake.unlimited {
			fake.world.failf("team %s uses %s, above its quota", team, used)
		}
	}
	return result, nil
}

// checkJob guards against rows that go back: epochs that fall, final states that change, a second
// placement without a new epoch.
func (fake *fakeTable) checkJob(before table.Row, value []byte, touched set.Set[ident.Team]) {
	after, err := job.Decode(value)
	if err != nil {
		fake.world.failf("written row: %v", err)
	}
	team := after.Spec.Team
	touched.Add(team)
	fake.usage[team] = fake.usage[team].Add(after.Usage())
	if !before.Exists() {
		return
	}
	old, err := job.Decode(before.Value)
	if err != nil {
		fake.world.failf("stored row: %v", err)
	}
	fake.usage[team] = fake.usage[team].Sub(old.Usage())
	for index := range after.Tasks {
		was, is := old.Tasks[index], after.Tasks[index]
		name := ident.Task{Job: after.Spec.Job, Index: index}
		switch {
		case is.Epoch < was.Epoch || is.Epoch > was.Epoch+1:
			fake.world.failf("task %s goes from epoch %d to %d", name, was.Epoch, is.Epoch)
		case was.State.Final() && is != was:
			fake.world.failf("final task %s changes from %v to %v", name, was, is)
		case is.Checkpoint.Epoch < was.Checkpoint.Epoch:
			fake.world.failf("task %s loses its newest checkpoint", name)
		case old.Cancelled && (!after.Cancelled || is.Epoch > was.Epoch):
			fake.world.failf("cancelled task %s was claimed", name)
		case is.Epoch > was.Epoch && was.State.Live() && fake.world.running[name] != nil:
			fake.world.failf("running task %s was claimed again", name)
		}
	}
}

// task returns the task's content in the table.
func (fake *fakeTable) task(name ident.Task) (job.Task, *job.Row) {
	row, err := job.Decode(fake.rows[job.Key(name.Job)].Value)
	if err != nil {
		fake.world.failf("row of %s: %v", name, err)
	}
	return row.Tasks[name.Index], row
}
