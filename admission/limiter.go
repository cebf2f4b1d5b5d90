package admission

import (
	"sync"

	"hyssopjunction/clock"
)

// Limiter bounds the requests inside one entry. Requests of lower priority may use only a part of
// the limit, so that they are refused first. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	after    clock.Millis
}

// NewLimiter returns a limiter for at most limit requests; refused callers are told to come back
// after the given time.
func NewLimiter(limit int, after clock.Millis) *Limiter {
	return &Limiter{limit: limit, after: after}
}

// Acquire takes a place and reports whether there was one. If not, the time is the retry-after.
func (limiter *Limiter) Acquire(priority Priority) (clock.Millis, bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.inFlight >= limiter.bound(priority) {
		return limiter.after, false
	}
	limiter.inFlight++
	if limiter.inFlight > limiter.limit {
		panic(ErrInvariant{Rule: "requests inside the entry fit in its limit"})
	}
	return 0, true
}

// Release returns a place.
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

// bound leaves a tenth of the limit to high priority and three tenths to normal and high.
func (limiter *Limiter) bound(priority Priority) int {
	switch {
	case priority >= High:
		return limiter.limit
	case priority >= Normal:
		return max(1, limiter.limit*9/10)
	default:
		return max(1, limiter.limit*7/10)
	}
}
