package lease

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// isErr reports whether err is or wraps an error of type Kind.
func isErr[Kind error](err error) bool {
	var target Kind
	return errors.As(err, &target)
}

// ErrFenced reports an incarnation that was declared over or that is older than another one. Its agent
// must stop all tasks and restart. Newest is the newest incarnation.
type ErrFenced struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Newest      ident.Incarnation
}

// Error implements the error interface.
func (err ErrFenced) Error() string {
	return fmt.Sprintf("incarnation %d of worker %s is over, newest is %d", err.Incarnation, err.Worker, err.Newest)
}

// IsErrFenced reports whether err is or wraps an ErrFenced.
func IsErrFenced(err error) bool { return isErr[ErrFenced](err) }

// ErrNotGranter reports a worker for which this entry is not recorded as the granter.
type ErrNotGranter struct {
	Worker ident.Worker
}

// Error implements the error interface.
func (err ErrNotGranter) Error() string {
	return fmt.Sprintf("this entry is not recorded as granter of worker %s", err.Worker)
}

// IsErrNotGranter reports whether err is or wraps an ErrNotGranter.
func IsErrNotGranter(err error) bool { return isErr[ErrNotGranter](err) }

// ErrNotOver reports an incarnation whose lease may not have ended yet, so that it may still run tasks.
type ErrNotOver struct {
	Worker ident.Worker
}

// Error implements the error interface.
func (err ErrNotOver) Error() string {
	return fmt.Sprintf("incarnation of worker %s is not certainly over", err.Worker)
}

// IsErrNotOver reports whether err is or wraps an ErrNotOver.
func IsErrNotOver(err error) bool { return isErr[ErrNotOver](err) }
