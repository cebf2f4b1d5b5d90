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
	// contention is how long after a conflict on a team's row the rows are read before a commit. With
	// many entries that place work of the same teams, a row is always newer than the one an entry
	// wrote last, so a commit without reading costs a conflict each time.
	contention = 10 * clock.Second
	// maxReadAhead is how long a commit waits for the teams' rows.
	maxReadAhead = 200 * clock.Millisecond
	// maxConflicts is how often a commit is repeated at once. With more, entries that compete for one
	// team's row would only make each other's commits fail; the next round tries again.
	maxConflicts = 2
)

// readAhead is the reading of teams' rows before a commit.
type readAhead struct {
	// contendedUntil is when the rows are no longer expected to be written by others.
	contendedUntil clock.Time
	missing        set.Set[table.Key]
	since          clock.Time
	// fresh is set while the commit that the reading was for is built.
	fresh bool
	// conflicts counts the conflicts since the last success.
	conflicts int
}

// noteConflict remembers that other entries write the rows of the same teams.
func (scheduler *Scheduler) noteConflict(err error) {
	scheduler.ahead.conflicts++
	var conflict table.ErrConflict
	if errors.As(err, &conflict) && strings.HasPrefix(string(conflict.Key), TeamKeyPrefix) {
		scheduler.ahead.contendedUntil = scheduler.now.Add(contention)
	}
}

// readTeams reads the rows of the teams before a commit while they are contended, and reports
// whether the commit has to wait for them.
func (scheduler *Scheduler) readTeams(selected []*jobView) bool {
	ahead := &scheduler.ahead
	if ahead.missing.Len() > 0 {
		if scheduler.now.Sub(ahead.since) < maxReadAhead {
			return true
		}
		ahead.missing = nil
		return false
	}
	if ahead.fresh || !scheduler.now.Before(ahead.contendedUntil) {
		return false
	}
	teams := make(set.Set[ident.Team])
	for _, view := range selected {
		teams.Add(view.row.Spec.Team)
	}
	if teams.Len() == 0 {
		return false
	}
	ahead.missing, ahead.since = make(set.Set[table.Key]), scheduler.now
	keys := make([]table.Key, 0, teams.Len())
	for _, team := range set.Sorted(teams) {
		keys = append(keys, TeamKey(team))
		ahead.missing.Add(TeamKey(team))
	}
	scheduler.read(keys)
	return true
}

// teamsRead commits once the rows it waited for are there.
func (scheduler *Scheduler) teamsRead() {
	ahead := &scheduler.ahead
	ahead.missing = nil
	ahead.fresh = true
	scheduler.commit()
	ahead.fresh = false
}
