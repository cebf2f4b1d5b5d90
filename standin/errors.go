package standin

import (
	"errors"
	"fmt"
)

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

// ErrNoSuchObject reports an object that does not exist.
type ErrNoSuchObject struct {
	Name string
}

// Error describes the object.
func (err ErrNoSuchObject) Error() string {
	return fmt.Sprintf("no object %q", err.Name)
}

// IsErrNoSuchObject reports whether err is or wraps an ErrNoSuchObject.
func IsErrNoSuchObject(err error) bool {
	return errors.As(err, new(ErrNoSuchObject))
}

// ErrObjectsUnavailable reports an object store call without an answer. A Put or Delete may have
// taken effect if Unknown is true.
type ErrObjectsUnavailable struct {
	Reason  string
	Unknown bool
}

// Error describes the failure.
func (err ErrObjectsUnavailable) Error() string {
	return "object store unavailable: " + err.Reason
}

// IsErrObjectsUnavailable reports whether err is or wraps an ErrObjectsUnavailable.
func IsErrObjectsUnavailable(err error) bool {
	return errors.As(err, new(ErrObjectsUnavailable))
}

// ErrObjectTooLarge reports an object above the size limit, in bytes.
type ErrObjectTooLarge struct {
	Name  string
	Bytes int
	Limit int
}

// Error describes the size.
func (err ErrObjectTooLarge) Error() string {
	return fmt.Sprintf("object %q has %d bytes, limit %d", err.Name, err.Bytes, err.Limit)
}

// IsErrObjectTooLarge reports whether err is or wraps an ErrObjectTooLarge.
func IsErrObjectTooLarge(err error) bool {
	return errors.As(err, new(ErrObjectTooLarge))
}
