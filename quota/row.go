// Package quota decides which team may use how much of a region. Each team has one row per region,
// Team/<id>, which holds its grant, its usage and its loans. The package starts no goroutine and
// reads no clock; the caller commits the transactions it plans.
package quota

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// prefix starts the keys of all team rows.
const prefix = "Team/"

// Row is a team's account in one region. The sum of Limit over all teams equals the sum of Grant,
// because a loan is entered in the lender's and the borrower's row by one transaction.
type Row struct {
	Team ident.Team
	// Target is what operators granted the team in this region, changed by what was moved.
	Target unit.Resources
	// Grant is the part of Target, or more after Target was lowered, that is in force. It falls to
	// a lowered Target as usage and loans are given back.
	Grant unit.Resources
	// Used is the sum of the charges of claimed tasks, and Urgent the part of urgent tasks.
	Used   unit.Resources
	Urgent unit.Resources
	// Borrowed and Lent hold the open loans by the other team.
	Borrowed map[ident.Team]unit.Resources `json:",omitempty"`
	Lent     map[ident.Team]unit.Resources `json:",omitempty"`
	// Outgoing holds the transfers to other regions that are not yet confirmed.
	Outgoing []Transfer `json:",omitempty"`
	// Sent and Received hold the number of the last transfer per other region.
	Sent     map[ident.Region]uint64 `json:",omitempty"`
	Received map[ident.Region]uint64 `json:",omitempty"`
	// Moved is what the team received from other regions less what it sent to them. Target is what
	// operators granted plus Moved.
	Moved unit.Resources `json:",omitzero"`
}

// Key returns the key of a team's row.
func Key(team ident.Team) table.Key {
	return table.Key(prefix + string(team))
}

// Limit returns what the team may use now: its grant, plus what it borrowed, less what it lent.
func (row Row) Limit() unit.Resources {
	return row.Grant.Add(total(row.Borrowed)).Sub(total(row.Lent))
}

// Free returns what the team may still use.
func (row Row) Free() unit.Resources {
	return row.Limit().Sub(row.Used)
}

// Charge returns the row after a claim of amount. It fails with ErrOverLimit.
func (row Row) Charge(amount unit.Resources, urgent bool) (Row, error) {
	if amount.Negative() || !amount.FitsIn(row.Free()) {
		return row, ErrOverLimit{Team: row.Team, Want: amount, Free: row.Free()}
	}
	row.Used = row.Used.Add(amount)
	if urgent {
		row.Urgent = row.Urgent.Add(amount)
	}
	return row, nil
}

// Refund returns the row after a task that was charged amount has ended. It fails with
// ErrNotCharged. A grant above its target falls by what became free.
func (row Row) Refund(amount unit.Resources, urgent bool) (Row, error) {
	if amount.Negative() || !amount.FitsIn(row.Used) || (urgent && !amount.FitsIn(row.Urgent)) {
		return row, ErrNotCharged{Team: row.Team, Amount: amount, Used: row.Used}
	}
	row.Used = row.Used.Sub(amount)
	if urgent {
		row.Urgent = row.Urgent.Sub(amount)
	}
	return row.settle(), nil
}

// SetTarget returns the row after operators granted target. A raised target is in force at once, a
// lowered one as far as the team's usage and loans allow.
func (row Row) SetTarget(target unit.Resources) Row {
	row.Target = target.Max(unit.Resources{})
	row.Grant = row.Grant.Max(row.Target)
	return row.settle()
}

// settle lowers a grant that is above its target by what is free.
func (row Row) settle() Row {
	excess := row.Grant.Sub(row.Target).Max(unit.Resources{})
	free := row.Free().Max(unit.Resources{})
	row.Grant = row.Grant.Sub(excess.Min(free))
	return row
}

// Check asserts that the team uses no more than its limit and that no amount is negative. It
// fails with ErrOvercommitted.
func (row Row) Check() error {
	if !row.Used.FitsIn(row.Limit()) || row.Used.Negative() || row.Grant.Negative() ||
		!row.Urgent.FitsIn(row.Used) || row.Urgent.Negative() {
		return ErrOvercommitted{Team: row.Team, Used: row.Used, Limit: row.Limit()}
	}
	for _, loans := range []map[ident.Team]unit.Resources{row.Borrowed, row.Lent} {
		for _, team := range set.SortedKeys(loans) {
			if loans[team].Negative() {
				return ErrOvercommitted{Team: row.Team, Used: row.Used, Limit: row.Limit()}
			}
		}
	}
	return nil
}

// Encode returns the value of the row. A row that fails Check is never written.
func Encode(row Row) ([]byte, error) {
	if err := row.Check(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("encode row of team %s: %w", row.Team, err)
	}
	return value, nil
}

// Decode reads the value that Encode wrote. It fails with ErrBadRow or ErrOvercommitted.
func Decode(key table.Key, value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, ErrBadRow{Key: key, Reason: err.Error()}
	}
	if Key(row.Team) != key || !ident.Valid(row.Team) {
		return Row{}, ErrBadRow{Key: key, Reason: fmt.Sprintf("holds team %q", row.Team)}
	}
	return row, row.Check()
}

// clone returns a copy that shares no map or slice with the row.
func (row Row) clone() Row {
	row.Borrowed = copyOf(row.Borrowed)
	row.Lent = copyOf(row.Lent)
	row.Sent = copyOf(row.Sent)
	row.Received = copyOf(row.Received)
	row.Outgoing = append([]Transfer(nil), row.Outgoing...)
	return row
}

func copyOf[Key comparable, Value any](values map[Key]Value) map[Key]Value {
	copied := make(map[Key]Value, len(values))
	for key, value := range values {
		copied[key] = value
	}
	return copied
}

func total(loans map[ident.Team]unit.Resources) unit.Resources {
	var sum unit.Resources
	for _, amount := range loans {
		sum = sum.Add(amount)
	}
	return sum
}
