package admission

import (
	"sync"

	"hyssopjunction/clock"
)

// Limiter bounds the number of requests inside an entry. Requests of lower priority may use only a part
// of the limit, so they are refused first. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	limit      int
	inFlight   int
	retryAfter clock.Millis
}

// NewLimiter returns a limiter for at most limit requests at a time. Refused callers get retryAfter.
func NewLimiter(limit int, retryAfter clock.Millis) *Limiter {
	return &Limiter{limit: limit, retryAfter: retryAfter}
}

// Acquire counts a request as inside the entry and returns true. If the limit for its priority is
// reached, it returns the time after which the caller may retry, and false.
func (limiter *Limiter) Acquire(priority Priority) (clock.Millis, bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.inFlight >= limiter.limitFor(priority) {
		return limiter.retryAfter, false
	}
	limiter.inFlight++
	if limiter.inFlight > limiter.limit {
		panic(ErrInvariant{Rule: "requests inside the entry fit in its limit"})
	}
	return 0, true
}

// Release ends a request that Acquire counted.
func (limiter *Limiter) Release() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inFlight--
	if limiter.inFlight < 0 {
		panic(ErrInvariant{Rule: "a place is released once"})
	}
}

// InFlight returns the number of requests inside the entry.
func (limiter *Limiter) InFlight() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.inFlight
}

// limitFor returns the limit for requests of a priority. A tenth of the limit is reserved for high
// priority, and three tenths for normal and high.
func (limiter *Limiter) limitFor(priority Priority) int {
	switch {
	case priority >= High:
		return limiter.limit
	case priority >= Normal:
		return max(1, limiter.limit*9/10)
	default:
		return max(1, limiter.limit*7/10)
	}
}
