package config

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// Keys of the configuration's rows.
const (
	// HeadKey is the key of the head row, which holds the newest version. Each change is conditional on
	// it.
	HeadKey table.Key = "Config/Head"
	// Prefix is the prefix of the documents' rows.
	Prefix table.Key = "Config/"
	// HistoryPrefix is the prefix of the rows that hold the accepted changes.
	HistoryPrefix table.Key = "ConfigHistory/"
)

// Key returns the key of a document's row.
func (name Name) Key() table.Key {
	return Prefix + table.Key(name)
}

// HistoryKey returns the key of the row that holds a change. Keys sort in the order of their versions.
func HistoryKey(version ident.Version) table.Key {
	return HistoryPrefix + table.Key(fmt.Sprintf("%012d", uint64(version)))
}

// Document is the value of a document's row. The row of a deleted document stays, without a value, so
// that the document's version never falls.
type Document struct {
	Name Name
	// Version is the version of the change that wrote the document.
	Version ident.Version
	// Revision is the revision of the row that holds the document.
	Revision table.Revision
	// Operator is who made the change, and Change is the change's id.
	Operator string
	Change   string
	Deleted  bool `json:",omitempty"`
	// Region is the home region, the only one in which the document can be changed. It is empty if the
	// document was written while the system had one region. Origin is the document's version in its home
	// region.
	Region ident.Region `json:",omitempty"`
	Origin ident.Version
	Value  json.RawMessage `json:",omitempty"`
}

// Head is the value of the head row.
type Head struct {
	Version ident.Version
	// Change is the id of the newest change, Documents the number of documents, deleted ones
	// included, and Digest a checksum of their names and versions.
	Change    string
	Documents int
	Digest    string
}

// Record is the value of a history row.
type Record struct {
	Version  ident.Version
	Operator string
	Change   string
	// Time is the operator's wall-clock time in RFC 3339. It is only displayed.
	Time string
	// Before and After hold the changed documents in the same order. A document that did not exist has
	// version 0 in Before.
	Before []Document
	After  []Document
}

func decodeRow[Value any](row table.Row) (Value, error) {
	var value Value
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, ErrBadRow{Key: string(row.Key), Reason: err.Error()}
	}
	return value, nil
}

// decodeDocument decodes a document's row. It returns ErrBadRow if the document has another name or
// revision than the row.
func decodeDocument(row table.Row) (Document, error) {
	document, err := decodeRow[Document](row)
	if err != nil {
		return Document{}, err
	}
	if document.Name.Key() != row.Key {
		return Document{}, ErrBadRow{Key: string(row.Key), Reason: "document is named " + string(document.Name)}
	}
	if document.Revision != row.Revision {
		return Document{}, ErrBadRow{
			Key:    string(row.Key),
			Reason: fmt.Sprintf("document was written for revision %d, row has %d", document.Revision, row.Revision),
		}
	}
	return document, nil
}
