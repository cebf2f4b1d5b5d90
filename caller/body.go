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

// errMemory reports that the bodies of all requests in flight reached their bound.
var errMemory = errors.New("bodies in flight reach their bound")

// metered counts the bytes that were read against the bound of all bodies. Counting them ahead, from
// the length that is announced, would let a few callers who send nothing use up the bound.
type metered struct {
	handler *Handler
	reader  io.Reader
	held    int64
}

// Read implements io.Reader.
func (body *metered) Read(into []byte) (int, error) {
	count, err := body.reader.Read(into)
	body.held += int64(count)
	if body.handler.bytes.Add(int64(count)) > body.handler.settings.TotalBytes {
		return count, errMemory
	}
	return count, err
}

func (body *metered) release() {
	body.handler.bytes.Add(-body.held)
}

// readBody reads the body within the limits of size, time and total memory. The returned function
// gives the memory back and is never nil.
func (handler *Handler) readBody(writer http.ResponseWriter, incoming *http.Request, request *dispatch.Request) (func(), error) {
	limit := handler.settings.BodyBytes
	tooLarge := bad("TooLarge", "the body exceeds "+strconv.FormatInt(limit, 10)+" bytes", http.StatusRequestEntityTooLarge)
	if incoming.ContentLength > limit {
		return func() {}, tooLarge
	}
	if err := http.NewResponseController(writer).SetReadDeadline(deadline(handler.settings.ReadTimeout)); err != nil {
		klog.V(1).InfoS("No read deadline", "Request", request.ID, "Reason", err.Error())
	}
	content := &metered{handler: handler, reader: http.MaxBytesReader(writer, incoming.Body, limit)}
	body, err := io.ReadAll(content)
	if errors.As(err, new(*http.MaxBytesError)) {
		return content.release, tooLarge
	}
	if errors.Is(err, errMemory) {
		return content.release, dispatch.ErrNotRun{Request: request.ID, Reason: dispatch.Overload, RetryAfter: handler.settings.RetryAfter}
	}
	if err != nil {
		return content.release, bad("IncompleteBody", "the body did not arrive completely in time", http.StatusRequestTimeout)
	}
	// The server reads ahead to notice that the caller has gone; an old deadline would look the same.
	if err := http.NewResponseController(writer).SetReadDeadline(time.Time{}); err != nil {
		klog.V(1).InfoS("Read deadline kept", "Request", request.ID, "Reason", err.Error())
	}
	request.Body = body
	return content.release, nil
}
