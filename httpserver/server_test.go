package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssopjunction/clock"
)

// newTestServer starts a server with connections and a memory of 64 KiB, and returns its address.
func newTestServer(t *testing.T, connections int, handler http.HandlerFunc) (string, *Server) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	memory := NewMemory(64<<10, clock.NewSystem())
	server := New("test", handler, connections, memory, DefaultRules, clock.NewSystem())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String(), server
}

// client is one side of a connection to a server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (client *client) send(text string) {
	client.t.Helper()
	if _, err := client.conn.Write([]byte(text)); err != nil {
		client.t.Error(err)
	}
}

func (client *client) assertStatus(want int) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		client.t.Errorf("got %v, want status %d", err, want)
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != want {
		client.t.Errorf("got status %d, want %d", response.StatusCode, want)
	}
}

func (client *client) assertClosed() {
	client.t.Helper()
	if _, err := client.reader.ReadByte(); err == nil {
		client.t.Error("got a byte, want the end of the connection")
	}
}

// awaitPhase waits until a number of connections are in a phase.
func awaitPhase(t *testing.T, server *Server, phase phase, want int) {
	t.Helper()
	for range 1000 {
		server.mu.Lock()
		count := server.phases[phase].Len()
		server.mu.Unlock()
		if count == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("phase %d: want %d connections", phase, want)
}

const (
	get  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
)

// TestConnectionsGiveWay guards against connections of waiting clients that keep others from being served, and against requests that
// are cut for others while they are served.
func TestConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	t.Run("idle before header before body before serving", func(t *testing.T) {
		t.Parallel()
		release := make(chan struct{})
		address, server := newTestServer(t, 4, func(_ http.ResponseWriter, request *http.Request) {
			if request.ContentLength == 0 {
				<-release
				return
			}
			_, _ = request.Body.Read(make([]byte, 100)) // Ends with the connection.
		})
		served := dial(t, address)
		served.send(get)
		awaitPhase(t, server, serving, 1)
		body := dial(t, address)
		body.send(fmt.Sprintf(post, 10))
		awaitPhase(t, server, inBody, 1)
		header := dial(t, address)
		header.send(get[:10])
		awaitPhase(t, server, inHeader, 1)
		quiet := dial(t, address)
		awaitPhase(t, server, idle, 1)
		for number, closed := range []*client{quiet, header, body} {
			next := dial(t, address)
			closed.assertClosed()
			next.send(get)
			awaitPhase(t, server, serving, 2+number)
		}
		dial(t, address).assertClosed()
		close(release)
		served.assertStatus(http.StatusOK)
	})
	t.Run("responses that nobody reads", func(t *testing.T) {
		t.Parallel()
		address, server := newTestServer(t, 1, func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write(make([]byte, 32<<20)) // Ends with the connection.
		})
		blocked := dial(t, address)
		blocked.send(get)
		awaitPhase(t, server, responding, 1)
		time.Sleep(minRespondingTime.Duration())
		_ = dial(t, address)
		awaitPhase(t, server, idle, 1)
	})
}

// TestBodies guards against bodies that are refused in calm, and against refusals that are not told.
func TestBodies(t *testing.T) {
	t.Parallel()
	var bodies *Bodies
	var length atomic.Int64
	address, server := newTestServer(t, 100, func(writer http.ResponseWriter, request *http.Request) {
		release, err := bodies.ReadJSON(writer, request, 64<<10, 2*clock.Second, func(data []byte) error {
			length.Store(int64(len(data)))
			return nil
		})
		defer release()
		switch {
		case IsErrTooLarge(err):
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		case IsErrBusy(err):
			writer.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			writer.WriteHeader(http.StatusRequestTimeout)
		}
	})
	bodies = NewBodies(server.memory)
	text := func(size int) string { return fmt.Sprintf(post, size) + strings.Repeat(" ", size) }
	for _, size := range []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 64 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			sender := dial(t, address)
			for range 2 {
				sender.send(text(size))
				sender.assertStatus(http.StatusOK)
				if got := length.Load(); got != int64(size) {
					t.Errorf("got %d bytes, want %d", got, size)
				}
			}
		})
	}
	t.Run("too large", func(t *testing.T) {
		sender := dial(t, address)
		sender.send(fmt.Sprintf(post, 64<<10+1))
		sender.assertStatus(http.StatusRequestEntityTooLarge)
	})
	t.Run("stalled bodies give way and are told", func(t *testing.T) {
		var stalled []*client
		for range 2 {
			sender := dial(t, address)
			sender.send(text(60_000)[:40_000])
			stalled = append(stalled, sender)
		}
		time.Sleep(2 * stallTime.Duration())
		sender := dial(t, address)
		sender.send(text(50_000))
		sender.assertStatus(http.StatusOK)
		stalled[0].assertStatus(http.StatusServiceUnavailable)
	})
	t.Run("small bodies pass while all memory is held", func(t *testing.T) {
		for range 3 {
			dial(t, address).send(text(64 << 10)[:40_000])
		}
		sender := dial(t, address)
		sender.send(text(4000))
		sender.assertStatus(http.StatusOK)
	})
	t.Run("late", func(t *testing.T) {
		sender := dial(t, address)
		sender.send(text(100)[:100])
		sender.assertStatus(http.StatusRequestTimeout)
	})
	t.Run("all memory is given back", func(t *testing.T) {
		for range 1000 {
			server.memory.mu.Lock()
			held := server.memory.held
			server.memory.mu.Unlock()
			if held == 0 {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Error("bodies whose time is over hold memory")
	})
}

// TestHeaders guards against headers without a limit, and against refusals of those within it.
func TestHeaders(t *testing.T) {
	t.Parallel()
	address, _ := newTestServer(t, 100, func(http.ResponseWriter, *http.Request) {})
	request := func(fields string) string { return "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" }
	for _, test := range []struct {
		name, text string
		want       int
	}{
		{"large", request("Field: " + strings.Repeat("s", 16_000) + "\r\n"), http.StatusOK},
		{"too large", request("Field: " + strings.Repeat("s", 40_000) + "\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", request(strings.Repeat("F: \r\n", 200)), http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			sender := dial(t, address)
			go func() { _, _ = sender.conn.Write([]byte(test.text)) }() // The server may close the connection.
			sender.assertStatus(test.want)
		})
	}
	t.Run("fields that take all memory", func(t *testing.T) {
		sender := dial(t, address)
		go func() { _, _ = sender.conn.Write([]byte(request(strings.Repeat("F: \r\n", 2000)))) }() // The server may close the connection.
		sender.assertClosed()
	})
}

// TestShutdownWithIncompleteRequests guards against clients that keep a server from stopping, or make it report a failure.
func TestShutdownWithIncompleteRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	for _, test := range []struct {
		name, text string
		phase      phase
		want       error
	}{
		{"header", get[:10], inHeader, nil},
		{"body", fmt.Sprintf(post, 10), inBody, nil},
		{"served", get, serving, context.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, server := newTestServer(t, 4, func(_ http.ResponseWriter, request *http.Request) {
				if request.ContentLength == 0 {
					<-release
					return
				}
				_, _ = request.Body.Read(make([]byte, 100)) // Ends with the connection.
			})
			dial(t, address).send(test.text)
			awaitPhase(t, server, test.phase, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if err := server.Shutdown(ctx); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
	close(release)
}
