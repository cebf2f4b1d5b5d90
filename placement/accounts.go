package placement

import (
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// Accounts holds the teams' rows, which are written in the same transactions that make tasks live
// or end them, so that quotas hold when entries race. Nil in Dependencies means plain usage
// counters that are limited by Quotas.
type Accounts interface {
	// Load applies a team's row from the table, or the absence of one.
	Load(row table.Row) error
	// Used returns the sum of the sizes of the team's live tasks.
	Used(team ident.Team) unit.Resources
	// Begin starts the charges of one transaction.
	Begin() TransactionCharges
}

// TransactionCharges holds the charges of one transaction.
type TransactionCharges interface {
	// Admit charges a claim, or returns the reason why it cannot.
	Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool)
	// Refund takes back the charge of tasks that ended. An error changes nothing. The team's row is
	// then read again before a second attempt, and the end is recorded even if that fails as well.
	Refund(team ident.Team, amount unit.Resources, urgent bool) error
	// Transaction returns what the charges add to the transaction. Each written row has a
	// condition.
	Transaction() ([]table.Condition, []table.Operation, error)
	// Committed reports that the transaction took effect.
	Committed(result table.Result)
}

// usageCounters implements Accounts with one usage counter per team.
type usageCounters struct {
	quotas Quotas
	teams  map[ident.Team]usageCounter
}

type usageCounter struct {
	used     unit.Resources
	revision table.Revision
}

func newUsageCounters(quotas Quotas) *usageCounters {
	return &usageCounters{quotas: quotas, teams: make(map[ident.Team]usageCounter)}
}

// Load applies the row unless a newer one is loaded.
func (accounts *usageCounters) Load(row table.Row) error {
	name := ident.Team(row.Key[len(TeamKeyPrefix):])
	if current, ok := accounts.teams[name]; ok && current.revision >= row.Revision {
		return nil
	}
	used, err := DecodeTeamUsage(row)
	if err != nil {
		return err
	}
	accounts.setCounter(name, usageCounter{used: used, revision: row.Revision})
	return nil
}

// setCounter replaces a team's counter and reports it to the UsageObserver, if there is one.
func (accounts *usageCounters) setCounter(name ident.Team, next usageCounter) {
	accounts.teams[name] = next
	if observer, ok := accounts.quotas.(UsageObserver); ok {
		observer.Observe(name, next.used)
	}
}

// Used returns the usage in the team's row.
func (accounts *usageCounters) Used(team ident.Team) unit.Resources { return accounts.teams[team].used }

// Begin starts the charges of one transaction.
func (accounts *usageCounters) Begin() TransactionCharges {
	return &usageRound{accounts: accounts, delta: make(map[ident.Team]unit.Resources), failedRefunds: make(map[ident.Team]bool)}
}

type usageRound struct {
	accounts *usageCounters
	delta    map[ident.Team]unit.Resources
	// failedRefunds are the teams whose usage was lower than a refund. Their rows are written in
	// any case, so that the transaction conflicts if the loaded row is outdated.
	failedRefunds map[ident.Team]bool
}

// Admit charges the team if Quotas admits the sum of the round's charges.
func (round *usageRound) Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool) {
	next := round.delta[team].Add(want)
	if reason, ok := round.accounts.quotas.Admit(team, next, urgent); !ok {
		return reason, false
	}
	round.delta[team] = next
	return "", true
}

// Refund lowers the team's usage.
func (round *usageRound) Refund(team ident.Team, amount unit.Resources, _ bool) error {
	next := round.delta[team].Sub(amount)
	if round.accounts.teams[team].used.Add(next).Negative() {
		round.failedRefunds[team] = true
		return ErrBadTeam{Key: TeamKey(team), Reason: "usage is below the sum of live tasks"}
	}
	round.delta[team] = next
	return nil
}

// Transaction returns the rows of the teams whose usage changes.
func (round *usageRound) Transaction() ([]table.Condition, []table.Operation, error) {
	var conditions []table.Condition
	var operations []table.Operation
	names := make(set.Set[ident.Team])
	for name := range round.delta {
		names.Add(name)
	}
	for name := range round.failedRefunds {
		names.Add(name)
	}
	for _, name := range set.Sorted(names) {
		if round.delta[name].IsZero() && !round.failedRefunds[name] {
			continue
		}
		current := round.accounts.teams[name]
		conditions = append(conditions, table.Condition{Key: TeamKey(name), Revision: current.revision})
		operations = append(operations, table.Operation{Key: TeamKey(name), Value: EncodeTeamUsage(current.used.Add(round.delta[name]))})
	}
	return conditions, operations, nil
}

// Committed applies the usage that was written.
func (round *usageRound) Committed(result table.Result) {
	for _, name := range set.SortedKeys(round.accounts.teams) {
		current := round.accounts.teams[name]
		if revision, ok := result.Revisions[TeamKey(name)]; ok && revision > current.revision {
			round.accounts.setCounter(name, usageCounter{used: current.used.Add(round.delta[name]), revision: revision})
		}
	}
}
