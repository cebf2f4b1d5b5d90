package standin

import (
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// objectError is the body of a response with an error of the object store.
type objectError struct {
	Type   string
	Reason string
	Bytes  int `json:",omitempty"`
	Limit  int `json:",omitempty"`
}

func (server *Server) routeObjects(router *mux.Router) {
	objects := server.platform.Objects
	router.HandleFunc("/objects", func(writer http.ResponseWriter, request *http.Request) {
		names, err := objects.List(request.Context(), request.URL.Query().Get("Prefix"))
		if err != nil {
			answerObjectError(writer, err)
			return
		}
		writeJSON(writer, http.StatusOK, names)
	}).Methods(http.MethodGet)
	router.HandleFunc("/objects/{Name:.+}", func(writer http.ResponseWriter, request *http.Request) {
		name, err := url.PathUnescape(mux.Vars(request)["Name"])
		if err != nil {
			writeJSON(writer, http.StatusBadRequest, badRequest{Type: "ErrBadRequest", Reason: err.Error()})
			return
		}
		server.serveObject(writer, request, name)
	}).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
}

func (server *Server) serveObject(writer http.ResponseWriter, request *http.Request, name string) {
	objects := server.platform.Objects
	var value []byte
	var err error
	switch request.Method {
	case http.MethodGet:
		value, err = objects.Get(request.Context(), name)
	case http.MethodDelete:
		err = objects.Delete(request.Context(), name)
	default:
		// One byte above the limit is enough for Put to refuse the object.
		value, err = io.ReadAll(io.LimitReader(request.Body, int64(objects.options.ObjectBytes)+1))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		err, value = objects.Put(request.Context(), name, value), nil
	}
	if err != nil {
		answerObjectError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(value)
}

// answerObjectError writes an error. A lost answer ends the connection without a response.
func answerObjectError(writer http.ResponseWriter, err error) {
	var missing ErrNoSuchObject
	var tooLarge ErrObjectTooLarge
	var unavailable ErrObjectsUnavailable
	switch {
	case errors.As(err, &missing):
		writeJSON(writer, http.StatusNotFound, objectError{Type: "ErrNoSuchObject", Reason: err.Error()})
	case errors.As(err, &tooLarge):
		writeJSON(writer, http.StatusRequestEntityTooLarge,
			objectError{Type: "ErrObjectTooLarge", Reason: err.Error(), Bytes: tooLarge.Bytes, Limit: tooLarge.Limit})
	case errors.As(err, &unavailable) && !unavailable.Unknown:
		writeJSON(writer, http.StatusServiceUnavailable, objectError{Type: "ErrObjectsUnavailable", Reason: unavailable.Reason})
	default:
		panic(http.ErrAbortHandler)
	}
}
