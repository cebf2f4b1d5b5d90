package operator

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Bounds of accepted values. They are far above the design size and exist so that sums of accepted
// values cannot overflow.
const (
	maxTasks    = 10000
	maxPayload  = 64 << 10
	maxReason   = 1000
	maxDuration = 366 * clock.Day
	maxQuantity = 1 << 40
)

func (change PresetChange) check() error {
	return identifier("Preset", change.Preset)
}

func (change DataCentreChange) check() error {
	switch {
	case change.State != In && change.State != Out && change.State != Lost:
		return ErrBadRequest{Field: "State", Reason: fmt.Sprintf("%q is none of In, Out and Lost", change.State)}
	case change.State != Out && change.DrainMillis != 0:
		return ErrBadRequest{Field: "DrainMillis", Reason: "is only for State Out"}
	}
	return first(identifier("DataCentre", change.DataCentre), duration("DrainMillis", change.DrainMillis), short("Reason", change.Reason))
}

func (change ServiceChange) check() error {
	if change.TargetSlowdown != 0 && (change.TargetSlowdown < 100 || change.TargetSlowdown > 1000) {
		return ErrBadRequest{Field: "TargetSlowdown", Reason: "must be from 100 to 1000 percent"}
	}
	if change.PatienceMillis <= 0 {
		return ErrBadRequest{Field: "PatienceMillis", Reason: "must be positive"}
	}
	return first(identifier("Service", change.Service), identifier("Team", change.Team),
		duration("PatienceMillis", change.PatienceMillis), duration("RetentionMillis", change.RetentionMillis))
}

func (change TeamChange) check() error {
	return first(identifier("Team", change.Team), optional("Region", string(change.Region)), quantity("Quota", change.Quota))
}

func (loss WorkerLoss) check() error {
	if loss.Incarnation == 0 {
		return ErrBadRequest{Field: "Incarnation", Reason: "is required"}
	}
	return first(identifier("Worker", loss.Worker), short("Reason", loss.Reason))
}

func (submission JobSubmission) check() error {
	switch {
	case submission.Kind != worker.Batch && submission.Kind != worker.Standing:
		return ErrBadRequest{Field: "Kind", Reason: fmt.Sprintf("%q is neither Batch nor Standing", submission.Kind)}
	case submission.Tasks < 1 || submission.Tasks > maxTasks:
		return ErrBadRequest{Field: "Tasks", Reason: fmt.Sprintf("must be from 1 to %d", maxTasks)}
	case len(submission.Payload) > maxPayload:
		return ErrBadRequest{Field: "Payload", Reason: fmt.Sprintf("is larger than %d bytes", maxPayload)}
	case submission.Resources.CPU <= 0 || submission.Resources.Memory <= 0:
		return ErrBadRequest{Field: "Resources", Reason: "CPU and Memory must be positive"}
	}
	return first(identifier("Job", submission.Job), identifier("Team", submission.Team), optional("Class", submission.Class),
		quantity("Resources", submission.Resources),
		duration("PatienceMillis", submission.PatienceMillis))
}

func identifier[Name ~string](field string, name Name) error {
	if !ident.Valid(name) {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("%q is not an identifier (1 to 64 letters, digits, dots, dashes and underscores)", name)}
	}
	return nil
}

func optional(field, name string) error {
	if name == "" {
		return nil
	}
	return identifier(field, name)
}

func duration(field string, millis clock.Millis) error {
	if millis < 0 || millis > maxDuration {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("must be from 0 to %s", maxDuration)}
	}
	return nil
}

func quantity(field string, resources unit.Resources) error {
	if resources.Negative() || resources.CPU > maxQuantity || resources.Memory > maxQuantity || resources.Accelerators > maxQuantity {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("each component must be from 0 to %d", int64(maxQuantity))}
	}
	return nil
}

func short(field, given string) error {
	if len(given) > maxReason {
		return ErrBadRequest{Field: field, Reason: fmt.Sprintf("is longer than %d bytes", maxReason)}
	}
	return nil
}

// first returns the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
