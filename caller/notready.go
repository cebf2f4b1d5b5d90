package caller

import (
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
	"hyssopjunction/outcome"
)

// notReadyRetryAfter is the retry-after of an entry that is not ready.
const notReadyRetryAfter = clock.Second

var notReadyRequests = metrics.NewCounter(`hyssopjunction_caller_not_ready_requests_total`)

// NotReady returns a handler that answers every request of the API with status 503 and type NotReady.
// Requests outside of the API go to next.
func NotReady(settings Settings, reason string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, "/v1/") {
			next.ServeHTTP(writer, request)
			return
		}
		notReadyRequests.Inc()
		closeAfterResponse(writer, settings)
		writeError(writer, ErrNotReady{Reason: reason, Keyed: request.Header.Get(keyHeader) != ""})
	})
}

// notReadyBody returns the response body of an entry that is not ready. The outcome of a keyed request is
// unknown, because an earlier attempt may have run and the key's row cannot be read.
func notReadyBody(err ErrNotReady) ErrorBody {
	result := outcome.NotRun
	if err.Keyed {
		result = outcome.Unknown
	}
	return errorBody("NotReady", err, notReadyRetryAfter, result)
}
