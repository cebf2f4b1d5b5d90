package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Header names of the API.
const (
	teamHeader      = "Team"
	keyHeader       = "Request-Key"
	patienceHeader  = "Patience-Millis"
	priorityHeader  = "Priority"
	requestIDHeader = "Request-Id"
	outcomeHeader   = "Outcome"
	replayedHeader  = "Replayed"
	offsetHeader    = "Stream-Offset"
)

// Dispatcher carries out callers' requests. Follow calls pass with each part of a stream, in order, until the
// stream ends or pass returns an error.
type Dispatcher interface {
	Dispatch(ctx context.Context, request dispatch.Request) (dispatch.Answer, error)
	Follow(ctx context.Context, request dispatch.StreamRequest, pass func(data []byte) error) error
}

// Handler serves the API. It is safe for concurrent use.
type Handler struct {
	settings     Settings
	dispatcher   Dispatcher
	newRequestID func() ident.Request
	bodyBytes    atomic.Int64
	openStreams  atomic.Int64
}

// New returns a handler. Each call of newRequestID returns a new request id.
func New(dispatcher Dispatcher, newRequestID func() ident.Request, settings Settings) *Handler {
	return &Handler{settings: settings, dispatcher: dispatcher, newRequestID: newRequestID}
}

// Register adds the API's routes to router.
func (handler *Handler) Register(router *mux.Router) {
	router.HandleFunc("/v1/services/{Service}/requests", handler.serveRequest).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{Service}/streams/{Stream}", handler.serveStream).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		handler.refuse(writer, newBadRequest("UnknownPath", "there is nothing at this path", http.StatusNotFound))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		handler.refuse(writer, newBadRequest("MethodNotAllowed", "the path has another method", http.StatusMethodNotAllowed))
	})
}

var badRequests = metrics.NewCounter(`hyssopjunction_caller_bad_requests_total`)

func (handler *Handler) serveRequest(writer http.ResponseWriter, httpRequest *http.Request) {
	id := handler.newRequestID()
	writer.Header().Set(requestIDHeader, string(id))
	request, err := parseRequest(httpRequest, handler.settings)
	if err == nil {
		request.ID = id
		var release func()
		release, err = handler.readBody(writer, httpRequest, &request)
		defer release()
	}
	if err != nil {
		handler.refuse(writer, err)
		return
	}
	answer, err := handler.dispatcher.Dispatch(httpRequest.Context(), request)
	if err := handler.setWriteDeadline(writer); err != nil {
		klog.V(1).InfoS("No write deadline", "Request", id, "Reason", err.Error())
	}
	if err != nil {
		writeError(writer, err)
		return
	}
	handler.writeAnswer(writer, id, answer)
}

// refuse writes the response to a request that is not dispatched, and closes the connection.
func (handler *Handler) refuse(writer http.ResponseWriter, err error) {
	badRequests.Inc()
	closeAfterResponse(writer, handler.settings)
	writeError(writer, err)
}

// closeAfterResponse closes the connection after a response that is sent before the body was read. Before
// closing, net/http reads more of the body; without a read deadline a caller who sends nothing more would
// keep the connection open for ever.
func closeAfterResponse(writer http.ResponseWriter, settings Settings) {
	if err := http.NewResponseController(writer).SetReadDeadline(deadlineAfter(settings.HeaderTimeout)); err != nil {
		klog.V(1).InfoS("No read deadline", "Reason", err.Error())
	}
	writer.Header().Set("Connection", "close")
}

func (handler *Handler) setWriteDeadline(writer http.ResponseWriter) error {
	return http.NewResponseController(writer).SetWriteDeadline(deadlineAfter(handler.settings.WriteTimeout))
}

func (handler *Handler) writeAnswer(writer http.ResponseWriter, id ident.Request, answer dispatch.Answer) {
	header := writer.Header()
	header.Set(outcomeHeader, outcome.Ran.String())
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		header.Set(replayedHeader, "true")
	}
	status := answer.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	writer.WriteHeader(status)
	if _, err := writer.Write(answer.Body); err != nil {
		klog.V(1).InfoS("Caller gone", "Request", id, "Reason", err.Error())
	}
}

// parseRequest reads the request without its body. It fails with ErrBadRequest.
func parseRequest(httpRequest *http.Request, settings Settings) (dispatch.Request, error) {
	header := httpRequest.Header
	request := dispatch.Request{
		Service:     ident.Service(mux.Vars(httpRequest)["Service"]),
		Team:        ident.Team(header.Get(teamHeader)),
		Key:         ident.Key(header.Get(keyHeader)),
		ContentType: header.Get("Content-Type"),
		Priority:    admission.Normal,
	}
	if headerBytes(header) > settings.HeaderBytes {
		return request, newBadRequest("HeaderTooLarge", "the header exceeds "+strconv.Itoa(settings.HeaderBytes)+" bytes", http.StatusRequestHeaderFieldsTooLarge)
	}
	if !ident.Valid(request.Service) {
		return request, newBadRequest("UnknownService", "the service name is malformed", http.StatusNotFound)
	}
	if !ident.Valid(request.Team) {
		return request, newBadRequest("MalformedTeam", "the header Team must name a team", http.StatusBadRequest)
	}
	if _, hasKey := header[keyHeader]; hasKey && !ident.Valid(request.Key) {
		return request, newBadRequest("MalformedKey", "the header Request-Key must be 1 to 64 letters, digits, dots, dashes or underscores", http.StatusBadRequest)
	}
	if text := header.Get(patienceHeader); text != "" {
		patience, err := strconv.ParseInt(text, 10, 64)
		if err != nil || patience <= 0 || clock.Millis(patience) > settings.MaxPatience {
			return request, newBadRequest("MalformedPatience", "the header Patience-Millis must be between 1 and "+
				strconv.FormatInt(int64(settings.MaxPatience), 10), http.StatusBadRequest)
		}
		request.Patience = max(clock.Millis(patience), settings.MinPatience)
	}
	return request, parsePriority(header.Get(priorityHeader), &request)
}

// headerBytes returns the size of the header as sent, including separators and line ends.
func headerBytes(header http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func parsePriority(text string, request *dispatch.Request) error {
	switch text {
	case "", "Normal":
	case "Low":
		request.Priority = admission.Low
	case "High":
		request.Priority = admission.High
	default:
		return newBadRequest("MalformedPriority", "the header Priority must be Low, Normal or High", http.StatusBadRequest)
	}
	return nil
}

func newBadRequest(errorType, reason string, status int) error {
	return ErrBadRequest{Type: errorType, Reason: reason, Status: status}
}
