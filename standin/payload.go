package standin

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// minWave is the minimum of WaveMillis. It limits the number of simulated load changes.
const minWave = 100 * clock.Millisecond

// lowLoadPercent is the load of a task in the low half of its wave, in percent of its full
// load.
const lowLoadPercent = 25

// Payload determines the behaviour of a simulated task. Its JSON form is the payload in
// worker.Spec.
type Payload struct {
	// RunMillis is the run time of a batch task that runs alone and unthrottled.
	RunMillis clock.Millis
	// FailAfterMillis is the progress at which the task fails; 0 means never.
	FailAfterMillis clock.Millis
	// ActualCPU is the processor time that the task uses; 0 means 90% of its size.
	ActualCPU unit.MilliCPU
	// ActualMemory is the memory that the task uses; 0 means 90% of its size.
	ActualMemory unit.Mebibytes
	// PeakMemory is the memory that the task needs halfway through RunMillis; 0 means ActualMemory.
	// If it exceeds the task's size, the task ends there for lack of memory.
	PeakMemory unit.Mebibytes
	// WaveMillis makes the task alternate between full load and lowLoadPercent of it, each for
	// WaveMillis; 0 means constant load. The progress of the task itself is not affected.
	WaveMillis clock.Millis
	// Class selects the task's row and column of the interference matrix.
	Class string
}

// ErrBadPayload reports a payload that is not the JSON form of a Payload.
type ErrBadPayload struct {
	Reason string
}

// Error describes the payload.
func (err ErrBadPayload) Error() string {
	return "bad payload: " + err.Reason
}

// IsErrBadPayload reports whether err is an ErrBadPayload.
func IsErrBadPayload(err error) bool {
	_, ok := err.(ErrBadPayload)
	return ok
}

// ParsePayload reads the JSON form. An empty string is a task that finishes at once. It fails with
// ErrBadPayload.
func ParsePayload(text string) (Payload, error) {
	var payload Payload
	if text == "" {
		return payload, nil
	}
	if err := json.Unmarshal([]byte(text), &payload); err != nil {
		return Payload{}, ErrBadPayload{Reason: err.Error()}
	}
	if payload.RunMillis < 0 || payload.FailAfterMillis < 0 || payload.ActualCPU < 0 || payload.ActualMemory < 0 || payload.PeakMemory < 0 {
		return Payload{}, ErrBadPayload{Reason: "values must not be negative"}
	}
	if payload.WaveMillis != 0 && payload.WaveMillis < minWave {
		return Payload{}, ErrBadPayload{Reason: fmt.Sprintf("WaveMillis must be 0 or at least %d", minWave)}
	}
	return payload, nil
}

// String returns the JSON form.
func (payload Payload) String() string {
	text, err := json.Marshal(payload)
	if err != nil {
		return fmt.Sprintf("%q", err.Error())
	}
	return string(text)
}

// defaultUsagePercent is the part of its size that a task uses by default. A task that used its
// whole size would seem to need a larger one each time it is placed.
const defaultUsagePercent = 90

// actualUsage returns the resources that the task uses without a throttle.
func (payload Payload) actualUsage(declared unit.Resources) unit.Resources {
	declared.CPU = declared.CPU * defaultUsagePercent / 100
	declared.Memory = declared.Memory * defaultUsagePercent / 100
	if payload.ActualCPU > 0 {
		declared.CPU = payload.ActualCPU
	}
	if payload.ActualMemory > 0 {
		declared.Memory = payload.ActualMemory
	}
	return declared
}

// savedState is the JSON form of a checkpoint in the object store.
type savedState struct {
	Task           string
	Epoch          uint64
	ProgressMillis clock.Millis
}

func checkpointOf(spec worker.Spec) worker.Checkpoint {
	return worker.Checkpoint{Epoch: spec.Epoch, Name: fmt.Sprintf("Checkpoint/%s/%d", spec.Task, spec.Epoch)}
}
