package standin

import (
	"net/http"

	"github.com/gorilla/mux"

	"hyssopjunction/table"
)

func (server *Server) routeTable(router *mux.Router) {
	store := server.platform.Table
	router.HandleFunc("/table/get", func(writer http.ResponseWriter, request *http.Request) {
		var call table.GetRequest
		if readJSON(writer, request, &call) {
			row, err := store.Get(request.Context(), call.Key)
			answerTable(writer, row, err)
		}
	}).Methods(http.MethodPost)
	router.HandleFunc("/table/range", func(writer http.ResponseWriter, request *http.Request) {
		var call table.RangeRequest
		if readJSON(writer, request, &call) {
			rows, err := store.Range(request.Context(), call.Prefix, call.After, call.Limit)
			answerTable(writer, rows, err)
		}
	}).Methods(http.MethodPost)
	router.HandleFunc("/table/commit", func(writer http.ResponseWriter, request *http.Request) {
		var call table.Transaction
		if readJSON(writer, request, &call) {
			result, err := store.Commit(request.Context(), call)
			answerTable(writer, result, err)
		}
	}).Methods(http.MethodPost)
}

// answerTable writes the result of a call. A lost answer ends the connection without a response.
func answerTable(writer http.ResponseWriter, value any, err error) {
	if err == nil {
		writeJSON(writer, http.StatusOK, value)
		return
	}
	body, status, ok := table.NewErrorBody(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, status, body)
}
