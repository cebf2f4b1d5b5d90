// Package quota decides how much of a region each team may use. A team has one row per region,
// Team/<id>, with its grant, usage and loans. The package starts no goroutine and reads no clock; the
// caller commits the planned transactions.
package quota

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// keyPrefix is the prefix of the keys of all team rows.
const keyPrefix = "Team/"

// Row is a team's account in one region. One transaction records a loan in both the lender's and the
// borrower's row, so the sum of Limit over all teams equals the sum of Grant.
type Row struct {
	Team ident.Team
	// Target is what operators granted the team in this region plus Moved, see TargetFor.
	Target unit.Resources
	// Grant is the quota in force. After Target was lowered, it decreases to Target as usage ends and
	// loans are returned.
	Grant unit.Resources
	// Used is the sum of the charges of claimed tasks, Urgent the part of it charged for urgent tasks.
	Used   unit.Resources
	Urgent unit.Resources
	// Borrowed and Lent hold the open loans, by lender and by borrower.
	Borrowed map[ident.Team]unit.Resources `json:",omitempty"`
	Lent     map[ident.Team]unit.Resources `json:",omitempty"`
	// Outgoing holds the transfers to other regions that are not confirmed yet, in the order in which
	// they were sent.
	Outgoing []Transfer `json:",omitempty"`
	// Sent and Received hold the number of the last transfer to and from each other region.
	Sent     map[ident.Region]uint64 `json:",omitempty"`
	Received map[ident.Region]uint64 `json:",omitempty"`
	// Moved is what the team received from other regions less what it sent to them.
	Moved unit.Resources `json:",omitzero"`
}

// Key returns the key of a team's row.
func Key(team ident.Team) table.Key {
	return table.Key(keyPrefix + string(team))
}

// Limit returns what the team may use: its grant plus what it borrowed, less what it lent.
func (row Row) Limit() unit.Resources {
	return row.Grant.Add(totalLoans(row.Borrowed)).Sub(totalLoans(row.Lent))
}

// Free returns the part of the limit that is not used.
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

// Refund returns the row after a task that was charged amount has ended. A grant above its target is
// lowered by what is free then. It fails with ErrNotCharged.
func (row Row) Refund(amount unit.Resources, urgent bool) (Row, error) {
	if amount.Negative() || !amount.FitsIn(row.Used) || (urgent && !amount.FitsIn(row.Urgent)) {
		return row, ErrNotCharged{Team: row.Team, Amount: amount, Used: row.Used}
	}
	row.Used = row.Used.Sub(amount)
	if urgent {
		row.Urgent = row.Urgent.Sub(amount)
	}
	return row.lowerGrant(), nil
}

// SetTarget returns the row with a new target. A raised target applies at once, a lowered one as far as
// the team's usage and loans allow.
func (row Row) SetTarget(target unit.Resources) Row {
	row.Target = target.Max(unit.Resources{})
	row.Grant = row.Grant.Max(row.Target)
	return row.lowerGrant()
}

// lowerGrant lowers a grant that is above its target by what is free.
func (row Row) lowerGrant() Row {
	excess := row.Grant.Sub(row.Target).Max(unit.Resources{})
	free := row.Free().Max(unit.Resources{})
	row.Grant = row.Grant.Sub(excess.Min(free))
	return row
}

// Check verifies that the team uses no more than its limit and that no amount is negative. It fails with
// ErrOvercommitted.
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

// Encode returns the encoded row. It fails with ErrOvercommitted if the row fails Check, so that no such
// row is written.
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

// Decode returns the row that Encode wrote. It fails with ErrBadRow or ErrOvercommitted.
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
	row.Borrowed = cloneMap(row.Borrowed)
	row.Lent = cloneMap(row.Lent)
	row.Sent = cloneMap(row.Sent)
	row.Received = cloneMap(row.Received)
	row.Outgoing = append([]Transfer(nil), row.Outgoing...)
	return row
}

func cloneMap[Key comparable, Value any](values map[Key]Value) map[Key]Value {
	clone := make(map[Key]Value, len(values))
	for key, value := range values {
		clone[key] = value
	}
	return clone
}

func totalLoans(loans map[ident.Team]unit.Resources) unit.Resources {
	var sum unit.Resources
	for _, amount := range loans {
		sum = sum.Add(amount)
	}
	return sum
}
