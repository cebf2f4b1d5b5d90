package dispatch_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/dispatch"
	"hyssopjunction/outcome"
)

// assertRefused fails unless a request is refused as not run because of lost endpoints, with a time to wait.
func assertRefused(t *testing.T, answer dispatch.Answer, err error) {
	t.Helper()
	var notRun dispatch.ErrNotRun
	if !errors.As(err, &notRun) || notRun.Reason != dispatch.EndpointsLost || notRun.RetryAfter <= 0 || answer.Outcome != outcome.NotRun {
		t.Errorf("got %v, %v, want a refusal because of lost endpoints with a time to wait", answer.Outcome, err)
	}
}

// TestRequestThatCrashesEndpoints guards against a request that takes down endpoint after endpoint, because it is attempted
// again elsewhere and callers repeat it, and against healthy requests that are refused with it.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "keyed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 6, 2)
				fixture.idempotent, fixture.crashing = idempotent, "bad"
				entry := fixture.entry(1, dispatch.Defaults())
				for second := range 60 {
					key := fmt.Sprint("k", second)
					answer, err := entry.send(t.Context(), key)
					assertAnswer(t, answer, err, key)
					_, _ = entry.sendBody(t, "repeated", second) // Only the number of its runs counts.
					time.Sleep(time.Second)
				}
				fixture.mu.Lock()
				defer fixture.mu.Unlock()
				// Two endpoints at once, and one more after 5, 10, 20 and 40 s.
				if got := fixture.runs["bad"]; got < 2 || got > 6 {
					t.Errorf("the request ran %d times in 60 s, want 2 to 6", got)
				}
			})
		})
	}
}

// TestRefusalAfterLostEndpointsEnds guards against requests that are refused for good although the endpoints can run them, and
// against a refusal without a time to wait.
func TestRefusalAfterLostEndpointsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 6, 2)
		fixture.idempotent, fixture.crashing = true, "bad"
		entry := fixture.entry(1, dispatch.Defaults())
		_, _ = entry.sendBody(t, "a", 0) // The endpoints break off.
		_, _ = entry.sendBody(t, "b", 0)
		answer, err := entry.sendBody(t, "c", 0)
		assertRefused(t, answer, err)
		fixture.mu.Lock()
		fixture.crashing = ""
		fixture.mu.Unlock()
		time.Sleep(6 * time.Second)
		answer, err = entry.sendBody(t, "d", 0)
		assertAnswer(t, answer, err, "bad")
		answer, err = entry.sendBody(t, "e", 0)
		assertAnswer(t, answer, err, "bad")
	})
}
