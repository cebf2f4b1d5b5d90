// Package store defines the interface of the transactional store that holds the persistent state of a cluster. An
// adapter implements Store for the service of the deployment.
package store

import (
	"context"
	"errors"
	"fmt"

	"hyssopjunction/clock"
)

// Table names a group of rows.
type Table string

// Version numbers the transactions of the store. The version of a row is the number of the last transaction that
// wrote it, or 0 for a row that does not exist.
type Version int64

// Ref names a row.
type Ref struct {
	Table Table
	Key   string
}

// Row is a row as it was read. Its Version is that of its last write.
type Row struct {
	Ref
	Value   []byte
	Version Version
	// Deleted reports, in a result of Changes, that the row was removed.
	Deleted bool
}

// Condition requires a row to have exactly the Version when the transaction is applied.
type Condition struct {
	Ref
	Version Version
}

// Put writes a row.
type Put struct {
	Ref
	Value []byte
}

// Tx is a transaction, which is applied as a whole or not at all.
type Tx struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Ref
}

// Rows holds rows as of one version of the store.
type Rows struct {
	Rows    []Row
	Version Version
	// More reports that the range holds further rows after the last one.
	More bool
}

// Store is a transactional store. It is safe for concurrent use, and calls end with their context.
type Store interface {
	// Commit applies tx and returns its version. Errors: ErrConflict, ErrRejected and ErrUnavailable if it had no
	// effect, ErrUnknown if it may have had one.
	Commit(ctx context.Context, tx Tx) (Version, error)
	// List returns the rows of table with from <= key < to, in ascending order of key. An empty bound
	// is open. Error: ErrUnavailable.
	List(ctx context.Context, table Table, from, to string) (Rows, error)
	// Changes returns the rows of table that were written or removed after a version, in order. If there are
	// none, it waits for them for at most the given time.
	// Errors: ErrHistoryGone, ErrUnavailable.
	Changes(ctx context.Context, table Table, after Version, wait clock.Millis) (Rows, error)
	// Partition returns the partition of a row. The rows of a transaction lie in one partition, which applies one
	// transaction after another.
	Partition(ref Ref) string
	// Now returns an estimate of the store's steady clock, or 0 before the store first answered.
	Now() clock.Time
}

// ErrConflict reports conditions that did not hold. The transaction had no effect.
type ErrConflict struct {
	// Rows holds the present state of the rows of the conditions. Rows that do not exist are missing.
	Rows []Row
}

// Error returns a message with the number of rows.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("conditions on %d existing rows do not hold", len(err.Rows))
}

// Row returns the present state of the row with the Ref, with Version 0 if it does not exist.
func (err ErrConflict) Row(ref Ref) Row {
	for _, row := range err.Rows {
		if row.Ref == ref {
			return row
		}
	}
	return Row{Ref: ref}
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool { return errors.As(err, new(ErrConflict)) }

// ErrUnavailable reports that the store did not carry out the call.
type ErrUnavailable struct {
	Reason string
}

// Error returns a message with the reason.
func (err ErrUnavailable) Error() string { return "store unavailable: " + err.Reason }

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable.
func IsErrUnavailable(err error) bool { return errors.As(err, new(ErrUnavailable)) }

// ErrUnknown reports that the outcome of a transaction is not known: it may have been applied, or may still be
// applied later if its conditions hold then.
type ErrUnknown struct {
	Reason string
}

// Error returns a message with the reason.
func (err ErrUnknown) Error() string { return "outcome of the transaction is unknown: " + err.Reason }

// IsErrUnknown reports whether err is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool { return errors.As(err, new(ErrUnknown)) }

// ErrRejected reports a transaction that the store never applies, for instance because a value is too large. A repetition
// fails too.
type ErrRejected struct {
	Reason string
}

// Error returns a message with the reason.
func (err ErrRejected) Error() string { return "transaction rejected: " + err.Reason }

// IsErrRejected reports whether err is or wraps an ErrRejected.
func IsErrRejected(err error) bool { return errors.As(err, new(ErrRejected)) }

// ErrHistoryGone reports that the changes after a version are no longer stored. The reader must call List instead.
type ErrHistoryGone struct {
	After Version
}

// Error returns a message with the version.
func (err ErrHistoryGone) Error() string {
	return fmt.Sprintf("changes after version %d are no longer kept", err.After)
}

// IsErrHistoryGone reports whether err is or wraps an ErrHistoryGone.
func IsErrHistoryGone(err error) bool { return errors.As(err, new(ErrHistoryGone)) }
