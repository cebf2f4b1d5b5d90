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

// ErrBadRequest reports a request that the API does not accept. The request was not run.
type ErrBadRequest struct {
	Type   string
	Reason string
	Status int
}

// Error returns the type and the reason.
func (err ErrBadRequest) Error() string {
	return fmt.Sprintf("%s: %s", err.Type, err.Reason)
}

// IsErrBadRequest reports whether err is or wraps an ErrBadRequest.
func IsErrBadRequest(err error) bool {
	return errors.As(err, new(ErrBadRequest))
}

// ErrNotReady reports an entry that has not loaded the configuration yet. This attempt was not run.
type ErrNotReady struct {
	Reason string
	// Keyed is true for a request with a key. An earlier attempt with this key may have run.
	Keyed bool
}

// Error returns the reason why the entry is not ready.
func (err ErrNotReady) Error() string {
	return err.Reason
}

// IsErrNotReady reports whether err is or wraps an ErrNotReady.
func IsErrNotReady(err error) bool {
	return errors.As(err, new(ErrNotReady))
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error   ErrorDetail
	Outcome outcome.Outcome
}

// ErrorDetail describes an error. RetryAfterMillis is 0 if no retry is suggested.
type ErrorDetail struct {
	Type             string
	Reason           string
	RetryAfterMillis int64
}

// statusByReason maps the reasons of package dispatch to HTTP status codes.
var statusByReason = map[dispatch.Reason]int{
	dispatch.UnknownService: http.StatusNotFound,
	dispatch.MissingKey:     http.StatusBadRequest,
	dispatch.KeyReused:      http.StatusUnprocessableEntity,
	dispatch.TooLarge:       http.StatusRequestEntityTooLarge,
	dispatch.Overload:       http.StatusTooManyRequests,
	dispatch.Patience:       http.StatusServiceUnavailable,
	dispatch.NoEndpoint:     http.StatusServiceUnavailable,
	dispatch.EndpointsLost:  http.StatusServiceUnavailable,
	dispatch.Outage:         http.StatusServiceUnavailable,
	dispatch.Stopping:       http.StatusServiceUnavailable,
	dispatch.StillRunning:   http.StatusConflict,
	dispatch.Lost:           http.StatusBadGateway,
	dispatch.Cancelled:      http.StatusServiceUnavailable,
}

// errorResponse returns the HTTP status and body of an error.
func errorResponse(err error) (int, ErrorBody) {
	var badRequest ErrBadRequest
	var notRun dispatch.ErrNotRun
	var unknown dispatch.ErrUnknown
	var answerUnavailable dispatch.ErrAnswerUnavailable
	var notReady ErrNotReady
	switch {
	case errors.As(err, &notReady):
		return http.StatusServiceUnavailable, notReadyBody(notReady)
	case errors.As(err, &badRequest):
		return badRequest.Status, ErrorBody{Error: ErrorDetail{Type: badRequest.Type, Reason: badRequest.Reason}, Outcome: outcome.NotRun}
	case errors.As(err, &notRun):
		return statusOf(notRun.Reason), errorBody(string(notRun.Reason), err, notRun.RetryAfter, outcome.NotRun)
	case errors.As(err, &unknown):
		status := statusOf(unknown.Reason)
		if unknown.Reason == dispatch.Patience {
			status = http.StatusGatewayTimeout
		}
		return status, errorBody(string(unknown.Reason), err, unknown.RetryAfter, outcome.Unknown)
	case errors.As(err, &answerUnavailable) && answerUnavailable.RetryAfter > 0:
		return http.StatusServiceUnavailable, errorBody(string(dispatch.AnswerUnavailable), err, answerUnavailable.RetryAfter, outcome.Ran)
	case errors.As(err, &answerUnavailable):
		return http.StatusGone, errorBody(string(dispatch.AnswerUnavailable), err, 0, outcome.Ran)
	default:
		return http.StatusInternalServerError, errorBody("Internal", err, 0, outcome.Unknown)
	}
}

func statusOf(reason dispatch.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func errorBody(errorType string, err error, retryAfter clock.Millis, result outcome.Outcome) ErrorBody {
	return ErrorBody{
		Error:   ErrorDetail{Type: errorType, Reason: err.Error(), RetryAfterMillis: int64(retryAfter)},
		Outcome: result,
	}
}

// jitterPercent is the maximum jitter added to a retry-after, so that callers do not retry at the same time.
const jitterPercent = 20

// addJitter lengthens a retry-after by a random part of up to jitterPercent.
func addJitter(millis int64) int64 {
	return millis + rand.Int64N(millis*jitterPercent/100+1)
}

// writeError writes an error response. The header Retry-After is in whole seconds, rounded up.
func writeError(writer http.ResponseWriter, err error) {
	status, body := errorResponse(err)
	if retryAfterMillis := body.Error.RetryAfterMillis; retryAfterMillis > 0 {
		body.Error.RetryAfterMillis = addJitter(retryAfterMillis)
		seconds := (body.Error.RetryAfterMillis + int64(clock.Second) - 1) / int64(clock.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(outcomeHeader, body.Outcome.String())
	encoded, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Error body not encoded")
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	if _, err := writer.Write(encoded); err != nil {
		klog.V(1).InfoS("Caller gone", "Reason", err.Error())
	}
}
