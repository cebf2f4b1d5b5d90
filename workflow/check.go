package workflow

import (
	"errors"
	"fmt"
	"strings"

	"hyssopjunction/clock"
)

// Limits of a submission. They keep the core of a job's state below the store's limit on the size of a row; FitState leaves out
// what does not fit.
const (
	maxSteps        = 64
	maxTasks        = 1000
	maxPayloadBytes = 4000
	// maxRepetitions limits the occurrences of a scheduled job.
	maxRepetitions = 1000
	// maxNumber limits requirements and times, so that sums over all tasks of a worker or steps of a job do not overflow.
	maxNumber = 1 << 40
)

// ErrInvalid reports a field of a submission that cannot be accepted.
type ErrInvalid struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (err ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", err.Field, err.Reason) }

// IsErrInvalid reports whether err is or wraps an ErrInvalid.
func IsErrInvalid(err error) bool { return errors.As(err, new(ErrInvalid)) }

// Check returns an ErrInvalid for the first field that cannot be accepted, or nil.
func (spec Spec) Check() error {
	if len(spec.Payload) > maxPayloadBytes {
		return ErrInvalid{Field: "Payload", Reason: fmt.Sprintf("longer than %d bytes", maxPayloadBytes)}
	}
	if len(spec.Steps) == 0 || len(spec.Steps) > maxSteps {
		return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("must hold 1 to %d steps", maxSteps)}
	}
	if spec.Repetitions < 0 || spec.Repetitions > maxRepetitions {
		return ErrInvalid{Field: "Repetitions", Reason: fmt.Sprintf("must be 0 to %d", maxRepetitions)}
	}
	tasks := 0
	for position, step := range spec.Steps {
		if err := step.check(position); err != nil {
			return err
		}
		if step.Count > maxTasks-tasks { // The sum may overflow.
			return ErrInvalid{Field: "Steps", Reason: fmt.Sprintf("hold more than %d tasks", maxTasks)}
		}
		tasks += step.Count
	}
	return nil
}

// check checks the step at the position.
func (step Step) check(position int) error {
	field := fmt.Sprintf("Steps[%d].", position)
	if step.Count < 1 {
		return ErrInvalid{Field: field + "Count", Reason: "must be positive"}
	}
	if !inRange(step.Need.CPU) || !inRange(step.Need.Memory) || !inRange(step.Need.Accelerators) {
		return ErrInvalid{Field: field + "Need", Reason: fmt.Sprintf("must be 0 to %d", maxNumber)}
	}
	if !inRange(step.Estimate) || !inRange(step.Target) || step.PerWorker < 0 || step.MayMiss < 0 {
		return ErrInvalid{Field: field + "Estimate, Target, PerWorker, MayMiss", Reason: fmt.Sprintf("must be 0 to %d", maxNumber)}
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= position {
			return ErrInvalid{Field: field + "After", Reason: "must name earlier steps"}
		}
	}
	return nil
}

// inRange reports whether a number is neither negative nor above maxNumber.
func inRange[Number ~int64](number Number) bool { return number >= 0 && number <= maxNumber }

// CriticalPath returns the length of the critical path: the longest sum of the submitter's estimates along a
// chain of dependent steps.
func (spec Spec) CriticalPath() clock.Millis {
	return spec.CriticalPathOf(func(step int) clock.Millis { return spec.Steps[step].Estimate })
}

// TimeFunc returns how long a task of a step takes.
type TimeFunc func(step int) clock.Millis

// CriticalPathOf returns the length of the critical path if the tasks take the given times.
func (spec Spec) CriticalPathOf(times TimeFunc) clock.Millis {
	longest := clock.Millis(0)
	ends := make([]clock.Millis, len(spec.Steps))
	for position, step := range spec.Steps {
		begin := clock.Millis(0)
		for _, earlier := range step.After {
			begin = max(begin, ends[earlier])
		}
		ends[position] = begin + times(position)
		longest = max(longest, ends[position])
	}
	return longest
}

// Objective returns the time within which the job should finish after its acceptance, by the submitter's estimates.
func (spec Spec) Objective() clock.Millis { return spec.ObjectiveFor(spec.CriticalPath()) }

// ObjectiveFor returns the time within which the job should finish if its critical path has the given length.
func (spec Spec) ObjectiveFor(path clock.Millis) clock.Millis {
	return clock.Millis(spec.Policy.Slack*float64(path)) + spec.Policy.Latency
}

// idLength is the length of a job's id in digits.
const idLength = 16

// ValidID reports whether text has the form of a job's id: 16 hexadecimal digits.
func ValidID(text string) bool {
	if len(text) != idLength {
		return false
	}
	for _, digit := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", digit) {
			return false
		}
	}
	return true
}
