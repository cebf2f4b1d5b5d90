package table

import (
	"time"

	"hyssopjunction/clock"

	"golang.org/x/time/rate"
)

// limit is a token bucket on the project's clock.
type limit struct {
	bucket  *rate.Limiter
	longest clock.Millis
}

// newLimit returns a limit of perSecond calls with a burst of one second's calls.
func newLimit(perSecond float64, longest clock.Millis) *limit {
	return &limit{bucket: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)), longest: longest}
}

func burst(perSecond float64) int {
	return max(1, int(perSecond))
}

// set changes the rate.
func (limit *limit) set(now clock.Time, perSecond float64) {
	limit.bucket.SetLimitAt(instant(now), rate.Limit(perSecond))
	limit.bucket.SetBurstAt(instant(now), burst(perSecond))
}

// take reserves one call and returns how long to wait for it. It reserves nothing and returns false
// if that is longer than the longest wait.
func (limit *limit) take(now clock.Time) (clock.Millis, bool) {
	at := instant(now)
	reservation := limit.bucket.ReserveN(at, 1)
	wait := ceilMillis(reservation.DelayFrom(at))
	if wait > limit.longest {
		reservation.CancelAt(at)
		return wait, false
	}
	return wait, true
}

// charge takes count calls that were already made.
func (limit *limit) charge(now clock.Time, count int) {
	for range count {
		limit.bucket.ReserveN(instant(now), 1)
	}
}

func instant(now clock.Time) time.Time {
	return time.UnixMilli(int64(now))
}

func ceilMillis(duration time.Duration) clock.Millis {
	return clock.FromDuration(duration + time.Millisecond - 1)
}
