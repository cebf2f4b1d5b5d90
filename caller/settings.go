// Package caller is the HTTP API of callers: POST /v1/services/{Service}/requests and
// GET /v1/services/{Service}/streams/{Stream}?Offset=.
package caller

import (
	"net/http"
	"time"

	"hyssopjunction/clock"
)

// Settings bounds what one caller can use.
type Settings struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// TotalBytes bounds the bodies of all requests in flight together.
	TotalBytes int64
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// HeaderTimeout, ReadTimeout and IdleTimeout bound the time a slow caller may take.
	HeaderTimeout clock.Millis
	ReadTimeout   clock.Millis
	IdleTimeout   clock.Millis
	// WriteTimeout bounds the time in which a caller must take each part of the answer.
	WriteTimeout clock.Millis
	// MinPatience raises shorter patiences that callers ask for.
	MinPatience clock.Millis
	// MaxPatience bounds the patience a caller may ask for.
	MaxPatience clock.Millis
	// Streams bounds the open streams.
	Streams int
	// RetryAfter is told to callers when nothing better is known.
	RetryAfter clock.Millis
}

// Defaults returns the settings of the current deployments.
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
		// The handler answers headers above the bound with a typed error; net/http, which sends plain
		// text, refuses only those far above it.
		MaxHeaderBytes:    4 * settings.HeaderBytes,
		ReadHeaderTimeout: settings.HeaderTimeout.Duration(),
		IdleTimeout:       settings.IdleTimeout.Duration(),
		// The handlers set the deadlines of reading the body and writing the answer, because a
		// stream may stay open for a day.
	}
}

// deadline returns the wall-clock time of a read or write deadline.
func deadline(millis clock.Millis) time.Time {
	return time.Now().Add(millis.Duration())
}
