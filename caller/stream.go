package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
)

// serveStream passes a stream on from the requested offset. If the stream breaks off, the
// connection is closed without the regular end, so that the caller notices and resumes from the
// number of bytes it has.
func (handler *Handler) serveStream(writer http.ResponseWriter, incoming *http.Request) {
	id := handler.requests()
	writer.Header().Set(requestHeader, string(id))
	request, err := parseStream(incoming)
	if err != nil {
		handler.refuse(writer, err)
		return
	}
	request.ID = id
	defer handler.streams.Add(-1)
	if handler.streams.Add(1) > int64(handler.settings.Streams) {
		handler.refuse(writer, dispatch.ErrNotRun{Request: id, Reason: dispatch.Overload, RetryAfter: handler.settings.RetryAfter})
		return
	}
	control := http.NewResponseController(writer)
	// A stream has no read deadline; reading only notices that the caller has gone.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		klog.V(1).InfoS("Read deadline kept", "Request", id, "Reason", err.Error())
	}
	started := false
	start := func() {
		if !started {
			started = true
			writer.Header().Set("Content-Type", "application/octet-stream")
			writer.Header().Set(offsetHeader, strconv.FormatInt(request.Offset, 10))
			writer.WriteHeader(http.StatusOK)
		}
	}
	err = handler.dispatcher.Follow(incoming.Context(), request, func(data []byte) error {
		if err := handler.writeDeadline(writer); err != nil {
			return err
		}
		start()
		if _, err := writer.Write(data); err != nil {
			return err
		}
		return control.Flush()
	})
	switch {
	case err == nil:
		start()
	case !started:
		writeError(writer, err)
	default:
		klog.InfoS("Stream broke off", "Request", id, "Stream", request.Stream, "Reason", err.Error())
		// Aborting the handler closes the connection without the final chunk.
		panic(http.ErrAbortHandler)
	}
}

func parseStream(incoming *http.Request) (dispatch.StreamRequest, error) {
	names := mux.Vars(incoming)
	request := dispatch.StreamRequest{
		Service: ident.Service(names["Service"]), Stream: names["Stream"], Team: ident.Team(incoming.Header.Get(teamHeader)),
	}
	if !ident.Valid(request.Service) {
		return request, bad("UnknownService", "the service name is malformed", http.StatusNotFound)
	}
	if !ident.Valid(request.Stream) {
		return request, bad("UnknownStream", "the stream name is malformed", http.StatusNotFound)
	}
	if !ident.Valid(request.Team) {
		return request, bad("MalformedTeam", "the header Team must name a team", http.StatusBadRequest)
	}
	if text := incoming.URL.Query().Get("Offset"); text != "" {
		offset, err := strconv.ParseInt(text, 10, 64)
		if err != nil || offset < 0 {
			return request, bad("MalformedOffset", "Offset must be a number of bytes", http.StatusBadRequest)
		}
		request.Offset = offset
	}
	return request, nil
}
