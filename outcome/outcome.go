// Package outcome defines whether a request was run by an endpoint.
package outcome

import "fmt"

// Outcome is whether an endpoint ran a request.
type Outcome int

// Outcomes of a request. The zero value is Unknown, so that a missing outcome never means that the request
// was not run.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Ran means that the endpoint ran the request and its answer was received.
	Ran
	// NotRun means that the request certainly did not run and will not run later.
	NotRun
)

// String returns the name used in HTTP headers, JSON bodies and logs.
func (outcome Outcome) String() string {
	switch outcome {
	case Ran:
		return "Ran"
	case NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

// MarshalText returns the name of the outcome.
func (outcome Outcome) MarshalText() ([]byte, error) {
	return []byte(outcome.String()), nil
}

// UnmarshalText parses the name of an outcome. It returns ErrBadOutcome for other texts.
func (outcome *Outcome) UnmarshalText(text []byte) error {
	switch string(text) {
	case "Ran":
		*outcome = Ran
	case "NotRun":
		*outcome = NotRun
	case "Unknown":
		*outcome = Unknown
	default:
		return ErrBadOutcome{Name: string(text)}
	}
	return nil
}

// ErrBadOutcome reports a text that is not the name of an outcome.
type ErrBadOutcome struct {
	Name string
}

// Error describes the bad name.
func (err ErrBadOutcome) Error() string {
	return fmt.Sprintf("%q is not an outcome", err.Name)
}

// IsErrBadOutcome reports whether err is an ErrBadOutcome.
func IsErrBadOutcome(err error) bool {
	_, ok := err.(ErrBadOutcome)
	return ok
}
