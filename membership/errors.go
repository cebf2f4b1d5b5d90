package membership

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
)

// Error describes the row.
func (err ErrBadEntry) Error() string {
	return fmt.Sprintf("row %s is no entry row: %s", err.Key, err.Reason)
}

// IsErrBadEntry reports whether err is or wraps an ErrBadEntry.
func IsErrBadEntry(err error) bool {
	return errors.As(err, new(ErrBadEntry))
}

// ErrSuperseded reports that another process of the same entry has a higher incarnation, or that
// the row of the entry is marked as Left or was deleted. The process must end.
type ErrSuperseded struct {
	Entry ident.Entry
	Mine  ident.Incarnation
	Row   ident.Incarnation
	State State
}

// Error describes the row.
func (err ErrSuperseded) Error() string {
	return fmt.Sprintf("entry %s incarnation %d is over: its row has incarnation %d, %s", err.Entry, err.Mine, err.Row, err.State)
}

// IsErrSuperseded reports whether err is or wraps an ErrSuperseded.
func IsErrSuperseded(err error) bool {
	return errors.As(err, new(ErrSuperseded))
}
