package dispatch

import (
	"math"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

const (
	// latencyWindow is the length of a window of response times.
	latencyWindow = clock.Minute
	// latencyBuckets is the number of buckets, which cover 1 ms to more than a day.
	latencyBuckets = 200
	// latencyGrowth is the ratio of the bounds of neighbouring buckets. A percentile is therefore at
	// most a tenth too high.
	latencyGrowth = 1.1
)

// window is a histogram of the response times since startedAt.
type window struct {
	startedAt clock.Time
	counts    [latencyBuckets]uint32
	total     uint32
}

// latencyWindows holds the response times of a service in the current and the previous window.
type latencyWindows struct {
	current  window
	previous window
}

// latencyRecorder holds the response times of all services. It is safe for concurrent use.
type latencyRecorder struct {
	mu       sync.Mutex
	services map[ident.Service]*latencyWindows
}

// record adds a response time.
func (recorder *latencyRecorder) record(service ident.Service, responseTime clock.Millis, now clock.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	windows := recorder.services[service]
	if windows == nil {
		windows = &latencyWindows{current: window{startedAt: now}}
		recorder.services[service] = windows
	}
	windows.rotate(now)
	windows.current.counts[bucketIndex(responseTime)]++
	windows.current.total++
}

// percentile returns an upper bound of the given percentile, or 0 without response times.
func (recorder *latencyRecorder) percentile(service ident.Service, percent int, now clock.Time) clock.Millis {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	windows := recorder.services[service]
	if windows == nil {
		return 0
	}
	windows.rotate(now)
	return windows.percentile(percent)
}

// rotate starts a new window if the current one is older than latencyWindow. After two window lengths
// without a response, the previous window is empty too.
func (windows *latencyWindows) rotate(now clock.Time) {
	age := now.Sub(windows.current.startedAt)
	if age < latencyWindow {
		return
	}
	windows.previous = windows.current
	if age >= 2*latencyWindow {
		windows.previous = window{}
	}
	windows.current = window{startedAt: now}
}

func (windows *latencyWindows) percentile(percent int) clock.Millis {
	total := uint64(windows.current.total) + uint64(windows.previous.total)
	if total == 0 {
		return 0
	}
	rank := (total*uint64(percent) + 99) / 100
	cumulative := uint64(0)
	for bucket := range latencyBuckets {
		cumulative += uint64(windows.current.counts[bucket]) + uint64(windows.previous.counts[bucket])
		if cumulative >= rank {
			return upperBound(bucket)
		}
	}
	return upperBound(latencyBuckets - 1)
}

// bucketIndex returns the bucket of a response time. Bucket 0 holds those of up to 1 ms.
func bucketIndex(responseTime clock.Millis) int {
	if responseTime <= 1 {
		return 0
	}
	return min(latencyBuckets-1, int(math.Ceil(math.Log(float64(responseTime))/math.Log(latencyGrowth))))
}

// upperBound returns the largest response time of a bucket.
func upperBound(bucket int) clock.Millis {
	return clock.Millis(math.Ceil(math.Pow(latencyGrowth, float64(bucket))))
}

// P99 returns the 99th percentile of the response times of a service over the last one to two minutes,
// at most a tenth too high, or 0 if there were none. Requests that were not run are not counted.
func (dispatcher *Dispatcher) P99(service ident.Service) clock.Millis {
	return dispatcher.responseTimes.percentile(service, 99, dispatcher.clock.Now())
}
