package config

import (
	"context"
	"fmt"

	"hyssopjunction/table"
)

const (
	// loadPageRows is the number of rows read by one Range call.
	loadPageRows = 200
	// maxLoadAttempts limits the attempts to read rows that belong to one version. Rows of different
	// versions are read when the configuration changes meanwhile or the table service answers from an
	// outdated copy.
	maxLoadAttempts = 5
	// maxIncrementalChanges is the number of changes above which all documents are read instead of the
	// history.
	maxIncrementalChanges = 200
)

// loader keeps a View up to date with the table. It must not be used concurrently.
type loader struct {
	store  table.Store
	view   *View
	loaded bool
	// headRevision is the revision of the head row that belongs to view.
	headRevision table.Revision
}

func newLoader(store table.Store) *loader {
	return &loader{store: store, view: NewView()}
}

// refresh reads the head and, if it moved, updates the View.
func (loader *loader) refresh(ctx context.Context) error {
	var lastErr error
	for range maxLoadAttempts {
		head, row, err := loader.readHead(ctx)
		if err != nil {
			return err
		}
		if loader.loaded && head.Version <= loader.view.version {
			// A lower version comes from an outdated copy.
			return nil
		}
		next, err := loader.load(ctx, head)
		if err == nil {
			loader.view, loader.headRevision, loader.loaded = next, row.Revision, true
			return nil
		}
		if table.IsErrUnavailable(err) || ctx.Err() != nil {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// readHead reads the head row. A missing row is version 0.
func (loader *loader) readHead(ctx context.Context) (Head, table.Row, error) {
	row, err := loader.store.Get(ctx, HeadKey)
	if err != nil || !row.Exists() {
		return Head{}, row, err
	}
	head, err := decodeRow[Head](row)
	return head, row, err
}

// load returns the View at the head. It reads the changes since the current View if there are few, and
// otherwise, or if the history is incomplete, all documents.
func (loader *loader) load(ctx context.Context, head Head) (*View, error) {
	if loader.loaded && head.Version-loader.view.version <= maxIncrementalChanges {
		next, err := loader.loadChanges(ctx, head)
		if err == nil {
			return next, nil
		}
		if table.IsErrUnavailable(err) {
			return nil, err
		}
	}
	documents, err := loader.readDocuments(ctx)
	if err != nil {
		return nil, err
	}
	return loader.assemble(head, documents)
}

// loadChanges returns the View at the head by reading the changes since the current View. It returns
// ErrNotReady if the history lacks one.
func (loader *loader) loadChanges(ctx context.Context, head Head) (*View, error) {
	count := int(head.Version - loader.view.version)
	rows, err := loader.store.Range(ctx, HistoryPrefix, HistoryKey(loader.view.version), count)
	if err != nil {
		return nil, err
	}
	if len(rows) < count {
		return nil, ErrNotReady{Reason: fmt.Sprintf("history has %d of %d changes", len(rows), count)}
	}
	var documents []Document
	for index, row := range rows[:count] {
		record, err := decodeRow[Record](row)
		if err != nil {
			return nil, err
		}
		if record.Version != loader.view.version+1+asVersion(index) {
			return nil, ErrNotReady{Reason: fmt.Sprintf("history lacks a change before %d", record.Version)}
		}
		documents = replaceOlder(documents, record.After)
	}
	return loader.assemble(head, documents)
}

// replaceOlder returns documents with the newer ones added, which replace those of the same name.
func replaceOlder(documents, newer []Document) []Document {
	for _, document := range newer {
		replaced := false
		for index := range documents {
			if documents[index].Name == document.Name {
				documents[index], replaced = document, true
			}
		}
		if !replaced {
			documents = append(documents, document)
		}
	}
	return documents
}

// readDocuments reads the rows of all documents.
func (loader *loader) readDocuments(ctx context.Context) ([]Document, error) {
	var documents []Document
	after := table.Key("")
	for {
		rows, err := loader.store.Range(ctx, Prefix, after, loadPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if row.Key == HeadKey {
				continue
			}
			document, err := decodeDocument(row)
			if err != nil {
				return nil, err
			}
			documents = append(documents, document)
		}
		if len(rows) < loadPageRows {
			return documents, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// assemble returns the current View with the documents added, at the head's version. It returns
// ErrNotReady if the result differs from the digest in the head.
func (loader *loader) assemble(head Head, documents []Document) (*View, error) {
	next, err := loader.view.withDocuments(head.Version, documents)
	if err != nil {
		return nil, err
	}
	if head.Version > 0 && next.Digest() != head.Digest {
		return nil, ErrNotReady{Reason: fmt.Sprintf("documents do not belong to version %d", head.Version)}
	}
	if head.Version == 0 && len(documents) > 0 {
		return nil, ErrNotReady{Reason: "documents without a head"}
	}
	return next, nil
}
