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

// teamQuotas gives the scheduler access to the teams' quota rows. It belongs to the control
// goroutine.
type teamQuotas struct {
	*quota.Ledger
	models *learnedModels
}

// Used returns the sum of the sizes of the team's live tasks.
func (quotas *teamQuotas) Used(team ident.Team) unit.Resources {
	row, _ := quotas.Row(team)
	return row.Used
}

// Begin starts the charges of one transaction.
func (quotas *teamQuotas) Begin() placement.TransactionCharges {
	return &quotaRound{Round: quotas.Ledger.Begin(), models: quotas.models}
}

// quotaRound collects the charges of one transaction.
type quotaRound struct {
	*quota.Round
	models *learnedModels
}

// Admit charges a claim, or returns the reason for a refusal. For urgent work it reclaims quota
// that the team has lent and that the borrower does not use.
func (round *quotaRound) Admit(team ident.Team, size unit.Resources, urgent bool) (reason string, ok bool) {
	if reason, ok := round.models.Admit(team, size, urgent); !ok {
		return reason, false
	}
	reason, ok = round.Round.Admit(team, size, urgent)
	if ok || !urgent {
		return reason, ok
	}
	if _, err := round.Reclaim(team, size, urgent); err != nil {
		return reason, false
	}
	return round.Round.Admit(team, size, urgent)
}

// reviewTeams reads the teams' rows, writes quotas of the configuration that changed, and returns
// unused loans. Each team is reviewed by one entry, chosen like the home of a job.
func (entry *Entry) reviewTeams() {
	if !entry.configPublisher.Ready() {
		return
	}
	ctx, cancel := entry.callContext(4 * clock.Second)
	defer cancel()
	if !entry.readTeams(ctx) {
		return
	}
	view := entry.configPublisher.Current()
	outdated := false
	for _, team := range view.Teams() {
		if entry.homedHere(ident.Job(team)) && entry.updateTeam(ctx, view, team) {
			continue
		}
		// The write may have failed because a claim of another entry changed the row.
		outdated = entry.quotaOutdated(view, team) || outdated
	}
	if outdated {
		entry.spawn(entry.reviewTeamsSoon)
	}
}

// quotaOutdated reports whether the team's row does not hold the quota of the configuration yet.
func (entry *Entry) quotaOutdated(view *config.View, team ident.Team) bool {
	configured, _ := view.Team(team)
	outdated := false
	entry.control.Call(func() {
		row, exists := entry.quotas.Row(team)
		outdated = !exists || row.Target != row.TargetFor(configured.Quotas[entry.settings.Region])
	})
	return outdated
}

// reviewTeamsSoon runs the next review after a second instead of the usual interval.
func (entry *Entry) reviewTeamsSoon() {
	select {
	case <-entry.time.After(clock.Second):
		wakeUp(entry.wakeReview)
	case <-entry.quit:
	}
}

// readTeams loads the rows of all teams and reports whether it could read them.
func (entry *Entry) readTeams(ctx context.Context) bool {
	after := table.Key("")
	for {
		rows, err := entry.store.Range(ctx, placement.TeamKeyPrefix, after, rowsPerPage)
		if err != nil {
			return false
		}
		entry.control.Call(func() {
			for _, row := range rows {
				if err := entry.quotas.Load(row); err != nil {
					klog.ErrorS(err, "Team's row was not read", "Key", row.Key)
				}
			}
		})
		if len(rows) < rowsPerPage {
			return true
		}
		after = rows[len(rows)-1].Key
	}
}

// updateTeam writes the team's row if its quota changed or it holds unused loans, and reports
// whether the row needs no further write.
func (entry *Entry) updateTeam(ctx context.Context, view *config.View, team ident.Team) bool {
	configured, ok := view.Team(team)
	if !ok {
		return true
	}
	target := configured.Quotas[entry.settings.Region]
	var round *quota.Round
	var transaction table.Transaction
	entry.control.Call(func() {
		row, exists := entry.quotas.Row(team)
		round = entry.quotas.Ledger.Begin()
		if !exists {
			row.Team = team
		}
		target = row.TargetFor(target)
		if !exists || row.Target != target {
			if err := round.Update(row.SetTarget(target)); err != nil {
				klog.ErrorS(err, "Quota was not put in force", "Team", team)
				return
			}
		} else if err := round.Return(team); err != nil {
			return
		}
		var err error
		if transaction.Conditions, transaction.Operations, err = round.Transaction(); err != nil {
			klog.ErrorS(err, "Team's row was not updated", "Team", team)
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
	klog.InfoS("Team's row updated", "Team", team, "Target", target.String())
	return true
}
