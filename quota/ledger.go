package quota

import (
	"fmt"
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// Settings are the limits of loans.
type Settings struct {
	// ReservePercent is the percentage of a team's grant that is never lent, so that its urgent work
	// can start without waiting for the return of a loan.
	ReservePercent int
	// MaxLenders is the maximum number of lenders for one charge. Each adds a row to the transaction.
	MaxLenders int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{ReservePercent: 10, MaxLenders: 4}
}

// Check validates the settings. It fails with ErrBadSettings.
func (settings Settings) Check() error {
	switch {
	case settings.ReservePercent < 0 || settings.ReservePercent > 100:
		return ErrBadSettings{Field: "ReservePercent", Reason: "must be from 0 to 100"}
	case settings.MaxLenders < 0:
		return ErrBadSettings{Field: "MaxLenders", Reason: "must not be negative"}
	}
	return nil
}

// Ledger is an entry's view of the team rows of its region, which may be out of date. It must be used by
// one goroutine only.
type Ledger struct {
	settings    Settings
	teams       map[ident.Team]versionedRow
	sortedTeams []ident.Team
	// deleted holds the revisions of deleted rows. A new row of the team continues from there.
	deleted map[ident.Team]table.Revision
}

type versionedRow struct {
	row      Row
	revision table.Revision
}

// New returns a Ledger without rows.
func New(settings Settings) *Ledger {
	return &Ledger{settings: settings, teams: make(map[ident.Team]versionedRow), deleted: make(map[ident.Team]table.Revision)}
}

// revision returns the revision of the team's row in the view, 0 if there was never a row.
func (ledger *Ledger) revision(team ident.Team) table.Revision {
	if entry, ok := ledger.teams[team]; ok {
		return entry.revision
	}
	return ledger.deleted[team]
}

// Load adds a row that was read from the table to the view. A row that is not newer than the one in the
// view is ignored. It fails with ErrBadRow or ErrOvercommitted.
func (ledger *Ledger) Load(row table.Row) error {
	name, ok := strings.CutPrefix(string(row.Key), keyPrefix)
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
		ledger.sortedTeams = set.SortedKeys(ledger.teams)
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
	_, exists := ledger.teams[row.Team]
	ledger.teams[row.Team] = versionedRow{row: row, revision: revision}
	delete(ledger.deleted, row.Team)
	if !exists {
		ledger.sortedTeams = set.SortedKeys(ledger.teams)
	}
}

// Row returns a copy of the team's row.
func (ledger *Ledger) Row(team ident.Team) (Row, bool) {
	entry, ok := ledger.teams[team]
	return entry.row.clone(), ok
}

// Teams returns the teams with a row, in ascending order.
func (ledger *Ledger) Teams() []ident.Team {
	return append([]ident.Team(nil), ledger.sortedTeams...)
}

// Admit reports whether the team may use want in addition, with its own quota or with loans, and the
// reason if not. It changes nothing; a Round admits several tasks together.
func (ledger *Ledger) Admit(team ident.Team, want unit.Resources, urgent bool) (string, bool) {
	return ledger.Begin().Admit(team, want, urgent)
}

// Check verifies each row, and that the teams together use no more than was granted. The second is verified only if
// all loans balance, which they need not while the rows were read at different times. It fails with
// ErrOvercommitted.
func (ledger *Ledger) Check() error {
	var used, granted, limits unit.Resources
	for _, team := range ledger.sortedTeams {
		row := ledger.teams[team].row
		if err := row.Check(); err != nil {
			return err
		}
		used = used.Add(row.Used)
		granted = granted.Add(row.Grant)
		limits = limits.Add(row.Limit())
	}
	// A loan that only one of its two rows shows means that they were read at different times.
	if limits == granted && !used.FitsIn(granted) {
		return ErrOvercommitted{Used: used, Limit: granted}
	}
	return nil
}

// Round collects admissions, refunds and other changes of team rows for one transaction. Each change
// applies to the result of those before it, so all admissions of a round fit together.
type Round struct {
	ledger *Ledger
	rows   map[ident.Team]Row
}

// Begin starts a round from the current view.
func (ledger *Ledger) Begin() *Round {
	return &Round{ledger: ledger, rows: make(map[ident.Team]Row)}
}

func (round *Round) row(team ident.Team) (Row, bool) {
	if row, ok := round.rows[team]; ok {
		return row, true
	}
	entry, ok := round.ledger.teams[team]
	return entry.row, ok
}

// Admit charges want to the team, with loans from teams that have unused quota if necessary, and reports
// whether that was possible. If not, it changes nothing and returns the reason.
func (round *Round) Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool) {
	row, exists := round.row(team)
	if !exists {
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

// Refund releases what was charged for a task that has ended. It fails with ErrNoTeam or ErrNotCharged.
func (round *Round) Refund(team ident.Team, amount unit.Resources, urgent bool) error {
	row, exists := round.row(team)
	if !exists {
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

// Transaction returns the conditions and operations that write the round's rows. The caller commits them
// in one transaction with the claims of the tasks. It fails with ErrOvercommitted or ErrUnbalanced.
func (round *Round) Transaction() ([]table.Condition, []table.Operation, error) {
	if err := round.checkBalance(); err != nil {
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

// checkBalance verifies that the round changes the sum of its teams' limits by as much as the sum of
// their grants, so that no loan is recorded in one row only. Together with the check of each row, this
// keeps the sum of usage within the sum of grants. It fails with ErrUnbalanced.
func (round *Round) checkBalance() error {
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

// Committed updates the ledger with the round's rows after its transaction was committed.
func (round *Round) Committed(result table.Result) {
	for _, team := range round.Teams() {
		revision, ok := result.Revisions[Key(team)]
		if ok && revision > round.ledger.revision(team) {
			round.ledger.put(round.rows[team], revision)
		}
	}
}
