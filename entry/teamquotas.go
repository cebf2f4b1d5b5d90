package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/placement"
	"hyssopjunction/quota"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// accounts keeps the teams' rows for the scheduler. It belongs to the control goroutine.
type accounts struct {
	*quota.Ledger
	learned *learned
}

// Used returns the sum of the sizes of the team's live tasks.
func (accounts *accounts) Used(team ident.Team) unit.Resources {
	row, _ := accounts.Row(team)
	return row.Used
}

// Begin starts the charges of one transaction.
func (accounts *accounts) Begin() placement.AccountsRound {
	return &accountsRound{Round: accounts.Ledger.Begin(), learned: accounts.learned}
}

// accountsRound is the charges of one transaction.
type accountsRound struct {
	*quota.Round
	learned *learned
}

// Admit charges a claim. Urgent work takes back what its team lent and the borrower does not use.
func (round *accountsRound) Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool) {
	if reason, ok := round.learned.Admit(team, want, urgent); !ok {
		return reason, false
	}
	reason, ok = round.Round.Admit(team, want, urgent)
	if ok || !urgent {
		return reason, ok
	}
	if _, err := round.Reclaim(team, want, urgent); err != nil {
		return reason, false
	}
	return round.Round.Admit(team, want, urgent)
}

// reviewTeams reads the teams' rows, puts the quotas of the configuration in force and returns loans
// that are not used. Each team is looked after by one entry, which is found like the home of a job.
func (entry *Entry) reviewTeams() {
	if !entry.publisher.Ready() {
		return
	}
	ctx, cancel := entry.call(4 * clock.Second)
	defer cancel()
	if !entry.readTeams(ctx) {
		return
	}
	view := entry.publisher.Current()
	behind := false
	for _, team := range view.Teams() {
		if entry.mine(ident.Job(team)) && entry.settleTeam(ctx, view, team) {
			continue
		}
		// A claim of another entry can overtake the write of the row.
		behind = entry.quotaBehind(view, team) || behind
	}
	if behind {
		entry.spawn(entry.reviewTeamsSoon)
	}
}

// quotaBehind reports whether the team's row does not yet hold the quota of the configuration, which
// another entry is about to write.
func (entry *Entry) quotaBehind(view *config.View, team ident.Team) bool {
	configured, _ := view.Team(team)
	behind := false
	entry.control.Call(func() {
		row, known := entry.accounts.Row(team)
		behind = !known || row.Target != row.Entitled(configured.Quotas[entry.settings.Region])
	})
	return behind
}

// reviewTeamsSoon reads the teams' rows again without waiting for the usual interval.
func (entry *Entry) reviewTeamsSoon() {
	select {
	case <-entry.time.After(clock.Second):
		wakeUp(entry.settle)
	case <-entry.quit:
	}
}

// readTeams loads the rows of all teams.
func (entry *Entry) readTeams(ctx context.Context) bool {
	after := table.Key("")
	for {
		rows, err := entry.store.Range(ctx, placement.TeamKeyPrefix, after, jobPage)
		if err != nil {
			return false
		}
		entry.control.Call(func() {
			for _, row := range rows {
				if err := entry.accounts.Load(row); err != nil {
					klog.ErrorS(err, "Team's row was not read", "Key", row.Key)
				}
			}
		})
		if len(rows) < jobPage {
			return true
		}
		after = rows[len(rows)-1].Key
	}
}

// settleTeam writes the team's row if its quota changed or it holds loans that it does not use, and
// reports whether the row needs no further write.
func (entry *Entry) settleTeam(ctx context.Context, view *config.View, team ident.Team) bool {
	configured, ok := view.Team(team)
	if !ok {
		return true
	}
	target := configured.Quotas[entry.settings.Region]
	var round *quota.Round
	var transaction table.Transaction
	entry.control.Call(func() {
		row, known := entry.accounts.Row(team)
		round = entry.accounts.Ledger.Begin()
		if !known {
			row.Team = team
		}
		target = row.Entitled(target)
		if !known || row.Target != target {
			if err := round.Update(row.SetTarget(target)); err != nil {
				klog.ErrorS(err, "Quota was not put in force", "Team", team)
				return
			}
		} else if err := round.Return(team); err != nil {
			return
		}
		var err error
		if transaction.Conditions, transaction.Operations, err = round.Transaction(); err != nil {
			klog.ErrorS(err, "Team's row was not settled", "Team", team)
			transaction = table.Transaction{}
		}
	})
	if len(transaction.Operations) == 0 {
		return true
	}
	transaction.Write = entry.newWrite()
	result, err := entry.store.Commit(ctx, transaction)
	if err != nil {
		klog.V(1).InfoS("Team's row was not written", "Team", team, "Reason", err.Error())
		return false
	}
	entry.control.Call(func() { round.Committed(result) })
	klog.InfoS("Team settled", "Team", team, "Target", target.String())
	return true
}
