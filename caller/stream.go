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

// serveStream sends a stream from the requested offset. If the stream breaks off, the connection is closed
// without the final chunk, so that the caller notices and resumes after the bytes that it has received.
func (handler *Handler) serveStream(writer http.ResponseWriter, httpRequest *http.Request) {
	id := handler.newRequestID()
	writer.Header().Set(requestIDHeader, string(id))
	request, err := parseStream(httpRequest)
	if err != nil {
		handler.refuse(writer, err)
		return
	}
	request.ID = id
	defer handler.openStreams.Add(-1)
	if handler.openStreams.Add(1) > int64(handler.settings.Streams) {
		handler.refuse(writer, dispatch.ErrNotRun{Request: id, Reason: dispatch.Overload, RetryAfter: handler.settings.RetryAfter})
		return
	}
	controller := http.NewResponseController(writer)
	// A stream has no read deadline: net/http reads only to detect that the caller disconnects.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
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
	err = handler.dispatcher.Follow(httpRequest.Context(), request, func(data []byte) error {
		if err := handler.setWriteDeadline(writer); err != nil {
			return err
		}
		start()
		if _, err := writer.Write(data); err != nil {
			return err
		}
		return controller.Flush()
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

func parseStream(httpRequest *http.Request) (dispatch.StreamRequest, error) {
	variables := mux.Vars(httpRequest)
	request := dispatch.StreamRequest{
		Service: ident.Service(variables["Service"]), Stream: variables["Stream"], Team: ident.Team(httpRequest.Header.Get(teamHeader)),
	}
	if !ident.Valid(request.Service) {
		return request, newBadRequest("UnknownService", "the service name is malformed", http.StatusNotFound)
	}
	if !ident.Valid(request.Stream) {
		return request, newBadRequest("UnknownStream", "the stream name is malformed", http.StatusNotFound)
	}
	if !ident.Valid(request.Team) {
		return request, newBadRequest("MalformedTeam", "the header Team must name a team", http.StatusBadRequest)
	}
	if text := httpRequest.URL.Query().Get("Offset"); text != "" {
		offset, err := strconv.ParseInt(text, 10, 64)
		if err != nil || offset < 0 {
			return request, newBadRequest("MalformedOffset", "Offset must be a number of bytes", http.StatusBadRequest)
		}
		request.Offset = offset
	}
	return request, nil
}
