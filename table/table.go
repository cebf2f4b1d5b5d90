// Package table speaks to the platform's transactional table service. It is the only way in which
// the daemons keep or agree on state.
package table

import (
	"context"

	"hyssopjunction/ident"
)

// Key names a row, as in "Job/nightly-7".
type Key string

// Revision counts the writes to one row. It starts at 1 and rises by exactly 1 with each write,
// also across a deletion; 0 stands for a row that was never written.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key      Key
	Value    []byte
	Revision Revision
	// Write is the id of the transaction that wrote the row last.
	Write ident.Write
	// Deleted marks a row whose last write was a deletion. Its Value is empty.
	Deleted bool
}

// Exists reports whether the row has a value.
func (row Row) Exists() bool {
	return row.Revision > 0 && !row.Deleted
}

// Condition requires that a row has exactly the given revision when the transaction commits.
type Condition struct {
	Key      Key
	Revision Revision
}

// Operation writes or deletes one row.
type Operation struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Transaction is committed as a whole or not at all. Committing a transaction whose Write id is
// already the last writer of one of its rows is a conflict, never a second effect, provided each
// written row also has a condition.
type Transaction struct {
	Write      ident.Write
	Conditions []Condition
	Operations []Operation
}

// Result gives the new revision of each written row.
type Result struct {
	Revisions map[Key]Revision
}

// Store is the table service. Its errors are ErrConflict, ErrUnavailable, ErrUnknownOutcome and
// ErrTooLarge.
type Store interface {
	// Get returns one row. A missing row is a Row with Revision 0 and no error.
	Get(ctx context.Context, key Key) (Row, error)
	// Range returns up to limit existing rows whose keys start with prefix and are greater than
	// after, in ascending order of key.
	Range(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies the transaction if all its conditions hold.
	Commit(ctx context.Context, transaction Transaction) (Result, error)
}
