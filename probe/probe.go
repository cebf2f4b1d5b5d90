// Package probe serves /healthz, /readyz and /metrics.
package probe

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
)

// Register adds /healthz, which answers 200 while the process runs, and /readyz, which answers 200
// while ready returns true and 503 otherwise.
func Register(router *mux.Router, ready func() bool) {
	router.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
}

// Router returns a handler of /healthz and /readyz.
func Router(ready func() bool) *mux.Router {
	router := mux.NewRouter()
	Register(router, ready)
	return router
}

// New returns a handler of /healthz, /readyz and /metrics.
func New(ready func() bool) http.Handler {
	router := Router(ready)
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	}).Methods(http.MethodGet)
	return router
}
