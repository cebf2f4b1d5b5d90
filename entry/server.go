package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"hyssopjunction/caller"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/outcome"
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

// operatorReadTimeout bounds the time in which an operator's request must arrive. It exceeds the
// longest wait of 30 s plus 10 s, because net/http takes the end of the time for a caller that has gone.
const operatorReadTimeout = 45 * time.Second

// Server serves an entry's APIs.
type Server struct {
	entry    *Entry
	control  *grpc.Server
	caller   *http.Server
	operator *http.Server
	metrics  *http.Server
}

// NewServer serves the entry on the listeners. HTTP is encrypted if secure is not nil, gRPC as the
// options say.
func NewServer(entry *Entry, listeners Listeners, operators http.Handler, settings caller.Settings, secure *tls.Config, options ...grpc.ServerOption) *Server {
	server := &Server{entry: entry, control: grpc.NewServer(append(controlpb.ServerOptions(), options...)...)}
	controlpb.RegisterEntryServer(server.control, entry)
	go func() {
		if err := server.control.Serve(listeners.Control); err != nil {
			klog.ErrorS(err, "Control server ended")
		}
	}()
	// Cleaning a path would answer with a redirect instead of a typed error.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.Use(entry.refuseUntilReady)
	probe.Register(router, entry.Ready)
	caller.New(entry.Dispatcher(), entry.NewRequest, settings).Register(router)
	server.caller = caller.NewServer(router, settings)
	serveHTTP(server.caller, listeners.Caller, secure)
	if listeners.Operator != nil {
		server.operator = caller.NewServer(operators, settings)
		server.operator.ReadTimeout = operatorReadTimeout
		serveHTTP(server.operator, listeners.Operator, secure)
	}
	if listeners.Metrics != nil {
		server.metrics = caller.NewServer(probe.New(entry.Ready), settings)
		serveHTTP(server.metrics, listeners.Metrics, nil)
	}
	return server
}

// notReadyRetry is told to callers that reach an entry before it knows the configuration.
const notReadyRetry = clock.Second

// refuseUntilReady answers callers' requests with 503 until the configuration in force is known. A
// keyed submission may have run before, so its outcome is unknown.
func (entry *Entry) refuseUntilReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if entry.publisher.Ready() || !strings.HasPrefix(request.URL.Path, "/v1/") {
			next.ServeHTTP(writer, request)
			return
		}
		known := outcome.NotRun
		if request.Header.Get("Request-Key") != "" {
			known = outcome.Unknown
		}
		header := writer.Header()
		header.Set("Content-Type", "application/json")
		header.Set("Outcome", known.String())
		header.Set("Retry-After", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(writer, `{"Error":{"Type":"NotReady","Reason":"the configuration is not loaded","RetryAfterMillis":%d},"Outcome":%q}`,
			notReadyRetry, known)
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
	err := server.entry.Shutdown(ctx)
	for _, part := range []*http.Server{server.caller, server.operator, server.metrics} {
		if part == nil {
			continue
		}
		if shutdownErr := part.Shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	server.control.Stop()
	return err
}

// Close ends the servers and the entry at once, as a crash would.
func (server *Server) Close() {
	server.control.Stop()
	for _, part := range []*http.Server{server.caller, server.operator, server.metrics} {
		if part != nil {
			_ = part.Close()
		}
	}
	server.entry.Close()
}
