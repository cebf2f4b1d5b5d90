package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
)

// attemptTimeout limits an attempt of Retrier.Commit. It exceeds the longest answer of a slow store (0.7 s) and the wait for
// the transaction in progress before it.
const attemptTimeout = 1300 * clock.Millisecond

// Retrier repeats transactions until the store has decided on them, within one retry budget for each partition. It is safe
// for concurrent use.
type Retrier struct {
	store   Store
	clock   clock.Clock
	budgets *RetryBudgets
	retries *metrics.Counter
	// exhausted counts the waits for the budget.
	exhausted *metrics.Counter

	mu sync.Mutex
	// waits is the number of commits that wait for a retry, and answered is closed when the store answers another one
	// meanwhile.
	waits    int
	answered chan struct{}
}

// NewRetrier returns a Retrier that commits to store.
func NewRetrier(store Store, timeSource clock.Clock) *Retrier {
	return &Retrier{
		store: store, clock: timeSource, budgets: NewRetryBudgets(), answered: make(chan struct{}),
		retries:   metrics.GetOrCreateCounter("hyssopjunction_store_retries_total"),
		exhausted: metrics.GetOrCreateCounter("hyssopjunction_store_retry_waits_total"),
	}
}

// Commit commits tx and repeats it until the store decides or ctx ends, also while the store is unavailable. Each Put must
// have a Condition on the same row, as for CommitUntilKnown: a conflict reads back the outcome of an earlier attempt.
// Errors: ErrConflict; ErrRejected; ErrUnavailable if no attempt can have had an effect; ErrUnknown otherwise.
func (retrier *Retrier) Commit(ctx context.Context, tx Tx) (Version, error) {
	partition := retrier.store.Partition(tx.Conditions[0].Ref)
	retrier.budgets.RecordCall(partition, retrier.clock.Now())
	pause, mayBeApplied := minRetryPause, false
	for {
		begun := retrier.clock.Now()
		version, err := retrier.attempt(ctx, tx)
		var conflict ErrConflict
		switch {
		case err == nil:
			retrier.recordAnswer()
			return version, nil
		case errors.As(err, &conflict):
			retrier.recordAnswer()
			if version, ok := appliedVersion(tx, conflict); mayBeApplied && ok {
				return version, nil
			}
			return 0, err
		case IsErrRejected(err):
			retrier.recordAnswer()
			return 0, err
		case !IsErrUnavailable(err):
			mayBeApplied = true
		}
		// An attempt that is cut off leaves the outcome open, so none begins that would take longer than the rest of the time.
		reserve := clock.Millis(0)
		if !mayBeApplied {
			reserve = retrier.clock.Now().Sub(begun)
		}
		if !retrier.awaitRetry(ctx, partition, jittered(pause), reserve) {
			if mayBeApplied {
				return 0, ErrUnknown{Reason: unknownReason(err)}
			}
			return 0, err
		}
		retrier.retries.Inc()
		pause = min(2*pause, maxRetryPause)
	}
}

func (retrier *Retrier) attempt(ctx context.Context, tx Tx) (Version, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	return retrier.store.Commit(attemptCtx, tx)
}

// awaitRetry waits for the pause and then for the budget of the partition, or until the store answers another commit. It returns
// false if ctx ends before, or less than the reserve after the wait.
func (retrier *Retrier) awaitRetry(ctx context.Context, partition string, pause, reserve clock.Millis) bool {
	answered := retrier.beginWait()
	defer retrier.endWait()
	for pause > 0 {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < (pause+reserve).Duration() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-retrier.clock.After(pause):
		case <-answered:
			answered = nil
		}
		pause = retrier.budgets.Take(partition, retrier.clock.Now())
		if pause > 0 {
			retrier.exhausted.Inc()
		}
	}
	return ctx.Err() == nil
}

// beginWait returns a channel that is closed when the store answers another commit.
func (retrier *Retrier) beginWait() <-chan struct{} {
	retrier.mu.Lock()
	defer retrier.mu.Unlock()
	retrier.waits++
	return retrier.answered
}

func (retrier *Retrier) endWait() {
	retrier.mu.Lock()
	defer retrier.mu.Unlock()
	retrier.waits--
}

// recordAnswer lets waiting commits try again now that the store answers: the budget protects a store that does not.
func (retrier *Retrier) recordAnswer() {
	retrier.mu.Lock()
	defer retrier.mu.Unlock()
	if retrier.waits == 0 {
		return
	}
	retrier.budgets.RecordAnswer(retrier.clock.Now())
	close(retrier.answered)
	retrier.answered = make(chan struct{})
}

// jittered returns a random time between half of the pause and the pause, so that callers that failed together do not
// return together.
func jittered(pause clock.Millis) clock.Millis {
	return pause - rand.N(pause/2+1)
}
