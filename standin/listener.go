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

// excessGrace is how long an excess of connections must last to count as a violation. When a client
// closes a connection and opens another at once, the endpoint may see the new one first.
const excessGrace = 5 * clock.Millisecond

// listener counts the open connections of an endpoint and can make them silent.
type listener struct {
	net.Listener
	clock clock.Clock
	limit int
	// onChange receives the number of open connections after each change. onExcess receives it for
	// each excess that lasted for excessGrace.
	onChange func(open int)
	onExcess func(open int)

	mu          sync.Mutex
	connections set.Set[*connection]
	done        chan struct{}
	closeOnce   sync.Once
	rechecks    sync.WaitGroup
}

// Close stops accepting connections and waits for the pending checks of an excess.
func (listener *listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.done) })
	err := listener.Listener.Close()
	listener.rechecks.Wait()
	return err
}

// Accept returns the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &connection{Conn: conn, listener: listener}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.connections.Add(tracked)
	listener.onChange(listener.openCount())
	if listener.openCount() > listener.limit {
		timer := listener.clock.After(excessGrace)
		listener.rechecks.Go(func() { listener.recheck(timer) })
	}
	return tracked, nil
}

// recheck reports an excess of connections if it still exists after excessGrace.
func (listener *listener) recheck(timer <-chan clock.Time) {
	select {
	case <-timer:
	case <-listener.done:
		return
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if open := listener.openCount(); open > listener.limit {
		listener.onExcess(open)
	}
}

// openCount returns the number of connections that the peer has not closed. It examines the
// connections only when there are more than the limit. The caller holds mu.
func (listener *listener) openCount() int {
	count := listener.connections.Len()
	if count <= listener.limit {
		return count
	}
	for conn := range listener.connections {
		if conn.closedByPeer() {
			count--
		}
	}
	return count
}

func (listener *listener) remove(conn *connection) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.connections.Has(conn) {
		listener.connections.Remove(conn)
		listener.onChange(listener.openCount())
	}
}

func (listener *listener) silenceConnections() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for conn := range listener.connections {
		conn.silent.Store(true)
	}
	return listener.connections.Len()
}

// connection is an accepted connection that can become silent: what arrives is discarded and
// nothing is sent until the peer closes it.
type connection struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read reads from the connection. On a silent connection it returns only when the connection ends.
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

// Write writes to the connection. On a silent connection it discards the data.
func (conn *connection) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// closedByPeer reports whether the peer has closed the connection, even if the end was not read
// yet.
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
	conn.listener.remove(conn)
	return conn.Conn.Close()
}
