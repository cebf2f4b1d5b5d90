package quota

import (
	"cmp"
	"fmt"
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Demand asks that a team frees Amount, by ending ordinary tasks if it must.
type Demand struct {
	// Team must give back.
	Team ident.Team
	// Lender is the team that needs it. It equals Team if the team's own ordinary work must make
	// room for its urgent work.
	Lender ident.Team
	Amount unit.Resources
	// Urgent asks for preemption at once instead of waiting for tasks to end.
	Urgent bool
}

// lendable returns what a team can lend: what is free, less its reserve.
func (ledger *Ledger) lendable(row Row) unit.Resources {
	reserve := percentOf(row.Grant, ledger.settings.ReservePercent)
	// A grant above its target is about to fall, so the difference is not lent.
	falling := row.Grant.Sub(row.Target).Max(unit.Resources{})
	free := row.Free().Sub(reserve).Sub(falling).Max(unit.Resources{})
	// Only the team's own quota is lent, never what it borrowed itself.
	own := row.Grant.Sub(total(row.Lent)).Max(unit.Resources{})
	return free.Min(own)
}

// borrow enters loans that cover missing and returns the borrower's new row. Without enough idle
// quota it changes nothing and fails with ErrNothingToBorrow.
func (round *Round) borrow(borrower Row, missing unit.Resources) (Row, error) {
	borrower = borrower.clone()
	if total(borrower.Lent) != (unit.Resources{}) {
		// A team that lent takes its own back first, by Reclaim; chains of loans would make it
		// undecidable who has to give back.
		return Row{}, ErrNothingToBorrow{Team: borrower.Team, Missing: missing, Reason: "its own quota is lent"}
	}
	type offer struct {
		row    Row
		amount unit.Resources
	}
	var offers []offer
	for _, team := range round.ledger.order {
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
	// The largest offers first, to need few rows; equal offers by the order of teams.
	slices.SortStableFunc(offers, func(left, right offer) int {
		return cmp.Or(
			cmp.Compare(right.amount.Accelerators, left.amount.Accelerators),
			cmp.Compare(right.amount.CPU, left.amount.CPU),
			cmp.Compare(right.amount.Memory, left.amount.Memory))
	})
	lenders := make(map[ident.Team]Row)
	for _, candidate := range offers {
		if missing.IsZero() || len(lenders) >= round.ledger.settings.MaxLenders {
			break
		}
		amount := candidate.amount.Min(missing)
		if amount.IsZero() {
			continue
		}
		lender := candidate.row.clone()
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

// Return gives back what the team borrowed and does not use, for example after its tasks ended.
func (round *Round) Return(team ident.Team) error {
	row, known := round.row(team)
	if !known {
		return ErrNoTeam{Team: team}
	}
	for _, lender := range set.SortedKeys(row.Borrowed) {
		row, _ = round.row(team)
		round.giveBack(row, lender, row.Free().Max(unit.Resources{}).Min(row.Borrowed[lender]))
	}
	return nil
}

// Reclaim takes back what the team lent until want fits. Unused loans return within the round; for
// the rest it returns who has to free how much. Borrowers that exceed their own grant by most are
// asked first. For urgent work the team's own ordinary work is asked last.
func (round *Round) Reclaim(team ident.Team, want unit.Resources, urgent bool) ([]Demand, error) {
	row, known := round.row(team)
	if !known {
		return nil, ErrNoTeam{Team: team}
	}
	missing := func() unit.Resources {
		row, _ = round.row(team)
		return want.Sub(row.Free()).Max(unit.Resources{})
	}
	borrowers := round.byExcess(set.SortedKeys(row.Lent))
	for _, borrower := range borrowers {
		debtor, ok := round.row(borrower)
		if !ok {
			continue
		}
		idle := debtor.Free().Max(unit.Resources{})
		round.giveBack(debtor, team, idle.Min(debtor.Borrowed[team]).Min(missing()))
	}
	open := missing()
	var demands []Demand
	for _, borrower := range borrowers {
		amount := row.Lent[borrower].Min(open)
		if amount.IsZero() {
			continue
		}
		demands = append(demands, Demand{Team: borrower, Lender: team, Amount: amount, Urgent: urgent})
		open = open.Sub(amount)
	}
	if urgent && !open.IsZero() {
		if amount := row.Used.Sub(row.Urgent).Min(open); !amount.IsZero() {
			demands = append(demands, Demand{Team: team, Lender: team, Amount: amount, Urgent: true})
		}
	}
	return demands, nil
}

// byExcess orders borrowers by how much processor time they use beyond their own grant, most first.
func (round *Round) byExcess(teams []ident.Team) []ident.Team {
	excess := func(team ident.Team) unit.MilliCPU {
		row, _ := round.row(team)
		return row.Used.CPU - row.Grant.CPU
	}
	slices.SortStableFunc(teams, func(left, right ident.Team) int {
		return cmp.Compare(excess(right), excess(left))
	})
	return teams
}

// giveBack ends the part of a loan. Both rows enter the round.
func (round *Round) giveBack(borrower Row, lender ident.Team, amount unit.Resources) {
	creditor, ok := round.row(lender)
	if amount.IsZero() || !ok {
		return
	}
	borrower, creditor = borrower.clone(), creditor.clone()
	reduce(borrower.Borrowed, lender, amount)
	reduce(creditor.Lent, borrower.Team, amount)
	round.rows[borrower.Team] = borrower.settle()
	round.rows[lender] = creditor.settle()
}

func reduce(loans map[ident.Team]unit.Resources, team ident.Team, amount unit.Resources) {
	rest := loans[team].Sub(amount)
	if rest.IsZero() {
		delete(loans, team)
		return
	}
	loans[team] = rest
}

// ErrNothingToBorrow reports that idle quota does not cover what a team lacks.
type ErrNothingToBorrow struct {
	Team    ident.Team
	Missing unit.Resources
	Reason  string
}

// Error describes what is missing.
func (err ErrNothingToBorrow) Error() string {
	return fmt.Sprintf("team %s lacks %s: %s", err.Team, err.Missing, err.Reason)
}

// IsErrNothingToBorrow reports whether err is an ErrNothingToBorrow.
func IsErrNothingToBorrow(err error) bool {
	_, ok := err.(ErrNothingToBorrow)
	return ok
}
