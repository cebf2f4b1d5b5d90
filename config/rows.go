package config

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// Keys of the configuration's rows.
const (
	// HeadKey is the row that holds the newest version. It is a condition of every change.
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

// HistoryKey returns the key of the row that holds a change. Keys sort as their versions.
func HistoryKey(version ident.Version) table.Key {
	return HistoryPrefix + table.Key(fmt.Sprintf("%012d", uint64(version)))
}

// Document is the value of a document's row. A deleted document stays as a row without a value, so
// that its version never falls.
type Document struct {
	Name Name
	// Version is that of the change that wrote the document.
	Version ident.Version
	// Revision is the revision of the row that holds the document.
	Revision table.Revision
	// Operator made the change, Change is its id.
	Operator string
	Change   string
	Deleted  bool `json:",omitempty"`
	// Region is the home region, in which changes of the document are accepted; empty means that the
	// system has one region. Origin is the document's version there.
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
	// Time is the operator's wall-clock time in RFC 3339, for people only.
	Time string
	// Before and After hold the changed documents in the same order. A document that did not exist
	// has version 0 before.
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

// decodeDocument returns the document in a row and checks that it belongs there.
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
