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

// KeyPrefix starts the keys of the workers' rows.
const KeyPrefix = "Worker/"

// Key returns the key of the worker's row.
func Key(worker ident.Worker) table.Key {
	return table.Key(KeyPrefix + string(worker))
}

// Process is one process of an entry. A newer process of the same entry knows nothing of the leases
// that an older one granted, and the older one may still run somewhere.
type Process struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
}

func compareProcesses(first, second Process) int {
	return cmp.Or(cmp.Compare(first.Entry, second.Entry), cmp.Compare(first.Incarnation, second.Incarnation))
}

// Record is the content of a worker's row. It is written when another entry becomes the granter,
// when a new incarnation gets its first lease, and when an incarnation is over.
type Record struct {
	// Granter is the only process that may grant leases to Incarnation.
	Granter     Process
	Incarnation ident.Incarnation
	// Former are the processes that granted leases to Incarnation before and may not know that they no
	// longer may.
	Former []Process `json:",omitempty"`
	// Over is the newest incarnation that is certainly over, and Reason why.
	Over   ident.Incarnation
	Reason Reason `json:",omitempty"`
}

// ErrBadRecord reports a row that cannot be read.
type ErrBadRecord struct {
	Key    table.Key
	Reason string
}

// Error describes the fault.
func (err ErrBadRecord) Error() string { return fmt.Sprintf("bad row %s: %s", err.Key, err.Reason) }

// IsErrBadRecord reports whether err is or wraps an ErrBadRecord.
func IsErrBadRecord(err error) bool { return errors.As(err, new(ErrBadRecord)) }

// DecodeRecord reads a row; a missing row is the zero value. The error is ErrBadRecord.
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

// Takeover returns what makes the process entry the granter of the worker's incarnation, given the row as read.
// Many takeovers can share a transaction. After it committed, call Granter.Record with the new
// revision and Record.Former. The errors are ErrBadRecord and ErrFenced.
func Takeover(row table.Row, worker ident.Worker, incarnation ident.Incarnation, entry Process) (table.Condition, table.Operation, error) {
	record, err := DecodeRecord(row)
	if err != nil {
		return table.Condition{}, table.Operation{}, err
	}
	if record.Fenced(incarnation) {
		return table.Condition{}, table.Operation{}, ErrFenced{Worker: worker, Incarnation: incarnation, Have: max(record.Over, record.Incarnation)}
	}
	if incarnation != record.Incarnation {
		// An entry grants only to the incarnation it recorded, so none of the former ones matters.
		record.Former = nil
	} else if record.Granter.Entry != "" {
		record.Former = append(record.Former, record.Granter)
	}
	record.Former = slices.DeleteFunc(record.Former, func(former Process) bool { return former == entry })
	slices.SortFunc(record.Former, compareProcesses)
	record.Former = slices.Compact(record.Former)
	record.Granter, record.Incarnation = entry, incarnation
	return write(row, worker, record)
}

// Fenced reports whether the row says that the incarnation is over or that a newer one exists.
func (record Record) Fenced(incarnation ident.Incarnation) bool {
	return incarnation <= record.Over || incarnation < record.Incarnation
}

// End returns what declares the worker's incarnation over, given the row as read. A lapsed lease is
// only a reason if entry is the recorded granter: if another entry took over meanwhile, it may have
// granted a later lease. Call Granter.Over before committing for that reason. The errors are
// ErrBadRecord and ErrNotGranter.
func End(row table.Row, worker ident.Worker, incarnation ident.Incarnation, entry Process, reason Reason) (table.Condition, table.Operation, error) {
	record, err := DecodeRecord(row)
	if err != nil {
		return table.Condition{}, table.Operation{}, err
	}
	if reason == LeaseLapsed && (record.Granter != entry || record.Incarnation != incarnation) {
		return table.Condition{}, table.Operation{}, ErrNotGranter{Worker: worker}
	}
	if incarnation > record.Over {
		record.Over, record.Reason = incarnation, reason
	}
	return write(row, worker, record)
}

func write(row table.Row, worker ident.Worker, record Record) (table.Condition, table.Operation, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return table.Condition{}, table.Operation{}, ErrBadRecord{Key: Key(worker), Reason: err.Error()}
	}
	return table.Condition{Key: Key(worker), Revision: row.Revision}, table.Operation{Key: Key(worker), Value: value}, nil
}
