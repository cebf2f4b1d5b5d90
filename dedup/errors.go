package dedup

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// ErrStillRunning reports that the key is claimed and its answer is not recorded yet. The ticket
// identifies the request and its target, which can be queried for the state of the request.
type ErrStillRunning struct {
	Ticket Ticket
}

// Error returns the key, the service, the request and the endpoint of the claim.
func (err ErrStillRunning) Error() string {
	return fmt.Sprintf("key %q of service %s is claimed by request %s at endpoint %s",
		err.Ticket.Key, err.Ticket.Service, err.Ticket.Record.Request, err.Ticket.Record.Target.Endpoint)
}

// IsErrStillRunning reports whether err is or wraps an ErrStillRunning.
func IsErrStillRunning(err error) bool {
	return errors.As(err, new(ErrStillRunning))
}

// ErrUnknownOutcome reports that the request of the key may have run and that its answer is lost.
type ErrUnknownOutcome struct {
	Service ident.Service
	Key     ident.Key
	Request ident.Request
}

// Error returns the request, its key and its service.
func (err ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("outcome of request %s with key %q of service %s is unknown", err.Request, err.Key, err.Service)
}

// IsErrUnknownOutcome reports whether err is or wraps an ErrUnknownOutcome.
func IsErrUnknownOutcome(err error) bool {
	return errors.As(err, new(ErrUnknownOutcome))
}

// ErrKeyReused reports that the key was used before for another body.
type ErrKeyReused struct {
	Service ident.Service
	Key     ident.Key
}

// Error returns the key and its service.
func (err ErrKeyReused) Error() string {
	return fmt.Sprintf("key %q of service %s was used for another body", err.Key, err.Service)
}

// IsErrKeyReused reports whether err is or wraps an ErrKeyReused.
func IsErrKeyReused(err error) bool {
	return errors.As(err, new(ErrKeyReused))
}

// ErrSuperseded reports that the claim changed since the ticket was issued.
type ErrSuperseded struct {
	Ticket Ticket
	// Have is the current record, empty if the row was deleted.
	Have Record
	// Revision is the current revision of the row.
	Revision table.Revision
}

// Error returns the ticket's claim and the current state and request.
func (err ErrSuperseded) Error() string {
	return fmt.Sprintf("claim of key %q of service %s by request %s is now %s by request %s",
		err.Ticket.Key, err.Ticket.Service, err.Ticket.Record.Request, err.Have.State, err.Have.Request)
}

// IsErrSuperseded reports whether err is or wraps an ErrSuperseded.
func IsErrSuperseded(err error) bool {
	return errors.As(err, new(ErrSuperseded))
}

// ErrUnavailable reports that the table or the object store could not be used. After it, a request that
// was to be claimed or reassigned must not be dispatched.
type ErrUnavailable struct {
	Cause error
}

// Error returns the cause.
func (err ErrUnavailable) Error() string {
	return fmt.Sprintf("claims are unavailable: %v", err.Cause)
}

// Unwrap returns the cause.
func (err ErrUnavailable) Unwrap() error {
	return err.Cause
}

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	return errors.As(err, new(ErrUnavailable))
}

// ErrBadRow reports a claim row that cannot be decoded.
type ErrBadRow struct {
	Key    table.Key
	Reason string
}

// Error returns the key of the row and the reason.
func (err ErrBadRow) Error() string {
	return fmt.Sprintf("claim row %s cannot be decoded: %s", err.Key, err.Reason)
}

// IsErrBadRow reports whether err is or wraps an ErrBadRow.
func IsErrBadRow(err error) bool {
	return errors.As(err, new(ErrBadRow))
}

// ErrInvariant is the value of the panic that is raised if a request could run a second time, or if an
// answer contradicts the recorded outcome of its request.
type ErrInvariant struct {
	Rule    string
	Request ident.Request
}

// Error returns the violated rule and the request.
func (err ErrInvariant) Error() string {
	return fmt.Sprintf("claim invariant violated: %s (request %s)", err.Rule, err.Request)
}

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool {
	return errors.As(err, new(ErrInvariant))
}
