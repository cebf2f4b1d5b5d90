package dispatch

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/set"
)

// Limits of requests under which endpoints are lost.
const (
	// maxLostEndpoints is the number of different endpoints that may be lost under equal requests in a row before such
	// requests are refused for a while.
	maxLostEndpoints = 2
	// firstLossDelay is how long they are refused at first. It doubles with each further endpoint, up to maxLossDelay.
	firstLossDelay = 5 * clock.Second
	maxLossDelay   = 5 * clock.Minute
	// maxLossRecords bounds the memory. The record with the oldest loss is removed first.
	maxLossRecords = 1024
	// lossMemory is how long a loss counts.
	lossMemory = 15 * clock.Minute
)

var (
	lostEndpoints  = metrics.NewCounter(`hyssopjunction_dispatch_lost_endpoints_total`)
	refusedLosses  = metrics.NewCounter(`hyssopjunction_dispatch_refused_after_losses_total`)
	delayedDigests = metrics.NewCounter(`hyssopjunction_dispatch_loss_delays_total`)
)

// contentKey identifies equal requests: those of one team to one service with the same body.
type contentKey struct {
	service ident.Service
	digest  string
}

// lossRecord describes the endpoints that were lost under equal requests since one of them was last answered.
type lossRecord struct {
	endpoints    set.Set[ident.Endpoint]
	lastLoss     clock.Time
	delay        clock.Millis
	refusedUntil clock.Time
}

// losses remembers the requests under which endpoints were lost: an endpoint's process ended, or broke off, while it had the
// request. The same request would take down endpoint after endpoint if it were sent again without limit. An endpoint that is
// lost with its agent does not count. It is safe for concurrent use.
type losses struct {
	mu      sync.Mutex
	records map[contentKey]*lossRecord
}

func newLosses() *losses { return &losses{records: map[contentKey]*lossRecord{}} }

// isEmpty reports whether no endpoint was lost lately. It spares the digest of most requests.
func (losses *losses) isEmpty() bool {
	losses.mu.Lock()
	defer losses.mu.Unlock()
	return len(losses.records) == 0
}

// refusal returns how long equal requests are still refused, or false if they are not.
func (losses *losses) refusal(key contentKey, now clock.Time) (clock.Millis, bool) {
	losses.mu.Lock()
	defer losses.mu.Unlock()
	record, ok := losses.records[key]
	if !ok || !now.Before(record.refusedUntil) {
		return 0, false
	}
	refusedLosses.Inc()
	return record.refusedUntil.Sub(now), true
}

// recordLoss records that an endpoint was lost under a request.
func (losses *losses) recordLoss(key contentKey, endpoint ident.Endpoint, now clock.Time) {
	losses.mu.Lock()
	defer losses.mu.Unlock()
	lostEndpoints.Inc()
	record, ok := losses.records[key]
	if !ok || now.Sub(record.lastLoss) > lossMemory {
		losses.makeRoom()
		record = &lossRecord{endpoints: set.New[ident.Endpoint]()}
		losses.records[key] = record
	}
	record.endpoints.Add(endpoint)
	record.lastLoss = now
	if record.endpoints.Len() < maxLostEndpoints {
		return
	}
	record.delay = min(max(firstLossDelay, 2*record.delay), maxLossDelay)
	record.refusedUntil = now.Add(record.delay)
	delayedDigests.Inc()
	klog.InfoS("Requests refused after lost endpoints", "Service", key.service, "Digest", key.digest, "Endpoint", endpoint,
		"Endpoints", record.endpoints.Len(), "Millis", int64(record.delay))
}

// recordAnswer records that an endpoint answered a request, so that equal ones are not to blame.
func (losses *losses) recordAnswer(key contentKey) {
	losses.mu.Lock()
	defer losses.mu.Unlock()
	delete(losses.records, key)
}

// makeRoom removes the record with the oldest loss if there are too many. The caller must hold the lock.
func (losses *losses) makeRoom() {
	if len(losses.records) < maxLossRecords {
		return
	}
	var oldest contentKey
	first := true
	for key, record := range losses.records {
		if first || record.lastLoss < losses.records[oldest].lastLoss {
			oldest, first = key, false
		}
	}
	delete(losses.records, oldest)
}

// refusedAfterLosses returns how long the request is refused because endpoints were lost under equal ones, or false if it is
// not.
func (dispatcher *Dispatcher) refusedAfterLosses(state *requestState) (clock.Millis, bool) {
	if dispatcher.losses.isEmpty() {
		return 0, false
	}
	return dispatcher.losses.refusal(state.contentKey(), dispatcher.clock.Now())
}

// recordLosses records what an attempt tells of the request and the endpoint.
func (dispatcher *Dispatcher) recordLosses(state *requestState, endpoint ident.Endpoint, result attemptResult) {
	switch {
	case result.endpointLost:
		dispatcher.losses.recordLoss(state.contentKey(), endpoint, dispatcher.clock.Now())
	case result.outcome == outcome.Ran && !dispatcher.losses.isEmpty():
		dispatcher.losses.recordAnswer(state.contentKey())
	}
}

// contentKey returns the key of the requests that are equal to this one.
func (state *requestState) contentKey() contentKey {
	return contentKey{service: state.Service, digest: digest(state)}
}
