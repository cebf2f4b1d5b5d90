package workflow

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"hyssopjunction/set"
)

// maxUnpackedBytes limits a compressed state after decompression.
const maxUnpackedBytes = 16 << 20

// ErrTooLarge reports a job whose state does not fit in a row.
type ErrTooLarge struct {
	ID    ID
	Bytes int
}

// Error names the job and the size.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("state of job %s takes %d bytes", err.ID, err.Bytes)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool { return errors.As(err, new(ErrTooLarge)) }

// FittedState is a job's state as it is stored in a row of limited size.
type FittedState struct {
	Value []byte
	// OmittedCrashes and OmittedCheckpoints count what was left out. A later leader does not know of these crashes, and
	// resumes these tasks from their beginning.
	OmittedCrashes, OmittedCheckpoints int
	Compressed                         bool
}

// FitState encodes the job's state in at most maxBytes. If it is larger, crashes are left out, those of the least suspected
// tasks first, and then checkpoints, the longest first. A state that does not fit without them is compressed instead, and
// nothing is left out. Leaders of an earlier version cannot decode that. Error: ErrTooLarge.
func FitState(job *Job, maxBytes int) (FittedState, error) {
	row := newStateRow(job)
	value, err := json.Marshal(row)
	if err != nil || len(value) <= maxBytes {
		return FittedState{Value: value}, err
	}
	full := value
	var fitted FittedState
	excess := len(value) - maxBytes
	fitted.OmittedCrashes, excess = row.omitCrashes(job, excess)
	fitted.OmittedCheckpoints, excess = row.omitCheckpoints(job, excess)
	if excess <= 0 {
		fitted.Value, err = json.Marshal(row)
		return fitted, err
	}
	packed, err := pack(full)
	if err != nil {
		return FittedState{}, err
	}
	if len(packed) > maxBytes {
		return FittedState{}, ErrTooLarge{ID: job.Spec.ID, Bytes: len(packed)}
	}
	return FittedState{Value: packed, Compressed: true}, nil
}

// omitCrashes removes crashes until the row is shorter by the excess, as far as there are any. It returns their number and
// what is left of the excess.
func (row *stateRow) omitCrashes(job *Job, excess int) (count, left int) {
	type task struct{ step, index int }
	suspicion := map[task]int{}
	for _, crash := range job.Crashes {
		suspicion[task{crash.Name.Step, crash.Name.Index}]++
	}
	order := make([]int, len(row.Crashes))
	for position := range order {
		order[position] = position
	}
	slices.SortStableFunc(order, func(left, right int) int {
		first, second := row.Crashes[left], row.Crashes[right]
		// Runs that were started long before the crash are the least likely cause.
		return cmp.Or(cmp.Compare(suspicion[task{first.Step, first.Index}], suspicion[task{second.Step, second.Index}]), cmp.Compare(second.Age, first.Age))
	})
	for excess > 0 && count < len(order) {
		excess -= encodedLength(row.Crashes[order[count]]) + 1
		count++
	}
	var kept []crashRow
	for _, position := range set.Sorted(set.New(order[count:]...)) {
		kept = append(kept, row.Crashes[position])
	}
	row.Crashes = kept
	return count, excess
}

// omitCheckpoints removes checkpoints until the row is shorter by the excess, as far as there are any. The members of a gang
// must resume from the same checkpoint, so all of them lose theirs. It returns the number and what is left of the excess.
func (row *stateRow) omitCheckpoints(job *Job, excess int) (count, left int) {
	var saved []*taskRow
	for position := range row.Occurrences {
		for index := range row.Occurrences[position].Tasks {
			if task := &row.Occurrences[position].Tasks[index]; task.Saved != "" {
				saved = append(saved, task)
			}
		}
	}
	slices.SortStableFunc(saved, func(left, right *taskRow) int { return cmp.Compare(len(right.Saved), len(left.Saved)) })
	gangs := map[int]bool{}
	for _, task := range saved {
		isGang := job.Spec.Steps[task.Step].Gang
		if excess <= 0 && (!isGang || !gangs[task.Step]) {
			continue
		}
		gangs[task.Step] = isGang
		before := encodedLength(task)
		task.Saved = ""
		excess -= before - encodedLength(task)
		count++
	}
	return count, excess
}

// encodedLength returns the length of a part of a row. Its types have no value that cannot be encoded.
func encodedLength(part any) int {
	data, _ := json.Marshal(part)
	return len(data)
}

// pack compresses an encoded state.
func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("compressing a state: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing a state: %w", err)
	}
	return packed.Bytes(), nil
}

// decodeStateRow decodes a state, compressed or not.
func decodeStateRow(data []byte) (stateRow, error) {
	var row stateRow
	if len(data) > 0 && data[0] != '{' {
		reader, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return row, fmt.Errorf("decompressing a state: %w", err)
		}
		if data, err = io.ReadAll(io.LimitReader(reader, maxUnpackedBytes)); err != nil {
			return row, fmt.Errorf("decompressing a state: %w", err)
		}
	}
	return row, json.Unmarshal(data, &row)
}
