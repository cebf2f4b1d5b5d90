package lease

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// KeyPrefix is the prefix of the keys of the workers' rows.
const KeyPrefix = "Worker/"

// Key returns the key of the worker's row.
func Key(worker ident.Worker) table.Key {
	return table.Key(KeyPrefix + string(worker))
}

// Process is one process of an entry. After a restart, the new process of the entry has no record of
// the leases that the old one granted, and the old one may still be running.
type Process struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
}

func compareProcesses(first, second Process) int {
	return cmp.Or(cmp.Compare(first.Entry, second.Entry), cmp.Compare(first.Incarnation, second.Incarnation))
}

// Record is the value of a worker's row in the table. It is written when another entry becomes the
// granter, before a new incarnation gets its first lease, and when an incarnation is over.
type Record struct {
	// Granter is the only process that may grant leases to Incarnation.
	Granter     Process
	Incarnation ident.Incarnation
	// Former holds the processes that granted leases to Incarnation before. They may go on until they
	// learn that they are no longer the granter.
	Former []Process `json:",omitempty"`
	// Over is the newest incarnation that is certainly over, and Reason is why.
	Over   ident.Incarnation
	Reason Reason `json:",omitempty"`
}

// ErrBadRecord reports a row that can't be decoded or encoded.
type ErrBadRecord struct {
	Key    table.Key
	Reason string
}

// Error implements the error interface.
func (err ErrBadRecord) Error() string { return fmt.Sprintf("bad row %s: %s", err.Key, err.Reason) }

// IsErrBadRecord reports whether err is or wraps an ErrBadRecord.
func IsErrBadRecord(err error) bool { return errors.As(err, new(ErrBadRecord)) }

// DecodeRecord decodes a row. A row that doesn't exist gives the zero value. The error is ErrBadRecord.
func DecodeRecord(row table.Row) (Record, error) {
	var record Record
	if !row.Exists() {
		return record, nil
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, ErrBadRecord{Key: row.Key, Reason: err.Error()}
	}
	return record, nil
}

// Takeover returns the condition and the operation that make process the granter of the worker's
// incarnation, given the row as read. A transaction can contain many takeovers. After it is committed,
// call Granter.Record with the new revision and Record.Former. The errors are ErrBadRecord and
// ErrFenced.
func Takeover(row table.Row, worker ident.Worker, incarnation ident.Incarnation, process Process) (table.Condition, table.Operation, error) {
	record, err := DecodeRecord(row)
	if err != nil {
		return table.Condition{}, table.Operation{}, err
	}
	if record.Fenced(incarnation) {
		return table.Condition{}, table.Operation{}, ErrFenced{Worker: worker, Incarnation: incarnation, Newest: max(record.Over, record.Incarnation)}
	}
	if incarnation != record.Incarnation {
		// Former granters grant leases only to the incarnation for which they were recorded.
		record.Former = nil
	} else if record.Granter.Entry != "" {
		record.Former = append(record.Former, record.Granter)
	}
	record.Former = slices.DeleteFunc(record.Former, func(former Process) bool { return former == process })
	slices.SortFunc(record.Former, compareProcesses)
	record.Former = slices.Compact(record.Former)
	record.Granter, record.Incarnation = process, incarnation
	return conditionalPut(row, worker, record)
}

// Fenced reports whether the incarnation is over or a newer one exists.
func (record Record) Fenced(incarnation ident.Incarnation) bool {
	return incarnation <= record.Over || incarnation < record.Incarnation
}

// End returns the condition and the operation that declare the worker's incarnation over, given the
// row as read. The reason LeaseLapsed is valid only if process is the recorded granter, because
// another granter may have granted a later lease; call Granter.MarkOver before committing the transaction.
// The errors are ErrBadRecord and ErrNotGranter.
func End(row table.Row, worker ident.Worker, incarnation ident.Incarnation, process Process, reason Reason) (table.Condition, table.Operation, error) {
	record, err := DecodeRecord(row)
	if err != nil {
		return table.Condition{}, table.Operation{}, err
	}
	if reason == LeaseLapsed && (record.Granter != process || record.Incarnation != incarnation) {
		return table.Condition{}, table.Operation{}, ErrNotGranter{Worker: worker}
	}
	if incarnation > record.Over {
		record.Over, record.Reason = incarnation, reason
	}
	return conditionalPut(row, worker, record)
}

// conditionalPut returns the condition and the operation that write the record over the row as read.
func conditionalPut(row table.Row, worker ident.Worker, record Record) (table.Condition, table.Operation, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return table.Condition{}, table.Operation{}, ErrBadRecord{Key: Key(worker), Reason: err.Error()}
	}
	return table.Condition{Key: Key(worker), Revision: row.Revision}, table.Operation{Key: Key(worker), Value: value}, nil
}
