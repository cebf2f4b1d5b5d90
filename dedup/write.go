package dedup

import (
	"bytes"
	"context"

	"hyssopjunction/table"
)

// write commits the ticket's record if the row still has the ticket's revision, and returns the ticket
// with the new revision. After an unknown outcome it reads the row and, if that is unchanged, commits
// the same transaction again; the condition lets only one of the copies take effect. Errors are
// ErrSuperseded, ErrBadRow and ErrUnavailable; after ErrUnavailable the write may still take effect.
func (ledger *Ledger) write(ctx context.Context, ticket Ticket) (Ticket, error) {
	key := rowKey(ticket.Service, ticket.Key)
	value := encode(ticket.Record)
	transaction := table.Transaction{
		Write:      ledger.newWriteID(),
		Conditions: []table.Condition{{Key: key, Revision: ticket.revision}},
		Operations: []table.Operation{{Key: key, Value: value}},
	}
	var lastErr error
	for range ledger.settings.Tries {
		_, err := ledger.table.Commit(ctx, transaction)
		if err == nil {
			ticket.revision++
			return ticket, nil
		}
		lastErr = err
		if !table.IsErrConflict(err) && !table.IsErrUnknownOutcome(err) {
			return Ticket{}, ErrUnavailable{Cause: err}
		}
		row, err := ledger.table.Get(ctx, key)
		if err != nil {
			return Ticket{}, ErrUnavailable{Cause: err}
		}
		if row.Revision == ticket.revision {
			continue
		}
		// The write id shows that an earlier copy took effect. A table that does not return the id of
		// the last write shows it by the value, because no other writer uses this request id.
		ownWrite := row.Write == transaction.Write || (row.Write == "" && bytes.Equal(row.Value, value))
		if ownWrite && row.Revision == ticket.revision+1 {
			ticket.revision++
			return ticket, nil
		}
		return Ticket{}, ledger.superseded(ticket, row)
	}
	return Ticket{}, ErrUnavailable{Cause: lastErr}
}

func (ledger *Ledger) superseded(ticket Ticket, row table.Row) error {
	if !row.Exists() {
		return ErrSuperseded{Ticket: ticket, Revision: row.Revision}
	}
	have, err := decode(row)
	if err != nil {
		return err
	}
	return ErrSuperseded{Ticket: ticket, Have: have, Revision: row.Revision}
}
