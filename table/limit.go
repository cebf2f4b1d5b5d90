package table

import (
	"time"

	"hyssopjunction/clock"

	"golang.org/x/time/rate"
)

// rateLimit is a token bucket that runs on a clock.Clock.
type rateLimit struct {
	bucket  *rate.Limiter
	maxWait clock.Millis
}

// newRateLimit returns a limit of perSecond calls a second with a burst of perSecond calls. Calls that
// would wait longer than maxWait are refused.
func newRateLimit(perSecond float64, maxWait clock.Millis) *rateLimit {
	return &rateLimit{bucket: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)), maxWait: maxWait}
}

func burst(perSecond float64) int {
	return max(1, int(perSecond))
}

// setRate changes the rate and the burst.
func (limit *rateLimit) setRate(now clock.Time, perSecond float64) {
	limit.bucket.SetLimitAt(toTime(now), rate.Limit(perSecond))
	limit.bucket.SetBurstAt(toTime(now), burst(perSecond))
}

// reserve reserves one call and returns how long to wait for it. If that is longer than maxWait, it
// reserves nothing and returns false.
func (limit *rateLimit) reserve(now clock.Time) (clock.Millis, bool) {
	at := toTime(now)
	reservation := limit.bucket.ReserveN(at, 1)
	wait := ceilMillis(reservation.DelayFrom(at))
	if wait > limit.maxWait {
		reservation.CancelAt(at)
		return wait, false
	}
	return wait, true
}

// charge subtracts count calls that have already been made.
func (limit *rateLimit) charge(now clock.Time, count int) {
	for range count {
		limit.bucket.ReserveN(toTime(now), 1)
	}
}

func toTime(now clock.Time) time.Time {
	return time.UnixMilli(int64(now))
}

func ceilMillis(duration time.Duration) clock.Millis {
	return clock.FromDuration(duration + time.Millisecond - 1)
}
