// Package job defines the rows that hold the state of jobs and their tasks in the table, their encoding,
// and the allowed transitions of tasks.
package job

import (
	"fmt"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Limits of a submission and of its row. The row of a job is rewritten with every round that changes it,
// so its size is bounded: 2,000 placed tasks take about 30 KiB.
const (
	MaxTasks        = 2000
	MaxPayloadBytes = 4096
	MaxClassBytes   = 64
	MaxPriority     = 9
	MaxDataCentres  = 64
	MaxReasonBytes  = 200
)

// KeyPrefix is the prefix of the keys of all job rows.
const KeyPrefix = "Job/"

// Key returns the key of the job's row.
func Key(name ident.Job) table.Key {
	return table.Key(KeyPrefix + string(name))
}

// Spec is what a caller submits. It does not change afterwards.
type Spec struct {
	Job  ident.Job
	Team ident.Team
	Kind worker.Kind
	// Count is the number of tasks, 1 to MaxTasks.
	Count int
	// Declared is the size of each task as the caller declared it.
	Declared unit.Resources
	// Priority is 0 (lowest) to MaxPriority.
	Priority int
	// Urgent work may preempt batch work.
	Urgent bool
	// Gang requires that all waiting tasks are placed together.
	Gang bool
	// Class groups tasks that cause and suffer the same interference; empty means unclassified.
	Class string
	// Payload is passed to the tasks unchanged.
	Payload string
	// Region is the home region, whose table holds the job's row.
	Region ident.Region
	// DataCentres lists the data centres in which the tasks may run, in ascending order; empty allows
	// all.
	DataCentres []ident.DataCentre
	// Patience is how long the caller can wait for the first start; 0 sets no deadline.
	Patience clock.Millis
}

// ErrInvalidSpec reports a submission that cannot be accepted.
type ErrInvalidSpec struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (err ErrInvalidSpec) Error() string {
	return fmt.Sprintf("invalid job: %s %s", err.Field, err.Reason)
}

// IsErrInvalidSpec reports whether err is or wraps an ErrInvalidSpec.
func IsErrInvalidSpec(err error) bool {
	return isErr[ErrInvalidSpec](err)
}

// Validate returns an ErrInvalidSpec for the first invalid field.
func (spec Spec) Validate() error {
	invalid := func(field, reason string) error {
		return ErrInvalidSpec{Field: field, Reason: reason}
	}
	switch {
	case !ident.Valid(spec.Job):
		return invalid("Job", "is not an identifier")
	case !ident.Valid(spec.Team):
		return invalid("Team", "is not an identifier")
	case !ident.Valid(spec.Region):
		return invalid("Region", "is not an identifier")
	case spec.Kind != worker.Batch && spec.Kind != worker.Standing:
		return invalid("Kind", fmt.Sprintf("%q is neither Batch nor Standing", spec.Kind))
	case spec.Count < 1 || spec.Count > MaxTasks:
		return invalid("Count", fmt.Sprintf("%d is not within 1 to %d", spec.Count, MaxTasks))
	case spec.Declared.Negative():
		return invalid("Declared", "has a negative component")
	case spec.Declared.CPU == 0 && spec.Declared.Accelerators == 0:
		return invalid("Declared", "needs processor time or an accelerator")
	case spec.Declared.Memory == 0:
		return invalid("Declared", "needs memory")
	case spec.Priority < 0 || spec.Priority > MaxPriority:
		return invalid("Priority", fmt.Sprintf("%d is not within 0 to %d", spec.Priority, MaxPriority))
	case len(spec.Class) > MaxClassBytes:
		return invalid("Class", fmt.Sprintf("is longer than %d bytes", MaxClassBytes))
	case len(spec.Payload) > MaxPayloadBytes:
		return invalid("Payload", fmt.Sprintf("is longer than %d bytes", MaxPayloadBytes))
	case spec.Patience < 0:
		return invalid("Patience", "is negative")
	case len(spec.DataCentres) > MaxDataCentres:
		return invalid("DataCentres", fmt.Sprintf("are more than %d", MaxDataCentres))
	}
	for index, centre := range spec.DataCentres {
		if !ident.Valid(centre) {
			return invalid("DataCentres", fmt.Sprintf("%q is not an identifier", centre))
		}
		if index > 0 && centre <= spec.DataCentres[index-1] {
			return invalid("DataCentres", "are not ascending and distinct")
		}
	}
	return nil
}

// Allows reports whether tasks may run in the data centre.
func (spec Spec) Allows(centre ident.DataCentre) bool {
	if len(spec.DataCentres) == 0 {
		return true
	}
	_, found := slices.BinarySearch(spec.DataCentres, centre)
	return found
}
