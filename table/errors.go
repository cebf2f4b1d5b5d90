package table

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// ErrConflict reports a condition that did not hold. The transaction had no effect.
type ErrConflict struct {
	Key  Key
	Want Revision
	Have Revision
	// Winner is the id of the transaction that wrote the row last, if known.
	Winner ident.Write
}

// Error describes the conflict.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("row %s has revision %d, not %d (written by %q)", err.Key, err.Have, err.Want, err.Winner)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// ErrUnavailable reports a call that the service did not accept or did not receive. It had no effect.
type ErrUnavailable struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error describes the outage.
func (err ErrUnavailable) Error() string {
	return fmt.Sprintf("table service unavailable: %s (retry after %s)", err.Reason, err.RetryAfter)
}

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	return errors.As(err, new(ErrUnavailable))
}

// ErrUnknownOutcome reports a commit whose response was lost, so that it may or may not have taken effect.
type ErrUnknownOutcome struct {
	Write  ident.Write
	Reason string
}

// Error describes the lost response.
func (err ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("outcome of write %s unknown: %s", err.Write, err.Reason)
}

// IsErrUnknownOutcome reports whether err is or wraps an ErrUnknownOutcome.
func IsErrUnknownOutcome(err error) bool {
	return errors.As(err, new(ErrUnknownOutcome))
}

// ErrTooLarge reports a value or transaction above the service's limit.
type ErrTooLarge struct {
	Key   Key
	Bytes int
	Limit int
}

// Error describes the value.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("value of row %s has %d bytes, limit %d", err.Key, err.Bytes, err.Limit)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	return errors.As(err, new(ErrTooLarge))
}
