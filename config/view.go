package config

import (
	"fmt"
	"maps"
	"slices"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the configuration. Its accessors return values that share maps and
// slices with the View and must not be changed. Version 0 is the empty configuration.
type View struct {
	version       ident.Version
	documents     map[Name]Document
	presetInForce ident.Preset
	presets       map[ident.Preset]Preset
	dataCentres   map[ident.DataCentre]DataCentre
	teams         map[ident.Team]Team
	services      map[ident.Service]Service
	// faults are the faults of single documents, and unreadable those that prevent a document from being
	// decoded.
	faults     []Fault
	unreadable []Fault
}

// NewView returns the empty configuration.
func NewView() *View {
	return &View{
		documents:   make(map[Name]Document),
		presets:     make(map[ident.Preset]Preset),
		dataCentres: make(map[ident.DataCentre]DataCentre),
		teams:       make(map[ident.Team]Team),
		services:    make(map[ident.Service]Service),
	}
}

// Version returns the version of the newest change in the View.
func (view *View) Version() ident.Version { return view.version }

// InForce returns the preset in force, or the default preset Ordinary if none or an unknown one is
// chosen.
func (view *View) InForce() (ident.Preset, Preset) {
	if preset, ok := view.presets[view.presetInForce]; ok {
		return view.presetInForce, preset
	}
	return Ordinary, DefaultPresets()[Ordinary]
}

// Preset returns a preset and whether it exists.
func (view *View) Preset(name ident.Preset) (Preset, bool) {
	preset, ok := view.presets[name]
	return preset, ok
}

// Presets returns the names of all presets in ascending order.
func (view *View) Presets() []ident.Preset { return set.SortedKeys(view.presets) }

// DataCentre returns a data centre and whether it exists.
func (view *View) DataCentre(name ident.DataCentre) (DataCentre, bool) {
	dataCentre, ok := view.dataCentres[name]
	return dataCentre, ok
}

// DataCentres returns the names of all data centres in ascending order.
func (view *View) DataCentres() []ident.DataCentre { return set.SortedKeys(view.dataCentres) }

// DataCentreCondition returns the condition that the row of an open data centre is unchanged since this
// View. A claim transaction with this condition cannot commit after the data centre was closed. It
// returns false if the data centre is unknown or closed.
func (view *View) DataCentreCondition(name ident.DataCentre) (table.Condition, bool) {
	dataCentre, ok := view.dataCentres[name]
	if !ok || !dataCentre.Open {
		return table.Condition{}, false
	}
	key, revision := view.DataCentreRow(name)
	return table.Condition{Key: key, Revision: revision}, true
}

// DataCentreRow returns the key of a data centre's row and its revision in this View, 0 if the
// data centre was never configured.
func (view *View) DataCentreRow(name ident.DataCentre) (table.Key, table.Revision) {
	return DataCentreName(name).Key(), view.documents[DataCentreName(name)].Revision
}

// TeamRow returns the key of a team's row and its revision in this View, 0 if the team was never
// configured.
func (view *View) TeamRow(name ident.Team) (table.Key, table.Revision) {
	return TeamName(name).Key(), view.documents[TeamName(name)].Revision
}

// Team returns a team and whether it exists.
func (view *View) Team(name ident.Team) (Team, bool) {
	team, ok := view.teams[name]
	return team, ok
}

// Teams returns the names of all teams in ascending order.
func (view *View) Teams() []ident.Team { return set.SortedKeys(view.teams) }

// Service returns a service and whether it exists.
func (view *View) Service(name ident.Service) (Service, bool) {
	service, ok := view.services[name]
	return service, ok
}

// Services returns the names of all services in ascending order.
func (view *View) Services() []ident.Service { return set.SortedKeys(view.services) }

// Document returns a document, also a deleted one, and whether it was ever written.
func (view *View) Document(name Name) (Document, bool) {
	document, ok := view.documents[name]
	return document, ok
}

// Names returns the names of all documents, deleted ones included, in ascending order.
func (view *View) Names() []Name { return set.SortedKeys(view.documents) }

// Digest returns a checksum of the names and versions of all documents.
func (view *View) Digest() string {
	digest := xxhash.New()
	for _, name := range view.Names() {
		_, _ = fmt.Fprintf(digest, "%s\x00%d\n", name, view.documents[name].Version)
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// withDocuments is merge, but returns ErrInvalid if a document cannot be decoded.
func (view *View) withDocuments(version ident.Version, documents []Document) (*View, error) {
	next, err := view.merge(version, documents)
	if err != nil {
		return nil, err
	}
	if len(next.unreadable) > 0 {
		return nil, ErrInvalid{Faults: next.unreadable}
	}
	return next, nil
}

// merge returns a copy of the View at version with the documents added. A document that is not newer
// than the existing one is left out, because it comes from an outdated response. It returns ErrRevert if
// version is lower than the View's, if a document is newer than version, or if a document has the version
// of the existing one but was written by another change.
func (view *View) merge(version ident.Version, documents []Document) (*View, error) {
	if version < view.version {
		return nil, ErrRevert{Have: view.version, Got: version}
	}
	next := &View{version: version, documents: maps.Clone(view.documents)}
	for _, document := range documents {
		existing, exists := next.documents[document.Name]
		if document.Version > version {
			return nil, ErrRevert{Document: document.Name, Have: version, Got: document.Version}
		}
		if exists && document.Version == existing.Version && document.Change != existing.Change {
			return nil, ErrRevert{Document: document.Name, Have: existing.Version, Got: document.Version}
		}
		if !exists || document.Version > existing.Version {
			next.documents[document.Name] = document
		}
	}
	next.decodeDocuments()
	return next, nil
}

// Faults returns the faults of this configuration for which the Editor would refuse a change. A View in
// force has faults only if another version of the program accepted them. It is used nevertheless, because
// documents with fields that this version does not know must be in force everywhere during an upgrade.
func (view *View) Faults() []Fault {
	return append(slices.Clone(view.faults), view.checkReferences()...)
}

// Delta returns the documents with a version above from, encoded for another daemon.
func (view *View) Delta(from ident.Version) (*controlpb.ConfigDelta, error) {
	delta := &controlpb.ConfigDelta{FromVersion: uint64(from), ToVersion: uint64(view.version)}
	for _, name := range view.Names() {
		document := view.documents[name]
		if document.Version <= from {
			continue
		}
		message, err := document.message()
		if err != nil {
			return nil, err
		}
		delta.Documents = append(delta.Documents, message)
	}
	return delta, nil
}

// Apply returns the View after a delta. A delta that ends at or below the View's version changes
// nothing; one that starts above it returns ErrGap.
func (view *View) Apply(delta *controlpb.ConfigDelta) (*View, error) {
	from, to := ident.Version(delta.GetFromVersion()), ident.Version(delta.GetToVersion())
	if to <= view.version {
		return view, nil
	}
	if from > view.version {
		return nil, ErrGap{Have: view.version, From: from}
	}
	documents := make([]Document, 0, len(delta.GetDocuments()))
	for _, message := range delta.GetDocuments() {
		document, err := fromMessage(message)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	return view.withDocuments(to, documents)
}
