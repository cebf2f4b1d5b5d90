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

// Listeners are the sockets on which an entry serves its APIs. An API with a nil listener is not
// served.
type Listeners struct {
	// Control serves gRPC to agents and other entries.
	Control net.Listener
	// Caller serves callers, /healthz and /readyz.
	Caller net.Listener
	// Operator serves operators. It is a separate listener so that callers cannot reach operator
	// paths.
	Operator net.Listener
	// Metrics serves /metrics, /healthz and /readyz.
	Metrics net.Listener
}

// startingMessage is the reason in answers to callers and operators until the entry has read its
// row.
const startingMessage = "the entry is starting and waits for the table service"

// operatorReadTimeout bounds the time in which an operator's request must arrive. It exceeds the
// longest wait of an operator's call, 30 s, by more than 10 s, because net/http cancels the
// request's context when the read timeout passes.
const operatorReadTimeout = 45 * time.Second

// Server serves an entry's APIs. Until it has an entry, it answers probes and asks callers and
// operators to retry later.
type Server struct {
	settings  caller.Settings
	listeners Listeners
	options   []grpc.ServerOption
	entry     atomic.Pointer[Entry]
	control   *grpc.Server
	rejecter  *connectionRejecter
	caller    *http.Server
	operator  *http.Server
	metrics   *http.Server
	// callerHandler and operatorHandler are the handlers in use.
	callerHandler   atomic.Pointer[http.Handler]
	operatorHandler atomic.Pointer[http.Handler]
}

// NewServer serves the entry on the listeners. HTTP uses TLS if secure is not nil; options set the
// credentials of gRPC.
func NewServer(entry *Entry, listeners Listeners, operators http.Handler, settings caller.Settings, secure *tls.Config, options ...grpc.ServerOption) *Server {
	server := Listen(listeners, settings, secure, options...)
	server.Serve(entry, operators)
	return server
}

// Listen starts to serve the listeners without an entry, for example while it waits for the table.
// It closes the control connections of other daemons, so that they turn to another entry at once.
func Listen(listeners Listeners, settings caller.Settings, secure *tls.Config, options ...grpc.ServerOption) *Server {
	server := &Server{settings: settings, listeners: listeners, options: options, rejecter: newConnectionRejecter(listeners.Control)}
	server.setCallers(caller.NotReady(settings, startingMessage, probe.Router(server.Ready)))
	server.setOperators(operator.NotReady(startingMessage))
	server.caller = caller.NewServer(forwardTo(&server.callerHandler), settings)
	serveHTTP(server.caller, listeners.Caller, secure)
	if listeners.Operator != nil {
		server.operator = caller.NewServer(forwardTo(&server.operatorHandler), settings)
		server.operator.ReadTimeout = operatorReadTimeout
		serveHTTP(server.operator, listeners.Operator, secure)
	}
	if listeners.Metrics != nil {
		server.metrics = caller.NewServer(probe.New(server.Ready), settings)
		serveHTTP(server.metrics, listeners.Metrics, nil)
	}
	return server
}

// Serve starts to serve the entry. It must be called only once.
func (server *Server) Serve(entry *Entry, operators http.Handler) {
	server.entry.Store(entry)
	server.setOperators(operators)
	server.setCallers(server.newCallerHandler(entry))
	server.control = grpc.NewServer(append(controlpb.ServerOptions(), server.options...)...)
	controlpb.RegisterEntryServer(server.control, entry)
	server.rejecter.release()
	go func() {
		if err := server.control.Serve(server.listeners.Control); err != nil {
			klog.ErrorS(err, "Control server ended")
		}
	}()
}

// Ready reports whether there is an entry and it is ready.
func (server *Server) Ready() bool {
	entry := server.entry.Load()
	return entry != nil && entry.Ready()
}

// newCallerHandler returns the callers' API, which answers with NotReady until the configuration is
// in force.
func (server *Server) newCallerHandler(entry *Entry) http.Handler {
	// A cleaned path would be answered with a redirect instead of a typed error.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Use(func(next http.Handler) http.Handler {
		notReady := caller.NotReady(server.settings, "the configuration is not loaded", next)
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if entry.servicesPublished.Load() {
				next.ServeHTTP(writer, request)
				return
			}
			notReady.ServeHTTP(writer, request)
		})
	})
	probe.Register(router, entry.Ready)
	caller.New(entry.Dispatcher(), entry.NewRequest, server.settings).Register(router)
	return router
}

func (server *Server) setCallers(handler http.Handler)   { server.callerHandler.Store(&handler) }
func (server *Server) setOperators(handler http.Handler) { server.operatorHandler.Store(&handler) }

// forwardTo returns a handler that passes each request to the handler currently stored.
func forwardTo(handler *atomic.Pointer[http.Handler]) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		(*handler.Load()).ServeHTTP(writer, request)
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

// Shutdown shuts the entry down gracefully within ctx and then stops its servers.
func (server *Server) Shutdown(ctx context.Context) error {
	var err error
	if entry := server.entry.Load(); entry != nil {
		err = entry.Shutdown(ctx)
	}
	for _, httpServer := range []*http.Server{server.caller, server.operator, server.metrics} {
		if httpServer == nil {
			continue
		}
		if shutdownErr := httpServer.Shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	server.stopControl()
	return err
}

// Close stops the servers and the entry at once, as a crash would.
func (server *Server) Close() {
	server.stopControl()
	for _, httpServer := range []*http.Server{server.caller, server.operator, server.metrics} {
		if httpServer != nil {
			_ = httpServer.Close()
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
