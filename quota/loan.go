package quota

import (
	"cmp"
	"fmt"
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Demand requires a team to free Amount, if necessary by ending tasks.
type Demand struct {
	// Team is the team that must free the amount.
	Team ident.Team
	// Lender is the team that needs the amount. It equals Team if the team's own non-urgent tasks must
	// be ended for its urgent ones.
	Lender ident.Team
	Amount unit.Resources
	// Urgent requires preemption at once instead of waiting for tasks to end.
	Urgent bool
}

// lendable returns how much the team can lend.
func (ledger *Ledger) lendable(row Row) unit.Resources {
	reserve := percentOf(row.Grant, ledger.settings.ReservePercent)
	// A grant above its target will be lowered, so the difference is not lent.
	pendingDecrease := row.Grant.Sub(row.Target).Max(unit.Resources{})
	free := row.Free().Sub(reserve).Sub(pendingDecrease).Max(unit.Resources{})
	// A team lends only its own quota, never what it borrowed.
	unlentGrant := row.Grant.Sub(totalLoans(row.Lent)).Max(unit.Resources{})
	return free.Min(unlentGrant)
}

// borrow records loans that cover missing in the lenders' rows and returns the borrower's new row. If the
// unused quota of MaxLenders teams does not suffice, it changes nothing and fails with
// ErrNothingToBorrow.
func (round *Round) borrow(borrower Row, missing unit.Resources) (Row, error) {
	borrower = borrower.clone()
	if totalLoans(borrower.Lent) != (unit.Resources{}) {
		// A team that has lent quota must first get it back with Reclaim. With chains of loans, it would
		// not be clear which borrower has to return how much.
		return Row{}, ErrNothingToBorrow{Team: borrower.Team, Missing: missing, Reason: "its own quota is lent"}
	}
	type offer struct {
		row    Row
		amount unit.Resources
	}
	var offers []offer
	for _, team := range round.ledger.sortedTeams {
		if team == borrower.Team {
			continue
		}
		row, _ := round.row(team)
		if len(row.Borrowed) > 0 {
			continue
		}
		if amount := round.ledger.lendable(row).Min(missing); !amount.IsZero() {
			offers = append(offers, offer{row: row, amount: amount})
		}
	}
	// The largest offers come first, so that few rows change; equal offers stay in the order of teams.
	slices.SortStableFunc(offers, func(left, right offer) int {
		return cmp.Or(
			cmp.Compare(right.amount.Accelerators, left.amount.Accelerators),
			cmp.Compare(right.amount.CPU, left.amount.CPU),
			cmp.Compare(right.amount.Memory, left.amount.Memory))
	})
	lenders := make(map[ident.Team]Row)
	for _, offered := range offers {
		if missing.IsZero() || len(lenders) >= round.ledger.settings.MaxLenders {
			break
		}
		amount := offered.amount.Min(missing)
		if amount.IsZero() {
			continue
		}
		lender := offered.row.clone()
		lender.Lent[borrower.Team] = lender.Lent[borrower.Team].Add(amount)
		borrower.Borrowed[lender.Team] = borrower.Borrowed[lender.Team].Add(amount)
		lenders[lender.Team] = lender
		missing = missing.Sub(amount)
	}
	if !missing.IsZero() {
		return Row{}, ErrNothingToBorrow{Team: borrower.Team, Missing: missing, Reason: "no idle quota"}
	}
	for team, lender := range lenders {
		round.rows[team] = lender
	}
	return borrower, nil
}

// Return returns loans of the team as far as it does not use them, for example after tasks ended. It fails
// with ErrNoTeam.
func (round *Round) Return(team ident.Team) error {
	row, exists := round.row(team)
	if !exists {
		return ErrNoTeam{Team: team}
	}
	for _, lender := range set.SortedKeys(row.Borrowed) {
		row, _ = round.row(team)
		round.returnLoan(row, lender, row.Free().Max(unit.Resources{}).Min(row.Borrowed[lender]))
	}
	return nil
}

// Reclaim gets back what the team lent until want is free. Unused parts of loans are returned within the
// round; for the rest Reclaim returns demands, first to the borrowers that exceed their own grant most. For
// urgent work, the last demand may be to the team's own non-urgent tasks. It fails with ErrNoTeam.
func (round *Round) Reclaim(team ident.Team, want unit.Resources, urgent bool) ([]Demand, error) {
	row, exists := round.row(team)
	if !exists {
		return nil, ErrNoTeam{Team: team}
	}
	missing := func() unit.Resources {
		row, _ = round.row(team)
		return want.Sub(row.Free()).Max(unit.Resources{})
	}
	borrowers := round.sortByExcess(set.SortedKeys(row.Lent))
	for _, borrower := range borrowers {
		borrowerRow, ok := round.row(borrower)
		if !ok {
			continue
		}
		unused := borrowerRow.Free().Max(unit.Resources{})
		round.returnLoan(borrowerRow, team, unused.Min(borrowerRow.Borrowed[team]).Min(missing()))
	}
	remaining := missing()
	var demands []Demand
	for _, borrower := range borrowers {
		amount := row.Lent[borrower].Min(remaining)
		if amount.IsZero() {
			continue
		}
		demands = append(demands, Demand{Team: borrower, Lender: team, Amount: amount, Urgent: urgent})
		remaining = remaining.Sub(amount)
	}
	if urgent && !remaining.IsZero() {
		if amount := row.Used.Sub(row.Urgent).Min(remaining); !amount.IsZero() {
			demands = append(demands, Demand{Team: team, Lender: team, Amount: amount, Urgent: true})
		}
	}
	return demands, nil
}

// sortByExcess sorts the teams by how much CPU they use above their own grant, the largest excess first.
func (round *Round) sortByExcess(teams []ident.Team) []ident.Team {
	excess := func(team ident.Team) unit.MilliCPU {
		row, _ := round.row(team)
		return row.Used.CPU - row.Grant.CPU
	}
	slices.SortStableFunc(teams, func(left, right ident.Team) int {
		return cmp.Compare(excess(right), excess(left))
	})
	return teams
}

// returnLoan returns the given amount of a loan. Both rows are changed in the round.
func (round *Round) returnLoan(borrowerRow Row, lender ident.Team, amount unit.Resources) {
	lenderRow, ok := round.row(lender)
	if amount.IsZero() || !ok {
		return
	}
	borrowerRow, lenderRow = borrowerRow.clone(), lenderRow.clone()
	reduceLoan(borrowerRow.Borrowed, lender, amount)
	reduceLoan(lenderRow.Lent, borrowerRow.Team, amount)
	round.rows[borrowerRow.Team] = borrowerRow.lowerGrant()
	round.rows[lender] = lenderRow.lowerGrant()
}

func reduceLoan(loans map[ident.Team]unit.Resources, team ident.Team, amount unit.Resources) {
	remaining := loans[team].Sub(amount)
	if remaining.IsZero() {
		delete(loans, team)
		return
	}
	loans[team] = remaining
}

// ErrNothingToBorrow reports that a team cannot borrow what it lacks.
type ErrNothingToBorrow struct {
	Team    ident.Team
	Missing unit.Resources
	Reason  string
}

// Error returns the team, what it lacks and the reason.
func (err ErrNothingToBorrow) Error() string {
	return fmt.Sprintf("team %s lacks %s: %s", err.Team, err.Missing, err.Reason)
}

// IsErrNothingToBorrow reports whether err is an ErrNothingToBorrow.
func IsErrNothingToBorrow(err error) bool {
	_, ok := err.(ErrNothingToBorrow)
	return ok
}
