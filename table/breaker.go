package table

import (
	"sync"

	"hyssopjunction/clock"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var (
	outagesEntered = metrics.NewCounter("hyssopjunction_table_outages_entered_total")
	outagesLeft    = metrics.NewCounter("hyssopjunction_table_outages_left_total")
	breakerRefused = metrics.NewCounter("hyssopjunction_table_calls_refused_by_breaker_total")
)

// breaker is a circuit breaker. It opens after failureLimit consecutive failures; while it is open it
// admits one probe per probeInterval.
type breaker struct {
	mu            sync.Mutex
	failures      int
	failureLimit  int
	open          bool
	probing       bool
	openedAt      clock.Time
	retryAt       clock.Time
	probeInterval clock.Millis
	jitter        func(clock.Millis) clock.Millis
}

// admit reports whether a call may be made, and if not, after how long to try again.
func (breaker *breaker) admit(now clock.Time) (bool, clock.Millis) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	if !breaker.open {
		return true, 0
	}
	if breaker.probing || now.Before(breaker.retryAt) {
		breakerRefused.Inc()
		return false, max(breaker.retryAt.Sub(now), breaker.probeInterval/10, 1)
	}
	breaker.probing = true
	return true, 0
}

// recordSuccess records a call to which the service responded. It closes the breaker.
func (breaker *breaker) recordSuccess(now clock.Time) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.failures = 0
	breaker.probing = false
	if !breaker.open {
		return
	}
	breaker.open = false
	outagesLeft.Inc()
	klog.InfoS("table outage left", "Millis", int64(now.Sub(breaker.openedAt)))
}

// recordFailure records a call to which the service did not respond.
func (breaker *breaker) recordFailure(now clock.Time, reason error) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.failures++
	breaker.probing = false
	if breaker.failures < breaker.failureLimit {
		return
	}
	breaker.retryAt = now.Add(breaker.probeInterval + breaker.jitter(breaker.probeInterval/4))
	if breaker.open {
		return
	}
	breaker.open = true
	breaker.openedAt = now
	outagesEntered.Inc()
	klog.InfoS("table outage entered", "Reason", reason.Error(), "Failures", breaker.failures)
}

// recordCancellation records a call that its caller cancelled. It counts neither as success nor as failure.
func (breaker *breaker) recordCancellation() {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.probing = false
}

// isOpen reports whether an outage is in progress.
func (breaker *breaker) isOpen() bool {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	return breaker.open
}
