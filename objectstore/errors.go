package objectstore

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// ErrNotFound reports an object that does not exist.
type ErrNotFound struct {
	Name Name
}

// Error names the object.
func (err ErrNotFound) Error() string {
	return fmt.Sprintf("no object %s", err.Name)
}

// IsErrNotFound reports whether err is or wraps an ErrNotFound.
func IsErrNotFound(err error) bool {
	return errors.As(err, new(ErrNotFound))
}

// ErrUnavailable reports that the store did not answer. A write or deletion may have taken effect.
type ErrUnavailable struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error describes the outage.
func (err ErrUnavailable) Error() string {
	return fmt.Sprintf("object store unavailable: %s (retry after %s)", err.Reason, err.RetryAfter)
}

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	return errors.As(err, new(ErrUnavailable))
}

// ErrTooLarge reports an object above the store's limit.
type ErrTooLarge struct {
	Name  Name
	Bytes int
	Limit int
}

// Error describes the size.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("object %s has %d bytes, limit %d", err.Name, err.Bytes, err.Limit)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	return errors.As(err, new(ErrTooLarge))
}

// ErrBadSnapshot reports a snapshot container that is truncated, corrupted, of an unknown format, or
// stored under the name of another snapshot.
type ErrBadSnapshot struct {
	Name   Name
	Reason string
}

// Error describes the fault.
func (err ErrBadSnapshot) Error() string {
	return fmt.Sprintf("snapshot %s is unusable: %s", err.Name, err.Reason)
}

// IsErrBadSnapshot reports whether err is or wraps an ErrBadSnapshot.
func IsErrBadSnapshot(err error) bool {
	return errors.As(err, new(ErrBadSnapshot))
}
