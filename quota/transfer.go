package quota

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Transfer moves quota of one team between regions. Each region has its own table, so a transfer
// takes three transactions: the sender's debit (Send), the receiver's credit (Receive) and the
// sender's confirmation (Confirm). Between debit and credit the amount can be used nowhere.
type Transfer struct {
	From ident.Region
	To   ident.Region
	// Number counts the transfers from From to To of the team, starting at 1.
	Number uint64
	Amount unit.Resources
}

// Send returns the row after the debit of a new transfer. It fails with ErrOverLimit if the amount
// is in use or lent.
func (row Row) Send(from, to ident.Region, amount unit.Resources) (Row, error) {
	available := row.Free().Min(row.Grant).Min(row.Target)
	if amount.Negative() || amount.IsZero() || !amount.FitsIn(available) {
		return row, ErrOverLimit{Team: row.Team, Want: amount, Free: available}
	}
	row = row.clone()
	row.Sent[to]++
	row.Grant = row.Grant.Sub(amount)
	row.Moved = row.Moved.Sub(amount)
	row.Target = row.Target.Sub(amount).Max(unit.Resources{})
	row.Outgoing = append(row.Outgoing, Transfer{From: from, To: to, Number: row.Sent[to], Amount: amount})
	return row, nil
}

// Receive returns the row after the credit of a transfer and whether the transfer was new. A repeat
// has no effect. It fails with ErrTransferOrder if an earlier transfer was not received yet.
func (row Row) Receive(transfer Transfer) (Row, bool, error) {
	last := row.Received[transfer.From]
	switch {
	case transfer.Number <= last:
		return row, false, nil
	case transfer.Number > last+1 || transfer.Amount.Negative():
		return row, false, ErrTransferOrder{Team: row.Team, Transfer: transfer, Last: last}
	}
	row = row.clone()
	row.Received[transfer.From] = transfer.Number
	row.Grant = row.Grant.Add(transfer.Amount)
	row.Moved = row.Moved.Add(transfer.Amount)
	row.Target = row.Target.Add(transfer.Amount)
	return row, true, nil
}

// Entitled returns the team's target when operators granted it configured in this region. Without
// Moved, putting the configuration in force again would restore what was sent to another region,
// and the team could use it twice.
func (row Row) Entitled(configured unit.Resources) unit.Resources {
	return configured.Add(row.Moved).Max(unit.Resources{})
}

// Missing returns how much quota the team lacks in this region: what it sent away beyond a quota that
// operators lowered since, and what raises its free part to its margin once less than half of the
// margin is free.
func (row Row) Missing(configured unit.Resources, marginPercent int) unit.Resources {
	overdrawn := unit.Resources{}.Sub(configured.Add(row.Moved)).Max(unit.Resources{})
	short := row.margin(configured, marginPercent).Sub(row.Free()).Max(unit.Resources{})
	if row.margin(configured, marginPercent/2).FitsIn(row.Free()) {
		short = unit.Resources{}
	}
	return overdrawn.Add(short)
}

// Surplus returns what the team has free above its margin. A region that sends no more than that does
// not lack quota afterwards, so that quota does not move back and forth.
func (row Row) Surplus(configured unit.Resources, marginPercent int) unit.Resources {
	return row.Free().Sub(row.margin(configured, marginPercent)).Max(unit.Resources{})
}

// margin is a part of the larger of the grant and the configured quota. With a part of the grant
// alone, a team that had sent nearly all of its quota away would never count as short of it.
func (row Row) margin(configured unit.Resources, percent int) unit.Resources {
	return percentOf(row.Grant.Max(configured), percent)
}

// percentOf returns a part of the resources, with whole accelerators rounded up.
func percentOf(amount unit.Resources, percent int) unit.Resources {
	share := int64(percent)
	return unit.Resources{
		CPU:          amount.CPU * unit.MilliCPU(share) / 100,
		Memory:       amount.Memory * unit.Mebibytes(share) / 100,
		Accelerators: (amount.Accelerators*unit.Accelerators(share) + 99) / 100,
	}
}

// Confirm returns the row without the outgoing transfers that the other region has received, as its
// row's Received shows.
func (row Row) Confirm(to ident.Region, received uint64) Row {
	row = row.clone()
	open := row.Outgoing[:0]
	for _, transfer := range row.Outgoing {
		if transfer.To != to || transfer.Number > received {
			open = append(open, transfer)
		}
	}
	row.Outgoing = open
	return row
}

// Spare returns how much of missing, which the team lacks in another region, can be sent there: what
// it neither uses nor lends here, less the reserve.
func (ledger *Ledger) Spare(team ident.Team, missing unit.Resources) unit.Resources {
	row := ledger.teams[team].row
	return ledger.lendable(row).Min(row.Target).Min(missing).Max(unit.Resources{})
}

// Update replaces a team's row within the round, as returned by SetTarget, Send, Receive or Confirm.
// It fails with ErrOvercommitted.
func (round *Round) Update(row Row) error {
	if err := row.Check(); err != nil {
		return err
	}
	round.rows[row.Team] = row
	return nil
}

// ErrTransferOrder reports a transfer that arrived before an earlier one.
type ErrTransferOrder struct {
	Team     ident.Team
	Transfer Transfer
	Last     uint64
}

// Error describes the transfer.
func (err ErrTransferOrder) Error() string {
	return fmt.Sprintf("team %s: transfer %d from region %s after %d", err.Team, err.Transfer.Number, err.Transfer.From, err.Last)
}

// IsErrTransferOrder reports whether err is or wraps an ErrTransferOrder.
func IsErrTransferOrder(err error) bool {
	return errors.As(err, new(ErrTransferOrder))
}
