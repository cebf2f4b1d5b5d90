package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/dispatch"
	"hyssopjunction/outcome"
)

// ErrBadRequest reports a request that the API does not accept. It was not run.
type ErrBadRequest struct {
	Type   string
	Reason string
	Status int
}

// Error describes the fault.
func (err ErrBadRequest) Error() string {
	return fmt.Sprintf("%s: %s", err.Type, err.Reason)
}

// IsErrBadRequest reports whether err is or wraps an ErrBadRequest.
func IsErrBadRequest(err error) bool {
	return errors.As(err, new(ErrBadRequest))
}

// ErrNotReady reports an entry that does not know the configuration yet. This attempt was not run.
type ErrNotReady struct {
	Reason string
	// Keyed is true for a submission with a key, of which an earlier attempt may have run.
	Keyed bool
}

// Error describes what the entry waits for.
func (err ErrNotReady) Error() string {
	return err.Reason
}

// IsErrNotReady reports whether err is or wraps an ErrNotReady.
func IsErrNotReady(err error) bool {
	return errors.As(err, new(ErrNotReady))
}

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error   ErrorDetail
	Outcome outcome.Outcome
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Type             string
	Reason           string
	RetryAfterMillis int64
}

// statuses maps the reasons of dispatch to HTTP status codes.
var statuses = map[dispatch.Reason]int{
	dispatch.UnknownService: http.StatusNotFound,
	dispatch.MissingKey:     http.StatusBadRequest,
	dispatch.KeyReused:      http.StatusUnprocessableEntity,
	dispatch.TooLarge:       http.StatusRequestEntityTooLarge,
	dispatch.Overload:       http.StatusTooManyRequests,
	dispatch.Patience:       http.StatusServiceUnavailable,
	dispatch.NoEndpoint:     http.StatusServiceUnavailable,
	dispatch.Outage:         http.StatusServiceUnavailable,
	dispatch.Stopping:       http.StatusServiceUnavailable,
	dispatch.StillRunning:   http.StatusConflict,
	dispatch.Lost:           http.StatusBadGateway,
	dispatch.Cancelled:      http.StatusServiceUnavailable,
}

// describe returns the status and body of an error.
func describe(err error) (int, ErrorBody) {
	var bad ErrBadRequest
	var notRun dispatch.ErrNotRun
	var unknown dispatch.ErrUnknown
	var unkept dispatch.ErrRanUnkept
	var waiting ErrNotReady
	switch {
	case errors.As(err, &waiting):
		return http.StatusServiceUnavailable, describeNotReady(waiting)
	case errors.As(err, &bad):
		return bad.Status, ErrorBody{Error: ErrorDetail{Type: bad.Type, Reason: bad.Reason}, Outcome: outcome.NotRun}
	case errors.As(err, &notRun):
		return statusOf(notRun.Reason), body(string(notRun.Reason), err, notRun.RetryAfter, outcome.NotRun)
	case errors.As(err, &unknown):
		status := statusOf(unknown.Reason)
		if unknown.Reason == dispatch.Patience {
			status = http.StatusGatewayTimeout
		}
		return status, body(string(unknown.Reason), err, unknown.RetryAfter, outcome.Unknown)
	case errors.As(err, &unkept) && unkept.RetryAfter > 0:
		return http.StatusServiceUnavailable, body(string(dispatch.NotKept), err, unkept.RetryAfter, outcome.Ran)
	case errors.As(err, &unkept):
		return http.StatusGone, body(string(dispatch.NotKept), err, 0, outcome.Ran)
	default:
		return http.StatusInternalServerError, body("Internal", err, 0, outcome.Unknown)
	}
}

func statusOf(reason dispatch.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func body(kind string, err error, after clock.Millis, known outcome.Outcome) ErrorBody {
	return ErrorBody{
		Error:   ErrorDetail{Type: kind, Reason: err.Error(), RetryAfterMillis: int64(after)},
		Outcome: known,
	}
}

// jitterPercent spreads the callers' return over time, so that they do not come back together.
const jitterPercent = 20

// spread lengthens a retry-after by up to jitterPercent.
func spread(millis int64) int64 {
	return millis + rand.Int64N(millis*jitterPercent/100+1)
}

// writeError sends the error at once. Retry-After is in whole seconds, rounded up.
func writeError(writer http.ResponseWriter, err error) {
	status, content := describe(err)
	if after := content.Error.RetryAfterMillis; after > 0 {
		content.Error.RetryAfterMillis = spread(after)
		seconds := (content.Error.RetryAfterMillis + int64(clock.Second) - 1) / int64(clock.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(outcomeHeader, content.Outcome.String())
	text, err := json.Marshal(content)
	if err != nil {
		klog.ErrorS(err, "Error body not encoded")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	if _, err := writer.Write(text); err != nil {
		klog.V(1).InfoS("Caller gone", "Reason", err.Error())
	}
}
