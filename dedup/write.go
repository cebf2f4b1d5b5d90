package dedup

import (
	"bytes"
	"context"

	"hyssopjunction/table"
)

// write commits the ticket's record over the revision it was based on and returns the ticket with
// the new revision. After an unknown outcome it reads the row back and commits the same
// transaction again if the row is unchanged: the condition lets only one of the copies take
// effect. Errors are ErrSuperseded and ErrUnavailable; after ErrUnavailable the write may still
// take effect.
func (ledger *Ledger) write(ctx context.Context, ticket Ticket) (Ticket, error) {
	key := rowKey(ticket.Service, ticket.Key)
	value := encode(ticket.Record)
	transaction := table.Transaction{
		Write:      ledger.writes(),
		Conditions: []table.Condition{{Key: key, Revision: ticket.revision}},
		Operations: []table.Operation{{Key: key, Value: value}},
	}
	var last error
	for range ledger.settings.Tries {
		_, err := ledger.table.Commit(ctx, transaction)
		if err == nil {
			ticket.revision++
			return ticket, nil
		}
		last = err
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
		// The write id tells that an earlier copy took effect. A table that does not keep the id
		// of the last writer still shows it by content: no other writer uses this request id.
		own := row.Write == transaction.Write || (row.Write == "" && bytes.Equal(row.Value, value))
		if own && row.Revision == ticket.revision+1 {
			ticket.revision++
			return ticket, nil
		}
		return Ticket{}, ledger.superseded(ticket, row)
	}
	return Ticket{}, ErrUnavailable{Cause: last}
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
