package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"time"

	"hyssopjunction/clock"
)

// phase is what a connection waits for.
type phase int

// Phases, in the order in which connections are closed for new ones.
const (
	// idle: for the first byte of a request.
	idle phase = iota
	// inHeader: for the rest of a header.
	inHeader
	// inBody: for the rest of a body, also one that nobody reads.
	inBody
	// responding: for the client to take a response.
	responding
	// serving: for the handler. Such a connection is never closed for another one.
	serving
	phaseCount
)

// connection is an accepted connection. It tracks what it waits for.
type connection struct {
	net.Conn
	server *Server

	// The fields below are guarded by server.mu. element is the place in the phase, or nil once the connection is closed.
	phase   phase
	since   clock.Time
	element *list.Element
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

func connectionOf(ctx context.Context) *connection {
	conn, _ := ctx.Value(connectionKey{}).(*connection)
	return conn
}

// bodyComplete records that the body of a request has arrived.
func bodyComplete(request *http.Request) {
	if conn := connectionOf(request.Context()); conn != nil {
		conn.enter(serving)
	}
}

// Read implements net.Conn.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 && conn.currentPhase() == idle {
		conn.enter(inHeader)
	}
	return count, err
}

// Write implements net.Conn. It fails if the client does not take the data in time.
func (conn *connection) Write(data []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	before := conn.enter(responding)
	count, err := conn.Conn.Write(data)
	conn.enter(before)
	return count, err
}

// CloseWrite ends the response. What the client still sends is discarded.
func (conn *connection) CloseWrite() error {
	conn.enter(inBody)
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (conn *connection) Close() error {
	conn.server.remove(conn)
	return conn.Conn.Close()
}

func (conn *connection) currentPhase() phase {
	conn.server.mu.Lock()
	defer conn.server.mu.Unlock()
	return conn.phase
}

// enter changes the phase and returns the one before.
func (conn *connection) enter(next phase) phase {
	server := conn.server
	server.mu.Lock()
	defer server.mu.Unlock()
	before := conn.phase
	if conn.element != nil && before != next {
		server.phases[before].Remove(conn.element)
		conn.phase, conn.since = next, server.clock.Now()
		conn.element = server.phases[next].PushBack(conn)
	}
	return before
}
