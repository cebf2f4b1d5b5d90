package dispatch

import (
	"math"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

const (
	// latencyWindow is the time after which a window of response times is replaced by the next.
	latencyWindow = clock.Minute
	// latencyBuckets of growing width cover 1 ms to more than a day.
	latencyBuckets = 200
	// latencyGrowth is the ratio of the bounds of neighbouring buckets, so that a percentile is at most
	// a tenth too high.
	latencyGrowth = 1.1
)

// window counts the response times since a time.
type window struct {
	since  clock.Time
	counts [latencyBuckets]uint32
	total  uint32
}

// latency keeps the response times of a service in the running and the previous window.
type latency struct {
	running  window
	previous window
}

// latencyBook keeps the response times of all services. It is safe for concurrent use.
type latencyBook struct {
	mu       sync.Mutex
	services map[ident.Service]*latency
}

// record adds a response time.
func (book *latencyBook) record(service ident.Service, taken clock.Millis, now clock.Time) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.services[service]
	if known == nil {
		known = &latency{running: window{since: now}}
		book.services[service] = known
	}
	known.rotate(now)
	known.running.counts[bucketOf(taken)]++
	known.running.total++
}

// percentile returns an upper bound of the given percentile, 0 without response times.
func (book *latencyBook) percentile(service ident.Service, percent int, now clock.Time) clock.Millis {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.services[service]
	if known == nil {
		return 0
	}
	known.rotate(now)
	return known.percentile(percent)
}

// rotate starts a new window if the running one is full. After a pause both are empty.
func (known *latency) rotate(now clock.Time) {
	age := now.Sub(known.running.since)
	if age < latencyWindow {
		return
	}
	known.previous = known.running
	if age >= 2*latencyWindow {
		known.previous = window{}
	}
	known.running = window{since: now}
}

func (known *latency) percentile(percent int) clock.Millis {
	total := uint64(known.running.total) + uint64(known.previous.total)
	if total == 0 {
		return 0
	}
	rank := (total*uint64(percent) + 99) / 100
	seen := uint64(0)
	for bucket := range latencyBuckets {
		seen += uint64(known.running.counts[bucket]) + uint64(known.previous.counts[bucket])
		if seen >= rank {
			return boundOf(bucket)
		}
	}
	return boundOf(latencyBuckets - 1)
}

// bucketOf returns the bucket of a response time. Bucket 0 is up to 1 ms.
func bucketOf(taken clock.Millis) int {
	if taken <= 1 {
		return 0
	}
	return min(latencyBuckets-1, int(math.Ceil(math.Log(float64(taken))/math.Log(latencyGrowth))))
}

// boundOf returns the upper bound of a bucket.
func boundOf(bucket int) clock.Millis {
	return clock.Millis(math.Ceil(math.Pow(latencyGrowth, float64(bucket))))
}

// P99 returns the 99th percentile of the response times of a service over the last one to two minutes,
// at most a tenth too high, and 0 if there were no responses. Requests that were not run do not count.
func (dispatcher *Dispatcher) P99(service ident.Service) clock.Millis {
	return dispatcher.responses.percentile(service, 99, dispatcher.clock.Now())
}
