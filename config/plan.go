package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// plan is a validated change of one version of the configuration, ready to commit.
type plan struct {
	record       Record
	next         *View
	headRevision table.Revision
	transaction  table.Transaction
}

// newPlan checks the change against the view and validates the whole configuration that results.
// Faults that the view already has do not refuse the change, because operators must be able to close a
// data centre while another document is invalid.
func newPlan(view *View, headRevision table.Revision, change Change, region ident.Region) (plan, error) {
	record := Record{Version: view.version + 1, Operator: change.Operator, Change: change.ID, Time: change.Time}
	faults := checkShape(change)
	for _, edit := range change.Edits {
		existing, exists := view.documents[edit.Document]
		if err := checkBase(view, edit, existing); err != nil {
			return plan{}, err
		}
		if edit.source == nil && existing.Region != "" && existing.Region != region {
			return plan{}, ErrElsewhere{Document: edit.Document, Region: existing.Region}
		}
		if edit.Delete && edit.source == nil && (!exists || existing.Deleted) {
			faults = append(faults, Fault{Document: edit.Document, Reason: "does not exist"})
		}
		existing.Name = edit.Document
		record.Before = append(record.Before, existing)
		record.After = append(record.After, documentAfter(record, edit, existing, region))
	}
	if len(faults) > 0 {
		return plan{}, ErrInvalid{Faults: faults}
	}
	next, err := view.merge(record.Version, record.After)
	if err != nil {
		return plan{}, err
	}
	existingFaults := view.Faults()
	faults = slices.DeleteFunc(next.Faults(), func(fault Fault) bool { return slices.Contains(existingFaults, fault) })
	if len(faults) > 0 && !change.isImport() {
		return plan{}, ErrInvalid{Faults: faults}
	}
	if len(next.unreadable) > 0 {
		return plan{}, ErrInvalid{Faults: next.unreadable}
	}
	transaction, err := newTransaction(record, next, headRevision)
	return plan{record: record, next: next, headRevision: headRevision + 1, transaction: transaction}, err
}

// checkBase returns an error if the edit is not based on the current version of the document.
func checkBase(view *View, edit Edit, existing Document) error {
	if edit.Base > view.version {
		return ErrNotReady{Reason: fmt.Sprintf(
			"document %s was seen at version %d, the table answers version %d", edit.Document, edit.Base, view.version)}
	}
	if edit.Base != existing.Version && (edit.Base != 0 || !existing.Deleted) {
		return ErrConflict{Document: edit.Document, Base: edit.Base, Have: existing.Version, Winner: existing.Operator}
	}
	return nil
}

// documentAfter returns the document as the edit leaves it.
func documentAfter(record Record, edit Edit, existing Document, region ident.Region) Document {
	document := Document{
		Name: edit.Document, Version: record.Version, Revision: existing.Revision + 1,
		Operator: record.Operator, Change: record.Change, Deleted: edit.Delete, Region: existing.Region, Origin: record.Version,
	}
	if document.Region == "" {
		document.Region = region
	}
	if edit.source != nil {
		document.Operator, document.Region, document.Origin = edit.source.Operator, edit.source.Region, edit.source.Origin
	}
	if !edit.Delete {
		document.Value = compactJSON(edit.Value)
	}
	return document
}

// checkShape returns the faults of a change that do not depend on the configuration.
func checkShape(change Change) []Fault {
	var faults []Fault
	addFault := func(document Name, reason string) {
		faults = append(faults, Fault{Document: document, Reason: reason})
	}
	if change.Operator == "" {
		addFault("", "the change names no operator")
	}
	if len(change.Edits) == 0 || len(change.Edits) > maxEdits {
		addFault("", "the change has no document or too many")
	}
	bytes := 0
	seen := set.New[Name]()
	for _, edit := range change.Edits {
		bytes += len(edit.Value)
		if !seen.Add(edit.Document) {
			addFault(edit.Document, "is changed twice")
		}
		if !edit.Delete && !json.Valid(edit.Value) {
			addFault(edit.Document, "is no JSON document")
		}
	}
	if bytes > maxChangeBytes {
		addFault("", "the change is too large")
	}
	return faults
}

// newTransaction returns the transaction that writes the head, the history row and the documents. Its
// conditions are that none of these rows changed since they were read.
func newTransaction(record Record, next *View, headRevision table.Revision) (table.Transaction, error) {
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
