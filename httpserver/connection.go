package httpserver

import (
	"bytes"
	"container/list"
	"context"
	"io"
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

// String returns the name of the phase in logs.
func (current phase) String() string {
	return [phaseCount]string{"Idle", "Header", "Body", "Response", "Handler"}[current]
}

const (
	// freeHeaderBytes and freeHeaderFields of a header need no grant.
	freeHeaderBytes  = 4 << 10
	freeHeaderFields = 32
	// headerFieldBytes is the memory that a field of a decoded header takes, besides its text.
	headerFieldBytes = 256
	// headerSlackBytes may be read beyond the limit on headers: the beginning of a body, which arrives in the same packet.
	headerSlackBytes = 4 << 10
)

// headerTooLarge is the response to a header beyond the limit.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// connection is an accepted connection. It tracks what it waits for.
type connection struct {
	net.Conn
	server *Server

	// The fields below are guarded by server.mu. element is the place in the phase, or nil once the connection is closed.
	phase   phase
	since   clock.Time
	element *list.Element

	// The fields below belong to the goroutine that reads headers.
	headerBytes  int64
	headerFields int64
	granted      int64
	grant        *grant
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

// Read implements net.Conn. It ends a connection whose header exceeds a limit.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	current := conn.currentPhase()
	if current == idle {
		conn.headerBytes, conn.headerFields = 0, 0
		conn.enter(inHeader)
	} else if current != inHeader {
		return count, err
	}
	conn.headerBytes += int64(count)
	conn.headerFields += int64(bytes.Count(buffer[:count], []byte{'\n'}))
	if conn.headerBytes > conn.server.rules().HeaderBytes+headerSlackBytes {
		conn.server.refusedHeaders.Inc()
		_, _ = conn.Write([]byte(headerTooLarge)) // The connection ends either way.
		return 0, io.EOF
	}
	if !conn.holdHeader() {
		conn.server.refusedHeaders.Inc()
		return 0, io.EOF // A response would have to say what became of a request that is not known yet.
	}
	return count, err
}

// holdHeader gets the part of the memory for bodies that a header beyond the ordinary size needs. It returns false if there is too
// little.
func (conn *connection) holdHeader() bool {
	needed := max(0, conn.headerBytes-freeHeaderBytes) + headerFieldBytes*max(0, conn.headerFields-freeHeaderFields)
	if needed <= conn.granted {
		return true
	}
	if conn.grant == nil {
		conn.grant = conn.server.memory.newGrant(func() { _ = conn.SetReadDeadline(time.Now()) }) // Fails only on a closed connection.
	}
	if conn.grant.progress() != nil || conn.grant.grow(needed-conn.granted) != nil {
		return false
	}
	conn.granted = needed
	return true
}

// endHeader records that a header is complete.
func (conn *connection) endHeader() error {
	if conn.grant == nil {
		return nil
	}
	return conn.grant.complete()
}

// releaseHeader gives back the memory of a header.
func (conn *connection) releaseHeader() {
	if conn.grant != nil {
		conn.grant.release()
		conn.grant, conn.granted = nil, 0
	}
}

// Write implements net.Conn. The sweep closes the connection if the client does not take the data in time.
func (conn *connection) Write(data []byte) (int, error) {
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
