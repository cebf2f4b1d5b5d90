// Package table is the client of the platform's transactional table service. All state that daemons
// keep or have to agree on is stored there.
package table

import (
	"context"

	"hyssopjunction/ident"
)

// Key identifies a row, as in "Job/nightly-7".
type Key string

// Revision counts the writes to one row. It starts at 1 and increases by exactly 1 with each write,
// deletions included; 0 stands for a row that was never written.
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

// Condition requires that a row has exactly the given revision when the transaction is committed.
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

// Transaction is committed as a whole or not at all. If each written row has a condition, committing
// the transaction again after it took effect is a conflict, so it never takes effect twice.
type Transaction struct {
	// Write identifies the transaction. The rows that it writes carry the id.
	Write      ident.Write
	Conditions []Condition
	Operations []Operation
}

// Result holds the new revision of each written row.
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
