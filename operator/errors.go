package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// ErrBadRequest reports a call that cannot succeed unless it is changed.
type ErrBadRequest struct {
	Field  string
	Reason string
}

// Error names the field, if any, and the reason.
func (err ErrBadRequest) Error() string {
	if err.Field == "" {
		return err.Reason
	}
	return err.Field + ": " + err.Reason
}

// IsErrBadRequest reports whether err is or wraps an ErrBadRequest.
func IsErrBadRequest(err error) bool {
	return errors.As(err, new(ErrBadRequest))
}

// ErrDenied reports a missing or unknown token, or one that does not permit the call.
type ErrDenied struct {
	Reason string
	// Known is true if the token is valid but does not permit the call.
	Known bool
}

// Error describes the denial.
func (err ErrDenied) Error() string {
	return "denied: " + err.Reason
}

// IsErrDenied reports whether err is or wraps an ErrDenied.
func IsErrDenied(err error) bool {
	return errors.As(err, new(ErrDenied))
}

// ErrNotFound reports something that does not exist.
type ErrNotFound struct {
	Kind string
	Name string
}

// Error names what was not found.
func (err ErrNotFound) Error() string {
	return fmt.Sprintf("no %s %q", err.Kind, err.Name)
}

// IsErrNotFound reports whether err is or wraps an ErrNotFound.
func IsErrNotFound(err error) bool {
	return errors.As(err, new(ErrNotFound))
}

// ErrConflict reports that the document was changed by another call first. The call had no effect.
type ErrConflict struct {
	Document string
	// Winner is the author of the earlier change, and Version is its version.
	Winner  string
	Version ident.Version
}

// Error names the author and version of the earlier change.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("%s was changed by %q to version %d first", err.Document, err.Winner, err.Version)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// ErrTLS reports that only one of client and entry uses TLS. The call was not accepted, and repeating it
// does not help.
type ErrTLS struct {
	Address string
	Reason  string
}

// Error describes the mismatch.
func (err ErrTLS) Error() string {
	return err.Address + ": " + err.Reason
}

// IsErrTLS reports whether err is or wraps an ErrTLS.
func IsErrTLS(err error) bool {
	return errors.As(err, new(ErrTLS))
}

// ErrTaken reports that an object with the same name but other content exists already.
type ErrTaken struct {
	Kind string
	Name string
	// Team owns the existing object.
	Team ident.Team
}

// Error describes the existing object.
func (err ErrTaken) Error() string {
	return fmt.Sprintf("%s %q of team %q exists already and differs", err.Kind, err.Name, err.Team)
}

// IsErrTaken reports whether err is or wraps an ErrTaken.
func IsErrTaken(err error) bool {
	return errors.As(err, new(ErrTaken))
}

// ErrElsewhere reports a change of a document whose home region is another one. The call had no effect.
type ErrElsewhere struct {
	Document string
	Region   ident.Region
}

// Error names the home region.
func (err ErrElsewhere) Error() string {
	return fmt.Sprintf("%s is changed in region %s only", err.Document, err.Region)
}

// IsErrElsewhere reports whether err is or wraps an ErrElsewhere.
func IsErrElsewhere(err error) bool {
	return errors.As(err, new(ErrElsewhere))
}

// ErrRetryLater reports a call that had no effect and may succeed later.
type ErrRetryLater struct {
	Reason     string
	RetryAfter clock.Millis
}

// Error describes the reason.
func (err ErrRetryLater) Error() string {
	return fmt.Sprintf("%s (retry after %s)", err.Reason, err.RetryAfter)
}

// IsErrRetryLater reports whether err is or wraps an ErrRetryLater.
func IsErrRetryLater(err error) bool {
	return errors.As(err, new(ErrRetryLater))
}

// ErrUnknownOutcome reports a change that may have taken effect. Repeating it with the same request id
// is safe.
type ErrUnknownOutcome struct {
	Request ident.Request
	Reason  string
}

// Error names the request.
func (err ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("outcome unknown, repeat with request key %q: %s", err.Request, err.Reason)
}

// IsErrUnknownOutcome reports whether err is or wraps an ErrUnknownOutcome.
func IsErrUnknownOutcome(err error) bool {
	return errors.As(err, new(ErrUnknownOutcome))
}

// ErrTooLarge reports a body that is larger than Limit, in bytes.
type ErrTooLarge struct {
	Limit int64
}

// Error names the limit.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", err.Limit)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	return errors.As(err, new(ErrTooLarge))
}

// ErrInternal reports a fault of the entry. A change may have taken effect.
type ErrInternal struct {
	Reason string
}

// Error describes the fault.
func (err ErrInternal) Error() string {
	return "internal error: " + err.Reason
}

// IsErrInternal reports whether err is or wraps an ErrInternal.
func IsErrInternal(err error) bool {
	return errors.As(err, new(ErrInternal))
}

// Failure is the JSON body of every error response.
type Failure struct {
	Error FailureError
}

// FailureError describes an error. Type is the name of the error type in this package.
type FailureError struct {
	Type             string
	Reason           string
	RetryAfterMillis clock.Millis
	// The other fields are set for some types only: Document, Winner and Version for ErrConflict, Kind and
	// Name for ErrNotFound, Kind, Name and Team for ErrTaken, Field for ErrBadRequest, Request for
	// ErrUnknownOutcome, Document and Region for ErrElsewhere, Known for ErrDenied, Limit for ErrTooLarge.
	Document string        `json:",omitempty"`
	Winner   string        `json:",omitempty"`
	Version  ident.Version `json:",omitempty"`
	Kind     string        `json:",omitempty"`
	Name     string        `json:",omitempty"`
	Field    string        `json:",omitempty"`
	Request  ident.Request `json:",omitempty"`
	Region   ident.Region  `json:",omitempty"`
	Team     ident.Team    `json:",omitempty"`
	Known    bool          `json:",omitempty"`
	Limit    int64         `json:",omitempty"`
}

// translate converts errors of the table and of contexts into the types of this package. The request is
// empty for calls that change nothing.
func translate(err error, request ident.Request) error {
	var conflict table.ErrConflict
	var unavailable table.ErrUnavailable
	var unknown table.ErrUnknownOutcome
	var tooLarge table.ErrTooLarge
	switch {
	case errors.As(err, &conflict):
		return ErrConflict{Document: string(conflict.Key), Winner: string(conflict.Winner), Version: ident.Version(conflict.Have)}
	case errors.As(err, &unavailable):
		return ErrRetryLater{Reason: "table service unavailable: " + unavailable.Reason, RetryAfter: unavailable.RetryAfter}
	case errors.As(err, &unknown):
		return ErrUnknownOutcome{Request: request, Reason: unknown.Reason}
	case errors.As(err, &tooLarge):
		return ErrBadRequest{Reason: tooLarge.Error()}
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		if request == "" {
			return ErrRetryLater{Reason: "the entry did not answer in time", RetryAfter: clock.Second}
		}
		return ErrUnknownOutcome{Request: request, Reason: "the entry did not finish in time"}
	default:
		return err
	}
}

// errorResponse returns the HTTP status and body of an error.
func errorResponse(err error) (int, Failure) {
	var conflict ErrConflict
	var retryLater ErrRetryLater
	var unknown ErrUnknownOutcome
	var denied ErrDenied
	var badRequest ErrBadRequest
	var notFound ErrNotFound
	var elsewhere ErrElsewhere
	var taken ErrTaken
	var tooLarge ErrTooLarge
	failure := FailureError{Type: "ErrInternal", Reason: err.Error()}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &badRequest):
		failure.Type, status = "ErrBadRequest", http.StatusBadRequest
		failure.Field, failure.Reason = badRequest.Field, badRequest.Reason
	case errors.As(err, &denied):
		failure.Type, status = "ErrDenied", http.StatusUnauthorized
		failure.Reason, failure.Known = denied.Reason, denied.Known
		if denied.Known {
			status = http.StatusForbidden
		}
	case errors.As(err, &notFound):
		failure.Type, status = "ErrNotFound", http.StatusNotFound
		failure.Kind, failure.Name = notFound.Kind, notFound.Name
	case errors.As(err, &conflict):
		failure.Type, status = "ErrConflict", http.StatusConflict
		failure.Document, failure.Winner, failure.Version = conflict.Document, conflict.Winner, conflict.Version
	case errors.As(err, &taken):
		failure.Type, status = "ErrTaken", http.StatusConflict
		failure.Kind, failure.Name, failure.Team = taken.Kind, taken.Name, taken.Team
	case errors.As(err, &elsewhere):
		failure.Type, status = "ErrElsewhere", http.StatusMisdirectedRequest
		failure.Document, failure.Region = elsewhere.Document, elsewhere.Region
	case errors.As(err, &tooLarge):
		failure.Type, status = "ErrTooLarge", http.StatusRequestEntityTooLarge
		failure.Limit = tooLarge.Limit
	case errors.As(err, &retryLater):
		failure.Type, status = "ErrRetryLater", http.StatusServiceUnavailable
		failure.Reason, failure.RetryAfterMillis = retryLater.Reason, retryLater.RetryAfter
	case errors.As(err, &unknown):
		failure.Type, status = "ErrUnknownOutcome", http.StatusGatewayTimeout
		failure.Reason, failure.Request = unknown.Reason, unknown.Request
	}
	return status, Failure{Error: failure}
}

// typedError returns the error that the body of an error response describes.
func (failure FailureError) typedError() error {
	switch failure.Type {
	case "ErrBadRequest":
		return ErrBadRequest{Field: failure.Field, Reason: failure.Reason}
	case "ErrTooLarge":
		return ErrTooLarge{Limit: failure.Limit}
	case "ErrDenied":
		return ErrDenied{Reason: failure.Reason, Known: failure.Known}
	case "ErrNotFound":
		return ErrNotFound{Kind: failure.Kind, Name: failure.Name}
	case "ErrConflict":
		return ErrConflict{Document: failure.Document, Winner: failure.Winner, Version: failure.Version}
	case "ErrTaken":
		return ErrTaken{Kind: failure.Kind, Name: failure.Name, Team: failure.Team}
	case "ErrElsewhere":
		return ErrElsewhere{Document: failure.Document, Region: failure.Region}
	case "ErrRetryLater":
		return ErrRetryLater{Reason: failure.Reason, RetryAfter: failure.RetryAfterMillis}
	case "ErrUnknownOutcome":
		return ErrUnknownOutcome{Request: failure.Request, Reason: failure.Reason}
	default:
		return ErrInternal{Reason: failure.Reason}
	}
}
