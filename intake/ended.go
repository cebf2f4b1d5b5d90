package intake

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// EndedTable holds a short row for each job that ended, under its id. It takes the place of the rows of
// the inbox, so that a new leader reads the open jobs only. Rows of both tables about the same job can
// be joined in a transaction.
const EndedTable store.Table = "ended"

// Ended is what is kept of a job that ended.
type Ended struct {
	State workflow.State
	// At is the store's clock when the job's rows were replaced.
	At      clock.Time
	Queue   workflow.Queue
	Service workflow.Service
}

// Versions are the versions of a job's rows in the inbox.
type Versions struct {
	Submission store.Version
	// Cancellation is 0 for a job without one.
	Cancellation store.Version
}

func endedRef(id workflow.ID) store.Ref { return store.Ref{Table: EndedTable, Key: string(id)} }

// ArchiveTx replaces the rows of the inbox about a job by one of EndedTable. It has no effect if the
// rows are others than those that are named.
func ArchiveTx(id workflow.ID, stored Versions, ended Ended) (store.Tx, error) {
	value, err := json.Marshal(ended)
	if err != nil {
		return store.Tx{}, fmt.Errorf("encoding the end of job %s: %w", id, err)
	}
	tx := store.Tx{
		Conditions: []store.Condition{
			{Ref: ref(Submission, id), Version: stored.Submission}, {Ref: ref(Cancellation, id), Version: stored.Cancellation}, {Ref: endedRef(id)},
		},
		Puts:    []store.Put{{Ref: endedRef(id), Value: value}},
		Removes: []store.Ref{ref(Submission, id)},
	}
	if stored.Cancellation != 0 {
		tx.Removes = append(tx.Removes, ref(Cancellation, id))
	}
	return tx, nil
}

// IsArchived reports whether a conflict of ArchiveTx shows that the rows were replaced before.
func IsArchived(id workflow.ID, conflict store.ErrConflict) bool {
	return conflict.Row(endedRef(id)).Version != 0
}

// ForgetTx removes a row of EndedTable. The id may then be used for another job.
func ForgetTx(row store.Row) store.Tx {
	return store.Tx{Conditions: []store.Condition{{Ref: row.Ref, Version: row.Version}}, Removes: []store.Ref{row.Ref}}
}

// DecodeEnded returns what a row of EndedTable holds. Error: workflow.ErrCorrupt.
func DecodeEnded(row store.Row) (Ended, error) {
	var ended Ended
	id := workflow.ID(row.Key)
	if err := json.Unmarshal(row.Value, &ended); err != nil {
		return Ended{}, workflow.ErrCorrupt{ID: id, Reason: err.Error()}
	}
	if !ended.State.Final() {
		return Ended{}, workflow.ErrCorrupt{ID: id, Reason: fmt.Sprintf("ended in state %q", ended.State)}
	}
	return ended, nil
}
