package table

import (
	"context"
	"sync"

	"hyssopjunction/clock"
)

// deadlines cancels calls that take longer than timeout. All calls have the same timeout, so they expire
// in the order in which they started and one timer is enough.
type deadlines struct {
	mu      sync.Mutex
	timeout clock.Millis
	calls   []*timedCall
	wake    chan struct{}
}

type timedCall struct {
	deadline clock.Time
	cancel   context.CancelCauseFunc
	isDone   bool
}

// start returns the context of a call, which is cancelled with errDeadline after the timeout, and a
// function that releases it.
func (deadlines *deadlines) start(ctx context.Context, now clock.Time) (context.Context, func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	call := &timedCall{deadline: now.Add(deadlines.timeout), cancel: cancel}
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
	return callCtx, func() {
		deadlines.mu.Lock()
		call.isDone = true
		deadlines.mu.Unlock()
		cancel(context.Canceled)
	}
}

// expire cancels the calls whose deadline has passed. It returns the time until the next deadline, and
// false if no call is in progress.
func (deadlines *deadlines) expire(now clock.Time) (clock.Millis, bool) {
	deadlines.mu.Lock()
	defer deadlines.mu.Unlock()
	for len(deadlines.calls) > 0 {
		call := deadlines.calls[0]
		if !call.isDone {
			if call.deadline.After(now) {
				return call.deadline.Sub(now), true
			}
			call.cancel(errDeadline)
		}
		deadlines.calls[0] = nil
		deadlines.calls = deadlines.calls[1:]
	}
	deadlines.calls = nil
	return 0, false
}

// watch cancels calls at their deadlines until closed is closed.
func (deadlines *deadlines) watch(source clock.Clock, closed <-chan struct{}) {
	for {
		var timer <-chan clock.Time
		if wait, pending := deadlines.expire(source.Now()); pending {
			timer = source.After(wait)
		}
		select {
		case <-timer:
		case <-deadlines.wake:
		case <-closed:
			return
		}
	}
}
