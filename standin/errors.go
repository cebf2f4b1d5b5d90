package standin

import "errors"

// errAnswerLost wraps the error of a write that took effect, so that a server ends the connection
// without a response.
type errAnswerLost struct {
	cause error
}

// Error describes the cause.
func (err errAnswerLost) Error() string {
	return err.cause.Error()
}

// Unwrap returns the error that the caller sees.
func (err errAnswerLost) Unwrap() error {
	return err.cause
}

// ErrBadFault reports a fault setting that is out of range.
type ErrBadFault struct {
	Reason string
}

// Error describes the setting.
func (err ErrBadFault) Error() string {
	return "bad fault setting: " + err.Reason
}

// IsErrBadFault reports whether err is or wraps an ErrBadFault.
func IsErrBadFault(err error) bool {
	return errors.As(err, new(ErrBadFault))
}
