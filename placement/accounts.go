package placement

import (
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// Accounts keeps the teams' rows, which are written in the transactions that make tasks live or end
// them, so that quotas hold when entries race. Nil in Dependencies means plain usage counters that
// are admitted by Quotas.
type Accounts interface {
	// Load takes a team's row from the table, or a missing one.
	Load(row table.Row) error
	// Used returns the sum of the sizes of the team's live tasks.
	Used(team ident.Team) unit.Resources
	// Begin starts the charges of one transaction.
	Begin() AccountsRound
}

// AccountsRound is the charges of one transaction.
type AccountsRound interface {
	// Admit charges a claim, or tells why it cannot.
	Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool)
	// Refund gives back the charge of tasks that ended. An error changes nothing. The team's row is
	// then read again before the second attempt, and the end is recorded whatever that gives.
	Refund(team ident.Team, amount unit.Resources, urgent bool) error
	// Transaction returns what the charges add to the transaction. Each written row has a condition.
	Transaction() ([]table.Condition, []table.Operation, error)
	// Committed tells that the transaction took effect.
	Committed(result table.Result)
}

// counters are the Accounts with one usage counter per team.
type counters struct {
	quotas Quotas
	teams  map[ident.Team]counter
}

type counter struct {
	used     unit.Resources
	revision table.Revision
}

func newCounters(quotas Quotas) *counters {
	return &counters{quotas: quotas, teams: make(map[ident.Team]counter)}
}

// Load takes a row unless a newer one is known.
func (accounts *counters) Load(row table.Row) error {
	name := ident.Team(row.Key[len(TeamKeyPrefix):])
	if known, ok := accounts.teams[name]; ok && known.revision >= row.Revision {
		return nil
	}
	used, err := DecodeTeamUsage(row)
	if err != nil {
		return err
	}
	accounts.put(name, counter{used: used, revision: row.Revision})
	return nil
}

func (accounts *counters) put(name ident.Team, next counter) {
	accounts.teams[name] = next
	if observer, ok := accounts.quotas.(UsageObserver); ok {
		observer.Observe(name, next.used)
	}
}

// Used returns the usage in the team's row.
func (accounts *counters) Used(team ident.Team) unit.Resources { return accounts.teams[team].used }

// Begin starts the charges of one transaction.
func (accounts *counters) Begin() AccountsRound {
	return &countersRound{accounts: accounts, delta: make(map[ident.Team]unit.Resources), doubted: make(map[ident.Team]bool)}
}

type countersRound struct {
	accounts *counters
	delta    map[ident.Team]unit.Resources
	// doubted are the teams whose usage is lower than what was to be refunded. Their rows are written
	// in any case, so that a stale view of them makes the transaction conflict.
	doubted map[ident.Team]bool
}

// Admit charges the team if Quotas admits the sum of the round's charges.
func (round *countersRound) Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool) {
	next := round.delta[team].Add(want)
	if reason, ok := round.accounts.quotas.Admit(team, next, urgent); !ok {
		return reason, false
	}
	round.delta[team] = next
	return "", true
}

// Refund lowers the team's usage.
func (round *countersRound) Refund(team ident.Team, amount unit.Resources, _ bool) error {
	next := round.delta[team].Sub(amount)
	if round.accounts.teams[team].used.Add(next).Negative() {
		round.doubted[team] = true
		return ErrBadTeam{Key: TeamKey(team), Reason: "usage is below the sum of live tasks"}
	}
	round.delta[team] = next
	return nil
}

// Transaction returns the rows of the teams whose usage changes.
func (round *countersRound) Transaction() ([]table.Condition, []table.Operation, error) {
	var conditions []table.Condition
	var operations []table.Operation
	names := make(set.Set[ident.Team])
	for name := range round.delta {
		names.Add(name)
	}
	for name := range round.doubted {
		names.Add(name)
	}
	for _, name := range set.Sorted(names) {
		if round.delta[name].IsZero() && !round.doubted[name] {
			continue
		}
		known := round.accounts.teams[name]
		conditions = append(conditions, table.Condition{Key: TeamKey(name), Revision: known.revision})
		operations = append(operations, table.Operation{Key: TeamKey(name), Value: EncodeTeamUsage(known.used.Add(round.delta[name]))})
	}
	return conditions, operations, nil
}

// Committed takes over the usage that was written.
func (round *countersRound) Committed(result table.Result) {
	for _, name := range set.SortedKeys(round.accounts.teams) {
		known := round.accounts.teams[name]
		if revision, ok := result.Revisions[TeamKey(name)]; ok && revision > known.revision {
			round.accounts.put(name, counter{used: known.used.Add(round.delta[name]), revision: revision})
		}
	}
}
