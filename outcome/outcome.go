// Package outcome types what is known about the execution of a request.
package outcome

import "fmt"

// Outcome tells whether a request was executed by an endpoint.
type Outcome int

// The zero value is Unknown, so that a missing outcome never claims that a request was not run.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Ran means that the endpoint executed the request and its answer is known.
	Ran
	// NotRun means that the request certainly did not run and never will.
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

// MarshalText writes the name.
func (outcome Outcome) MarshalText() ([]byte, error) {
	return []byte(outcome.String()), nil
}

// UnmarshalText reads the name.
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

// ErrBadOutcome reports a name that is no outcome.
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
