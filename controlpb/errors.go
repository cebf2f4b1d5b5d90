package controlpb

import (
	"errors"
	"fmt"
)

// ErrDial reports an address for which no connection can be created.
type ErrDial struct {
	Address string
	Cause   error
}

// Error describes the address and the cause.
func (err ErrDial) Error() string {
	return fmt.Sprintf("dial %s: %v", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ErrDial) Unwrap() error {
	return err.Cause
}

// IsErrDial reports whether err is or wraps an ErrDial.
func IsErrDial(err error) bool {
	return errors.As(err, new(ErrDial))
}
