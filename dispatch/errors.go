package dispatch

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Reason is the cause for which a request has no answer.
type Reason string

// Reasons of ErrNotRun and ErrUnknown. NotKept is that of ErrRanUnkept.
const (
	UnknownService Reason = "UnknownService"
	MissingKey     Reason = "MissingKey"
	KeyReused      Reason = "KeyReused"
	TooLarge       Reason = "TooLarge"
	Overload       Reason = "Overload"
	Patience       Reason = "Patience"
	NoEndpoint     Reason = "NoEndpoint"
	Outage         Reason = "Outage"
	StillRunning   Reason = "StillRunning"
	Lost           Reason = "Lost"
	NotKept        Reason = "NotKept"
	Stopping       Reason = "Stopping"
	Cancelled      Reason = "Cancelled"
)

// ErrNotRun reports that the request certainly did not run and never will.
type ErrNotRun struct {
	Request    ident.Request
	Reason     Reason
	RetryAfter clock.Millis
	// keyUnread is set if the request was refused before the state of its key was read. Dispatch then
	// calls resolveUnreadKey.
	keyUnread bool
}

// Error returns the request, the reason and the time to wait.
func (err ErrNotRun) Error() string {
	return fmt.Sprintf("request %s was not run: %s (retry after %s)", err.Request, err.Reason, err.RetryAfter)
}

// IsErrNotRun reports whether err is or wraps an ErrNotRun.
func IsErrNotRun(err error) bool {
	return errors.As(err, new(ErrNotRun))
}

// ErrUnknown reports that the request may or may not have run.
type ErrUnknown struct {
	Request    ident.Request
	Reason     Reason
	RetryAfter clock.Millis
}

// Error returns the request, the reason and the time to wait.
func (err ErrUnknown) Error() string {
	return fmt.Sprintf("outcome of request %s is unknown: %s (retry after %s)", err.Request, err.Reason, err.RetryAfter)
}

// IsErrUnknown reports whether err is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool {
	return errors.As(err, new(ErrUnknown))
}

// ErrRanUnkept reports that the first request of a repeated key ran, but that its answer was too large
// to be stored, or, if RetryAfter is set, cannot be read now.
type ErrRanUnkept struct {
	Request    ident.Request
	Bytes      int
	RetryAfter clock.Millis
}

// Error returns the request and the size of the answer.
func (err ErrRanUnkept) Error() string {
	return fmt.Sprintf("request %s ran; its answer of %d bytes is not available", err.Request, err.Bytes)
}

// IsErrRanUnkept reports whether err is or wraps an ErrRanUnkept.
func IsErrRanUnkept(err error) bool {
	return errors.As(err, new(ErrRanUnkept))
}

// ErrNotSent is returned by an Agents implementation if the call certainly did not reach the agent at
// Address.
type ErrNotSent struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (err ErrNotSent) Error() string {
	return fmt.Sprintf("call was not sent to agent %s: %v", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ErrNotSent) Unwrap() error {
	return err.Cause
}

// IsErrNotSent reports whether err is or wraps an ErrNotSent.
func IsErrNotSent(err error) bool {
	return errors.As(err, new(ErrNotSent))
}
