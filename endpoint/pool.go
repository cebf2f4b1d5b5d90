package endpoint

import (
	"bufio"
	"context"
	"net"
	"sync"

	"hyssopjunction/clock"
)

// connection is one HTTP/1.1 connection to the endpoint. It carries one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// used is when the last exchange on it succeeded.
	used clock.Time
}

// pool bounds the open connections, idle ones included.
type pool struct {
	address string
	limit   int
	maxIdle clock.Millis
	clock   clock.Clock
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*connection
	open   int
	freed  chan struct{}
	closed bool
}

// get returns an idle connection that was used successfully within maxAge, or a new one. A negative
// maxAge always dials. When the limit is reached it closes an idle connection or waits for one.
func (pool *pool) get(ctx context.Context, maxAge clock.Millis) (*connection, error) {
	for {
		reused, dial, freed := pool.reserve(maxAge)
		if reused != nil {
			return reused, nil
		}
		if dial {
			return pool.connect(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve takes an idle connection, or the right to dial, or returns a channel that is closed when
// a connection becomes free.
func (pool *pool) reserve(maxAge clock.Millis) (*connection, bool, <-chan struct{}) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.clock.Now()
	pool.closeStale(now)
	// The most recently used connection is last and least likely to have gone silent.
	if last := len(pool.idle) - 1; last >= 0 && maxAge >= 0 && now.Sub(pool.idle[last].used) <= maxAge {
		reused := pool.idle[last]
		pool.idle = pool.idle[:last]
		return reused, false, nil
	}
	if pool.open >= pool.limit && len(pool.idle) > 0 {
		pool.discardLocked(pool.idle[0])
		pool.idle = pool.idle[1:]
	}
	if pool.open < pool.limit {
		pool.open++
		return nil, true, nil
	}
	return nil, false, pool.freed
}

func (pool *pool) connect(ctx context.Context) (*connection, error) {
	dialled, err := pool.dial(ctx, "tcp", pool.address)
	if err != nil {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		pool.releaseLocked()
		return nil, err
	}
	return &connection{Conn: dialled, reader: bufio.NewReader(dialled)}, nil
}

// put returns a connection whose exchange was complete.
func (pool *pool) put(used *connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		pool.discardLocked(used)
		return
	}
	used.used = pool.clock.Now()
	pool.idle = append(pool.idle, used)
	pool.wake()
}

// discard closes a connection.
func (pool *pool) discard(broken *connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.discardLocked(broken)
}

func (pool *pool) discardLocked(broken *connection) {
	// The connection is given up; an error of closing changes nothing.
	_ = broken.Close()
	pool.releaseLocked()
}

func (pool *pool) releaseLocked() {
	pool.open--
	if pool.open < 0 || pool.open > pool.limit {
		panic(ErrInvariant{Rule: "open connections stay within the limit"})
	}
	pool.wake()
}

func (pool *pool) wake() {
	close(pool.freed)
	pool.freed = make(chan struct{})
}

func (pool *pool) closeStale(now clock.Time) {
	for len(pool.idle) > 0 && now.Sub(pool.idle[0].used) > pool.maxIdle {
		pool.discardLocked(pool.idle[0])
		pool.idle = pool.idle[1:]
	}
}

// close closes the idle connections; those in use are closed when they are returned.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	for _, idle := range pool.idle {
		pool.discardLocked(idle)
	}
	pool.idle = nil
}

func (pool *pool) size() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open
}
