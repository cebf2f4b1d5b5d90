package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"hyssopjunction/caller"
	"hyssopjunction/controlpb"
	"hyssopjunction/operator"
	"hyssopjunction/probe"
)

// Listeners are where an entry listens. A nil listener leaves its API out.
type Listeners struct {
	// Control serves gRPC to agents and other entries.
	Control net.Listener
	// Caller serves callers, /healthz and /readyz.
	Caller net.Listener
	// Operator serves operators. Callers cannot reach operator paths, because they are on another
	// listener.
	Operator net.Listener
	// Metrics serves /metrics, /healthz and /readyz.
	Metrics net.Listener
}

// startingReason is told to callers and operators before the entry has read its row.
const startingReason = "the entry is starting and waits for the table service"

// operatorReadTimeout bounds the time in which an operator's request must arrive. It exceeds the
// longest wait of 30 s plus 10 s, because net/http takes the end of the time for a caller that has gone.
const operatorReadTimeout = 45 * time.Second

// Server serves an entry's APIs. From the start on it answers probes and tells callers and operators to
// come back; once it has an entry, it serves all of it.
type Server struct {
	settings  caller.Settings
	listeners Listeners
	options   []grpc.ServerOption
	entry     atomic.Pointer[Entry]
	control   *grpc.Server
	gate      *gate
	caller    *http.Server
	operator  *http.Server
	metrics   *http.Server
	// callers and operators are the handlers in use.
	callers   atomic.Pointer[http.Handler]
	operators atomic.Pointer[http.Handler]
}

// NewServer serves the entry on the listeners. HTTP is encrypted if secure is not nil, gRPC as the
// options say.
func NewServer(entry *Entry, listeners Listeners, operators http.Handler, settings caller.Settings, secure *tls.Config, options ...grpc.ServerOption) *Server {
	server := Listen(listeners, settings, secure, options...)
	server.Serve(entry, operators)
	return server
}

// Listen answers on the listeners for an entry that does not exist yet, for example because it waits
// for the table. Connections of other daemons are closed, so that these turn to another entry at once.
func Listen(listeners Listeners, settings caller.Settings, secure *tls.Config, options ...grpc.ServerOption) *Server {
	server := &Server{settings: settings, listeners: listeners, options: options, gate: newGate(listeners.Control)}
	server.setCallers(caller.NotReady(settings, startingReason, probe.Router(server.Ready)))
	server.setOperators(operator.NotReady(startingReason))
	server.caller = caller.NewServer(current(&server.callers), settings)
	serveHTTP(server.caller, listeners.Caller, secure)
	if listeners.Operator != nil {
		server.operator = caller.NewServer(current(&server.operators), settings)
		server.operator.ReadTimeout = operatorReadTimeout
		serveHTTP(server.operator, listeners.Operator, secure)
	}
	if listeners.Metrics != nil {
		server.metrics = caller.NewServer(probe.New(server.Ready), settings)
		serveHTTP(server.metrics, listeners.Metrics, nil)
	}
	return server
}

// Serve serves the entry from now on. It is called once.
func (server *Server) Serve(entry *Entry, operators http.Handler) {
	server.entry.Store(entry)
	server.setOperators(operators)
	server.setCallers(server.callersOf(entry))
	server.control = grpc.NewServer(append(controlpb.ServerOptions(), server.options...)...)
	controlpb.RegisterEntryServer(server.control, entry)
	server.gate.release()
	go func() {
		if err := server.control.Serve(server.listeners.Control); err != nil {
			klog.ErrorS(err, "Control server ended")
		}
	}()
}

// Ready reports whether there is an entry and it serves callers.
func (server *Server) Ready() bool {
	entry := server.entry.Load()
	return entry != nil && entry.Ready()
}

// callersOf returns the callers' API, which needs the configuration in force.
func (server *Server) callersOf(entry *Entry) http.Handler {
	// Cleaning a path would answer with a redirect instead of a typed error.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Use(func(next http.Handler) http.Handler {
		waiting := caller.NotReady(server.settings, "the configuration is not loaded", next)
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if entry.publisher.Ready() {
				next.ServeHTTP(writer, request)
				return
			}
			waiting.ServeHTTP(writer, request)
		})
	})
	probe.Register(router, entry.Ready)
	caller.New(entry.Dispatcher(), entry.NewRequest, server.settings).Register(router)
	return router
}

func (server *Server) setCallers(handler http.Handler)   { server.callers.Store(&handler) }
func (server *Server) setOperators(handler http.Handler) { server.operators.Store(&handler) }

// current returns a handler that passes each request to the handler in use.
func current(inUse *atomic.Pointer[http.Handler]) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		(*inUse.Load()).ServeHTTP(writer, request)
	})
}

func serveHTTP(server *http.Server, listener net.Listener, secure *tls.Config) {
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server ended", "Address", listener.Addr().String())
		}
	}()
}

// Shutdown ends the entry gracefully within ctx and then its servers.
func (server *Server) Shutdown(ctx context.Context) error {
	var err error
	if entry := server.entry.Load(); entry != nil {
		err = entry.Shutdown(ctx)
	}
	for _, part := range []*http.Server{server.caller, server.operator, server.metrics} {
		if part == nil {
			continue
		}
		if shutdownErr := part.Shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	server.stopControl()
	return err
}

// Close ends the servers and the entry at once, as a crash would.
func (server *Server) Close() {
	server.stopControl()
	for _, part := range []*http.Server{server.caller, server.operator, server.metrics} {
		if part != nil {
			_ = part.Close()
		}
	}
	if entry := server.entry.Load(); entry != nil {
		entry.Close()
	}
}

func (server *Server) stopControl() {
	if server.control != nil {
		server.control.Stop()
		return
	}
	_ = server.listeners.Control.Close()
}
