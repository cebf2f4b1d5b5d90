package admission

import (
	"container/heap"

	"hyssopjunction/clock"
)

// retention keeps finished requests until they expire and bounds the bytes of their bodies.
type retention struct {
	bytesLimit int
	bytes      int
	due        expiries
	// bodies lists the requests with a kept body, oldest first.
	bodies []*item
}

type expiry struct {
	at      clock.Time
	request *item
}

// expiries is a heap ordered by time.
type expiries []expiry

// Len implements heap.Interface.
func (due expiries) Len() int { return len(due) }

// Less implements heap.Interface.
func (due expiries) Less(left, right int) bool { return due[left].at.Before(due[right].at) }

// Swap implements heap.Interface.
func (due expiries) Swap(left, right int) { due[left], due[right] = due[right], due[left] }

// Push implements heap.Interface.
func (due *expiries) Push(value any) { *due = append(*due, value.(expiry)) }

// Pop implements heap.Interface.
func (due *expiries) Pop() any {
	last := len(*due) - 1
	value := (*due)[last]
	(*due)[last] = expiry{}
	*due = (*due)[:last]
	return value
}

// keep schedules the request's expiry. It drops the oldest bodies while they exceed the limit; the
// ids stay, so that a late copy is still recognised.
func (kept *retention) keep(done *item, at clock.Time) {
	heap.Push(&kept.due, expiry{at: at, request: done})
	kept.bytes += len(done.answer.Body)
	kept.bodies = append(kept.bodies, done)
	for kept.bytes > kept.bytesLimit && len(kept.bodies) > 0 {
		oldest := kept.bodies[0]
		kept.bodies[0] = nil
		kept.bodies = kept.bodies[1:]
		kept.drop(oldest)
	}
}

func (kept *retention) drop(done *item) {
	if len(done.answer.Body) == 0 {
		return
	}
	kept.bytes -= len(done.answer.Body)
	done.answer.Body = nil
	done.answer.Dropped = true
}

// expire returns the requests whose retention has passed.
func (kept *retention) expire(now clock.Time) []*item {
	var expired []*item
	for len(kept.due) > 0 && !kept.due[0].at.After(now) {
		done := heap.Pop(&kept.due).(expiry).request
		kept.drop(done)
		expired = append(expired, done)
	}
	// Expired requests at the front no longer hold a body.
	for len(kept.bodies) > 0 && len(kept.bodies[0].answer.Body) == 0 {
		kept.bodies[0] = nil
		kept.bodies = kept.bodies[1:]
	}
	return expired
}
