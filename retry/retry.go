// Package retry decides which outcome may be tried again and bounds the extra attempts.
package retry

import (
	"sync"

	"hyssopjunction/outcome"
)

// Settings of a Budget.
type Settings struct {
	// RatioPermille is the number of extra attempts earned by 1,000 requests.
	RatioPermille int
	// Burst is the largest number of unused extra attempts that is carried over.
	Burst int
}

// Defaults allow 1.1 attempts per request. The burst is small, because it is spent in addition to
// the ratio when an outage starts.
func Defaults() Settings {
	return Settings{RatioPermille: 100, Burst: 10}
}

const permille = 1000

// Budget is a token bucket that earns a part of a token with each request and spends one with each
// extra attempt, whether a retry or a hedge. It starts empty and is safe for concurrent use.
type Budget struct {
	settings Settings
	mu       sync.Mutex
	tokens   int
}

// NewBudget returns an empty budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// Earn records a request.
func (budget *Budget) Earn() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.tokens = min(budget.tokens+budget.settings.RatioPermille, budget.settings.Burst*permille)
}

// Spend takes one extra attempt and reports whether there was one.
func (budget *Budget) Spend() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < permille {
		return false
	}
	budget.tokens -= permille
	return true
}

// MayRetry reports whether a request whose last attempt had the given outcome may be attempted
// again: if it certainly did not run, or if running it twice does no harm.
func MayRetry(idempotent bool, last outcome.Outcome) bool {
	switch last {
	case outcome.NotRun:
		return true
	case outcome.Unknown:
		return idempotent
	default:
		return false
	}
}

// MayHedge reports whether a second attempt may be started while the first is still open.
func MayHedge(idempotent bool) bool {
	return idempotent
}
