package store

import (
	"bytes"
	"context"
	"errors"

	"hyssopjunction/clock"
)

// Pauses between the attempts of CommitUntilKnown. They are long enough not to overload a store that is recovering,
// and short relative to the timeout of callers (3 s).
const (
	minRetryPause clock.Millis = 60
	maxRetryPause clock.Millis = 400
)

// CommitUntilKnown commits tx and repeats it until its outcome is known. Each Put must have a Condition on the same
// row: then repeated attempts take effect at most once, and a conflict whose rows hold the values of tx shows that
// an earlier attempt was applied. The version of those rows is returned in this case.
// Errors: ErrConflict; ErrRejected; ErrUnavailable if no attempt can have had an effect; ErrUnknown if ctx ended
// before the outcome was known.
func CommitUntilKnown(ctx context.Context, store Store, timeSource clock.Clock, tx Tx) (Version, error) {
	pause, mayBeApplied := minRetryPause, false
	for {
		version, err := store.Commit(ctx, tx)
		var conflict ErrConflict
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			if version, ok := appliedVersion(tx, conflict); mayBeApplied && ok {
				return version, nil
			}
			return 0, err
		case IsErrRejected(err):
			return 0, err // So was an earlier attempt whose outcome is unknown.
		case IsErrUnknown(err):
			mayBeApplied = true
		case !mayBeApplied:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, ErrUnknown{Reason: unknownReason(err)}
		case <-timeSource.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// appliedVersion returns the version of the rows in conflict if all rows that tx puts have its values and one
// common version, and false otherwise.
func appliedVersion(tx Tx, conflict ErrConflict) (Version, bool) {
	if len(tx.Puts) == 0 {
		return 0, false
	}
	var version Version
	for _, put := range tx.Puts {
		row := conflict.Row(put.Ref)
		if row.Version == 0 || !bytes.Equal(row.Value, put.Value) {
			return 0, false
		}
		if version != 0 && row.Version != version {
			return 0, false
		}
		version = row.Version
	}
	return version, true
}

// unknownReason returns the reason of an ErrUnknown without its prefix, or else the text of err.
func unknownReason(err error) string {
	var unknown ErrUnknown
	if errors.As(err, &unknown) {
		return unknown.Reason
	}
	return err.Error()
}
