package config

import (
	"cmp"
	"slices"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

// Export returns the documents whose home region is home and whose version is above from, for
// Editor.Import in another region. Documents without a home region were written before the system had
// several regions and get home as theirs. The documents are sorted by version. Once they exceed limit
// bytes, the list ends after the last document of a change; ToVersion is the version up to which it is
// complete.
func (view *View) Export(home ident.Region, from ident.Version, limit int) (*controlpb.ConfigDelta, error) {
	var documents []Document
	for _, document := range view.documents {
		if document.Version > from && (document.Region == home || document.Region == "") {
			document.Region = home
			documents = append(documents, document)
		}
	}
	slices.SortFunc(documents, func(left, right Document) int {
		return cmp.Or(cmp.Compare(left.Version, right.Version), cmp.Compare(left.Name, right.Name))
	})
	delta := &controlpb.ConfigDelta{FromVersion: uint64(from), ToVersion: uint64(view.version)}
	bytes := 0
	for index, document := range documents {
		if bytes > limit && document.Version > documents[index-1].Version {
			delta.ToVersion = uint64(documents[index-1].Version)
			break
		}
		message, err := document.message()
		if err != nil {
			return nil, err
		}
		bytes += len(message.GetValue())
		delta.Documents = append(delta.Documents, message)
	}
	return delta, nil
}

// IsImported reports whether nothing of another region's delta remains to be imported into ownRegion.
// Documents that cannot be decoded are ignored, because Editor.Import skips them.
func (view *View) IsImported(ownRegion ident.Region, delta *controlpb.ConfigDelta) bool {
	for _, message := range delta.GetDocuments() {
		document, err := decodeImport(message)
		if err != nil {
			continue
		}
		existing, exists := view.documents[document.Name]
		if !exists || existing.Region == document.Region && existing.Origin < document.Origin ||
			existing.Region != document.Region && replacesExisting(document, existing, ownRegion) {
			return false
		}
	}
	return true
}
