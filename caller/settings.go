// Package caller implements the HTTP API of callers: POST /v1/services/{Service}/requests and
// GET /v1/services/{Service}/streams/{Stream}?Offset=.
package caller

import (
	"net/http"
	"time"

	"hyssopjunction/clock"
)

// Settings are the limits of the API, so that callers cannot use up an entry's memory or connections.
type Settings struct {
	// BodyBytes limits the size of a request's body.
	BodyBytes int64
	// TotalBytes limits the total size of the bodies of all requests in flight.
	TotalBytes int64
	// HeaderBytes limits the size of a request's header.
	HeaderBytes int
	// HeaderTimeout limits the time for the header, and for reading on after an early response. ReadTimeout
	// limits the time for the body, and IdleTimeout the time between two requests on a connection.
	HeaderTimeout clock.Millis
	ReadTimeout   clock.Millis
	IdleTimeout   clock.Millis
	// WriteTimeout limits the time in which a caller must read the response, or each part of a stream.
	WriteTimeout clock.Millis
	// MinPatience replaces a shorter patience in a request.
	MinPatience clock.Millis
	// MaxPatience is the longest patience that a request may state.
	MaxPatience clock.Millis
	// Streams limits the number of open streams.
	Streams int
	// RetryAfter is the retry-after of requests and streams that are refused because a limit is reached.
	RetryAfter clock.Millis
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		BodyBytes:     1 << 20,
		TotalBytes:    32 << 20,
		HeaderBytes:   16 << 10,
		HeaderTimeout: 2 * clock.Second,
		ReadTimeout:   10 * clock.Second,
		IdleTimeout:   2 * clock.Minute,
		WriteTimeout:  10 * clock.Second,
		MaxPatience:   clock.Hour,
		Streams:       1024,
		RetryAfter:    clock.Second,
	}
}

// NewServer returns an HTTP server with the timeouts of settings. The caller sets its listener.
func NewServer(handler http.Handler, settings Settings) *http.Server {
	return &http.Server{
		Handler: handler,
		// The handler answers headers above the limit with a typed error. The limit of net/http, which
		// answers in plain text, is higher, so that it applies only far above that.
		MaxHeaderBytes:    4 * settings.HeaderBytes,
		ReadHeaderTimeout: settings.HeaderTimeout.Duration(),
		IdleTimeout:       settings.IdleTimeout.Duration(),
		// The handlers set the deadlines for reading the body and writing the response, because a stream may
		// stay open for a day.
	}
}

// deadlineAfter returns a read or write deadline, as wall-clock time.
func deadlineAfter(millis clock.Millis) time.Time {
	return time.Now().Add(millis.Duration())
}
