package placement

import (
	"errors"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

const (
	// contentionPeriod is how long after a conflict on a team's row the teams' rows are read before
	// each commit. When many entries place work of the same teams, a row is always newer than the
	// one an entry wrote last, so each commit without reading would conflict.
	contentionPeriod = 10 * clock.Second
	// maxReadAheadWait is how long a commit waits for the teams' rows.
	maxReadAheadWait = 200 * clock.Millisecond
	// maxConflictRetries is the number of consecutive conflicts up to which a commit is repeated at
	// once. Beyond it, the next round tries again: entries that compete for one team's row would
	// only make each other's commits fail.
	maxConflictRetries = 2
)

// readAhead is the state of reading teams' rows before a commit.
type readAhead struct {
	// contendedUntil is until when the teams' rows are read before each commit.
	contendedUntil clock.Time
	unread         set.Set[table.Key]
	startedAt      clock.Time
	// rowsFresh is set while the commit for which the rows were read is built.
	rowsFresh bool
	// conflicts counts the conflicts since the last success.
	conflicts int
}

// noteConflict counts a conflict, and starts a contention period if it is on a team's row.
func (scheduler *Scheduler) noteConflict(err error) {
	scheduler.readAhead.conflicts++
	var conflict table.ErrConflict
	if errors.As(err, &conflict) && strings.HasPrefix(string(conflict.Key), TeamKeyPrefix) {
		scheduler.readAhead.contendedUntil = scheduler.now.Add(contentionPeriod)
	}
}

// readTeamsAhead reads the rows of the teams before a commit while they are contended. It reports
// whether the commit has to wait for them.
func (scheduler *Scheduler) readTeamsAhead(selected []*jobView) bool {
	ahead := &scheduler.readAhead
	if ahead.unread.Len() > 0 {
		if scheduler.now.Sub(ahead.startedAt) < maxReadAheadWait {
			return true
		}
		ahead.unread = nil
		return false
	}
	if ahead.rowsFresh || !scheduler.now.Before(ahead.contendedUntil) {
		return false
	}
	teams := make(set.Set[ident.Team])
	for _, view := range selected {
		teams.Add(view.row.Spec.Team)
	}
	if teams.Len() == 0 {
		return false
	}
	ahead.unread, ahead.startedAt = make(set.Set[table.Key]), scheduler.now
	keys := make([]table.Key, 0, teams.Len())
	for _, team := range set.Sorted(teams) {
		keys = append(keys, TeamKey(team))
		ahead.unread.Add(TeamKey(team))
	}
	scheduler.readRows(keys)
	return true
}

// commitAfterReadAhead commits once the rows that the commit waited for have arrived.
func (scheduler *Scheduler) commitAfterReadAhead() {
	ahead := &scheduler.readAhead
	ahead.unread = nil
	ahead.rowsFresh = true
	scheduler.commit()
	ahead.rowsFresh = false
}
