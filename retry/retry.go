// Package retry decides which requests may be attempted again, and bounds the number of extra attempts.
package retry

import (
	"sync"

	"hyssopjunction/outcome"
)

// Settings configures a Budget.
type Settings struct {
	// RatioPermille is the number of extra attempts allowed per 1,000 requests.
	RatioPermille int
	// Burst is the maximum number of unused extra attempts that are saved for later.
	Burst int
}

// Defaults returns the default settings, which allow 1.1 attempts per request. The burst is small
// because it is spent in addition to the ratio when an outage starts.
func Defaults() Settings {
	return Settings{RatioPermille: 100, Burst: 10}
}

// milliTokensPerToken allows a request to add a fraction of a token.
const milliTokensPerToken = 1000

// Budget is a token bucket that bounds extra attempts: retries and hedged requests. Each request adds
// a fraction of a token, and each extra attempt takes one token. It starts empty and is safe for
// concurrent use.
type Budget struct {
	settings    Settings
	mu          sync.Mutex
	milliTokens int
}

// NewBudget returns an empty budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// Earn adds the fraction of a token for a request.
func (budget *Budget) Earn() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.milliTokens = min(budget.milliTokens+budget.settings.RatioPermille, budget.settings.Burst*milliTokensPerToken)
}

// Spend takes the token for an extra attempt and reports whether there was one.
func (budget *Budget) Spend() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.milliTokens < milliTokensPerToken {
		return false
	}
	budget.milliTokens -= milliTokensPerToken
	return true
}

// MayRetry reports whether a request may be attempted again after the outcome of its last attempt: it
// certainly did not run, or it may have run but is idempotent.
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

// MayHedge reports whether a second attempt of a request may be started before the first has ended.
func MayHedge(idempotent bool) bool {
	return idempotent
}
