package operator

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Limits of accepted values, far above the design size. They prevent sums of accepted values from
// overflowing. maxQuantity applies to each component of resources, in its own unit.
const (
	maxTasks        = 10000
	maxPayloadBytes = 64 << 10
	maxReasonBytes  = 1000
	maxDuration     = 366 * clock.Day
	maxQuantity     = 1 << 40
)

func (change PresetChange) check() error {
	return checkIdentifier("Preset", change.Preset)
}

func (change DataCentreChange) check() error {
	switch {
	case change.State != In && change.State != Out && change.State != Lost:
		return ErrBadRequest{Field: "State", Reason: fmt.Sprintf("%q is none of In, Out and Lost", change.State)}
	case change.State != Out && change.DrainMillis != 0:
		return ErrBadRequest{Field: "DrainMillis", Reason: "is only for State Out"}
	}
	return firstError(checkIdentifier("DataCentre", change.DataCentre), checkDuration("DrainMillis", change.DrainMillis), checkLength("Reason", change.Reason))
}

func (change ServiceChange) check() error {
	if change.TargetSlowdown != 0 && (change.TargetSlowdown < 100 || change.TargetSlowdown > 1000) {
		return ErrBadRequest{Field: "TargetSlowdown", Reason: "must be from 100 to 1000 percent"}
	}
	if change.PatienceMillis <= 0 {
		return ErrBadRequest{Field: "PatienceMillis", Reason: "must be positive"}
	}
	return firstError(checkIdentifier("Service", change.Service), checkIdentifier("Team", change.Team),
		checkDuration("PatienceMillis", change.PatienceMillis), checkDuration("RetentionMillis", change.RetentionMillis))
}

func (change TeamChange) check() error {
	return firstError(checkIdentifier("Team", change.Team), checkOptionalIdentifier("Region", string(change.Region)), checkResources("Quota", change.Quota))
}

func (loss WorkerLoss) check() error {
	if loss.Incarnation == 0 {
		return ErrBadRequest{Field: "Incarnation", Reason: "is required"}
	}
	return firstError(checkIdentifier("Worker", loss.Worker), checkLength("Reason", loss.Reason))
}

func (submission JobSubmission) check() error {
	switch {
	case submission.Kind != worker.Batch && submission.Kind != worker.Standing:
		return ErrBadRequest{Field: "Kind", Reason: fmt.Sprintf("%q is neither Batch nor Standing", submission.Kind)}
	case submission.Tasks < 1 || submission.Tasks > maxTasks:
		return ErrBadRequest{Field: "Tasks", Reason: fmt.Sprintf("must be from 1 to %d", maxTasks)}
	case len(submission.Payload) > maxPayloadBytes:
		return ErrBadRequest{Field: "Payload", Reason: fmt.Sprintf("is larger than %d bytes", maxPayloadBytes)}
	case submission.Resources.CPU <= 0 || submission.Resources.Memory <= 0:
		return ErrBadRequest{Field: "Resources", Reason: "CPU and Memory must be positive"}
	}
	return firstError(checkIdentifier("Job", submission.Job), checkIdentifier("Team", submission.Team), checkOptionalIdentifier("Class", submission.Class),
		checkResources("Resources", submission.Resources),
		checkDuration("PatienceMillis", submission.PatienceMillis))
}

func checkIdentifier[Name ~string](field string, name Name) error {
	if !ident.Valid(name) {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("%q is not an identifier (1 to 64 letters, digits, dots, dashes and underscores)", name)}
	}
	return nil
}

func checkOptionalIdentifier(field, name string) error {
	if name == "" {
		return nil
	}
	return checkIdentifier(field, name)
}

func checkDuration(field string, millis clock.Millis) error {
	if millis < 0 || millis > maxDuration {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("must be from 0 to %s", maxDuration)}
	}
	return nil
}

func checkResources(field string, resources unit.Resources) error {
	if resources.Negative() || resources.CPU > maxQuantity || resources.Memory > maxQuantity || resources.Accelerators > maxQuantity {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("each component must be from 0 to %d", int64(maxQuantity))}
	}
	return nil
}

func checkLength(field, text string) error {
	if len(text) > maxReasonBytes {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("is longer than %d bytes", maxReasonBytes)}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
