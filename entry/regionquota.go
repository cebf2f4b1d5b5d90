package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/table"
)

// openTeams returns the teams with unconfirmed transfers to the region.
func openTeams(rows []quota.Row, region ident.Region) []string {
	var teams []string
	for _, row := range rows {
		for _, transfer := range row.Outgoing {
			if transfer.To == region && len(teams) < maxPulledTeams {
				teams = append(teams, string(row.Team))
				break
			}
		}
	}
	return teams
}

// readRow reads a team's row from the table and reports whether it exists.
func (link *regionLink) readRow(ctx context.Context, team ident.Team) (quota.Row, bool, error) {
	ledger, err := link.readTeam(ctx, team)
	if err != nil {
		return quota.Row{}, false, err
	}
	row, exists := ledger.Row(team)
	return row, exists, nil
}

// readTeam reads a team's row from the table into a new Ledger.
func (link *regionLink) readTeam(ctx context.Context, team ident.Team) (*quota.Ledger, error) {
	row, err := link.store.Get(ctx, quota.Key(team))
	if err != nil {
		return nil, err
	}
	ledger := quota.New(quota.Defaults())
	return ledger, ledger.Load(row)
}

// transferQuota receives, confirms and sends quota of a team, as the other region's message and the
// team's row require. It commits one transaction on the condition that the row is unchanged, and
// the row numbers the transfers. So a transfer takes effect once even if an answer is lost or two
// entries carry it out at the same time.
func (link *regionLink) transferQuota(ctx context.Context, message *controlpb.TeamTransfers) error {
	team := ident.Team(message.GetTeam())
	if !ident.Valid(team) {
		return quota.ErrNoTeam{Team: team}
	}
	ledger, err := link.readTeam(ctx, team)
	if err != nil {
		return err
	}
	row, exists := ledger.Row(team)
	if !exists {
		row.Team = team
	}
	next, err := link.applyTransfers(ledger, row, message)
	if err != nil || next == nil {
		return err
	}
	round := ledger.Begin()
	if err := round.Update(*next); err != nil {
		return err
	}
	transaction := table.Transaction{Write: link.newWrite()}
	if transaction.Conditions, transaction.Operations, err = round.Transaction(); err != nil {
		return err
	}
	result, err := link.store.Commit(ctx, transaction)
	if err != nil {
		return err
	}
	operation := transaction.Operations[0]
	link.loadTeam(table.Row{
		Key: operation.Key, Value: operation.Value, Revision: result.Revisions[operation.Key], Write: transaction.Write,
	})
	klog.InfoS("Quota transferred between regions", "Team", team, "Region", link.peer,
		"Grant", next.Grant.String(), "Sent", next.Sent[link.peer], "Received", next.Received[link.peer], "Open", len(next.Outgoing))
	return nil
}

// applyTransfers returns the team's row after the other region's message, or nil if nothing
// changes. It sends a new transfer only if all earlier ones are confirmed, because the missing
// quota in the message does not take those on their way into account.
func (link *regionLink) applyTransfers(ledger *quota.Ledger, row quota.Row, message *controlpb.TeamTransfers) (*quota.Row, error) {
	if message.GetReceived() > row.Sent[link.peer] {
		return nil, quota.ErrTransferOrder{
			Team: row.Team, Last: row.Sent[link.peer],
			Transfer: quota.Transfer{From: link.region, To: link.peer, Number: message.GetReceived()},
		}
	}
	next, changed := row, false
	for _, outgoing := range message.GetOutgoing() {
		received, isNew, err := next.Receive(quota.Transfer{
			From: link.peer, To: link.region, Number: outgoing.GetNumber(), Amount: controlpb.ToResources(outgoing.GetAmount()),
		})
		if err != nil {
			return nil, err
		}
		if isNew {
			next, changed = received, true
			transfersReceived.Inc()
		}
	}
	open := len(next.Outgoing)
	if next = next.Confirm(link.peer, message.GetReceived()); len(next.Outgoing) < open {
		changed = true
		transfersConfirmed.Add(open - len(next.Outgoing))
	}
	if changed {
		return &next, nil
	}
	missing := controlpb.ToResources(message.GetMissing())
	if missing.IsZero() || message.GetReceived() != row.Sent[link.peer] || len(row.Outgoing) > 0 {
		return nil, nil
	}
	spare := ledger.Sendable(row.Team, missing).Min(row.Surplus(link.configured(row.Team), quotaMarginPercent))
	if spare.IsZero() {
		return nil, nil
	}
	sent, err := row.Send(link.region, link.peer, spare)
	if err != nil {
		return nil, err
	}
	transfersSent.Inc()
	return &sent, nil
}
