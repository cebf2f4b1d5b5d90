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

// imported reports whether the change copies documents of another region.
func (change Change) imported() bool {
	return len(change.Edits) > 0 && change.Edits[0].imported != nil
}

// Import copies the documents of another region that are newer there than here into this region's
// table, and returns how many it tried to copy. A document that another entry imported or changed at
// the same time is left to the next Import. Each region's table numbers its changes itself, so a delta of another
// region must never be passed to Publisher.Apply. Documents that this region knows with a third region
// as their home are left alone, and so are those that this version of the program cannot read: a later
// version imports them when it starts. A document that was created in both regions becomes that of the
// region with the lower name, so that both choose the same one; the history keeps the other.
func (editor *Editor) Import(ctx context.Context, delta *controlpb.ConfigDelta) (int, error) {
	editor.mu.Lock()
	defer editor.mu.Unlock()
	if err := editor.loader.refresh(ctx); err != nil {
		return 0, err
	}
	count, bytes := 0, 0
	change := Change{Operator: "import"}
	for _, message := range delta.GetDocuments() {
		document, err := readable(message)
		if err != nil {
			importsUnreadable.Inc()
			klog.ErrorS(err, "document of the other region was not imported", "Document", message.GetName())
			continue
		}
		held, have := editor.loader.view.documents[document.Name]
		if !editor.wanted(document, held, have) {
			continue
		}
		if have && held.Region != document.Region {
			importsMerged.Inc()
			klog.InfoS("document of both regions is replaced by that of the other region",
				"Document", string(document.Name), "Region", string(document.Region), "Replaced", uint64(held.Version))
		}
		if bytes += len(document.Value); bytes > maxChangeBytes && len(change.Edits) > 0 {
			if err := editor.importChange(ctx, change); err != nil {
				return count, err
			}
			count, change.Edits, bytes = count+len(change.Edits), nil, len(document.Value)
		}
		change.Edits = append(change.Edits, Edit{
			Document: document.Name, Base: held.Version, Value: document.Value, Delete: document.Deleted, imported: &document,
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

// wanted reports whether a document of another region replaces the held one.
func (editor *Editor) wanted(document, held Document, have bool) bool {
	if document.Region == "" || document.Region == editor.region {
		return false
	}
	if have && held.Region != document.Region && !replaces(document, held, editor.region) {
		importsRefused.Inc()
		klog.V(2).InfoS("document not imported, two regions are its home",
			"Document", string(document.Name), "Region", string(document.Region), "Held", string(held.Region))
		return false
	}
	return !have || held.Region != document.Region || document.Origin > held.Origin
}

// replaces reports whether a document of another region replaces the held one of the own region. The
// rule depends on the names of the regions alone: with one that looks at values or versions, each
// region could take over the other's document while they change.
func replaces(document, held Document, own ident.Region) bool {
	return cmp.Or(held.Region, own) == own && document.Region < own
}

// readable returns the document in a message of another region. It is ErrBadRow or ErrInvalid if this
// version of the program cannot decode it.
func readable(message *controlpb.ConfigDocument) (Document, error) {
	document, err := fromMessage(message)
	if err != nil {
		return Document{}, err
	}
	alone := NewView()
	alone.documents[document.Name] = document
	alone.build()
	if len(alone.unreadable) > 0 {
		return Document{}, ErrInvalid{Faults: alone.unreadable}
	}
	return document, nil
}

// importID returns an id of everything that the change copies. Imports that share only their first
// document need different ids: the one whose answer is lost would else take the other's row of the
// history for its own and believe that all its documents were written.
func importID(change Change) string {
	digest := xxhash.New()
	for _, edit := range change.Edits {
		_, _ = fmt.Fprintf(digest, "%s\x00%d\n", edit.Document, edit.imported.Origin)
	}
	first := change.Edits[0].imported
	return fmt.Sprintf("import.%s.%s.%s.%016x", first.Region, first.Name, versionText(first.Origin), digest.Sum64())
}

// importChange accepts a change whose id tells what it copies, so that entries which import the same
// documents at the same time make it once. Another entry that was first is no error: the next import
// finds what is still missing.
func (editor *Editor) importChange(ctx context.Context, change Change) error {
	change.ID = importID(change)
	if _, err := editor.apply(ctx, change); err != nil && !IsErrConflict(err) {
		return err
	}
	changesAccepted.Inc()
	return editor.publisher.Publish(editor.loader.view)
}

func versionText(version ident.Version) string {
	return string(HistoryKey(version))[len(HistoryPrefix):]
}
