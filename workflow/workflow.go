// Package workflow models jobs that consist of steps of equal tasks. Steps may depend on each other,
// and a job may occur several times.
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
	// Service names the workers that may run a job's tasks.
	Service string
	// Run numbers the starts of a task, from 1. The members of a gang share it.
	Run int
	// Checkpoint is the saved progress of a task; empty means none.
	Checkpoint string
)

// Step is a group of equal tasks.
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
	// OneRack reports that a gang is slower on more than one rack.
	OneRack bool `json:",omitempty"`
	// Label must be among the labels of the worker, unless empty.
	Label string `json:",omitempty"`
	// DataRack is the rack that holds the data; tasks are slower elsewhere.
	DataRack string `json:",omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 means no bound.
	PerWorker int `json:",omitempty"`
	// Copies reports that several runs of a task may be active at the same time.
	Copies bool `json:",omitempty"`
	// Standing tasks run until the job is cancelled.
	Standing bool `json:",omitempty"`
	// Image names what the tasks execute.
	Image string `json:",omitempty"`
	// Target bounds the tail latency of a standing task that serves users; 0 means none.
	Target clock.Millis `json:",omitempty"`
	// Fills reports that the tasks use processor time that others leave; their CPU is not reserved.
	Fills bool `json:",omitempty"`
	// MayMiss is the number of tasks of a standing step that may be away through planned actions.
	MayMiss int `json:",omitempty"`
}

// Reserved is what a task of the step takes from its worker's capacity.
func (step Step) Reserved() unit.Resources {
	need := step.Need
	if step.Fills {
		need.CPU = 0
	}
	return need
}

// Policy holds what the queue decides about a job.
type Policy struct {
	// Priority orders jobs; 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task that fails the job.
	MaxAttempts int
	// Slack times the longest chain of work, plus Latency, is the time in which the job should finish.
	Slack   float64
	Latency clock.Millis
}

// Spec is a job as it was accepted.
type Spec struct {
	ID      ID
	Queue   Queue
	Service Service
	// Payload is passed to the tasks unchanged.
	Payload string
	Steps   []Step
	Policy  Policy
	// Repetitions is the number of occurrences of a scheduled job; 0 for a job that runs once at once.
	Repetitions int `json:",omitempty"`
	// StartAt is the time of day of the first occurrence in Unix milliseconds.
	StartAt int64 `json:",omitempty"`
	// Interval separates the occurrences.
	Interval clock.Millis `json:",omitempty"`
	// Accepted is the store's clock at the submission.
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

// ErrBadName reports a task name that has not the form that Name.String writes.
type ErrBadName struct {
	Name string
}

// Error describes the name.
func (err ErrBadName) Error() string {
	return fmt.Sprintf("task name %q has not the form job.occurrence.step.index", err.Name)
}

// ParseName parses the form that Name.String writes. Error: ErrBadName.
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
