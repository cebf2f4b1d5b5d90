package httpserver

import (
	"container/list"
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
)

const (
	// stallTime is how long a body may bring nothing before others may take its memory.
	stallTime = 500 * clock.Millisecond
	// busyRetryAfter is when a body that found no memory should be sent again: by then, those that stall have given way.
	busyRetryAfter = clock.Second
)

// ErrBusy reports that the memory for bodies is used up. The request was not handled.
type ErrBusy struct {
	RetryAfter clock.Millis
}

// Error names the shortage.
func (ErrBusy) Error() string { return "the memory for requests is used up" }

// IsErrBusy reports whether err is or wraps an ErrBusy.
func IsErrBusy(err error) bool { return errors.As(err, new(ErrBusy)) }

// Memory is the memory that the requests of a process share. It is safe for concurrent use.
type Memory struct {
	clock   clock.Clock
	total   int64
	revoked *metrics.Counter
	refused *metrics.Counter

	mu   sync.Mutex
	held int64
	// waiting holds the grants whose owners wait for bytes, those first that waited for longest.
	waiting list.List
}

// NewMemory returns a Memory of total bytes.
func NewMemory(total int64, source clock.Clock) *Memory {
	return &Memory{
		clock: source, total: total,
		revoked: metrics.GetOrCreateCounter("hyssopjunction_http_revoked_bodies_total"),
		refused: metrics.GetOrCreateCounter("hyssopjunction_http_refused_bodies_total"),
	}
}

// Total returns the size in bytes.
func (memory *Memory) Total() int64 { return memory.total }

// grant is the part of a Memory that a request holds. It starts with no bytes.
type grant struct {
	memory *Memory
	// revoke ends the owner's wait. It must not call the grant.
	revoke func()

	// The fields below are guarded by memory.mu.
	bytes      int64
	progressAt clock.Time
	// element is the place among the waiting ones, or nil for one that received all bytes.
	element   *list.Element
	isRevoked bool
}

// newGrant returns a grant. While its owner waits for bytes, others may take what it holds, and revoke is then called.
func (memory *Memory) newGrant(revoke func()) *grant {
	grant := &grant{memory: memory, revoke: revoke}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	grant.progressAt = memory.clock.Now()
	grant.element = memory.waiting.PushBack(grant)
	return grant
}

// grow adds bytes to the grant. If there are too few, it takes those of grants that stall. Error: ErrBusy.
func (grant *grant) grow(bytes int64) error {
	memory := grant.memory
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if grant.isRevoked || !memory.makeRoom(grant, bytes) {
		memory.refused.Inc()
		return ErrBusy{RetryAfter: busyRetryAfter}
	}
	grant.bytes += bytes
	memory.held += bytes
	return nil
}

// canHold returns an ErrBusy if that many bytes are not available now. It reserves nothing: clients that declare a length and
// send nothing must not use up the memory.
func (memory *Memory) canHold(bytes int64) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if !memory.makeRoom(nil, bytes) {
		memory.refused.Inc()
		return ErrBusy{RetryAfter: busyRetryAfter}
	}
	return nil
}

// makeRoom revokes grants that stall until the bytes are free. It returns false if they are not. The caller must hold the lock.
func (memory *Memory) makeRoom(owner *grant, bytes int64) bool {
	now := memory.clock.Now()
	for element := memory.waiting.Front(); memory.held+bytes > memory.total; {
		if element == nil {
			return false
		}
		stalled, next := element.Value.(*grant), element.Next()
		if now.Sub(stalled.progressAt) < stallTime {
			return false
		}
		if stalled != owner && stalled.bytes > 0 {
			memory.revoked.Inc()
			stalled.isRevoked = true
			memory.remove(stalled)
			stalled.revoke()
		}
		element = next
	}
	return true
}

// remove takes the bytes of a grant back. The caller must hold the lock.
func (memory *Memory) remove(grant *grant) {
	memory.held -= grant.bytes
	grant.bytes = 0
	if grant.element != nil {
		memory.waiting.Remove(grant.element)
		grant.element = nil
	}
}

// progress records that bytes arrived for the owner. It returns ErrBusy if the grant was revoked.
func (grant *grant) progress() error {
	return grant.whileWaiting(func() {
		grant.progressAt = grant.memory.clock.Now()
		grant.memory.waiting.MoveToBack(grant.element)
	})
}

// complete records that the owner waits for no more bytes, so that the grant is not revoked any more. It returns ErrBusy if it was.
func (grant *grant) complete() error {
	return grant.whileWaiting(func() {
		grant.memory.waiting.Remove(grant.element)
		grant.element = nil
	})
}

// whileWaiting changes a grant whose owner waits. It returns ErrBusy if the grant was revoked.
func (grant *grant) whileWaiting(change func()) error {
	grant.memory.mu.Lock()
	defer grant.memory.mu.Unlock()
	if grant.isRevoked {
		return ErrBusy{RetryAfter: busyRetryAfter}
	}
	if grant.element != nil {
		change()
	}
	return nil
}

// release gives back what the grant holds. It may be called more than once.
func (grant *grant) release() {
	grant.memory.mu.Lock()
	defer grant.memory.mu.Unlock()
	grant.memory.remove(grant)
}
