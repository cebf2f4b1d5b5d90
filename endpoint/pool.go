package endpoint

import (
	"bufio"
	"context"
	"net"
	"sync"

	"hyssopjunction/clock"
)

// connection is one HTTP/1.1 connection to the endpoint, without pipelining.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is the time of the last successful exchange.
	usedAt clock.Time
}

// pool reuses connections to one address and limits the open ones, idle ones included.
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

// get returns an idle connection that was last used within maxAge, or a new one. A negative maxAge
// always connects anew. At the limit get closes an idle connection, or waits until a connection
// becomes free.
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

// reserve returns an idle connection, or true as permission to connect, or a channel that is closed
// when a connection becomes free.
func (pool *pool) reserve(maxAge clock.Millis) (*connection, bool, <-chan struct{}) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.clock.Now()
	pool.closeStale(now)
	// The most recently used connection is last and the least likely to be silent.
	if last := len(pool.idle) - 1; last >= 0 && maxAge >= 0 && now.Sub(pool.idle[last].usedAt) <= maxAge {
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
	conn, err := pool.dial(ctx, "tcp", pool.address)
	if err != nil {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		pool.releaseLocked()
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// put returns a connection to the pool after a complete exchange.
func (pool *pool) put(connection *connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		pool.discardLocked(connection)
		return
	}
	connection.usedAt = pool.clock.Now()
	pool.idle = append(pool.idle, connection)
	pool.notifyWaiters()
}

// discard closes a connection and frees its place.
func (pool *pool) discard(connection *connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.discardLocked(connection)
}

func (pool *pool) discardLocked(connection *connection) {
	// The connection is not used again, so a failed close has no consequence.
	_ = connection.Close()
	pool.releaseLocked()
}

func (pool *pool) releaseLocked() {
	pool.open--
	if pool.open < 0 || pool.open > pool.limit {
		panic(ErrInvariant{Rule: "open connections stay within the limit"})
	}
	pool.notifyWaiters()
}

func (pool *pool) notifyWaiters() {
	close(pool.freed)
	pool.freed = make(chan struct{})
}

func (pool *pool) closeStale(now clock.Time) {
	for len(pool.idle) > 0 && now.Sub(pool.idle[0].usedAt) > pool.maxIdle {
		pool.discardLocked(pool.idle[0])
		pool.idle = pool.idle[1:]
	}
}

// close closes the idle connections. Connections in use are closed when they are returned.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	for _, connection := range pool.idle {
		pool.discardLocked(connection)
	}
	pool.idle = nil
}

func (pool *pool) size() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open
}
