package httpserver

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

const (
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection.
	receiveBufferBytes = 32 << 10
	// writeTimeout limits how long a client may take to receive what one write of a response holds.
	writeTimeout = 10 * clock.Second
	// unreadBodyTime is how long the rest of a body may take that the handler did not read. A connection on which it is
	// complete by then stays open.
	unreadBodyTime = 500 * clock.Millisecond
	// maxBodyTime limits the time of a body for which the handler sets no limit, or a longer one.
	maxBodyTime = clock.Minute
	// sweepInterval is the time between two searches for connections that have waited for too long. It is long, because
	// they give way to new ones at any time.
	sweepInterval = 5 * clock.Second
	// drainSweepInterval is that time while the server stops.
	drainSweepInterval = 200 * clock.Millisecond
	// minRespondingTime is how long a response must wait for its client before the connection may be closed for another one.
	minRespondingTime = 500 * clock.Millisecond
)

// Rules limit the requests of clients.
type Rules struct {
	// HeaderBytes is the size of a header in bytes.
	HeaderBytes int64
	// HeaderTimeout is how long a header may take, and IdleTimeout how long a connection may be idle, in milliseconds.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// DefaultRules returns the rules without a configuration.
func DefaultRules() Rules {
	return Rules{HeaderBytes: 16_384, HeaderTimeout: 3 * clock.Second, IdleTimeout: 30 * clock.Second}
}

// Server serves HTTP on a limited number of connections. When there are too many, it closes the one that has waited for longest:
// of the idle ones, or else of those in a header, in a body, or whose client does not take the response. Errors of its methods
// are those of net/http.
type Server struct {
	name           string
	server         *http.Server
	memory         *Memory
	clock          clock.Clock
	rules          func() Rules
	maxConnections int
	closedForOther *metrics.Counter
	refused        *metrics.Counter
	expired        *metrics.Counter
	refusedHeaders *metrics.Counter
	// logged limits the lines about closed connections.
	logged rate.Sometimes

	mu     sync.Mutex
	phases [phaseCount]list.List

	// occupied receives a value when there may be connections to sweep.
	occupied chan struct{}
	closing  chan struct{}
	once     sync.Once
}

// New returns a server with a name for logs and metrics. Headers beyond the ordinary size share memory with bodies. rules returns
// the rules in force.
func New(name string, handler http.Handler, maxConnections int, memory *Memory, rules func() Rules, source clock.Clock) *Server {
	counter := func(metric string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`%s{server=%q}`, metric, name))
	}
	server := &Server{
		name: name, memory: memory, clock: source, rules: rules, maxConnections: maxConnections,
		closedForOther: counter("hyssopjunction_http_displaced_connections_total"),
		refused:        counter("hyssopjunction_http_refused_connections_total"),
		expired:        counter("hyssopjunction_http_expired_connections_total"),
		refusedHeaders: counter("hyssopjunction_http_refused_headers_total"),
		logged:         rate.Sometimes{Interval: time.Second}, occupied: make(chan struct{}, 1), closing: make(chan struct{}),
	}
	// The sweep applies the time limits, because they may change while the server runs.
	server.server = &http.Server{ //nolint:gosec // See above for ReadHeaderTimeout.
		Handler: server.limit(handler), ConnState: server.track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	go func() {
		for {
			select {
			case <-server.closing:
				return
			case <-server.occupied:
			}
			select {
			case <-server.closing:
				return
			case <-server.clock.After(sweepInterval):
				server.sweep()
			}
		}
	}()
	return server
}

// Listen opens a listener whose connections have small receive buffers: what was received and not read yet counts as memory of
// the process.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			if err := syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes/2); err != nil { // The kernel doubles it.
				klog.InfoS("Receive buffer not limited", "Address", address, "Reason", err.Error())
			}
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Serve accepts connections until the server is closed.
func (server *Server) Serve(listener net.Listener) error {
	err := server.server.Serve(limitedListener{Listener: listener, server: server})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until all requests are answered or ctx ends. Then it closes the connections on
// which a request is incomplete. It returns the error of ctx if a complete request was not answered.
func (server *Server) Shutdown(ctx context.Context) error {
	defer server.stopSweep()
	sweeping, stopSweeping := context.WithCancel(ctx)
	defer stopSweeping()
	go func() {
		for sweeping.Err() == nil {
			server.sweep()
			select {
			case <-server.clock.After(drainSweepInterval):
			case <-sweeping.Done():
			}
		}
	}()
	err := server.server.Shutdown(ctx)
	if err == nil || ctx.Err() == nil {
		return err
	}
	server.mu.Lock()
	open, unanswered := server.count(), server.phases[serving].Len()+server.phases[responding].Len()
	server.mu.Unlock()
	klog.InfoS("Connections closed at the end of the drain", "Server", server.name, "Connections", open, "Unanswered", unanswered)
	closeErr := server.server.Close()
	if unanswered == 0 {
		return closeErr
	}
	return errors.Join(err, closeErr)
}

// Close closes all connections.
func (server *Server) Close() error {
	defer server.stopSweep()
	return server.server.Close()
}

func (server *Server) stopSweep() { server.once.Do(func() { close(server.closing) }) }

// limitedListener accepts connections within the limit of its server.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (listener limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, ok := listener.server.admit(accepted); ok {
			return conn, nil
		}
		_ = accepted.Close() // It carried nothing yet.
	}
}

// admit returns the accepted connection, if need be in the place of another one. It returns false if all are being served.
func (server *Server) admit(accepted net.Conn) (*connection, bool) {
	conn := &connection{Conn: accepted, server: server}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.count() >= server.maxConnections {
		other := server.displaceable()
		if other == nil {
			server.refused.Inc()
			server.logged.Do(func() {
				klog.InfoS("Connection refused, all are being served", "Server", server.name, "Connections", server.maxConnections)
			})
			return nil, false
		}
		server.closedForOther.Inc()
		server.logged.Do(func() {
			klog.InfoS("Connection closed for another one", "Server", server.name, "Connections", server.maxConnections,
				"Phase", other.phase.String(), "Millis", int64(server.clock.Now().Sub(other.since)))
		})
		server.close(other)
	}
	conn.since = server.clock.Now()
	conn.element = server.phases[idle].PushBack(conn)
	server.scheduleSweep()
	return conn, true
}

// scheduleSweep makes the next sweep happen. A server without connections does not wake up.
func (server *Server) scheduleSweep() {
	select {
	case server.occupied <- struct{}{}:
	default:
	}
}

// count returns the number of open connections. The caller must hold the lock.
func (server *Server) count() int {
	total := 0
	for number := range server.phases {
		total += server.phases[number].Len()
	}
	return total
}

// displaceable returns the connection to close for a new one, or nil. The caller must hold the lock.
func (server *Server) displaceable() *connection {
	for current := idle; current < serving; current++ {
		element := server.phases[current].Front()
		if element == nil {
			continue
		}
		conn := element.Value.(*connection)
		if current != responding || server.clock.Now().Sub(conn.since) >= minRespondingTime {
			return conn
		}
	}
	return nil
}

// close closes a connection from outside. The caller must hold the lock.
func (server *Server) close(conn *connection) {
	server.phases[conn.phase].Remove(conn.element)
	conn.element = nil
	_ = conn.Conn.Close() // Its goroutine sees the end.
}

// remove forgets a connection that is being closed.
func (server *Server) remove(conn *connection) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if conn.element != nil {
		server.phases[conn.phase].Remove(conn.element)
		conn.element = nil
	}
}

// sweep closes the connections that have waited for too long.
func (server *Server) sweep() {
	rules := server.rules()
	server.mu.Lock()
	defer server.mu.Unlock()
	now := server.clock.Now()
	for current, timeout := range [...]clock.Millis{
		idle: rules.IdleTimeout, inHeader: rules.HeaderTimeout, inBody: maxBodyTime, responding: writeTimeout,
	} {
		for element := server.phases[current].Front(); element != nil; element = server.phases[current].Front() {
			conn := element.Value.(*connection)
			if now.Sub(conn.since) <= timeout {
				break
			}
			server.expired.Inc()
			server.close(conn)
		}
	}
	if server.count() > 0 {
		server.scheduleSweep()
	}
}

// track follows the states that net/http reports.
func (server *Server) track(tracked net.Conn, state http.ConnState) {
	conn, ok := tracked.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.releaseHeader()
		conn.enter(idle)
	case http.StateClosed, http.StateHijacked:
		conn.releaseHeader()
		server.remove(conn)
	case http.StateNew, http.StateActive:
	}
}

// limit returns a handler that bounds the time of bodies, also of those that handler does not read.
func (server *Server) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := connectionOf(request.Context())
		if conn == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		if err := conn.endHeader(); err != nil {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		if request.ContentLength == 0 {
			conn.enter(serving)
			handler.ServeHTTP(writer, request)
			return
		}
		conn.enter(inBody)
		handler.ServeHTTP(writer, request)
		if conn.currentPhase() != serving {
			setReadDeadline(http.NewResponseController(writer), time.Now().Add(unreadBodyTime.Duration()))
		}
	})
}
