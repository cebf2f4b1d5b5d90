package table

import (
	"context"
	"sync"

	"hyssopjunction/clock"
)

// deadlines cancels calls that take longer than term. All calls have the same term, so they end in
// the order in which they started and one timer is enough.
type deadlines struct {
	mu    sync.Mutex
	term  clock.Millis
	calls []*timedCall
	wake  chan struct{}
}

type timedCall struct {
	due    clock.Time
	cancel context.CancelCauseFunc
	done   bool
}

// start returns a context that is cancelled with errDeadline after the term, and a function that ends it.
func (deadlines *deadlines) start(ctx context.Context, now clock.Time) (context.Context, func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	call := &timedCall{due: now.Add(deadlines.term), cancel: cancel}
	deadlines.mu.Lock()
	deadlines.calls = append(deadlines.calls, call)
	first := len(deadlines.calls) == 1
	deadlines.mu.Unlock()
	if first {
		select {
		case deadlines.wake <- struct{}{}:
		default:
		}
	}
	return bounded, func() {
		deadlines.mu.Lock()
		call.done = true
		deadlines.mu.Unlock()
		cancel(context.Canceled)
	}
}

// expire cancels the calls that are due and returns the wait until the next one, if any.
func (deadlines *deadlines) expire(now clock.Time) (clock.Millis, bool) {
	deadlines.mu.Lock()
	defer deadlines.mu.Unlock()
	for len(deadlines.calls) > 0 {
		call := deadlines.calls[0]
		if !call.done {
			if call.due.After(now) {
				return call.due.Sub(now), true
			}
			call.cancel(errDeadline)
		}
		deadlines.calls[0] = nil
		deadlines.calls = deadlines.calls[1:]
	}
	deadlines.calls = nil
	return 0, false
}

// watch expires calls until closed is closed.
func (deadlines *deadlines) watch(source clock.Clock, closed <-chan struct{}) {
	for {
		var due <-chan clock.Time
		if wait, pending := deadlines.expire(source.Now()); pending {
			due = source.After(wait)
		}
		select {
		case <-due:
		case <-deadlines.wake:
		case <-closed:
			return
		}
	}
}
