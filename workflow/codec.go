package workflow

import (
	"encoding/json"
	"fmt"
	"slices"
)

// row is the stored state of a job. Names are short because rows are rewritten with each change.
type row struct {
	State State `json:"S"`
	Next  int   `json:"N"`
	// Workers holds the incarnations that the tasks refer to by position.
	Workers     []string        `json:"W,omitempty"`
	Occurrences []occurrenceRow `json:"O,omitempty"`
}

type occurrenceRow struct {
	Number int       `json:"K,omitempty"`
	Tasks  []taskRow `json:"T,omitempty"`
}

// taskRow is a task that had a run. Tasks without one are left out.
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

// Error describes the fault.
func (err ErrCorrupt) Error() string { return fmt.Sprintf("stored job %s: %s", err.ID, err.Reason) }

// EncodeSpec returns the stored form of a spec.
func EncodeSpec(spec Spec) ([]byte, error) { return json.Marshal(spec) }

// DecodeSpec returns the spec with the id. Error: ErrCorrupt.
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

// EncodeState returns the stored form of the job's state. The spec is stored apart.
func EncodeState(job *Job) ([]byte, error) {
	stored := row{State: job.State, Next: job.Next}
	final := job.State.Final()
	for _, occurrence := range job.Occurrences {
		kept := occurrenceRow{Number: occurrence.Number}
		for step, tasks := range occurrence.Steps {
			for index, task := range tasks {
				if task.Run == 0 || final && task.Phase != Active {
					continue // Of a final job only what is being stopped matters.
				}
				encoded := taskRow{Step: step, Index: index, Phase: task.Phase, Run: task.Run, Failures: task.Failures}
				if task.Phase != Done {
					encoded.Saved = task.Saved
				}
				if task.Phase == Active {
					if encoded.Worker = slices.Index(stored.Workers, task.Worker); encoded.Worker < 0 {
						encoded.Worker = len(stored.Workers)
						stored.Workers = append(stored.Workers, task.Worker)
					}
				}
				kept.Tasks = append(kept.Tasks, encoded)
			}
		}
		if !final || len(kept.Tasks) > 0 {
			stored.Occurrences = append(stored.Occurrences, kept)
		}
	}
	return json.Marshal(stored)
}

// DecodeStateOf returns only the state of a stored job. Error: ErrCorrupt.
func DecodeStateOf(id ID, data []byte) (State, error) {
	var stored row
	if err := json.Unmarshal(data, &stored); err != nil {
		return "", ErrCorrupt{ID: id, Reason: err.Error()}
	}
	return stored.State, nil
}

// Restore returns the job of spec in its stored state. Error: ErrCorrupt.
func Restore(spec Spec, data []byte) (*Job, error) {
	var stored row
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, ErrCorrupt{ID: spec.ID, Reason: err.Error()}
	}
	job := New(spec)
	job.State, job.Next = stored.State, stored.Next
	for _, kept := range stored.Occurrences {
		if kept.Number < 0 || kept.Number >= stored.Next || stored.Next > job.Total() {
			return nil, ErrCorrupt{ID: spec.ID, Reason: "has an occurrence that is not due"}
		}
		occurrence := job.newOccurrence(kept.Number)
		for _, encoded := range kept.Tasks {
			if !occurrence.has(encoded.Step, encoded.Index) {
				return nil, ErrCorrupt{ID: spec.ID, Reason: "has a task that the spec lacks"}
			}
			if encoded.Run < 1 || encoded.Phase > Done || occurrence.Steps[encoded.Step][encoded.Index].Run != 0 {
				return nil, ErrCorrupt{ID: spec.ID, Reason: "has a task without a run, in no known phase, or twice"}
			}
			task := Task{Phase: encoded.Phase, Run: encoded.Run, Failures: encoded.Failures, Saved: encoded.Saved}
			if task.Phase == Active {
				if encoded.Worker < 0 || encoded.Worker >= len(stored.Workers) {
					return nil, ErrCorrupt{ID: spec.ID, Reason: "refers to a worker that it does not list"}
				}
				task.Worker = stored.Workers[encoded.Worker]
			}
			if task.Phase == Done {
				occurrence.left[encoded.Step]--
			}
			occurrence.Steps[encoded.Step][encoded.Index] = task
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	return job, nil
}
