// Package workflow models jobs that consist of steps, each with a number of equal tasks. Steps may depend on
// earlier steps, and a scheduled job repeats its steps in several occurrences.
package workflow

import (
	"fmt"
	"strconv"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

type (
	// ID identifies a job. Callers choose it.
	ID string
	// Queue names the queue that a job was submitted to.
	Queue string
	// Service names the group of workers that may run a job's tasks.
	Service string
	// Run numbers the runs of a task from 1. The members of a gang have the same number.
	Run int
	// Checkpoint is the saved progress of a task; empty means none.
	Checkpoint string
)

// Step is a group of Count equal tasks. Need is what each of them requests.
type Step struct {
	Count int
	Need  unit.Resources
	// Estimate is the submitter's estimate of a task's run time.
	Estimate clock.Millis `json:",omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:",omitempty"`
	// Checkpoints reports that tasks save their progress.
	Checkpoints bool `json:",omitempty"`
	// Gang reports that the tasks run together or not at all.
	Gang bool `json:",omitempty"`
	// OneRack reports that a gang runs more slowly on more than one rack.
	OneRack bool `json:",omitempty"`
	// Label is a label that the worker must have; empty means none is required.
	Label string `json:",omitempty"`
	// DataRack is the rack that holds the input data; tasks run more slowly on other racks.
	DataRack string `json:",omitempty"`
	// PerWorker limits the tasks of the step on one worker; 0 means no limit.
	PerWorker int `json:",omitempty"`
	// Copies reports that two runs of a task may be active concurrently; see MayHaveCopies.
	Copies bool `json:",omitempty"`
	// Standing reports that the tasks run until the job is cancelled.
	Standing bool `json:",omitempty"`
	// Image names the program image of the tasks.
	Image string `json:",omitempty"`
	// Target is the limit on the tail latency of a serving task; 0 means none.
	Target clock.Millis `json:",omitempty"`
	// Fills reports that the tasks are filling tasks: they use cores left idle by serving tasks, and their
	// CPU is not reserved.
	Fills bool `json:",omitempty"`
	// MayMiss is the number of tasks of a standing step that may be missing at the same time because of
	// planned actions.
	MayMiss int `json:",omitempty"`
}

// MayHaveCopies reports whether a task of the step may have two runs. The members of a gang run together, a standing task
// ends only when its job is cancelled, and filling tasks are paced by task.
func (step Step) MayHaveCopies() bool {
	return step.Copies && !step.Gang && !step.Standing && !step.Fills
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (step Step) Reserved() unit.Resources {
	need := step.Need
	if step.Fills {
		need.CPU = 0
	}
	return need
}

// Policy holds the settings of the queue that apply to a job.
type Policy struct {
	// Priority orders jobs; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails.
	MaxAttempts int
	// Slack and Latency give the time within which the job should finish: Slack times the length of the
	// critical path, plus Latency.
	Slack   float64
	Latency clock.Millis
}

// Spec is the specification of a job as it was accepted.
type Spec struct {
	ID      ID
	Queue   Queue
	Service Service
	// Payload is passed unchanged to the tasks.
	Payload string
	Steps   []Step
	Policy  Policy
	// Repetitions is the number of occurrences of a scheduled job, or 0 for a job that runs once and at once.
	Repetitions int `json:",omitempty"`
	// StartAt is the time of day of the first occurrence in Unix milliseconds.
	StartAt int64 `json:",omitempty"`
	// Interval is the time between the starts of occurrences.
	Interval clock.Millis `json:",omitempty"`
	// Accepted is the time of the store's clock at the submission.
	Accepted clock.Time
}

// Name identifies a task: its job, occurrence, step and index.
type Name struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String formats the name as "job.occurrence.step.index".
func (name Name) String() string {
	return string(name.Job) + "." + strconv.Itoa(name.Occurrence) + "." + strconv.Itoa(name.Step) + "." + strconv.Itoa(name.Index)
}

// ErrBadName reports a task name that does not have the form of Name.String.
type ErrBadName struct {
	Name string
}

// Error returns a message with the name and the expected form.
func (err ErrBadName) Error() string {
	return fmt.Sprintf("task name %q has not the form job.occurrence.step.index", err.Name)
}

// ParseName parses a name in the form of Name.String. Error: ErrBadName.
func ParseName(text string) (Name, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Name{}, ErrBadName{Name: text}
	}
	var numbers [3]int
	for position, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return Name{}, ErrBadName{Name: text}
		}
		numbers[position] = number
	}
	return Name{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
