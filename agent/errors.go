package agent

import (
	"errors"
	"fmt"
	"reflect"

	"hyssopjunction/ident"
)

// ErrNoLease reports an agent whose lease is missing or about to lapse, so that it starts nothing.
type ErrNoLease struct {
	Worker ident.Worker
}

// Error names the worker.
func (err ErrNoLease) Error() string {
	return fmt.Sprintf("agent of worker %s has no lease to start tasks under", err.Worker)
}

// IsErrNoLease reports whether err is or wraps an ErrNoLease.
func IsErrNoLease(err error) bool {
	return errors.As(err, new(ErrNoLease))
}

// refusalName returns the name of the error's type, which is what goes over the wire.
func refusalName(err error) string {
	return reflect.TypeOf(err).Name()
}
