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

// View is an immutable snapshot of the configuration. Its accessors return values that share maps
// and slices with the View and must not be changed. The zero version is the empty configuration.
type View struct {
	version     ident.Version
	documents   map[Name]Document
	choice      ident.Preset
	presets     map[ident.Preset]Preset
	dataCentres map[ident.DataCentre]DataCentre
	teams       map[ident.Team]Team
	services    map[ident.Service]Service
	// faults are those of single documents, and unreadable those of documents that cannot be decoded.
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

// InForce returns the preset in force, or the default one for ordinary days if none is chosen.
func (view *View) InForce() (ident.Preset, Preset) {
	if preset, ok := view.presets[view.choice]; ok {
		return view.choice, preset
	}
	return Ordinary, DefaultPresets()[Ordinary]
}

// Preset returns a preset.
func (view *View) Preset(name ident.Preset) (Preset, bool) {
	preset, ok := view.presets[name]
	return preset, ok
}

// Presets returns the names of all presets in ascending order.
func (view *View) Presets() []ident.Preset { return set.SortedKeys(view.presets) }

// DataCentre returns a data centre.
func (view *View) DataCentre(name ident.DataCentre) (DataCentre, bool) {
	dataCentre, ok := view.dataCentres[name]
	return dataCentre, ok
}

// DataCentres returns the names of all data centres in ascending order.
func (view *View) DataCentres() []ident.DataCentre { return set.SortedKeys(view.dataCentres) }

// DataCentreCondition returns the condition that a data centre's row is unchanged since this View. A
// claim transaction that carries it for an open data centre cannot commit after the data centre was
// closed. It returns false if the data centre is unknown or closed.
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

// Team returns a team.
func (view *View) Team(name ident.Team) (Team, bool) {
	team, ok := view.teams[name]
	return team, ok
}

// Teams returns the names of all teams in ascending order.
func (view *View) Teams() []ident.Team { return set.SortedKeys(view.teams) }

// Service returns a service.
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

// with returns a View at version that also holds the documents, or ErrInvalid if one of them cannot
// be decoded, see merged.
func (view *View) with(version ident.Version, documents []Document) (*View, error) {
	next, err := view.merged(version, documents)
	if err != nil {
		return nil, err
	}
	if len(next.unreadable) > 0 {
		return nil, ErrInvalid{Faults: next.unreadable}
	}
	return next, nil
}

// merged returns a View at version that also holds the documents. Documents with a version that is
// not higher than the held one's are left out, because they come from an old answer; one of the same
// version with another content is an ErrRevert.
func (view *View) merged(version ident.Version, documents []Document) (*View, error) {
	if version < view.version {
		return nil, ErrRevert{Have: view.version, Got: version}
	}
	next := &View{version: version, documents: maps.Clone(view.documents)}
	for _, document := range documents {
		held, have := next.documents[document.Name]
		if document.Version > version {
			return nil, ErrRevert{Document: document.Name, Have: version, Got: document.Version}
		}
		if have && document.Version == held.Version && document.Change != held.Change {
			return nil, ErrRevert{Document: document.Name, Have: held.Version, Got: document.Version}
		}
		if !have || document.Version > held.Version {
			next.documents[document.Name] = document
		}
	}
	next.build()
	return next, nil
}

// Faults returns what the Editor would refuse in this configuration. A View in force has some only
// if a program of another version accepted them; it is used nevertheless, because documents with
// unknown fields must be in force everywhere while the daemons are being replaced.
func (view *View) Faults() []Fault {
	return append(slices.Clone(view.faults), view.check()...)
}

// Delta returns the documents that are newer than from.
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
// nothing; one that starts above it is an ErrGap.
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
	return view.with(to, documents)
}
