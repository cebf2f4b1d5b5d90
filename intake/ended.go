package intake

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// EndedTable holds a short row for each archived job, under its id, and tombstones. It replaces the job's rows in the inbox,
// so that a new leader reads only the jobs that are not archived. One transaction can contain the rows of
// a job in both tables.
const EndedTable store.Table = "ended"

// Ended is the record of an archived job.
type Ended struct {
	State workflow.State
	// At is the time of the store's clock at which the job was archived.
	At      clock.Time
	Queue   workflow.Queue
	Service workflow.Service
	// Tombstone reports that the job was never stored, but cancelled: the row keeps a submission that is on its way from being stored.
	// State is workflow.Cancelled then, because earlier versions of the program take the row for that of a job.
	Tombstone bool `json:",omitempty"`
}

// Retention returns how long the record is kept; that of jobs is given.
func (ended Ended) Retention(ofJobs clock.Millis) clock.Millis {
	if ended.Tombstone {
		return TombstoneRetention
	}
	return ofJobs
}

// keptFor returns how long a tombstone is kept from now on, or 0 if the time of the store is not known.
func (ended Ended) keptFor(now clock.Time) clock.Millis {
	if now == 0 {
		return 0
	}
	return min(TombstoneRetention, max(0, TombstoneRetention-now.Sub(ended.At)))
}

// Versions holds the versions of a job's rows in the inbox.
type Versions struct {
	Submission store.Version
	// Cancellation is 0 for a job that has no cancellation.
	Cancellation store.Version
}

// endedRef names the row of a job in EndedTable.
func endedRef(id workflow.ID) store.Ref { return store.Ref{Table: EndedTable, Key: string(id)} }

// ArchiveTx returns the transaction that replaces a job's rows in the inbox by one in EndedTable. It has no
// effect if the rows do not have the given versions.
func ArchiveTx(id workflow.ID, versions Versions, ended Ended) (store.Tx, error) {
	value, err := json.Marshal(ended)
	if err != nil {
		return store.Tx{}, fmt.Errorf("encoding the end of job %s: %w", id, err)
	}
	tx := store.Tx{
		Conditions: []store.Condition{
			{Ref: ref(Submission, id), Version: versions.Submission}, {Ref: ref(Cancellation, id), Version: versions.Cancellation}, {Ref: endedRef(id)},
		},
		Puts:    []store.Put{{Ref: endedRef(id), Value: value}},
		Removes: []store.Ref{ref(Submission, id)},
	}
	if versions.Cancellation != 0 {
		tx.Removes = append(tx.Removes, ref(Cancellation, id))
	}
	return tx, nil
}

// IsArchived reports whether a conflict of ArchiveTx shows that the job is archived already.
func IsArchived(id workflow.ID, conflict store.ErrConflict) bool {
	return conflict.Row(endedRef(id)).Version != 0
}

// RemoveEndedTx returns the transaction that removes a row of EndedTable. The id may then be used for another
// job.
func RemoveEndedTx(row store.Row) store.Tx {
	return store.Tx{Conditions: []store.Condition{{Ref: row.Ref, Version: row.Version}}, Removes: []store.Ref{row.Ref}}
}

// DecodeEnded decodes a row of EndedTable. Error: workflow.ErrCorrupt.
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
