package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// plan is a change that fits a certain version of the configuration.
type plan struct {
	record       Record
	next         *View
	headRevision table.Revision
	transaction  table.Transaction
}

// newPlan checks the change against the view and validates the whole configuration after it. Faults
// that the view already has are no reason to refuse a change of something else: operators must be
// able to close a data centre whatever is wrong with another document.
func newPlan(view *View, headRevision table.Revision, change Change, region ident.Region) (plan, error) {
	record := Record{Version: view.version + 1, Operator: change.Operator, Change: change.ID, Time: change.Time}
	faults := checkShape(change)
	for _, edit := range change.Edits {
		held, have := view.documents[edit.Document]
		if err := checkBase(view, edit, held); err != nil {
			return plan{}, err
		}
		if edit.imported == nil && held.Region != "" && held.Region != region {
			return plan{}, ErrElsewhere{Document: edit.Document, Region: held.Region}
		}
		if edit.Delete && edit.imported == nil && (!have || held.Deleted) {
			faults = append(faults, Fault{Document: edit.Document, Reason: "does not exist"})
		}
		held.Name = edit.Document
		record.Before = append(record.Before, held)
		record.After = append(record.After, after(record, edit, held, region))
	}
	if len(faults) > 0 {
		return plan{}, ErrInvalid{Faults: faults}
	}
	next, err := view.merged(record.Version, record.After)
	if err != nil {
		return plan{}, err
	}
	before := view.Faults()
	faults = slices.DeleteFunc(next.Faults(), func(fault Fault) bool { return slices.Contains(before, fault) })
	if len(faults) > 0 && !change.imported() {
		return plan{}, ErrInvalid{Faults: faults}
	}
	if len(next.unreadable) > 0 {
		return plan{}, ErrInvalid{Faults: next.unreadable}
	}
	transaction, err := transactionOf(record, next, headRevision)
	return plan{record: record, next: next, headRevision: headRevision + 1, transaction: transaction}, err
}

// checkBase reports an edit that is not based on the held document.
func checkBase(view *View, edit Edit, held Document) error {
	if edit.Base > view.version {
		return ErrNotReady{Reason: fmt.Sprintf(
			"document %s was seen at version %d, the table answers version %d", edit.Document, edit.Base, view.version)}
	}
	if edit.Base != held.Version && (edit.Base != 0 || !held.Deleted) {
		return ErrConflict{Document: edit.Document, Base: edit.Base, Have: held.Version, Winner: held.Operator}
	}
	return nil
}

// after returns the document as the edit leaves it.
func after(record Record, edit Edit, held Document, region ident.Region) Document {
	document := Document{
		Name: edit.Document, Version: record.Version, Revision: held.Revision + 1,
		Operator: record.Operator, Change: record.Change, Deleted: edit.Delete, Region: held.Region, Origin: record.Version,
	}
	if document.Region == "" {
		document.Region = region
	}
	if edit.imported != nil {
		document.Operator, document.Region, document.Origin = edit.imported.Operator, edit.imported.Region, edit.imported.Origin
	}
	if !edit.Delete {
		document.Value = compact(edit.Value)
	}
	return document
}

// checkShape returns the faults of a change that do not depend on the configuration.
func checkShape(change Change) []Fault {
	var faults []Fault
	add := func(document Name, reason string) {
		faults = append(faults, Fault{Document: document, Reason: reason})
	}
	if change.Operator == "" {
		add("", "the change names no operator")
	}
	if len(change.Edits) == 0 || len(change.Edits) > maxEdits {
		add("", "the change has no document or too many")
	}
	bytes := 0
	seen := set.New[Name]()
	for _, edit := range change.Edits {
		bytes += len(edit.Value)
		if !seen.Add(edit.Document) {
			add(edit.Document, "is changed twice")
		}
		if !edit.Delete && !json.Valid(edit.Value) {
			add(edit.Document, "is no JSON document")
		}
	}
	if bytes > maxChangeBytes {
		add("", "the change is too large")
	}
	return faults
}

func transactionOf(record Record, next *View, headRevision table.Revision) (table.Transaction, error) {
	head := Head{
		Version: record.Version, Change: record.Change, Documents: len(next.documents), Digest: next.Digest(),
	}
	var transaction table.Transaction
	write := func(key table.Key, revision table.Revision, value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return ErrBadRow{Key: string(key), Reason: err.Error()}
		}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: key, Revision: revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: encoded})
		return nil
	}
	if err := write(HeadKey, headRevision, head); err != nil {
		return table.Transaction{}, err
	}
	if err := write(HistoryKey(record.Version), 0, record); err != nil {
		return table.Transaction{}, err
	}
	for _, document := range record.After {
		if err := write(document.Name.Key(), document.Revision-1, document); err != nil {
			return table.Transaction{}, err
		}
	}
	return transaction, nil
}
