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
	outageRefused  = metrics.NewCounter("hyssopjunction_table_calls_refused_by_breaker_total")
)

// breaker refuses calls during an outage and lets one probe through per interval.
type breaker struct {
	mu       sync.Mutex
	failures int
	limit    int
	open     bool
	probing  bool
	opened   clock.Time
	retryAt  clock.Time
	interval clock.Millis
	jitter   func(clock.Millis) clock.Millis
}

// enter reports whether a call may be made, and if not, after how long to ask again.
func (breaker *breaker) enter(now clock.Time) (bool, clock.Millis) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	if !breaker.open {
		return true, 0
	}
	if breaker.probing || now.Before(breaker.retryAt) {
		outageRefused.Inc()
		return false, max(breaker.retryAt.Sub(now), breaker.interval/10, 1)
	}
	breaker.probing = true
	return true, 0
}

// succeed records that the service answered.
func (breaker *breaker) succeed(now clock.Time) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.failures = 0
	breaker.probing = false
	if !breaker.open {
		return
	}
	breaker.open = false
	outagesLeft.Inc()
	klog.InfoS("table outage left", "Millis", int64(now.Sub(breaker.opened)))
}

// fail records that the service did not answer.
func (breaker *breaker) fail(now clock.Time, reason error) {
	breaker.mu.Lock()
	defer breaker.mu.Unlock()
	breaker.failures++
	breaker.probing = false
	if breaker.failures < breaker.limit {
		return
	}
	breaker.retryAt = now.Add(breaker.interval + breaker.jitter(breaker.interval/4))
	if breaker.open {
		return
	}
	breaker.open = true
	breaker.opened = now
	outagesEntered.Inc()
	klog.InfoS("table outage entered", "Reason", reason.Error(), "Failures", breaker.failures)
}

// abandon records a call that its caller cancelled, which says nothing about the service.
func (breaker *breaker) abandon() {
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
