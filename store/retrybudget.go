package store

import (
	"sync"

	"hyssopjunction/clock"
)

// Limits of the retries of one partition.
const (
	// retryShare is the number of retries that each call adds to the budget. Retries add at most this share to the load of
	// a store that fails because of its load.
	retryShare = 0.1
	// maxRetryTokens is the number of retries that can be saved up. The pauses of a caller that waits for 3 s allow about
	// eight retries; half of them suffice to reach another entry.
	maxRetryTokens = 4.0
	// retryTokensPerSecond lets retries continue in a partition that has few calls: an entry makes about one call in 8 s to
	// each. Nine entries and 16 partitions make 144 retries a second at most while the store is away.
	retryTokensPerSecond = 1.0
	// answerInterval is the shortest time between two tokens that a partition gets because the store answers. A store that
	// answers some calls and rejects others is not retried much more often for that.
	answerInterval = 250 * clock.Millisecond
	// joinWindow is how long after a retry others of its partition are free. Group joins them in one transaction, or in two
	// if the first is in progress.
	joinWindow = 10 * clock.Millisecond
)

// RetryBudgets limits the retries of each partition by a token bucket. It is safe for concurrent use.
type RetryBudgets struct {
	mu      sync.Mutex
	buckets map[string]*retryBucket
}

// retryBucket is the budget of one partition.
type retryBucket struct {
	tokens   float64
	filledAt clock.Time
	// takenAt is when a token was last taken, and answeredAt when one was last added because the store answered, or 0.
	takenAt, answeredAt clock.Time
}

// NewRetryBudgets returns full budgets.
func NewRetryBudgets() *RetryBudgets { return &RetryBudgets{buckets: map[string]*retryBucket{}} }

// RecordCall adds the share of a first call to the budget of its partition.
func (budgets *RetryBudgets) RecordCall(partition string, now clock.Time) {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	bucket := budgets.bucket(partition, now)
	bucket.tokens = min(maxRetryTokens, bucket.tokens+retryShare)
}

// RecordAnswer adds a token to the partitions without one, because the store answers calls again. Each gets one within
// answerInterval at most.
func (budgets *RetryBudgets) RecordAnswer(now clock.Time) {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	for partition := range budgets.buckets {
		bucket := budgets.bucket(partition, now)
		if bucket.tokens < 1 && (bucket.answeredAt == 0 || now.Sub(bucket.answeredAt) >= answerInterval) {
			bucket.tokens, bucket.answeredAt = 1, now
		}
	}
}

// Take takes a token for a retry. It returns 0 if there was one, or the time after which there will be one.
func (budgets *RetryBudgets) Take(partition string, now clock.Time) clock.Millis {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	bucket := budgets.bucket(partition, now)
	if bucket.takenAt != 0 && now.Sub(bucket.takenAt) < joinWindow {
		return 0
	}
	if bucket.tokens < 1 {
		return clock.Millis((1-bucket.tokens)/retryTokensPerSecond*float64(clock.Second)) + 1
	}
	bucket.tokens--
	bucket.takenAt = now
	return 0
}

// bucket returns the budget of a partition, filled up to now. The caller must hold the lock.
func (budgets *RetryBudgets) bucket(partition string, now clock.Time) *retryBucket {
	bucket, ok := budgets.buckets[partition]
	if !ok {
		bucket = &retryBucket{tokens: maxRetryTokens, filledAt: now}
		budgets.buckets[partition] = bucket
	}
	elapsed := float64(now.Sub(bucket.filledAt)) / float64(clock.Second)
	bucket.tokens = min(maxRetryTokens, bucket.tokens+elapsed*retryTokensPerSecond)
	bucket.filledAt = now
	return bucket
}
