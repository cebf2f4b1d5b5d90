package dispatch

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Reason is the cause for which a request has no answer.
type Reason string

// Reasons of ErrNotRun and ErrUnknown. AnswerUnavailable is that of ErrAnswerUnavailable.
const (
	// UnknownService means that there is no service of that name.
	UnknownService Reason = "UnknownService"
	// MissingKey means that the service is not idempotent and the request has no key.
	MissingKey Reason = "MissingKey"
	// KeyReused means that the key was used before for another submission.
	KeyReused Reason = "KeyReused"
	// TooLarge means that the body exceeds Service.BodyBytes.
	TooLarge Reason = "TooLarge"
	// Overload means that the entry or the endpoint has no capacity for the request, or that another
	// request with the same key released its claim meanwhile.
	Overload Reason = "Overload"
	// Patience means that the request was not, or would not be, answered within its patience.
	Patience Reason = "Patience"
	// NoEndpoint means that no endpoint can be chosen, or that those tried are leaving.
	NoEndpoint Reason = "NoEndpoint"
	// EndpointsLost means that several endpoints were lost under equal requests.
	EndpointsLost Reason = "EndpointsLost"
	// Outage means that the table or the endpoints could not be used.
	Outage Reason = "Outage"
	// StillRunning means that the request, or an earlier one with the same key, may still run.
	StillRunning Reason = "StillRunning"
	// Lost means that the request may have run and that its answer can't be obtained.
	Lost Reason = "Lost"
	// AnswerUnavailable means that the request ran, but that its answer was not stored or can't be read now.
	AnswerUnavailable Reason = "NotKept"
	// Stopping means that the entry is stopping. A stream that its caller cancels ends with it too.
	Stopping Reason = "Stopping"
	// Cancelled means that the caller cancelled the request.
	Cancelled Reason = "Cancelled"
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

// ErrAnswerUnavailable reports that the first request of a repeated key ran, but that its answer was too large
// to be stored, or, if RetryAfter is set, cannot be read now.
type ErrAnswerUnavailable struct {
	Request    ident.Request
	Bytes      int
	RetryAfter clock.Millis
}

// Error returns the request and the size of the answer.
func (err ErrAnswerUnavailable) Error() string {
	return fmt.Sprintf("request %s ran; its answer of %d bytes is not available", err.Request, err.Bytes)
}

// IsErrAnswerUnavailable reports whether err is or wraps an ErrAnswerUnavailable.
func IsErrAnswerUnavailable(err error) bool {
	return errors.As(err, new(ErrAnswerUnavailable))
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
