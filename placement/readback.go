package placement

import (
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// readBack reads all rows of a transaction that conflicted or whose outcome is unknown.
func (scheduler *Scheduler) readBack(failed *flight) {
	failed.reading = true
	failed.missing = make(map[table.Key]struct{}, len(failed.transaction.Conditions))
	failed.rows = make(map[table.Key]table.Row, len(failed.transaction.Conditions))
	keys := make([]table.Key, 0, len(failed.transaction.Conditions))
	for _, condition := range failed.transaction.Conditions {
		failed.missing[condition.Key] = struct{}{}
		keys = append(keys, condition.Key)
	}
	scheduler.read(keys)
}

// read asks for rows and repeats the request until they arrive.
func (scheduler *Scheduler) read(keys []table.Key) {
	for _, key := range keys {
		scheduler.reads[key] = scheduler.now
	}
	scheduler.emit(Read{Keys: keys})
}

func (scheduler *Scheduler) retryReads() {
	var due []table.Key
	for _, key := range set.SortedKeys(scheduler.reads) {
		if scheduler.now.Sub(scheduler.reads[key]) >= scheduler.settings.Retry {
			due = append(due, key)
		}
	}
	if len(due) > 0 {
		scheduler.read(due)
	}
}

// wantTeam reads the team's usage row unless it is known.
func (scheduler *Scheduler) wantTeam(name ident.Team) {
	if scheduler.team(name).known {
		return
	}
	key := TeamKey(name)
	if _, asked := scheduler.reads[key]; !asked {
		scheduler.read([]table.Key{key})
	}
}

// rowsRead takes rows from the table. Rows of a transaction that is read back are collected until
// all are there.
func (scheduler *Scheduler) rowsRead(rows []table.Row) {
	for _, row := range rows {
		delete(scheduler.reads, row.Key)
		current := scheduler.flight
		if current != nil && current.reading {
			if _, wanted := current.missing[row.Key]; wanted {
				delete(current.missing, row.Key)
				current.rows[row.Key] = row
				continue
			}
		}
		scheduler.learn(row)
		if scheduler.ahead.missing.Has(row.Key) {
			scheduler.ahead.missing.Remove(row.Key)
			if scheduler.ahead.missing.Len() == 0 {
				defer scheduler.teamsRead()
			}
		}
	}
	if scheduler.flight != nil && scheduler.flight.reading && len(scheduler.flight.missing) == 0 {
		scheduler.settleRead(scheduler.flight)
	}
}

// learn takes the content of a single row.
func (scheduler *Scheduler) learn(row table.Row) {
	name := string(row.Key)
	switch {
	case strings.HasPrefix(name, TeamKeyPrefix):
		if err := scheduler.dependencies.Accounts.Load(row); err != nil {
			scheduler.stats.BadRows++
			return
		}
		scheduler.team(ident.Team(name[len(TeamKeyPrefix):])).known = true
	case strings.HasPrefix(name, job.KeyPrefix):
		if row.Exists() {
			scheduler.load(row)
		} else if row.Deleted {
			scheduler.drop(ident.Job(name[len(job.KeyPrefix):]))
		}
	default:
		for _, centre := range scheduler.centres {
			if centre.key == row.Key {
				// What the newer revision says comes with DataCentreChanged.
				centre.seen = max(centre.seen, row.Revision)
			}
		}
	}
}

// settleRead decides from the rows whether the transaction took effect, and rebuilds from them.
func (scheduler *Scheduler) settleRead(done *flight) {
	took := false
	revisions := make(map[table.Key]table.Revision, len(done.transaction.Operations))
	for _, operation := range done.transaction.Operations {
		row := done.rows[operation.Key]
		if row.Write == done.transaction.Write {
			took = true
			revisions[operation.Key] = row.Revision
		}
	}
	if took {
		// A row that someone else has written since is loaded below with its newer revision.
		for _, condition := range done.transaction.Conditions {
			if _, ok := revisions[condition.Key]; !ok {
				revisions[condition.Key] = condition.Revision + 1
			}
		}
		scheduler.settle(done, revisions)
	} else {
		scheduler.putBack(done, false)
	}
	for _, condition := range done.transaction.Conditions {
		scheduler.learn(done.rows[condition.Key])
	}
	if scheduler.outstanding == 0 && scheduler.ahead.conflicts <= maxConflicts {
		// The rows were just read.
		scheduler.ahead.fresh = true
		scheduler.commit()
		scheduler.ahead.fresh = false
	}
}
