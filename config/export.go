package config

import (
	"cmp"
	"slices"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

// Export returns the documents whose home is region and that are newer than above, for another
// region's Editor.Import. Documents without a home region were written before the system had several
// regions and are homed here. The documents are in the order of their versions and end with a whole
// change once they exceed limit bytes; ToVersion tells up to which version they are complete.
func (view *View) Export(region ident.Region, above ident.Version, limit int) (*controlpb.ConfigDelta, error) {
	var documents []Document
	for _, document := range view.documents {
		if document.Version > above && (document.Region == region || document.Region == "") {
			document.Region = region
			documents = append(documents, document)
		}
	}
	slices.SortFunc(documents, func(left, right Document) int {
		return cmp.Or(cmp.Compare(left.Version, right.Version), cmp.Compare(left.Name, right.Name))
	})
	delta := &controlpb.ConfigDelta{FromVersion: uint64(above), ToVersion: uint64(view.version)}
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

// Imported reports whether nothing of another region's delta remains to be imported into the region own.
func (view *View) Imported(own ident.Region, delta *controlpb.ConfigDelta) bool {
	for _, message := range delta.GetDocuments() {
		document, err := readable(message)
		if err != nil {
			continue
		}
		held, have := view.documents[document.Name]
		if !have || held.Region == document.Region && held.Origin < document.Origin ||
			held.Region != document.Region && replaces(document, held, own) {
			return false
		}
	}
	return true
}
