package standin

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gorilla/mux"

	"hyssopjunction/objectstore"
)

func (server *Server) routeObjects(router *mux.Router) {
	objects := server.platform.Objects
	router.HandleFunc("/objects", func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		limit, err := strconv.Atoi(query.Get("Limit"))
		if err != nil {
			writeJSON(writer, http.StatusBadRequest, badRequest{Type: "ErrBadRequest", Reason: err.Error()})
			return
		}
		names, err := objects.List(request.Context(), objectstore.Name(query.Get("Prefix")), objectstore.Name(query.Get("After")), limit)
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
		server.serveObject(writer, request, objectstore.Name(name))
	}).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
}

func (server *Server) serveObject(writer http.ResponseWriter, request *http.Request, name objectstore.Name) {
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
	if errors.As(err, new(errAnswerLost)) {
		panic(http.ErrAbortHandler)
	}
	body, status := objectstore.NewErrorBody(err)
	writeJSON(writer, status, body)
}
