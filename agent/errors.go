package agent

import (
	"errors"
	"fmt"
	"reflect"

	"hyssopjunction/ident"
)

// ErrNoLease reports that the agent has no lease, or one too short to start tasks under.
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

// refusalName returns the name of the error's type, which is the refusal sent to entries.
func refusalName(err error) string {
	return reflect.TypeOf(err).Name()
}
