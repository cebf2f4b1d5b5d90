package workflow

import (
	"encoding/json"
	"fmt"
	"slices"
)

// stateRow is the stored form of a job's state. The JSON names are short because the row is rewritten with each
// change.
type stateRow struct {
	State State `json:"S"`
	Next  int   `json:"N"`
	// Workers holds the worker incarnations to which taskRow.Worker refers by position.
	Workers     []string        `json:"W,omitempty"`
	Occurrences []occurrenceRow `json:"O,omitempty"`
}

// occurrenceRow is the stored form of an occurrence.
type occurrenceRow struct {
	Number int       `json:"K,omitempty"`
	Tasks  []taskRow `json:"T,omitempty"`
}

// taskRow is the stored form of a task. Tasks that never had a run are not stored.
type taskRow struct {
	Step     int        `json:"s,omitempty"`
	Index    int        `json:"i,omitempty"`
	Phase    Phase      `json:"p,omitempty"`
	Run      Run        `json:"r"`
	Worker   int        `json:"w,omitempty"`
	Failures int        `json:"f,omitempty"`
	Saved    Checkpoint `json:"c,omitempty"`
}

// ErrCorrupt reports a stored job that cannot be decoded.
type ErrCorrupt struct {
	ID     ID
	Reason string
}

// Error names the job and the reason.
func (err ErrCorrupt) Error() string { return fmt.Sprintf("stored job %s: %s", err.ID, err.Reason) }

// EncodeSpec encodes a spec for the store.
func EncodeSpec(spec Spec) ([]byte, error) { return json.Marshal(spec) }

// DecodeSpec decodes a stored spec, which must be that of the job with the id. Error: ErrCorrupt.
func DecodeSpec(id ID, data []byte) (Spec, error) {
	var spec Spec
	if err := json.Unmarshal(data, &spec); err != nil {
		return Spec{}, ErrCorrupt{ID: id, Reason: err.Error()}
	}
	if spec.ID != id {
		return Spec{}, ErrCorrupt{ID: id, Reason: fmt.Sprintf("names job %s", spec.ID)}
	}
	if err := spec.Check(); err != nil {
		return Spec{}, ErrCorrupt{ID: id, Reason: err.Error()}
	}
	return spec, nil
}

// EncodeState encodes the job's state for the store. The spec is stored separately.
func EncodeState(job *Job) ([]byte, error) {
	row := stateRow{State: job.State, Next: job.Next}
	final := job.State.Final()
	for _, occurrence := range job.Occurrences {
		encodedOccurrence := occurrenceRow{Number: occurrence.Number}
		for step, tasks := range occurrence.Steps {
			for index, task := range tasks {
				if task.Run == 0 || final && task.Phase != Active {
					continue // Of a final job only the runs that must still be stopped are stored.
				}
				encodedTask := taskRow{Step: step, Index: index, Phase: task.Phase, Run: task.Run, Failures: task.Failures}
				if task.Phase != Done {
					encodedTask.Saved = task.Saved
				}
				if task.Phase == Active {
					if encodedTask.Worker = slices.Index(row.Workers, task.Worker); encodedTask.Worker < 0 {
						encodedTask.Worker = len(row.Workers)
						row.Workers = append(row.Workers, task.Worker)
					}
				}
				encodedOccurrence.Tasks = append(encodedOccurrence.Tasks, encodedTask)
			}
		}
		if !final || len(encodedOccurrence.Tasks) > 0 {
			row.Occurrences = append(row.Occurrences, encodedOccurrence)
		}
	}
	return json.Marshal(row)
}

// DecodeState decodes only the job's State from its stored state. Error: ErrCorrupt.
func DecodeState(id ID, data []byte) (State, error) {
	var row stateRow
	if err := json.Unmarshal(data, &row); err != nil {
		return "", ErrCorrupt{ID: id, Reason: err.Error()}
	}
	return row.State, nil
}

// Restore returns the job of the spec with its state as decoded from data. Error: ErrCorrupt.
func Restore(spec Spec, data []byte) (*Job, error) {
	var row stateRow
	if err := json.Unmarshal(data, &row); err != nil {
		return nil, ErrCorrupt{ID: spec.ID, Reason: err.Error()}
	}
	job := New(spec)
	job.State, job.Next = row.State, row.Next
	for _, storedOccurrence := range row.Occurrences {
		if storedOccurrence.Number < 0 || storedOccurrence.Number >= row.Next || row.Next > job.Total() {
			return nil, ErrCorrupt{ID: spec.ID, Reason: "has an occurrence that is not due"}
		}
		occurrence := job.newOccurrence(storedOccurrence.Number)
		for _, storedTask := range storedOccurrence.Tasks {
			if !occurrence.hasTask(storedTask.Step, storedTask.Index) {
				return nil, ErrCorrupt{ID: spec.ID, Reason: "has a task that the spec lacks"}
			}
			if storedTask.Run < 1 || storedTask.Phase > Done || occurrence.Steps[storedTask.Step][storedTask.Index].Run != 0 {
				return nil, ErrCorrupt{ID: spec.ID, Reason: "has a task without a run, in no known phase, or twice"}
			}
			task := Task{Phase: storedTask.Phase, Run: storedTask.Run, Failures: storedTask.Failures, Saved: storedTask.Saved}
			if task.Phase == Active {
				if storedTask.Worker < 0 || storedTask.Worker >= len(row.Workers) {
					return nil, ErrCorrupt{ID: spec.ID, Reason: "refers to a worker that it does not list"}
				}
				task.Worker = row.Workers[storedTask.Worker]
			}
			if task.Phase == Done {
				occurrence.unfinished[storedTask.Step]--
			}
			occurrence.Steps[storedTask.Step][storedTask.Index] = task
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	return job, nil
}
