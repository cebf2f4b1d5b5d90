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

// ErrFenced reports an incarnation that was declared over. Its agent must stop all tasks and
// restart.
type ErrFenced struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Have        ident.Incarnation
}

// Error describes the incarnations.
func (err ErrFenced) Error() string {
	return fmt.Sprintf("incarnation %d of worker %s is over, newest is %d", err.Incarnation, err.Worker, err.Have)
}

// IsErrFenced reports whether err is or wraps an ErrFenced.
func IsErrFenced(err error) bool { return isErr[ErrFenced](err) }

// ErrNotGranter reports a worker for which this entry has not recorded itself as the granter.
type ErrNotGranter struct {
	Worker ident.Worker
}

// Error names the worker.
func (err ErrNotGranter) Error() string {
	return fmt.Sprintf("this entry is not recorded as granter of worker %s", err.Worker)
}

// IsErrNotGranter reports whether err is or wraps an ErrNotGranter.
func IsErrNotGranter(err error) bool { return isErr[ErrNotGranter](err) }

// ErrNotOver reports an incarnation that may still be running tasks.
type ErrNotOver struct {
	Worker ident.Worker
}

// Error names the worker.
func (err ErrNotOver) Error() string {
	return fmt.Sprintf("incarnation of worker %s is not certainly over", err.Worker)
}

// IsErrNotOver reports whether err is or wraps an ErrNotOver.
func IsErrNotOver(err error) bool { return isErr[ErrNotOver](err) }
