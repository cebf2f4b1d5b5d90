package config

import (
	"context"
	"fmt"

	"hyssopjunction/table"
)

const (
	// loadPage is the number of rows read by one Range call.
	loadPage = 200
	// loadAttempts is how often a load is repeated whose rows do not belong together, because the
	// configuration changed meanwhile or the service answered from an old copy.
	loadAttempts = 5
	// maxSteps is the number of changes above which all documents are read instead of the history.
	maxSteps = 200
)

// loader keeps a View up to date with the table. It is used by one goroutine at a time.
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

// refresh reads the head and, if it moved, the changes since or else all documents.
func (loader *loader) refresh(ctx context.Context) error {
	var last error
	for range loadAttempts {
		head, row, err := loader.head(ctx)
		if err != nil {
			return err
		}
		if loader.loaded && head.Version <= loader.view.version {
			// A lower version is an old answer.
			return nil
		}
		next, err := loader.next(ctx, head)
		if err == nil {
			loader.view, loader.headRevision, loader.loaded = next, row.Revision, true
			return nil
		}
		if table.IsErrUnavailable(err) || ctx.Err() != nil {
			return err
		}
		last = err
	}
	return last
}

// head reads the head row. A missing row is version 0.
func (loader *loader) head(ctx context.Context) (Head, table.Row, error) {
	row, err := loader.store.Get(ctx, HeadKey)
	if err != nil || !row.Exists() {
		return Head{}, row, err
	}
	head, err := decodeRow[Head](row)
	return head, row, err
}

func (loader *loader) next(ctx context.Context, head Head) (*View, error) {
	if loader.loaded && head.Version-loader.view.version <= maxSteps {
		next, err := loader.step(ctx, head)
		if err == nil {
			return next, nil
		}
		if table.IsErrUnavailable(err) {
			return nil, err
		}
	}
	documents, err := loader.documents(ctx)
	if err != nil {
		return nil, err
	}
	return loader.assemble(head, documents)
}

// step reads the changes between the held version and the head's.
func (loader *loader) step(ctx context.Context, head Head) (*View, error) {
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
		documents = latest(documents, record.After)
	}
	return loader.assemble(head, documents)
}

// latest adds newer documents, replacing those of the same name.
func latest(documents, newer []Document) []Document {
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

// documents reads all documents' rows.
func (loader *loader) documents(ctx context.Context) ([]Document, error) {
	var documents []Document
	after := table.Key("")
	for {
		rows, err := loader.store.Range(ctx, Prefix, after, loadPage)
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
		if len(rows) < loadPage {
			return documents, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// assemble returns the View at the head and checks that it holds exactly what the head counts.
func (loader *loader) assemble(head Head, documents []Document) (*View, error) {
	next, err := loader.view.with(head.Version, documents)
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
