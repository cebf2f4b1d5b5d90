package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"
)

// headerTimeout bounds the reading of a request's headers. Callers on loopback send them at once.
const headerTimeout = 10 * time.Second

// Server offers a Platform's table, object store, worker runtimes, faults and records over HTTP:
//
//	POST /table/{get,range,commit}     see table.HTTP
//	GET, PUT, DELETE /objects/{Name}   see objectstore.HTTP
//	GET /objects?Prefix=P&After=A&Limit=N
//	POST /workers/{Worker}/{Call}      see worker.HTTP
//	GET, POST /faults                  see FaultState and FaultChange
//	GET /records                       see Report
type Server struct {
	platform    *Platform
	server      *http.Server
	faultsMutex sync.Mutex // serialises changes of faults
}

// NewServer returns a Server that serves once Serve is called.
func NewServer(platform *Platform) *Server {
	server := &Server{platform: platform}
	// Object names contain slashes, and escaped ones must not be cleaned away.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	server.routeTable(router)
	server.routeObjects(router)
	server.routeWorkers(router)
	router.HandleFunc("/faults", server.getFaults).Methods(http.MethodGet)
	router.HandleFunc("/faults", server.postFaults).Methods(http.MethodPost)
	router.HandleFunc("/records", server.getRecords).Methods(http.MethodGet)
	server.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	return server
}

// Handler returns the handler of all paths, for use with another listener.
func (server *Server) Handler() http.Handler {
	return server.server.Handler
}

// Serve accepts connections until ctx ends, then closes all of them and returns nil.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.server.Close() })
	defer stop()
	klog.InfoS("Platform stand-in listens", "Address", listener.Addr().String())
	if err := server.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// writeJSON writes a response. Write errors are ignored, because they concern only the client.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// readJSON decodes the request body into value. If it can't, it answers with status 400 and returns
// false.
func readJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		writeJSON(writer, http.StatusBadRequest, badRequest{Type: "ErrBadRequest", Reason: err.Error()})
		return false
	}
	return true
}

// badRequest is the body of a response with status 400.
type badRequest struct {
	Type   string
	Reason string
}
