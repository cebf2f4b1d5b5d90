package caller

import (
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
	"hyssopjunction/outcome"
)

// notReadyRetry is told to callers that reach an entry which cannot serve yet.
const notReadyRetry = clock.Second

var notReadyRequests = metrics.NewCounter(`hyssopjunction_caller_not_ready_requests_total`)

// NotReady returns a handler that answers every request of the API at once with status 503 and type
// NotReady. Requests outside of the API go to next.
func NotReady(settings Settings, reason string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, "/v1/") {
			next.ServeHTTP(writer, request)
			return
		}
		notReadyRequests.Inc()
		closeAfter(writer, settings)
		writeError(writer, ErrNotReady{Reason: reason, Keyed: request.Header.Get(keyHeader) != ""})
	})
}

// describeNotReady returns the body for an entry that cannot serve yet. A keyed submission may have run
// before, and the key's row cannot be read, so its outcome is unknown.
func describeNotReady(err ErrNotReady) ErrorBody {
	known := outcome.NotRun
	if err.Keyed {
		known = outcome.Unknown
	}
	return body("NotReady", err, notReadyRetry, known)
}
