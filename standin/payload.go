package standin

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// minWave bounds the number of simulated changes of load.
const minWave = 100 * clock.Millisecond

// quietPercent is the load of a task in the quiet part of its wave.
const quietPercent = 25

// Payload tells a simulated task how to behave. It is the JSON form of worker.Spec.Payload.
type Payload struct {
	// RunMillis is the run time of a batch task that runs alone and unthrottled.
	RunMillis clock.Millis
	// FailAfterMillis is the progress at which the task fails; 0 means that it does not fail.
	FailAfterMillis clock.Millis
	// ActualCPU is the processor time the task really uses; 0 means 90% of its size.
	ActualCPU unit.MilliCPU
	// ActualMemory is the memory the task really uses; 0 means 90% of its size.
	ActualMemory unit.Mebibytes
	// PeakMemory is the memory that the task needs halfway through RunMillis. With a smaller size it
	// ends there for lack of memory. 0 means ActualMemory.
	PeakMemory unit.Mebibytes
	// WaveMillis makes the task alternate between full load and quietPercent of it, each for
	// WaveMillis; 0 means constant load. Its own progress does not change.
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

// ParsePayload reads the JSON form. An empty string is a task that finishes at once.
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

// usedPercent is the part of its size that a task uses if its payload does not say. A task that used
// its whole size would look as if it needed a larger one each time it is placed.
const usedPercent = 90

// actual returns what the task uses when it is not throttled.
func (payload Payload) actual(declared unit.Resources) unit.Resources {
	declared.CPU = declared.CPU * usedPercent / 100
	declared.Memory = declared.Memory * usedPercent / 100
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
