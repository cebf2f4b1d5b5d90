package workflow

import (
	"encoding/json"
	"fmt"
	"slices"

	"hyssopjunction/clock"
)

// stateRow is the stored form of a job's state. The JSON names are short because the row is rewritten with each
// change.
type stateRow struct {
	State State `json:"S"`
	Next  int   `json:"N"`
	// Workers holds the worker incarnations to which taskRow.Worker refers by position.
	Workers     []string        `json:"W,omitempty"`
	Occurrences []occurrenceRow `json:"O,omitempty"`
	// Superseded holds runs that a leader of an earlier version does not see. It stops runs that it does not know.
	Superseded []supersededRow `json:"X,omitempty"`
	// Crashes is lost if a leader of an earlier version writes the row. The count then starts anew.
	Crashes []crashRow `json:"D,omitempty"`
}

// crashRow is the stored form of a crash.
type crashRow struct {
	Occurrence int          `json:"K,omitempty"`
	Step       int          `json:"s,omitempty"`
	Index      int          `json:"i,omitempty"`
	Run        Run          `json:"r"`
	Worker     int          `json:"w,omitempty"`
	Age        clock.Millis `json:"a,omitempty"`
	Alone      bool         `json:"l,omitempty"`
}

// supersededRow is the stored form of a superseded run.
type supersededRow struct {
	Occurrence int `json:"K,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	Run        Run `json:"r"`
	Worker     int `json:"w,omitempty"`
}

// occurrenceRow is the stored form of an occurrence.
type occurrenceRow struct {
	Number int       `json:"K,omitempty"`
	Tasks  []taskRow `json:"T,omitempty"`
}

// taskRow is the stored form of a task. Tasks that never had a run are not stored. A leader of an earlier version sees
// only the last run: while another one is active and the last run is not, it sees a waiting task.
type taskRow struct {
	Step     int        `json:"s,omitempty"`
	Index    int        `json:"i,omitempty"`
	Phase    Phase      `json:"p,omitempty"`
	Run      Run        `json:"r"`
	Worker   int        `json:"w,omitempty"`
	Failures int        `json:"f,omitempty"`
	Saved    Checkpoint `json:"c,omitempty"`
	// Other is the number of Task.Other, and OtherWorker its worker as Worker is that of Run.
	Other       Run `json:"o,omitempty"`
	OtherWorker int `json:"u,omitempty"`
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

// EncodeState encodes the job's state, whatever its size. The spec is stored separately.
func EncodeState(job *Job) ([]byte, error) { return json.Marshal(newStateRow(job)) }

// newStateRow returns the stored form of the job's state.
func newStateRow(job *Job) stateRow {
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
				if task.Other.Run != 0 {
					encodedTask.Other, encodedTask.OtherWorker = task.Other.Run, row.workerIndex(task.Other.Worker)
				}
				switch {
				case task.Phase != Active:
				case task.Worker == "":
					encodedTask.Phase = Waiting
				default:
					encodedTask.Worker = row.workerIndex(task.Worker)
				}
				encodedOccurrence.Tasks = append(encodedOccurrence.Tasks, encodedTask)
			}
		}
		if !final || len(encodedOccurrence.Tasks) > 0 {
			row.Occurrences = append(row.Occurrences, encodedOccurrence)
		}
	}
	for _, run := range job.Superseded {
		row.Superseded = append(row.Superseded, supersededRow{
			Occurrence: run.Name.Occurrence, Step: run.Name.Step, Index: run.Name.Index, Run: run.Run, Worker: row.workerIndex(run.Worker),
		})
	}
	if !final {
		for _, crash := range job.Crashes {
			row.Crashes = append(row.Crashes, crashRow{
				Occurrence: crash.Name.Occurrence, Step: crash.Name.Step, Index: crash.Name.Index, Run: crash.Run,
				Worker: row.workerIndex(crash.Worker), Age: crash.Age, Alone: crash.Alone,
			})
		}
	}
	return row
}

// workerIndex returns the position of a worker in the list of the row, to which it adds the worker if needed.
func (row *stateRow) workerIndex(worker string) int {
	position := slices.Index(row.Workers, worker)
	if position < 0 {
		position = len(row.Workers)
		row.Workers = append(row.Workers, worker)
	}
	return position
}

// worker returns the worker at a position in the list of the row.
func (row *stateRow) worker(position int) (string, bool) {
	if position < 0 || position >= len(row.Workers) || row.Workers[position] == "" {
		return "", false
	}
	return row.Workers[position], true
}

// DecodeState decodes only the job's State from its stored state. Error: ErrCorrupt.
func DecodeState(id ID, data []byte) (State, error) {
	row, err := decodeStateRow(data)
	if err != nil {
		return "", ErrCorrupt{ID: id, Reason: err.Error()}
	}
	return row.State, nil
}

// Restore returns the job of the spec with its state as decoded from data. Error: ErrCorrupt.
func Restore(spec Spec, data []byte) (*Job, error) {
	row, err := decodeStateRow(data)
	if err != nil {
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
			if reason := row.restoreRuns(&task, storedTask, spec.Steps[storedTask.Step].MayHaveCopies()); reason != "" {
				return nil, ErrCorrupt{ID: spec.ID, Reason: reason}
			}
			if task.Phase == Done {
				occurrence.unfinished[storedTask.Step]--
			}
			occurrence.Steps[storedTask.Step][storedTask.Index] = task
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	for _, stored := range row.Superseded {
		worker, ok := row.worker(stored.Worker)
		if !ok || stored.Run < 1 || stored.Occurrence < 0 || stored.Occurrence >= row.Next ||
			stored.Step < 0 || stored.Step >= len(spec.Steps) || stored.Index < 0 || stored.Index >= spec.Steps[stored.Step].Count {
			return nil, ErrCorrupt{ID: spec.ID, Reason: "has a superseded run of no task, without a number or on no worker"}
		}
		name := Name{Job: spec.ID, Occurrence: stored.Occurrence, Step: stored.Step, Index: stored.Index}
		job.Superseded = append(job.Superseded, SupersededRun{Name: name, ActiveRun: ActiveRun{Run: stored.Run, Worker: worker}})
	}
	if reason := row.restoreCrashes(job); reason != "" {
		return nil, ErrCorrupt{ID: spec.ID, Reason: reason}
	}
	return job, nil
}

// restoreCrashes sets the crashes of a job from their stored form. It returns what is wrong with that, or an empty string.
func (row *stateRow) restoreCrashes(job *Job) string {
	for _, stored := range row.Crashes {
		worker, ok := row.worker(stored.Worker)
		if !ok || stored.Run < 1 || stored.Age < 0 || stored.Occurrence < 0 || stored.Occurrence >= row.Next ||
			stored.Step < 0 || stored.Step >= len(job.Spec.Steps) || stored.Index < 0 || stored.Index >= job.Spec.Steps[stored.Step].Count {
			return "has a crash of no task, without a run number or a worker"
		}
		job.Crashes = append(job.Crashes, Crash{
			Name: Name{Job: job.Spec.ID, Occurrence: stored.Occurrence, Step: stored.Step, Index: stored.Index},
			Run:  stored.Run, Worker: worker, Age: stored.Age, Alone: stored.Alone,
		})
	}
	return ""
}

// restoreRuns sets the active runs of a task from its stored form. It returns what is wrong with that, or an empty string.
func (row *stateRow) restoreRuns(task *Task, stored taskRow, copies bool) string {
	if task.Phase == Active {
		worker, ok := row.worker(stored.Worker)
		if !ok {
			return "refers to a worker that it does not list"
		}
		task.Worker = worker
	}
	if stored.Other == 0 {
		return ""
	}
	if !copies || task.Phase == Done || stored.Other < 0 || stored.Other >= stored.Run {
		return "has a second run of a task that is done or must have one run, or one whose number is not lower than that of the last run"
	}
	worker, ok := row.worker(stored.OtherWorker)
	task.Phase, task.Other = Active, ActiveRun{Run: stored.Other, Worker: worker}
	if !ok || worker == task.Worker {
		return "has a second run on the worker of the last run, or on one that it does not list"
	}
	return ""
}
