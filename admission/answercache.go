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
func (queue expiryHeap) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue expiryHeap) Less(left, right int) bool { return queue[left].at.Before(queue[right].at) }

// Swap implements heap.Interface.
func (queue expiryHeap) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

// Push implements heap.Interface.
func (queue *expiryHeap) Push(value any) { *queue = append(*queue, value.(expiry)) }

// Pop implements heap.Interface.
func (queue *expiryHeap) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = expiry{}
	*queue = (*queue)[:last]
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
	request.answer.Dropped = true
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
