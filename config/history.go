package config

import (
	"bytes"
	"context"
	"encoding/json"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// History returns up to limit accepted changes with versions above after, in ascending order.
func History(ctx context.Context, store table.Store, after ident.Version, limit int) ([]Record, error) {
	rows, err := store.Range(ctx, HistoryPrefix, HistoryKey(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		record, err := decodeRow[Record](row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// minHistoryChanges is the smallest number of changes that Prune keeps. Readers that are behind by up to
// maxIncrementalChanges changes follow the history instead of reading all documents.
const minHistoryChanges = 5 * maxIncrementalChanges

// Prune deletes up to 100 of the oldest changes from the history and returns how many it deleted. The
// newest keep changes remain, and at least 1,000. Without Prune the history would grow without bound, at
// 2,400 changes a day. The documents and their versions are not changed.
func Prune(ctx context.Context, store table.Store, current ident.Version, keep int) (int, error) {
	keepCount := ident.Version(max(keep, minHistoryChanges))
	if current <= keepCount {
		return 0, nil
	}
	rows, err := store.Range(ctx, HistoryPrefix, "", 100)
	if err != nil {
		return 0, err
	}
	var transaction table.Transaction
	for _, row := range rows {
		if row.Key > HistoryKey(current-keepCount) {
			break
		}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: row.Key, Delete: true})
	}
	if len(transaction.Operations) == 0 {
		return 0, nil
	}
	if _, err := store.Commit(ctx, transaction); err != nil {
		return 0, err
	}
	return len(transaction.Operations), nil
}

// FieldChange is a field that a change altered. Before and After are JSON, empty if the field did not
// exist.
type FieldChange struct {
	Document Name
	Field    string
	Before   string
	After    string
}

// Diff returns the fields that a change altered, in the order of its documents and, within a document,
// sorted by name.
func Diff(record Record) []FieldChange {
	var changes []FieldChange
	for index, after := range record.After {
		before := Document{Name: after.Name}
		if index < len(record.Before) {
			before = record.Before[index]
		}
		changes = append(changes, diffValue(after.Name, "", before.Value, after.Value)...)
	}
	return changes
}

// diffValue compares two JSON values and descends into objects. If one of them is an object and the other
// is empty, the empty one is compared as an object without fields.
func diffValue(name Name, field string, before, after json.RawMessage) []FieldChange {
	if bytes.Equal(compactJSON(before), compactJSON(after)) {
		return nil
	}
	beforeFields, beforeIsObject := decodeObject(before)
	afterFields, afterIsObject := decodeObject(after)
	if (!beforeIsObject && len(before) > 0) || (!afterIsObject && len(after) > 0) {
		return []FieldChange{{Document: name, Field: field, Before: string(compactJSON(before)), After: string(compactJSON(after))}}
	}
	keys := set.New[string]()
	for key := range beforeFields {
		keys.Add(key)
	}
	for key := range afterFields {
		keys.Add(key)
	}
	var changes []FieldChange
	for _, key := range set.Sorted(keys) {
		path := key
		if field != "" {
			path = field + "." + key
		}
		changes = append(changes, diffValue(name, path, beforeFields[key], afterFields[key])...)
	}
	return changes
}

// decodeObject returns the fields of a JSON object, and false for any other value.
func decodeObject(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	var fields map[string]json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &fields) != nil || fields == nil {
		return nil, false
	}
	return fields, true
}

// compactJSON removes insignificant space. Invalid JSON is returned unchanged.
func compactJSON(raw json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, raw) != nil {
		return raw
	}
	return buffer.Bytes()
}
