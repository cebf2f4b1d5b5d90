package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

const (
	// chunkBytes is the unit in which bodies are read. A body of one chunk needs no grant, so that ordinary requests pass while
	// large bodies hold all memory.
	chunkBytes = 16 << 10
	// decoders is the number of bodies that are decoded at the same time.
	decoders = 2
)

// ErrTooLarge reports a body of more than Limit bytes.
type ErrTooLarge struct {
	Limit int64
}

// Error names the limit.
func (err ErrTooLarge) Error() string { return fmt.Sprintf("the body exceeds %d bytes", err.Limit) }

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool { return errors.As(err, new(ErrTooLarge)) }

// ErrIncomplete reports a body that did not arrive in time, or whose encoding or connection is broken.
type ErrIncomplete struct {
	Err error
}

// Error describes the failure.
func (err ErrIncomplete) Error() string { return fmt.Sprintf("the body is incomplete: %s", err.Err) }

// Unwrap returns the cause.
func (err ErrIncomplete) Unwrap() error { return err.Err }

// IsErrIncomplete reports whether err is or wraps an ErrIncomplete.
func IsErrIncomplete(err error) bool { return errors.As(err, new(ErrIncomplete)) }

// Bodies reads the bodies of requests within a Memory. It is safe for concurrent use.
type Bodies struct {
	memory *Memory
	chunks sync.Pool
	// scratch holds the buffers in which bodies of several chunks are joined. A body is decoded while it has one of them.
	scratch chan []byte
}

// NewBodies returns a reader of bodies that share the memory.
func NewBodies(memory *Memory) *Bodies {
	bodies := &Bodies{memory: memory, scratch: make(chan []byte, decoders)}
	bodies.chunks.New = func() any { return new([chunkBytes]byte) }
	for range decoders {
		bodies.scratch <- nil
	}
	return bodies
}

// received is a body as it was received.
type received struct {
	chunks []*[chunkBytes]byte
	length int64
}

// ReadJSON reads the body of a request, of at most limit bytes, within a time in milliseconds, and calls use with it. use must not
// keep the bytes. The memory stays granted until the returned function is called, which is never nil: the decoded form is about as
// large. Errors: ErrTooLarge, ErrBusy, ErrIncomplete, ErrTooComplex, and the error of use.
func (bodies *Bodies) ReadJSON(writer http.ResponseWriter, request *http.Request, limit int64, within clock.Millis, use func(data []byte) error) (func(), error) {
	limit = min(limit, bodies.memory.Total())
	if request.ContentLength > limit {
		return func() {}, ErrTooLarge{Limit: limit}
	}
	if request.ContentLength > chunkBytes {
		if err := bodies.memory.canHold(request.ContentLength); err != nil {
			return func() {}, err
		}
	}
	controller := http.NewResponseController(writer)
	setReadDeadline(controller, time.Now().Add(within.Duration()))
	owner := bodies.memory.newGrant(func() { setReadDeadline(controller, time.Now()) })
	body, err := bodies.receive(writer, request, limit, owner)
	defer bodies.free(&body)
	if err == nil {
		err = owner.complete()
	}
	if err != nil {
		owner.release()
		return func() {}, err
	}
	// After the body net/http goes on reading to detect that the client disconnects. It would take a read deadline that
	// passes for a disconnect and cancel the request.
	setReadDeadline(controller, time.Time{})
	bodyComplete(request)
	buffer := <-bodies.scratch
	defer func() { bodies.scratch <- buffer }()
	var data []byte
	buffer, data = body.join(buffer)
	if err := checkJSON(data); err != nil {
		return owner.release, err
	}
	return owner.release, use(data)
}

// receive reads a body into chunks.
func (bodies *Bodies) receive(writer http.ResponseWriter, request *http.Request, limit int64, owner *grant) (body received, err error) {
	reader := http.MaxBytesReader(writer, request.Body, limit)
	for {
		used := int(body.length % chunkBytes)
		if used == 0 {
			if body.length > 0 {
				if err := owner.grow(chunkBytes); err != nil {
					return body, err
				}
			}
			body.chunks = append(body.chunks, bodies.chunks.Get().(*[chunkBytes]byte))
		}
		count, err := reader.Read(body.chunks[len(body.chunks)-1][used:])
		body.length += int64(count)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if busy := owner.progress(); busy != nil {
			return body, busy
		}
		if errors.As(err, new(*http.MaxBytesError)) {
			return body, ErrTooLarge{Limit: limit}
		}
		if err != nil {
			return body, ErrIncomplete{Err: err}
		}
	}
}

// join returns the bytes of a body in one piece, and the buffer, which has grown if need be.
func (body received) join(buffer []byte) (grown, data []byte) {
	if len(body.chunks) == 1 {
		return buffer, body.chunks[0][:body.length]
	}
	if int64(cap(buffer)) < body.length {
		buffer = make([]byte, body.length)
	}
	data = buffer[:body.length]
	for number, chunk := range body.chunks {
		copy(data[number*chunkBytes:], chunk[:])
	}
	return buffer, data
}

// free returns the chunks of a body.
func (bodies *Bodies) free(body *received) {
	for _, chunk := range body.chunks {
		bodies.chunks.Put(chunk)
	}
	body.chunks = nil
}

// setReadDeadline sets until when bytes of a request may arrive; the zero time means without a limit.
func setReadDeadline(controller *http.ResponseController, deadline time.Time) {
	if err := controller.SetReadDeadline(deadline); err != nil {
		klog.V(1).InfoS("Read deadline not set", "Reason", err.Error())
	}
}
