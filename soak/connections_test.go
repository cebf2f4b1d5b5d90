package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout is the deadline that callers state.
	callTimeout = 3 * time.Second
	// maxLossTime is the time after the last byte of a request within which the end of its connection is no loss.
	maxLossTime = 200 * time.Millisecond
)

// connection is a connection of a caller to an entry.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// loss is a request whose connection ended without a complete response.
type loss struct {
	sentAt  time.Time
	after   time.Duration
	request string
	err     error
}

// connections keeps callers' connections open until the entry ends them, and uses them in turn. It never repeats
// a request by itself.
type connections struct {
	mu       sync.Mutex
	idle     map[string][]*connection
	answered int
	losses   []loss
}

// call sends a request to the entry with the address. It returns the status, or 0 without a complete response, and
// the body.
func (connections *connections) call(ctx context.Context, method, ip, path, body string) (int, string) {
	conn := connections.take(ip)
	if conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		opened, err := dialer.DialContext(ctx, "tcp", ip+":8161")
		if err != nil {
			return 0, err.Error()
		}
		conn = &connection{Conn: opened, reader: bufio.NewReader(opened)}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Hyssopjunction-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if err := errors.Join(conn.SetDeadline(time.Now().Add(callTimeout)), request.Write(conn)); err != nil {
		_ = conn.Close()
		return 0, err.Error()
	}
	sentAt := time.Now()
	status, closes, data, err := conn.read(request)
	connections.mu.Lock()
	defer connections.mu.Unlock()
	if err != nil {
		_ = conn.Close()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			connections.losses = append(connections.losses, loss{sentAt, time.Since(sentAt), method + " " + ip + path, err})
		}
		return 0, err.Error()
	}
	connections.answered++
	if closes {
		_ = conn.Close()
	} else {
		connections.idle[ip] = append(connections.idle[ip], conn)
	}
	return status, data
}

// read reads a whole response. It returns its status, whether the entry closes the connection after it, and the body.
func (conn *connection) read(request *http.Request) (int, bool, string, error) {
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return 0, true, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Close, string(data), err
}

// take returns the connection to an entry that is idle for the longest time, or nil if there is none.
func (connections *connections) take(ip string) *connection {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	idle := connections.idle[ip]
	if len(idle) == 0 {
		return nil
	}
	connections.idle[ip] = idle[1:]
	return idle[0]
}
