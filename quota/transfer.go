package quota

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Transfer moves quota of a team from one region to another. Each region has its own table, so a
// transfer takes three transactions: the debit at the sender (Send), the credit at the receiver (Receive)
// and the confirmation at the sender (Confirm). Between debit and credit the amount cannot be used in
// either region.
type Transfer struct {
	From ident.Region
	To   ident.Region
	// Number counts the team's transfers from From to To, starting at 1.
	Number uint64
	Amount unit.Resources
}

// Send returns the row after the debit of a new transfer. It fails with ErrOverLimit if the amount is not
// positive or is partly in use or lent.
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

// Receive returns the row after the credit of a transfer, and whether the transfer was new. A repeated
// transfer has no effect. It fails with ErrTransferOrder if an earlier transfer was not received yet or
// the amount is negative.
func (row Row) Receive(transfer Transfer) (Row, bool, error) {
	lastNumber := row.Received[transfer.From]
	switch {
	case transfer.Number <= lastNumber:
		return row, false, nil
	case transfer.Number > lastNumber+1 || transfer.Amount.Negative():
		return row, false, ErrTransferOrder{Team: row.Team, Transfer: transfer, Last: lastNumber}
	}
	row = row.clone()
	row.Received[transfer.From] = transfer.Number
	row.Grant = row.Grant.Add(transfer.Amount)
	row.Moved = row.Moved.Add(transfer.Amount)
	row.Target = row.Target.Add(transfer.Amount)
	return row, true, nil
}

// TargetFor returns the team's target in this region for a configured quota. It includes Moved: otherwise
// applying the configuration again would restore what was sent to another region, and the team could use
// it in both.
func (row Row) TargetFor(configured unit.Resources) unit.Resources {
	return configured.Add(row.Moved).Max(unit.Resources{})
}

// Missing returns how much quota the team lacks in this region. It is the sum of two amounts. The first
// is what the team sent to other regions in excess of its configured quota, which operators may have
// lowered since. The second is 0 while at least half of the margin is free; otherwise it is what raises
// the free quota to the margin.
func (row Row) Missing(configured unit.Resources, marginPercent int) unit.Resources {
	overdraft := unit.Resources{}.Sub(configured.Add(row.Moved)).Max(unit.Resources{})
	shortfall := row.margin(configured, marginPercent).Sub(row.Free()).Max(unit.Resources{})
	if row.margin(configured, marginPercent/2).FitsIn(row.Free()) {
		shortfall = unit.Resources{}
	}
	return overdraft.Add(shortfall)
}

// Surplus returns the team's free quota above its margin. A region that sends no more than this does not
// lack quota afterwards, so quota does not move back and forth between regions.
func (row Row) Surplus(configured unit.Resources, marginPercent int) unit.Resources {
	return row.Free().Sub(row.margin(configured, marginPercent)).Max(unit.Resources{})
}

// margin returns the given percentage of the larger of the grant and the configured quota. With the grant
// alone, a team that sent nearly all of its quota to other regions would never lack any.
func (row Row) margin(configured unit.Resources, percent int) unit.Resources {
	return percentOf(row.Grant.Max(configured), percent)
}

// percentOf returns a percentage of the resources. Accelerators are rounded up to whole ones.
func percentOf(amount unit.Resources, percent int) unit.Resources {
	factor := int64(percent)
	return unit.Resources{
		CPU:          amount.CPU * unit.MilliCPU(factor) / 100,
		Memory:       amount.Memory * unit.Mebibytes(factor) / 100,
		Accelerators: (amount.Accelerators*unit.Accelerators(factor) + 99) / 100,
	}
}

// Confirm returns the row without the outgoing transfers that the region to has received, which are those
// up to the number in its row's Received.
func (row Row) Confirm(to ident.Region, received uint64) Row {
	row = row.clone()
	unconfirmed := row.Outgoing[:0]
	for _, transfer := range row.Outgoing {
		if transfer.To != to || transfer.Number > received {
			unconfirmed = append(unconfirmed, transfer)
		}
	}
	row.Outgoing = unconfirmed
	return row
}

// Sendable returns how much of missing, which the team lacks in another region, can be sent there. It
// excludes what the team uses, lends or keeps in reserve in this region.
func (ledger *Ledger) Sendable(team ident.Team, missing unit.Resources) unit.Resources {
	row := ledger.teams[team].row
	return ledger.lendable(row).Min(row.Target).Min(missing).Max(unit.Resources{})
}

// Update replaces a team's row in the round by one that SetTarget, Send, Receive or Confirm returned. It
// fails with ErrOvercommitted.
func (round *Round) Update(row Row) error {
	if err := row.Check(); err != nil {
		return err
	}
	round.rows[row.Team] = row
	return nil
}

// ErrTransferOrder reports a transfer that arrived before an earlier one, or has a negative amount. Last is
// the number of the last transfer received.
type ErrTransferOrder struct {
	Team     ident.Team
	Transfer Transfer
	Last     uint64
}

// Error returns the team, the transfer and the number of the last one.
func (err ErrTransferOrder) Error() string {
	return fmt.Sprintf("team %s: transfer %d from region %s after %d", err.Team, err.Transfer.Number, err.Transfer.From, err.Last)
}

// IsErrTransferOrder reports whether err is or wraps an ErrTransferOrder.
func IsErrTransferOrder(err error) bool {
	return errors.As(err, new(ErrTransferOrder))
}
