package config

import (
	"cmp"
	"context"
	"fmt"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

var (
	importsRefused    = metrics.NewCounter("hyssopjunction_config_imports_refused_total")
	importsUnreadable = metrics.NewCounter("hyssopjunction_config_imports_unreadable_total")
	importsMerged     = metrics.NewCounter("hyssopjunction_config_imports_merged_total")
)

// isImport reports whether the change imports documents of another region.
func (change Change) isImport() bool {
	return len(change.Edits) > 0 && change.Edits[0].source != nil
}

// Import copies the documents of another region that are newer there than here into this region's table,
// and returns how many it tried to copy. A document that another entry imports or changes at the same
// time is left to the next Import. Each region numbers its changes independently, so a delta of another
// region must never be passed to Publisher.Apply.
//
// Documents whose home here is a third region are skipped. Documents that this version of the program
// cannot decode are skipped too; a later version imports them when it starts. If a document was created
// in both regions, both keep the one of the region with the lower name, so that they agree; the other
// one stays in the history.
func (editor *Editor) Import(ctx context.Context, delta *controlpb.ConfigDelta) (int, error) {
	editor.mu.Lock()
	defer editor.mu.Unlock()
	if err := editor.loader.refresh(ctx); err != nil {
		return 0, err
	}
	count, bytes := 0, 0
	change := Change{Operator: "import"}
	for _, message := range delta.GetDocuments() {
		document, err := decodeImport(message)
		if err != nil {
			importsUnreadable.Inc()
			klog.ErrorS(err, "document of the other region cannot be decoded and is not imported", "Document", message.GetName())
			continue
		}
		existing, exists := editor.loader.view.documents[document.Name]
		if !editor.shouldImport(document, existing, exists) {
			continue
		}
		if exists && existing.Region != document.Region {
			importsMerged.Inc()
			klog.InfoS("document that both regions created is replaced by the other region's",
				"Document", string(document.Name), "Region", string(document.Region), "Replaced", uint64(existing.Version))
		}
		if bytes += len(document.Value); bytes > maxChangeBytes && len(change.Edits) > 0 {
			if err := editor.importChange(ctx, change); err != nil {
				return count, err
			}
			count, change.Edits, bytes = count+len(change.Edits), nil, len(document.Value)
		}
		change.Edits = append(change.Edits, Edit{
			Document: document.Name, Base: existing.Version, Value: document.Value, Delete: document.Deleted, source: &document,
		})
		if len(change.Edits) == maxEdits/4 {
			if err := editor.importChange(ctx, change); err != nil {
				return count, err
			}
			count, change.Edits, bytes = count+len(change.Edits), nil, 0
		}
	}
	if len(change.Edits) > 0 {
		if err := editor.importChange(ctx, change); err != nil {
			return count, err
		}
	}
	return count + len(change.Edits), nil
}

// shouldImport reports whether a document of another region must be written here. Exists is false if
// there is no existing document of its name.
func (editor *Editor) shouldImport(document, existing Document, exists bool) bool {
	if document.Region == "" || document.Region == editor.region {
		return false
	}
	if exists && existing.Region != document.Region && !replacesExisting(document, existing, editor.region) {
		importsRefused.Inc()
		klog.V(2).InfoS("document not imported because it has another home region here",
			"Document", string(document.Name), "Region", string(document.Region), "Held", string(existing.Region))
		return false
	}
	return !exists || existing.Region != document.Region || document.Origin > existing.Origin
}

// replacesExisting reports whether a document of another region replaces one that was created in
// ownRegion. The rule depends only on the names of the regions: a rule on values or versions could let
// each region take over the other's document while both change.
func replacesExisting(document, existing Document, ownRegion ident.Region) bool {
	return cmp.Or(existing.Region, ownRegion) == ownRegion && document.Region < ownRegion
}

// decodeImport decodes a document of another region. It returns ErrBadRow or ErrInvalid if this version
// of the program cannot decode it.
func decodeImport(message *controlpb.ConfigDocument) (Document, error) {
	document, err := fromMessage(message)
	if err != nil {
		return Document{}, err
	}
	view := NewView()
	view.documents[document.Name] = document
	view.decodeDocuments()
	if len(view.unreadable) > 0 {
		return Document{}, ErrInvalid{Faults: view.unreadable}
	}
	return document, nil
}

// importID returns the id of a change that imports documents, which depends on all of them. With an id
// of the first document only, an import whose response is lost could find the history row of another
// import with the same first document, and report documents as written that were not.
func importID(change Change) string {
	digest := xxhash.New()
	for _, edit := range change.Edits {
		_, _ = fmt.Fprintf(digest, "%s\x00%d\n", edit.Document, edit.source.Origin)
	}
	first := change.Edits[0].source
	return fmt.Sprintf("import.%s.%s.%s.%016x", first.Region, first.Name, formatVersion(first.Origin), digest.Sum64())
}

// importChange commits a change that imports documents. Its id depends on the documents, so that entries
// that import the same ones at the same time commit the change once. A conflict with another entry is
// not an error: the next import copies what is still missing.
func (editor *Editor) importChange(ctx context.Context, change Change) error {
	change.ID = importID(change)
	if _, err := editor.apply(ctx, change); err != nil && !IsErrConflict(err) {
		return err
	}
	changesAccepted.Inc()
	return editor.publisher.Publish(editor.loader.view)
}

// formatVersion returns the version as in the key of its history row.
func formatVersion(version ident.Version) string {
	return string(HistoryKey(version))[len(HistoryPrefix):]
}
