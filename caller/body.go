package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"hyssopjunction/dispatch"
)

// errTotalBytes reports that the bodies of all requests in flight exceed Settings.TotalBytes.
var errTotalBytes = errors.New("bodies in flight reach their bound")

// countedBody counts the bytes read from a body against Settings.TotalBytes. Reserving the declared length
// instead would let a few callers who send nothing use up the limit.
type countedBody struct {
	handler   *Handler
	reader    io.Reader
	bytesRead int64
}

// Read implements io.Reader. It fails with errTotalBytes if the limit is exceeded.
func (body *countedBody) Read(buffer []byte) (int, error) {
	count, err := body.reader.Read(buffer)
	body.bytesRead += int64(count)
	if body.handler.bodyBytes.Add(int64(count)) > body.handler.settings.TotalBytes {
		return count, errTotalBytes
	}
	return count, err
}

// release subtracts the counted bytes from the total.
func (body *countedBody) release() {
	body.handler.bodyBytes.Add(-body.bytesRead)
}

// readBody reads the body within the limits of size, time and total memory. The returned function releases
// the memory and is never nil.
func (handler *Handler) readBody(writer http.ResponseWriter, httpRequest *http.Request, request *dispatch.Request) (func(), error) {
	limit := handler.settings.BodyBytes
	tooLarge := newBadRequest("TooLarge", "the body exceeds "+strconv.FormatInt(limit, 10)+" bytes", http.StatusRequestEntityTooLarge)
	if httpRequest.ContentLength > limit {
		return func() {}, tooLarge
	}
	if err := http.NewResponseController(writer).SetReadDeadline(deadlineAfter(handler.settings.ReadTimeout)); err != nil {
		klog.V(1).InfoS("No read deadline", "Request", request.ID, "Reason", err.Error())
	}
	counted := &countedBody{handler: handler, reader: http.MaxBytesReader(writer, httpRequest.Body, limit)}
	body, err := io.ReadAll(counted)
	if errors.As(err, new(*http.MaxBytesError)) {
		return counted.release, tooLarge
	}
	if errors.Is(err, errTotalBytes) {
		return counted.release, dispatch.ErrNotRun{Request: request.ID, Reason: dispatch.Overload, RetryAfter: handler.settings.RetryAfter}
	}
	if err != nil {
		return counted.release, newBadRequest("IncompleteBody", "the body did not arrive completely in time", http.StatusRequestTimeout)
	}
	// After the body net/http goes on reading to detect that the caller disconnects. It would take a read
	// deadline that passes for a disconnect and cancel the request.
	if err := http.NewResponseController(writer).SetReadDeadline(time.Time{}); err != nil {
		klog.V(1).InfoS("Read deadline kept", "Request", request.ID, "Reason", err.Error())
	}
	request.Body = body
	return counted.release, nil
}
