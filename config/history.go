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

// keepMin is the smallest number of changes that Prune keeps. Readers that are behind by up to
// maxSteps changes follow the history instead of reading all documents.
const keepMin = 5 * maxSteps

// Prune deletes up to 100 of the oldest changes from the history and returns how many, so that at
// least the newest keep changes remain, and never fewer than 1,000. With 2,400 changes a day the
// history would grow without bound otherwise. The documents and their versions are not touched.
func Prune(ctx context.Context, store table.Store, current ident.Version, keep int) (int, error) {
	kept := ident.Version(max(keep, keepMin))
	if current <= kept {
		return 0, nil
	}
	rows, err := store.Range(ctx, HistoryPrefix, "", 100)
	if err != nil {
		return 0, err
	}
	var transaction table.Transaction
	for _, row := range rows {
		if row.Key > HistoryKey(current-kept) {
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

// FieldChange is a field that a change altered. Before and After are JSON, empty where the field did
// not exist.
type FieldChange struct {
	Document Name
	Field    string
	Before   string
	After    string
}

// Diff returns the fields that a change altered, in the order of its documents and of the fields'
// names.
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

func diffValue(name Name, field string, before, after json.RawMessage) []FieldChange {
	if bytes.Equal(compact(before), compact(after)) {
		return nil
	}
	left, leftObject := object(before)
	right, rightObject := object(after)
	if (!leftObject && len(before) > 0) || (!rightObject && len(after) > 0) {
		return []FieldChange{{Document: name, Field: field, Before: string(compact(before)), After: string(compact(after))}}
	}
	keys := set.New[string]()
	for key := range left {
		keys.Add(key)
	}
	for key := range right {
		keys.Add(key)
	}
	var changes []FieldChange
	for _, key := range set.Sorted(keys) {
		path := key
		if field != "" {
			path = field + "." + key
		}
		changes = append(changes, diffValue(name, path, left[key], right[key])...)
	}
	return changes
}

func object(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &members) != nil || members == nil {
		return nil, false
	}
	return members, true
}

func compact(raw json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, raw) != nil {
		return raw
	}
	return buffer.Bytes()
}
