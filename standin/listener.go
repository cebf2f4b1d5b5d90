package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"hyssopjunction/set"
)

// listener counts the open connections of an endpoint and can make them silent.
type listener struct {
	net.Listener
	changed func(open, change int)

	mu   sync.Mutex
	open set.Set[*connection]
}

func newListener(inner net.Listener, changed func(open, change int)) *listener {
	return &listener{Listener: inner, changed: changed, open: set.New[*connection]()}
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
	accepting.changed(accepting.open.Len(), 1)
	return accepted, nil
}

func (accepting *listener) closed(conn *connection) {
	accepting.mu.Lock()
	defer accepting.mu.Unlock()
	if accepting.open.Has(conn) {
		accepting.open.Remove(conn)
		accepting.changed(accepting.open.Len(), -1)
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

// Close closes the connection.
func (conn *connection) Close() error {
	conn.owner.closed(conn)
	return conn.Conn.Close()
}
