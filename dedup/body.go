package dedup

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// Bodies stores the bodies of answers that are too large for a row. The platform's object store
// implements it.
type Bodies interface {
	// Put stores the body under the name and replaces an earlier one.
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the body. A missing body is no error.
	Delete(ctx context.Context, name string) error
}

// ErrBody reports that the body of a stored answer cannot be read or has another length than recorded.
type ErrBody struct {
	Name   string
	Reason string
}

// Error returns the name of the body and the reason.
func (err ErrBody) Error() string {
	return fmt.Sprintf("kept answer %s cannot be used: %s", err.Name, err.Reason)
}

// IsErrBody reports whether err is or wraps an ErrBody.
func IsErrBody(err error) bool {
	return errors.As(err, new(ErrBody))
}

// WithBodies makes the ledger store the bodies of large answers in bodies. Without it they are omitted.
func (ledger *Ledger) WithBodies(bodies Bodies) *Ledger {
	ledger.bodies = bodies
	return ledger
}

// WithBodies makes the sweeper delete the bodies of the rows it deletes.
func (sweeper *Sweeper) WithBodies(bodies Bodies) *Sweeper {
	sweeper.bodies = bodies
	return sweeper
}

func bodyName(service ident.Service, request ident.Request) string {
	return "Answer/" + string(service) + "/" + string(request)
}

// storeBody stores the body of an answer that is too large for its row and returns the answer without
// it. This happens before the row is written, so that a row never names a body that does not exist.
func (ledger *Ledger) storeBody(ctx context.Context, ticket Ticket, answer Answer) (Answer, error) {
	answer.Bytes = len(answer.Body)
	if answer.Bytes <= ledger.settings.InlineBytes {
		return answer, nil
	}
	if ledger.bodies == nil {
		answer.Body, answer.Omitted = nil, true
		return answer, nil
	}
	answer.Object = bodyName(ticket.Service, ticket.Record.Request)
	if err := ledger.bodies.Put(ctx, answer.Object, answer.Body); err != nil {
		return Answer{}, ErrUnavailable{Cause: err}
	}
	answer.Body = nil
	return answer, nil
}

// Load returns the answer with its body, which it reads from the object store if necessary. The error
// is ErrBody.
func (ledger *Ledger) Load(ctx context.Context, answer Answer) (Answer, error) {
	if answer.Object == "" {
		return answer, nil
	}
	if ledger.bodies == nil {
		return Answer{}, ErrBody{Name: answer.Object, Reason: "no object store"}
	}
	body, err := ledger.bodies.Get(ctx, answer.Object)
	if err != nil {
		return Answer{}, ErrBody{Name: answer.Object, Reason: err.Error()}
	}
	if len(body) != answer.Bytes {
		return Answer{}, ErrBody{Name: answer.Object, Reason: fmt.Sprintf("%d bytes instead of %d", len(body), answer.Bytes)}
	}
	answer.Body = body
	return answer, nil
}
