// Package store describes the transactional rows in which the daemons of a cluster keep what must
// outlast them. An adapter implements Store for the deployment's service.
package store

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Table names a group of rows.
type Table string

// Version numbers the transactions of the service. A row carries the number of the last transaction
// that wrote it; 0 stands for a row that does not exist.
type Version int64

// Ref names a row.
type Ref struct {
	Table Table
	Key   string
}

// Row is a row as it was read.
type Row struct {
	Ref
	Value   []byte
	Version Version
	// Deleted marks a row that a feed reports as removed.
	Deleted bool
}

// Condition requires a row to have exactly Version when the transaction is applied.
type Condition struct {
	Ref
	Version Version
}

// Put writes a row.
type Put struct {
	Ref
	Value []byte
}

// Tx is applied as a whole or not at all.
type Tx struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Ref
}

// Rows are rows as of one version of the service.
type Rows struct {
	Rows    []Row
	Version Version
	// More reports that the range holds further rows after the last one.
	More bool
}

// Store is the service. Calls are safe for concurrent use and end with their context.
type Store interface {
	// Commit applies tx and returns its version. Errors: ErrConflict and ErrUnavailable if it had no
	// effect, ErrUnknown if it may have had one.
	Commit(ctx context.Context, tx Tx) (Version, error)
	// List returns the rows of table with from <= key < to, in ascending order of key. An empty bound
	// is open. Error: ErrUnavailable.
	List(ctx context.Context, table Table, from, to string) (Rows, error)
	// Changes waits up to wait for rows of table written after a version and returns them in order.
	// Errors: ErrHistoryGone, ErrUnavailable.
	Changes(ctx context.Context, table Table, after Version, wait clock.Millis) (Rows, error)
	// Now returns an estimate of the service's steady clock, or 0 before the first answer.
	Now() clock.Time
}

// ErrConflict reports conditions that did not hold. The transaction had no effect.
type ErrConflict struct {
	// Rows holds the present state of the rows named by the conditions. Rows that do not exist are
	// missing.
	Rows []Row
}

// Error describes the conflict.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("conditions on %d existing rows do not hold", len(err.Rows))
}

// Row returns the present state of the row, with Version 0 if it does not exist.
func (err ErrConflict) Row(ref Ref) Row {
	for _, row := range err.Rows {
		if row.Ref == ref {
			return row
		}
	}
	return Row{Ref: ref}
}

// ErrUnavailable reports that the service did not carry out the call.
type ErrUnavailable struct {
	Reason string
}

// Error describes the failure.
func (err ErrUnavailable) Error() string { return "store unavailable: " + err.Reason }

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool { return errors.As(err, new(ErrUnavailable)) }

// ErrUnknown reports that the outcome of a transaction is not known: it may have been applied, or may
// still be applied later if its conditions hold then.
type ErrUnknown struct {
	Reason string
}

// Error describes the failure.
func (err ErrUnknown) Error() string { return "outcome of the transaction is unknown: " + err.Reason }

// IsErrUnknown reports whether err is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool { return errors.As(err, new(ErrUnknown)) }

// ErrHistoryGone reports that the changes after a version are no longer kept. The reader must list.
type ErrHistoryGone struct {
	After Version
}

// Error describes the gap.
func (err ErrHistoryGone) Error() string {
	return fmt.Sprintf("changes after version %d are no longer kept", err.After)
}

// IsErrHistoryGone reports whether err is or wraps an ErrHistoryGone.
func IsErrHistoryGone(err error) bool { return errors.As(err, new(ErrHistoryGone)) }
