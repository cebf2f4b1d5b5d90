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

// ErrBadRequest reports a call that can never succeed as it is.
type ErrBadRequest struct {
	Field  string
	Reason string
}

// Error describes the field.
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
	// Known tells whether the token is known.
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

// ErrConflict reports that another change came first. The call had no effect.
type ErrConflict struct {
	Document string
	// Winner names who made the change that came first, and Version is its version.
	Winner  string
	Version ident.Version
}

// Error names the winner.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("%s was changed by %q to version %d first", err.Document, err.Winner, err.Version)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// ErrTLS reports an entry of which the client expects TLS and it has none, or the other way round. The
// call was not accepted, and a repeat does not help.
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

// ErrTaken reports a name that something else was created with.
type ErrTaken struct {
	Kind string
	Name string
	// Team owns what has the name.
	Team ident.Team
}

// Error describes what has the name.
func (err ErrTaken) Error() string {
	return fmt.Sprintf("%s %q of team %q exists already and differs", err.Kind, err.Name, err.Team)
}

// IsErrTaken reports whether err is or wraps an ErrTaken.
func IsErrTaken(err error) bool {
	return errors.As(err, new(ErrTaken))
}

// ErrElsewhere reports a change of a document that is accepted only in its home region. The call had
// no effect.
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

// ErrUnknownOutcome reports a change that may have taken effect. Repeating it with the same request
// id is safe.
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

// ErrTooLarge reports a body above the bound, in bytes.
type ErrTooLarge struct {
	Limit int64
}

// Error names the bound.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", err.Limit)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	return errors.As(err, new(ErrTooLarge))
}

// ErrInternal reports a fault of the entry. Whether a change took effect is not known.
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
	// Document, Winner and Version are set for ErrConflict, Kind and Name for ErrNotFound, these and
	// Team for ErrTaken, Field for ErrBadRequest, Request for ErrUnknownOutcome, and Document and Region for ErrElsewhere.
	Document string        `json:",omitempty"`
	Winner   string        `json:",omitempty"`
	Version  ident.Version `json:",omitempty"`
	Kind     string        `json:",omitempty"`
	Name     string        `json:",omitempty"`
	Field    string        `json:",omitempty"`
	Request  ident.Request `json:",omitempty"`
	Region   ident.Region  `json:",omitempty"`
	Team     ident.Team    `json:",omitempty"`
}

// translate turns errors of the table and of contexts into those of this package. Request is empty
// for calls that change nothing.
func translate(err error, request ident.Request) error {
	var conflict table.ErrConflict
	var unavailable table.ErrUnavailable
	var unknown table.ErrUnknownOutcome
	var large table.ErrTooLarge
	switch {
	case errors.As(err, &conflict):
		return ErrConflict{Document: string(conflict.Key), Winner: string(conflict.Winner), Version: ident.Version(conflict.Have)}
	case errors.As(err, &unavailable):
		return ErrRetryLater{Reason: "table service unavailable: " + unavailable.Reason, RetryAfter: unavailable.RetryAfter}
	case errors.As(err, &unknown):
		return ErrUnknownOutcome{Request: request, Reason: unknown.Reason}
	case errors.As(err, &large):
		return ErrBadRequest{Reason: large.Error()}
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		if request == "" {
			return ErrRetryLater{Reason: "the entry did not answer in time", RetryAfter: clock.Second}
		}
		return ErrUnknownOutcome{Request: request, Reason: "the entry did not finish in time"}
	default:
		return err
	}
}

// failure returns the HTTP status and body of an error.
func failure(err error) (int, Failure) {
	var conflict ErrConflict
	var later ErrRetryLater
	var unknown ErrUnknownOutcome
	var denied ErrDenied
	var bad ErrBadRequest
	var missing ErrNotFound
	var elsewhere ErrElsewhere
	var taken ErrTaken
	described := FailureError{Type: "ErrInternal", Reason: err.Error()}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &bad):
		described.Type, status = "ErrBadRequest", http.StatusBadRequest
		described.Field, described.Reason = bad.Field, bad.Reason
	case errors.As(err, &denied):
		described.Type, status = "ErrDenied", http.StatusUnauthorized
		described.Reason = denied.Reason
		if denied.Known {
			status = http.StatusForbidden
		}
	case errors.As(err, &missing):
		described.Type, status = "ErrNotFound", http.StatusNotFound
		described.Kind, described.Name = missing.Kind, missing.Name
	case errors.As(err, &conflict):
		described.Type, status = "ErrConflict", http.StatusConflict
		described.Document, described.Winner, described.Version = conflict.Document, conflict.Winner, conflict.Version
	case errors.As(err, &taken):
		described.Type, status = "ErrTaken", http.StatusConflict
		described.Kind, described.Name, described.Team = taken.Kind, taken.Name, taken.Team
	case errors.As(err, &elsewhere):
		described.Type, status = "ErrElsewhere", http.StatusMisdirectedRequest
		described.Document, described.Region = elsewhere.Document, elsewhere.Region
	case IsErrTooLarge(err):
		described.Type, status = "ErrTooLarge", http.StatusRequestEntityTooLarge
	case errors.As(err, &later):
		described.Type, status = "ErrRetryLater", http.StatusServiceUnavailable
		described.Reason, described.RetryAfterMillis = later.Reason, later.RetryAfter
	case errors.As(err, &unknown):
		described.Type, status = "ErrUnknownOutcome", http.StatusGatewayTimeout
		described.Reason, described.Request = unknown.Reason, unknown.Request
	}
	return status, Failure{Error: described}
}

// restore returns the typed error that a failure body describes.
func (described FailureError) restore() error {
	switch described.Type {
	case "ErrBadRequest", "ErrTooLarge":
		return ErrBadRequest{Field: described.Field, Reason: described.Reason}
	case "ErrDenied":
		return ErrDenied{Reason: described.Reason}
	case "ErrNotFound":
		return ErrNotFound{Kind: described.Kind, Name: described.Name}
	case "ErrConflict":
		return ErrConflict{Document: described.Document, Winner: described.Winner, Version: described.Version}
	case "ErrTaken":
		return ErrTaken{Kind: described.Kind, Name: described.Name, Team: described.Team}
	case "ErrElsewhere":
		return ErrElsewhere{Document: described.Document, Region: described.Region}
	case "ErrRetryLater":
		return ErrRetryLater{Reason: described.Reason, RetryAfter: described.RetryAfterMillis}
	case "ErrUnknownOutcome":
		return ErrUnknownOutcome{Request: described.Request, Reason: described.Reason}
	default:
		return ErrInternal{Reason: described.Reason}
	}
}
