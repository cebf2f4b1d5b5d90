package dedup

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// Bodies keeps the bodies of answers that are too large for a row, in the platform's object store.
type Bodies interface {
	// Put stores body under name. Storing the same name again replaces it.
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the body; a missing one is no error.
	Delete(ctx context.Context, name string) error
}

// ErrBody reports that the body of a kept answer could not be read or is not the one that was kept.
type ErrBody struct {
	Name   string
	Reason string
}

// Error describes the fault.
func (err ErrBody) Error() string {
	return fmt.Sprintf("kept answer %s cannot be used: %s", err.Name, err.Reason)
}

// IsErrBody reports whether err is or wraps an ErrBody.
func IsErrBody(err error) bool {
	return errors.As(err, new(ErrBody))
}

// WithBodies makes the ledger keep large answers in bodies. Without it their bodies are not kept.
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

// store moves the body out of an answer that is too large for its row. The body is stored before
// the row, so that a row never names a body that does not exist.
func (ledger *Ledger) store(ctx context.Context, ticket Ticket, answer Answer) (Answer, error) {
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

// Load returns the answer with its body. Errors are ErrBody.
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
