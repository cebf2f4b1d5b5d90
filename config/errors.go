package config

import (
	"errors"
	"fmt"
	"strings"

	"hyssopjunction/ident"
)

// ErrConflict reports a change of a document that another operator changed first. Nothing was changed.
type ErrConflict struct {
	Document Name
	// Base is the version on which the change was based, Have the document's current one.
	Base ident.Version
	Have ident.Version
	// Winner is the operator who wrote the version Have.
	Winner string
}

// Error describes the conflict and names the winner.
func (err ErrConflict) Error() string {
	return fmt.Sprintf("document %s was changed by operator %q to version %d, the change was based on version %d",
		err.Document, err.Winner, err.Have, err.Base)
}

// IsErrConflict reports whether err is or wraps an ErrConflict.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// Fault is one reason why a configuration is not valid.
type Fault struct {
	Document Name
	// Field is the path of the field within the document, empty for the whole document.
	Field  string
	Reason string
}

// String formats the fault on one line.
func (fault Fault) String() string {
	if fault.Field == "" {
		return fmt.Sprintf("%s: %s", fault.Document, fault.Reason)
	}
	return fmt.Sprintf("%s: %s %s", fault.Document, fault.Field, fault.Reason)
}

// ErrInvalid reports all faults of a configuration.
type ErrInvalid struct {
	Faults []Fault
}

// Error lists the faults.
func (err ErrInvalid) Error() string {
	lines := make([]string, 0, len(err.Faults))
	for _, fault := range err.Faults {
		lines = append(lines, fault.String())
	}
	return "configuration is not valid: " + strings.Join(lines, "; ")
}

// IsErrInvalid reports whether err is or wraps an ErrInvalid.
func IsErrInvalid(err error) bool {
	return errors.As(err, new(ErrInvalid))
}

// ErrGap reports a delta that starts above the current version.
type ErrGap struct {
	Have ident.Version
	From ident.Version
}

// Error describes the gap.
func (err ErrGap) Error() string {
	return fmt.Sprintf("delta starts at version %d, version %d is held", err.From, err.Have)
}

// IsErrGap reports whether err is or wraps an ErrGap.
func IsErrGap(err error) bool {
	return errors.As(err, new(ErrGap))
}

// ErrRevert reports a configuration that would lower a version, remove a document, or change a document
// without raising its version. Such a configuration is never applied. Document is empty if the version
// of the whole configuration would fall.
type ErrRevert struct {
	Document Name
	Have     ident.Version
	Got      ident.Version
}

// Error describes the versions.
func (err ErrRevert) Error() string {
	return fmt.Sprintf("document %q would go from version %d to %d", err.Document, err.Have, err.Got)
}

// IsErrRevert reports whether err is or wraps an ErrRevert.
func IsErrRevert(err error) bool {
	return errors.As(err, new(ErrRevert))
}

// ErrNotReady reports that the configuration has not been loaded yet.
type ErrNotReady struct {
	Reason string
}

// Error describes the reason.
func (err ErrNotReady) Error() string {
	return "configuration not loaded: " + err.Reason
}

// IsErrNotReady reports whether err is or wraps an ErrNotReady.
func IsErrNotReady(err error) bool {
	return errors.As(err, new(ErrNotReady))
}

// ErrBadRow reports a configuration row or message that cannot be decoded.
type ErrBadRow struct {
	Key    string
	Reason string
}

// Error describes the row.
func (err ErrBadRow) Error() string {
	return fmt.Sprintf("configuration row %s is unusable: %s", err.Key, err.Reason)
}

// IsErrBadRow reports whether err is or wraps an ErrBadRow.
func IsErrBadRow(err error) bool {
	return errors.As(err, new(ErrBadRow))
}

// ErrUnknownOutcome reports a change that may or may not have been accepted. It can be sent again with
// the same id.
type ErrUnknownOutcome struct {
	Change  string
	Version ident.Version
	Reason  string
}

// Error describes the change.
func (err ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("change %s may have become version %d: %s", err.Change, err.Version, err.Reason)
}

// IsErrUnknownOutcome reports whether err is or wraps an ErrUnknownOutcome.
func IsErrUnknownOutcome(err error) bool {
	return errors.As(err, new(ErrUnknownOutcome))
}

// ErrBusy reports a change that was given up because changes of other documents were committed during
// each attempt. Nothing was changed.
type ErrBusy struct {
	Attempts int
}

// Error describes the attempts.
func (err ErrBusy) Error() string {
	return fmt.Sprintf("configuration changed during each of %d attempts", err.Attempts)
}

// IsErrBusy reports whether err is or wraps an ErrBusy.
func IsErrBusy(err error) bool {
	return errors.As(err, new(ErrBusy))
}

// ErrElsewhere reports a change of a document outside its home region. Nothing was changed.
type ErrElsewhere struct {
	Document Name
	Region   ident.Region
}

// Error names the home region.
func (err ErrElsewhere) Error() string {
	return fmt.Sprintf("document %s is changed in region %s only", err.Document, err.Region)
}

// IsErrElsewhere reports whether err is or wraps an ErrElsewhere.
func IsErrElsewhere(err error) bool {
	return errors.As(err, new(ErrElsewhere))
}
