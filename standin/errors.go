package standin

import "errors"

// errAnswerLost wraps the error of a write that took effect without an answer. A server ends the
// connection without a response for it.
type errAnswerLost struct {
	cause error
}

// Error returns the text of the cause.
func (err errAnswerLost) Error() string {
	return err.cause.Error()
}

// Unwrap returns the cause.
func (err errAnswerLost) Unwrap() error {
	return err.cause
}

// ErrBadFault reports an invalid change of faults.
type ErrBadFault struct {
	Reason string
}

// Error describes what is invalid.
func (err ErrBadFault) Error() string {
	return "bad fault setting: " + err.Reason
}

// IsErrBadFault reports whether err is or wraps an ErrBadFault.
func IsErrBadFault(err error) bool {
	return errors.As(err, new(ErrBadFault))
}
