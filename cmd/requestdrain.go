package cmd

import (
	"context"
	"net/http"

	"hyssopjunction/clock"
)

// requestDrain bounds the requests of a server that stops. Before it stops, it has no effect. It is safe for concurrent
// use.
type requestDrain struct {
	// stopping is set when the server begins to stop.
	stopping *onceFlag
	// ended ends when all requests must be answered.
	ended context.Context
	end   context.CancelFunc
}

func newRequestDrain() *requestDrain {
	ended, end := context.WithCancel(context.Background())
	return &requestDrain{stopping: newOnceFlag(), ended: ended, end: end}
}

// wrap returns a handler whose requests end with the drain. Responses sent while the server stops announce the end of their
// connection. The server must not close idle connections at that time: the next request may be on its way.
func (drain *requestDrain) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithCancel(request.Context())
		defer cancel()
		defer context.AfterFunc(drain.ended, cancel)()
		if drain.stopping.isSet() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// shutdownTimes divides the grace period of an entry. All times count from the signal to stop.
type shutdownTimes struct {
	// accepts is how long connections are accepted.
	accepts clock.Millis
	// answers is when the last request must be answered.
	answers clock.Millis
	// closes is when the connections are closed, also those on which a response is still being sent.
	closes clock.Millis
}

// newShutdownTimes returns the times for a grace period. The margin before the platform kills the process is at most a
// quarter of the grace; its first half is for sending the last responses.
func newShutdownTimes(grace clock.Millis) shutdownTimes {
	margin := min(stopMargin, grace/4)
	return shutdownTimes{accepts: min(drainDelay, grace/2), answers: grace - margin, closes: grace - margin/2}
}
