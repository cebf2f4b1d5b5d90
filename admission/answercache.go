package admission

import (
	"container/heap"

	"hyssopjunction/clock"
)

// answerCache keeps finished requests until they expire, and bounds the total size of their bodies.
type answerCache struct {
	bytesLimit int
	// bytes is the total size of the kept bodies.
	bytes    int
	expiries expiryHeap
	// bodies holds the requests that may still have a body, oldest first.
	bodies []*request
}

type expiry struct {
	at      clock.Time
	request *request
}

// expiryHeap is a heap of expiries, earliest first.
type expiryHeap []expiry

// Len implements heap.Interface.
func (items expiryHeap) Len() int { return len(items) }

// Less implements heap.Interface.
func (items expiryHeap) Less(left, right int) bool { return items[left].at.Before(items[right].at) }

// Swap implements heap.Interface.
func (items expiryHeap) Swap(left, right int) { items[left], items[right] = items[right], items[left] }

// Push implements heap.Interface.
func (items *expiryHeap) Push(value any) { *items = append(*items, value.(expiry)) }

// Pop implements heap.Interface.
func (items *expiryHeap) Pop() any {
	last := len(*items) - 1
	value := (*items)[last]
	(*items)[last] = expiry{}
	*items = (*items)[:last]
	return value
}

// add keeps the request until expiresAt. If the bodies exceed the limit, the oldest ones are removed;
// the requests stay, so that late copies are recognised.
func (cache *answerCache) add(request *request, expiresAt clock.Time) {
	heap.Push(&cache.expiries, expiry{at: expiresAt, request: request})
	cache.bytes += len(request.answer.Body)
	cache.bodies = append(cache.bodies, request)
	for cache.bytes > cache.bytesLimit && len(cache.bodies) > 0 {
		oldest := cache.bodies[0]
		cache.bodies[0] = nil
		cache.bodies = cache.bodies[1:]
		cache.dropBody(oldest)
	}
}

func (cache *answerCache) dropBody(request *request) {
	if len(request.answer.Body) == 0 {
		return
	}
	cache.bytes -= len(request.answer.Body)
	request.answer.Body = nil
	request.answer.BodyRemoved = true
}

// expire removes the expired requests and returns them.
func (cache *answerCache) expire(now clock.Time) []*request {
	var expired []*request
	for len(cache.expiries) > 0 && !cache.expiries[0].at.After(now) {
		request := heap.Pop(&cache.expiries).(expiry).request
		cache.dropBody(request)
		expired = append(expired, request)
	}
	// Requests without a body are removed from the front of the list.
	for len(cache.bodies) > 0 && len(cache.bodies[0].answer.Body) == 0 {
		cache.bodies[0] = nil
		cache.bodies = cache.bodies[1:]
	}
	return expired
}
