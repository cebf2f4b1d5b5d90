package intake

import (
	"context"
	"errors"

	"hyssopjunction/store"
)

// Outcome is the outcome of storing a row.
type Outcome string

// Outcomes of storing a row.
const (
	// Stored: the row is in the store, whether by this call or an earlier one, or its job has ended.
	Stored Outcome = "Stored"
	// Conflicting: the row was not stored, because other rows differ from what the transaction requires.
	Conflicting Outcome = "Conflicting"
	// Cancelled: the row is not in the store and never will be, because its job was cancelled before.
	Cancelled Outcome = "Cancelled"
	// Refused: this call did not store the row.
	Refused Outcome = "Refused"
	// Rejected: the store never accepts the row.
	Rejected Outcome = "Rejected"
	// Full: this entry or the leader takes no more of such jobs now, and the row is not in the store.
	Full Outcome = "Full"
	// Limited: this entry writes no more of such rows now.
	Limited Outcome = "Limited"
	// Undecided: the row may have been stored.
	Undecided Outcome = "Undecided"
)

// decision is what the store decided on a transaction.
type decision struct {
	outcome Outcome
	// version is that of the stored row, if the outcome is Stored.
	version store.Version
	// conflict holds the rows that differ, if the outcome is Conflicting.
	conflict store.ErrConflict
	// reason is that of the last failure.
	reason string
}

// commitUntilDecided commits a transaction that stores one row, and repeats it until the store decides or ctx ends.
func commitUntilDecided(ctx context.Context, retrier *store.Retrier, tx store.Tx) decision {
	version, err := retrier.Commit(ctx, tx)
	var conflict store.ErrConflict
	switch {
	case err == nil:
		return decision{outcome: Stored, version: version}
	case errors.As(err, &conflict):
		return decision{outcome: Conflicting, conflict: conflict, reason: err.Error()}
	case store.IsErrUnavailable(err):
		return decision{outcome: Refused, reason: err.Error()}
	case store.IsErrRejected(err):
		return decision{outcome: Rejected, reason: err.Error()}
	default:
		return decision{outcome: Undecided, reason: err.Error()}
	}
}
