package quota

import (
	"fmt"
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// Settings are the rules of lending.
type Settings struct {
	// ReservePercent is the share of a team's grant that is never lent, so that its urgent work
	// starts without waiting for a return.
	ReservePercent int
	// MaxLenders bounds the loans one charge may need. Each adds a row to the transaction.
	MaxLenders int
}

// Defaults returns the settings shipped with the daemon.
func Defaults() Settings {
	return Settings{ReservePercent: 10, MaxLenders: 4}
}

// Check reports settings with which a Ledger cannot work. It fails with ErrBadSettings.
func (settings Settings) Check() error {
	switch {
	case settings.ReservePercent < 0 || settings.ReservePercent > 100:
		return ErrBadSettings{Field: "ReservePercent", Reason: "must be from 0 to 100"}
	case settings.MaxLenders < 0:
		return ErrBadSettings{Field: "MaxLenders", Reason: "must not be negative"}
	}
	return nil
}

// Ledger is a daemon's view of the team rows of its region. It is used by one goroutine.
type Ledger struct {
	settings Settings
	teams    map[ident.Team]entry
	order    []ident.Team
	// deleted holds the revisions of deleted rows, which a new row of the team continues.
	deleted map[ident.Team]table.Revision
}

type entry struct {
	row      Row
	revision table.Revision
}

// New returns a Ledger without rows.
func New(settings Settings) *Ledger {
	return &Ledger{settings: settings, teams: make(map[ident.Team]entry), deleted: make(map[ident.Team]table.Revision)}
}

// revision returns the last known revision of the team's row.
func (ledger *Ledger) revision(team ident.Team) table.Revision {
	if known, ok := ledger.teams[team]; ok {
		return known.revision
	}
	return ledger.deleted[team]
}

// Load takes over a row read from the table. An older revision than the one known is ignored. It
// fails with ErrBadRow or ErrOvercommitted.
func (ledger *Ledger) Load(row table.Row) error {
	name, ok := strings.CutPrefix(string(row.Key), prefix)
	if !ok {
		return ErrBadRow{Key: row.Key, Reason: "is not a team's row"}
	}
	team := ident.Team(name)
	if ledger.revision(team) >= row.Revision {
		return nil
	}
	if !row.Exists() {
		delete(ledger.teams, team)
		ledger.deleted[team] = row.Revision
		ledger.order = set.SortedKeys(ledger.teams)
		return nil
	}
	decoded, err := Decode(row.Key, row.Value)
	if err != nil {
		return err
	}
	ledger.put(decoded, row.Revision)
	return nil
}

func (ledger *Ledger) put(row Row, revision table.Revision) {
	_, known := ledger.teams[row.Team]
	ledger.teams[row.Team] = entry{row: row, revision: revision}
	delete(ledger.deleted, row.Team)
	if !known {
		ledger.order = set.SortedKeys(ledger.teams)
	}
}

// Row returns a copy of the team's row.
func (ledger *Ledger) Row(team ident.Team) (Row, bool) {
	known, ok := ledger.teams[team]
	return known.row.clone(), ok
}

// Teams returns the teams with a row, in ascending order.
func (ledger *Ledger) Teams() []ident.Team {
	return append([]ident.Team(nil), ledger.order...)
}

// Admit reports whether the team may start work of the given size, by itself or with loans. It
// changes nothing; use a Round to admit several starts together.
func (ledger *Ledger) Admit(team ident.Team, want unit.Resources, urgent bool) (string, bool) {
	return ledger.Begin().Admit(team, want, urgent)
}

// Check asserts that the teams together use no more than was granted. The rows need not be from
// one moment: each row's own limit is asserted when it is decoded. It fails with ErrOvercommitted.
func (ledger *Ledger) Check() error {
	var used, granted unit.Resources
	for _, team := range ledger.order {
		row := ledger.teams[team].row
		if err := row.Check(); err != nil {
			return err
		}
		used = used.Add(row.Used)
		granted = granted.Add(row.Grant)
	}
	if !used.FitsIn(granted) {
		return ErrOvercommitted{Used: used, Limit: granted}
	}
	return nil
}

// Round admits and refunds several pieces of work against one view and yields one transaction. It
// charges as it admits, so that the work of a round fits together.
type Round struct {
	ledger *Ledger
	rows   map[ident.Team]Row
}

// Begin starts a round on the current view.
func (ledger *Ledger) Begin() *Round {
	return &Round{ledger: ledger, rows: make(map[ident.Team]Row)}
}

func (round *Round) row(team ident.Team) (Row, bool) {
	if row, ok := round.rows[team]; ok {
		return row, true
	}
	known, ok := round.ledger.teams[team]
	return known.row, ok
}

// Admit charges want to the team, borrowing idle quota if needed, and reports whether that was
// possible. If not, nothing is charged and reason tells why.
func (round *Round) Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool) {
	row, known := round.row(team)
	if !known {
		return ErrNoTeam{Team: team}.Error(), false
	}
	if !want.FitsIn(row.Free()) {
		borrowed, err := round.borrow(row, want.Sub(row.Free()).Max(unit.Resources{}))
		if err != nil {
			return err.Error(), false
		}
		row = borrowed
	}
	charged, err := row.Charge(want, urgent)
	if err != nil {
		return err.Error(), false
	}
	round.rows[team] = charged
	return "", true
}

// Refund gives back what was charged for a task that ended. It fails with ErrNoTeam or ErrNotCharged.
func (round *Round) Refund(team ident.Team, amount unit.Resources, urgent bool) error {
	row, known := round.row(team)
	if !known {
		return ErrNoTeam{Team: team}
	}
	refunded, err := row.Refund(amount, urgent)
	if err != nil {
		return err
	}
	round.rows[team] = refunded
	return nil
}

// Teams returns the teams whose rows the round writes, in ascending order.
func (round *Round) Teams() []ident.Team {
	return set.SortedKeys(round.rows)
}

// Transaction returns the conditions and operations that put the round into effect, to be merged
// into the claim transaction. It fails with ErrOvercommitted or ErrUnbalanced.
func (round *Round) Transaction() ([]table.Condition, []table.Operation, error) {
	if err := round.balanced(); err != nil {
		return nil, nil, err
	}
	var conditions []table.Condition
	var operations []table.Operation
	for _, team := range round.Teams() {
		value, err := Encode(round.rows[team])
		if err != nil {
			return nil, nil, fmt.Errorf("plan round: %w", err)
		}
		conditions = append(conditions, table.Condition{Key: Key(team), Revision: round.ledger.revision(team)})
		operations = append(operations, table.Operation{Key: Key(team), Value: value})
	}
	return conditions, operations, nil
}

// balanced asserts that the round changes the limits of its teams together by as much as their
// grants, so that no loan is entered in one row only. With the check of each row this keeps the
// sum of usage within the sum of grants.
func (round *Round) balanced() error {
	var limits, grants unit.Resources
	for team, row := range round.rows {
		old := round.ledger.teams[team].row
		limits = limits.Add(row.Limit()).Sub(old.Limit())
		grants = grants.Add(row.Grant).Sub(old.Grant)
	}
	if limits != grants {
		return ErrUnbalanced{Limits: limits, Grants: grants}
	}
	return nil
}

// Committed takes the round's rows over into the ledger after its transaction was committed.
func (round *Round) Committed(result table.Result) {
	for _, team := range round.Teams() {
		revision, ok := result.Revisions[Key(team)]
		if ok && revision > round.ledger.revision(team) {
			round.ledger.put(round.rows[team], revision)
		}
	}
}
