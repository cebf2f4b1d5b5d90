package job

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// State is the state of a task.
type State string

// States of a task. Claimed, Running and Evicting tasks are live: they occupy the worker of their
// placement. Finished, Failed and Cancelled are final.
const (
	Waiting   State = "Waiting"
	Claimed   State = "Claimed"
	Running   State = "Running"
	Evicting  State = "Evicting"
	Finished  State = "Finished"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
	// Parked tasks are not placed until the condition in Task.Reason has changed.
	Parked State = "Parked"
)

// Live reports whether a task in this state may be running.
func (state State) Live() bool {
	return state == Claimed || state == Running || state == Evicting
}

// Final reports whether a task in this state never changes again.
func (state State) Final() bool {
	return state == Finished || state == Failed || state == Cancelled
}

// Placement is the worker that a live task is placed on.
type Placement struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
}

// Task is one task of a job.
type Task struct {
	State State
	// Epoch is the number of the newest placement; 0 means that the task was never placed.
	Epoch ident.Epoch
	// Placement and Size are set only while the task is live.
	Placement Placement
	Size      unit.Resources
	// Checkpoint is the newest saved progress, from which the next run resumes.
	Checkpoint worker.Checkpoint
	// Failures counts the runs that failed, Evictions those that were stopped before their end.
	Failures  int
	Evictions int
	// Reason is the cause for which the task is parked or failed.
	Reason string
}

// Row is the value of a job's row.
type Row struct {
	Spec Spec
	// Cancelled is set once a cancellation was accepted. No task is claimed afterwards; a live task
	// becomes Cancelled when its placement ends, unless it finished or failed.
	Cancelled bool
	// Waited is the time from the submission to the last write of the row. With it, the job keeps its
	// position in the queue at another home entry, whose clock cannot be compared with the old one's.
	Waited clock.Millis
	Tasks  []Task
}

// New returns the row of a submitted job, or ErrInvalidSpec.
func New(spec Spec) (*Row, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	row := &Row{Spec: spec, Tasks: make([]Task, spec.Count)}
	for index := range row.Tasks {
		row.Tasks[index].State = Waiting
	}
	return row, nil
}

// Submission returns the transaction that creates the job's row. It conflicts if the row exists or was
// deleted, so that a job name is never used twice. The error is ErrInvalidSpec.
func Submission(spec Spec, write ident.Write) (table.Transaction, error) {
	row, err := New(spec)
	if err != nil {
		return table.Transaction{}, err
	}
	return table.Transaction{
		Write:      write,
		Conditions: []table.Condition{{Key: Key(spec.Job)}},
		Operations: []table.Operation{{Key: Key(spec.Job), Value: row.Encode()}},
	}, nil
}

// Clone returns a copy that Apply can change without an effect on the original.
func (row *Row) Clone() *Row {
	clone := *row
	clone.Tasks = append([]Task(nil), row.Tasks...)
	return &clone
}

// Usage returns the sum of the sizes of the live tasks.
func (row *Row) Usage() unit.Resources {
	var sum unit.Resources
	for index := range row.Tasks {
		if row.Tasks[index].State.Live() {
			sum = sum.Add(row.Tasks[index].Size)
		}
	}
	return sum
}

// Count returns the number of tasks in the state.
func (row *Row) Count(state State) int {
	count := 0
	for index := range row.Tasks {
		if row.Tasks[index].State == state {
			count++
		}
	}
	return count
}

// Final reports whether all tasks are in a final state.
func (row *Row) Final() bool {
	for index := range row.Tasks {
		if !row.Tasks[index].State.Final() {
			return false
		}
	}
	return true
}
