package dedup

import (
	"context"
	"errors"

	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/table"
)

// Table holds the methods of the table service that this package uses.
type Table interface {
	Get(ctx context.Context, key table.Key) (table.Row, error)
	Range(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error)
	Commit(ctx context.Context, transaction table.Transaction) (table.Result, error)
}

// Settings configures a Ledger.
type Settings struct {
	// InlineBytes is the size up to which the body of an answer is stored in its row.
	InlineBytes int
	// Tries is the maximum number of attempts of one write, each of which is followed by a read of
	// the row if its outcome is unknown. It also limits the repetitions after conflicts.
	Tries int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{InlineBytes: 16 << 10, Tries: 3}
}

// Ledger claims keys and records the answers of claimed requests. It is safe for concurrent use if its
// table is.
type Ledger struct {
	settings   Settings
	table      Table
	newWriteID func() ident.Write
	bodies     Bodies
}

// New returns a Ledger that uses store. The function newWriteID returns a new write id with each call.
func New(store Table, newWriteID func() ident.Write, settings Settings) *Ledger {
	return &Ledger{settings: settings, table: store, newWriteID: newWriteID}
}

// Claim is a submission to be claimed.
type Claim struct {
	Service ident.Service
	Key     ident.Key
	Request ident.Request
	Digest  string
	Target  Target
}

// Claim claims the key for the request. If the key has an answer, it returns that instead of a ticket.
// Errors are ErrStillRunning, ErrUnknownOutcome, ErrKeyReused, ErrBadRow and ErrUnavailable; after each
// of them the request must not be dispatched.
func (ledger *Ledger) Claim(ctx context.Context, claim Claim) (Ticket, *Answer, error) {
	for range ledger.settings.Tries {
		row, err := ledger.table.Get(ctx, rowKey(claim.Service, claim.Key))
		if err != nil {
			return Ticket{}, nil, ErrUnavailable{Cause: err}
		}
		attempt := 1
		if row.Exists() {
			ticket, err := ledger.ticket(claim.Service, claim.Key, row)
			if err != nil {
				return Ticket{}, nil, err
			}
			if ticket.Record.Digest != claim.Digest {
				return Ticket{}, nil, ErrKeyReused{Service: claim.Service, Key: claim.Key}
			}
			answer, err := answerOrError(ticket)
			if answer != nil || err != nil {
				return Ticket{}, answer, err
			}
			attempt = ticket.Record.Attempt + 1
		}
		ticket := Ticket{Service: claim.Service, Key: claim.Key, revision: row.Revision, Record: Record{
			State: Claimed, Request: claim.Request, Target: claim.Target, Attempt: attempt, Digest: claim.Digest,
		}}
		written, err := ledger.write(ctx, ticket)
		if !errors.As(err, new(ErrSuperseded)) {
			return written, nil, err
		}
	}
	return Ticket{}, nil, ErrUnavailable{Cause: table.ErrConflict{Key: rowKey(claim.Service, claim.Key)}}
}

// answerOrError returns the answer of a completed claim, or an error for a claim that is lost or still
// running. Both are nil for a released claim.
func answerOrError(ticket Ticket) (*Answer, error) {
	switch ticket.Record.State {
	case Completed:
		return ticket.Record.Answer, nil
	case Lost:
		return nil, ErrUnknownOutcome{Service: ticket.Service, Key: ticket.Key, Request: ticket.Record.Request}
	case Released:
		return nil, nil
	default:
		return nil, ErrStillRunning{Ticket: ticket}
	}
}

// Complete records the answer, also in a claim that was recorded as lost in the meantime. It returns nil
// if another entry recorded the answer of the same request first. Errors are ErrUnavailable, after which
// the call can be repeated, ErrSuperseded if the claim now belongs to another request, and ErrBadRow.
func (ledger *Ledger) Complete(ctx context.Context, ticket Ticket, answer Answer) error {
	if answer.Outcome != outcome.Ran {
		panic(ErrInvariant{Rule: "only a request that ran is completed", Request: ticket.Record.Request})
	}
	answer, err := ledger.storeBody(ctx, ticket, answer)
	if err != nil {
		return err
	}
	next := ticket
	next.Record.State, next.Record.Answer = Completed, &answer
	for range ledger.settings.Tries {
		_, err := ledger.write(ctx, next)
		var superseded ErrSuperseded
		if !errors.As(err, &superseded) {
			return err
		}
		switch have := superseded.Have; {
		case have.Request != ticket.Record.Request:
			return err
		case have.State == Completed:
			return nil
		case have.State == Released:
			panic(ErrInvariant{Rule: "a request confirmed as not run has no answer", Request: have.Request})
		}
		// Another entry recorded the claim as lost, but the answer is here.
		next.revision = superseded.Revision
	}
	return ErrUnavailable{Cause: table.ErrConflict{Key: rowKey(ticket.Service, ticket.Key)}}
}

// Release records that the request certainly did not run, so that the key can be claimed again at once.
// The confirmed outcome must be NotRun: either the agent confirmed it, or the request was never sent.
// Errors are ErrSuperseded, ErrBadRow and ErrUnavailable.
func (ledger *Ledger) Release(ctx context.Context, ticket Ticket, confirmed outcome.Outcome) error {
	requireNotRun(ticket, confirmed)
	next := ticket
	next.Record.State = Released
	_, err := ledger.write(ctx, next)
	return err
}

// MarkLost records that the outcome cannot be learned from the target, because its incarnation has ended.
// Errors are ErrSuperseded, ErrBadRow and ErrUnavailable.
func (ledger *Ledger) MarkLost(ctx context.Context, ticket Ticket) error {
	next := ticket
	next.Record.State = Lost
	_, err := ledger.write(ctx, next)
	return err
}

// Reassign moves the claim to another target under a new request id. The confirmed outcome of the
// ticket's request must be NotRun. Errors are ErrSuperseded if the claim changed in the meantime,
// ErrBadRow and ErrUnavailable; after each of them the new request must not be dispatched.
func (ledger *Ledger) Reassign(ctx context.Context, ticket Ticket, confirmed outcome.Outcome, request ident.Request, target Target) (Ticket, error) {
	requireNotRun(ticket, confirmed)
	if request == ticket.Record.Request && target.Endpoint == ticket.Record.Target.Endpoint {
		panic(ErrInvariant{Rule: "a refused request id is not sent again to the same endpoint", Request: request})
	}
	next := ticket
	next.Record.State = Claimed
	next.Record.Request, next.Record.Target = request, target
	next.Record.Attempt++
	return ledger.write(ctx, next)
}

func requireNotRun(ticket Ticket, confirmed outcome.Outcome) {
	if confirmed != outcome.NotRun || ticket.Record.State != Claimed {
		panic(ErrInvariant{Rule: "a claim is given up only after a confirmed not run", Request: ticket.Record.Request})
	}
}

// Read returns a ticket for the current claim of a key. The second result is false if there is none.
// Errors are ErrUnavailable and ErrBadRow.
func (ledger *Ledger) Read(ctx context.Context, service ident.Service, key ident.Key) (Ticket, bool, error) {
	row, err := ledger.table.Get(ctx, rowKey(service, key))
	if err != nil {
		return Ticket{}, false, ErrUnavailable{Cause: err}
	}
	if !row.Exists() {
		return Ticket{}, false, nil
	}
	ticket, err := ledger.ticket(service, key, row)
	return ticket, err == nil, err
}

func (ledger *Ledger) ticket(service ident.Service, key ident.Key, row table.Row) (Ticket, error) {
	record, err := decode(row)
	if err != nil {
		return Ticket{}, err
	}
	return Ticket{Service: service, Key: key, Record: record, revision: row.Revision}, nil
}
