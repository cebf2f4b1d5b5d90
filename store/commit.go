package store

import (
	"bytes"
	"context"
	"errors"

	"hyssopjunction/clock"
)

// Pauses between the attempts of CommitUntilKnown: long enough not to load a service that recovers, short
// against the time limits of callers (3 s).
const (
	firstPause clock.Millis = 60
	lastPause  clock.Millis = 400
)

// CommitUntilKnown commits tx until its outcome is known. Each Put must have a Condition on the same row: then a
// repeated transaction takes effect at most once, and a conflict whose rows hold the values of tx shows
// that an earlier attempt was applied. The version of such a Put is then that of the row.
// Errors: ErrConflict; ErrUnavailable if no attempt can have had an effect; ErrUnknown if ctx ended
// before the outcome was known.
func CommitUntilKnown(ctx context.Context, service Store, source clock.Clock, tx Tx) (Version, error) {
	pause, unknown := firstPause, false
	for {
		version, err := service.Commit(ctx, tx)
		var conflict ErrConflict
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			if applied, ok := applied(tx, conflict); unknown && ok {
				return applied, nil
			}
			return 0, err
		case IsErrUnknown(err):
			unknown = true
		case !unknown:
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, ErrUnknown{Reason: reasonOf(err)}
		case <-source.After(pause):
		}
		pause = min(2*pause, lastPause)
	}
}

// applied reports whether the rows in conflict hold what tx writes, and their version.
func applied(tx Tx, conflict ErrConflict) (Version, bool) {
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

// reasonOf returns why an outcome is not known.
func reasonOf(err error) string {
	var unknown ErrUnknown
	if errors.As(err, &unknown) {
		return unknown.Reason
	}
	return err.Error()
}
