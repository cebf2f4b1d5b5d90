package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// settleTime is how long an excess of connections must last to count as a violation. A client that
// closes a connection and opens another at once can be ahead of the endpoint's view for a moment.
const settleTime = 5 * clock.Millisecond

// listener counts the open connections of an endpoint and can make them silent.
type listener struct {
	net.Listener
	clock clock.Clock
	limit int
	// opened and exceeded are told the number of open connections after each change, and for each
	// excess that lasted settleTime.
	opened   func(open int)
	exceeded func(open int)

	mu      sync.Mutex
	open    set.Set[*connection]
	ended   chan struct{}
	ending  sync.Once
	pending sync.WaitGroup
}

// Close stops accepting and returns when no check of an excess is pending.
func (accepting *listener) Close() error {
	accepting.ending.Do(func() { close(accepting.ended) })
	err := accepting.Listener.Close()
	accepting.pending.Wait()
	return err
}

// Accept returns the next connection.
func (accepting *listener) Accept() (net.Conn, error) {
	conn, err := accepting.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &connection{Conn: conn, owner: accepting}
	accepting.mu.Lock()
	defer accepting.mu.Unlock()
	accepting.open.Add(accepted)
	accepting.opened(accepting.alive())
	if accepting.alive() > accepting.limit {
		settled := accepting.clock.After(settleTime)
		accepting.pending.Go(func() { accepting.recheck(settled) })
	}
	return accepted, nil
}

// recheck reports an excess of connections if it lasts.
func (accepting *listener) recheck(settled <-chan clock.Time) {
	select {
	case <-settled:
	case <-accepting.ended:
		return
	}
	accepting.mu.Lock()
	defer accepting.mu.Unlock()
	if open := accepting.alive(); open > accepting.limit {
		accepting.exceeded(open)
	}
}

// alive returns the number of connections that the peer has not closed. Connections are only examined
// when there seem to be too many. The caller holds mu.
func (accepting *listener) alive() int {
	count := accepting.open.Len()
	if count <= accepting.limit {
		return count
	}
	for conn := range accepting.open {
		if conn.closedByPeer() {
			count--
		}
	}
	return count
}

func (accepting *listener) closed(conn *connection) {
	accepting.mu.Lock()
	defer accepting.mu.Unlock()
	if accepting.open.Has(conn) {
		accepting.open.Remove(conn)
		accepting.opened(accepting.alive())
	}
}

func (accepting *listener) silence() int {
	accepting.mu.Lock()
	defer accepting.mu.Unlock()
	for conn := range accepting.open {
		conn.silent.Store(true)
	}
	return accepting.open.Len()
}

// connection is an accepted connection that can become silent: what arrives is discarded and
// nothing is sent, until the peer closes it.
type connection struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
}

// Read reads from the connection. On a silent one it returns only when the connection ends.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	for err == nil && conn.silent.Load() {
		count, err = conn.Conn.Read(buffer)
	}
	if err != nil && conn.silent.Load() {
		return 0, io.EOF
	}
	return count, err
}

// Write writes to the connection. On a silent one the data is discarded.
func (conn *connection) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// closedByPeer reports whether the end of the connection has arrived but was not read yet.
func (conn *connection) closedByPeer() bool {
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = count == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}

// Close closes the connection.
func (conn *connection) Close() error {
	conn.owner.closed(conn)
	return conn.Conn.Close()
}
