package endpoint

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// ErrNotSent reports that no byte of the request reached the endpoint. The request did not run.
type ErrNotSent struct {
	Address string
	Cause   error
}

// Error describes the cause.
func (err ErrNotSent) Error() string {
	return fmt.Sprintf("request was not sent to endpoint %s: %v", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ErrNotSent) Unwrap() error { return err.Cause }

// IsErrNotSent reports whether err is or wraps an ErrNotSent.
func IsErrNotSent(err error) bool { return errors.As(err, new(ErrNotSent)) }

// ErrSilent reports a silent connection: the endpoint sent no data within the deadline. The request
// may have run.
type ErrSilent struct {
	Request ident.Request
}

// Error names the request.
func (err ErrSilent) Error() string {
	return fmt.Sprintf("no progress on the answer to request %s", err.Request)
}

// IsErrSilent reports whether err is or wraps an ErrSilent.
func IsErrSilent(err error) bool { return errors.As(err, new(ErrSilent)) }

// ErrCrossed reports that the endpoint sent the answer to another request. The answer was discarded.
type ErrCrossed struct {
	Request ident.Request
	Got     ident.Request
}

// Error describes the mismatch.
func (err ErrCrossed) Error() string {
	return fmt.Sprintf("answer to request %s carries request id %q", err.Request, err.Got)
}

// IsErrCrossed reports whether err is or wraps an ErrCrossed.
func IsErrCrossed(err error) bool { return errors.As(err, new(ErrCrossed)) }

// ErrTruncated reports an answer that is shorter than declared or has no declared length. The
// answer was discarded.
type ErrTruncated struct {
	Request  ident.Request
	Declared int64
	Got      int64
}

// Error describes the lengths.
func (err ErrTruncated) Error() string {
	return fmt.Sprintf("answer to request %s has %d bytes, declared %d", err.Request, err.Got, err.Declared)
}

// IsErrTruncated reports whether err is or wraps an ErrTruncated.
func IsErrTruncated(err error) bool { return errors.As(err, new(ErrTruncated)) }

// ErrAnswerTooLarge reports an answer that exceeds the size limit. The answer was discarded.
type ErrAnswerTooLarge struct {
	Request  ident.Request
	Declared int64
	Limit    int64
}

// Error describes the size.
func (err ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("answer to request %s declares %d bytes, limit %d", err.Request, err.Declared, err.Limit)
}

// IsErrAnswerTooLarge reports whether err is or wraps an ErrAnswerTooLarge.
func IsErrAnswerTooLarge(err error) bool { return errors.As(err, new(ErrAnswerTooLarge)) }

// ErrLost reports that the connection failed after at least a part of the request was sent. The
// request may have run.
type ErrLost struct {
	Request ident.Request
	Cause   error
}

// Error describes the cause.
func (err ErrLost) Error() string {
	return fmt.Sprintf("connection failed before the answer to request %s: %v", err.Request, err.Cause)
}

// Unwrap returns the cause.
func (err ErrLost) Unwrap() error { return err.Cause }

// IsErrLost reports whether err is or wraps an ErrLost.
func IsErrLost(err error) bool { return errors.As(err, new(ErrLost)) }

// ErrStream reports that the endpoint refused a stream.
type ErrStream struct {
	Stream string
	Status int
}

// Error describes the refusal.
func (err ErrStream) Error() string {
	return fmt.Sprintf("endpoint refused stream %s with status %d", err.Stream, err.Status)
}

// IsErrStream reports whether err is or wraps an ErrStream.
func IsErrStream(err error) bool { return errors.As(err, new(ErrStream)) }

// ErrInvariant is the value of the panic that is raised when the number of open connections is
// negative or above the limit.
type ErrInvariant struct {
	Rule string
}

// Error describes the violated rule.
func (err ErrInvariant) Error() string {
	return "endpoint invariant violated: " + err.Rule
}

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool { return errors.As(err, new(ErrInvariant)) }
