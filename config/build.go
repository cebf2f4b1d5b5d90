package config

import (
	"encoding/json"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// decodeDocuments decodes the documents into the typed maps of the View and collects the faults of
// single documents.
func (view *View) decodeDocuments() {
	view.presets = make(map[ident.Preset]Preset)
	view.dataCentres = make(map[ident.DataCentre]DataCentre)
	view.teams = make(map[ident.Team]Team)
	view.services = make(map[ident.Service]Service)
	view.faults, view.unreadable = nil, nil
	for _, name := range view.Names() {
		document := view.documents[name]
		if document.Deleted {
			continue
		}
		checker := &checker{document: name}
		view.addDocument(checker, name, document.Value)
		view.faults = append(view.faults, checker.faults...)
		if checker.unreadable {
			view.unreadable = append(view.unreadable, checker.faults...)
		}
	}
}

// addDocument decodes one document by the prefix of its name.
func (view *View) addDocument(checker *checker, name Name, value json.RawMessage) {
	prefix, id := name.split()
	if prefix != PresetInForce {
		checkIdentifier(checker, "", id)
	}
	switch prefix {
	case PresetInForce:
		var choice Choice
		if decodeStrict(checker, value, &choice) {
			checkIdentifier(checker, "Preset", choice.Preset)
			view.presetInForce = choice.Preset
		}
	case PresetsPrefix:
		decodeInto(checker, value, view.presets, ident.Preset(id), Preset.check)
	case DataCentresPrefix:
		decodeInto(checker, value, view.dataCentres, ident.DataCentre(id), DataCentre.check)
	case TeamsPrefix:
		decodeInto(checker, value, view.teams, ident.Team(id), Team.check)
	case ServicesPrefix:
		decodeInto(checker, value, view.services, ident.Service(id), Service.check)
	default:
		checker.addFault("", "is no known kind of document")
	}
}

// decodeInto decodes a document into the map of its type under id, and checks its fields.
func decodeInto[Identifier ~string, Value any](
	checker *checker, raw json.RawMessage, values map[Identifier]Value, id Identifier, check func(Value, *checker),
) {
	var value Value
	if decodeStrict(checker, raw, &value) {
		check(value, checker)
		values[id] = value
	}
}

// checkReferences returns a fault for each reference to a document that does not exist.
func (view *View) checkReferences() []Fault {
	var faults []Fault
	if _, ok := view.presets[view.presetInForce]; !ok {
		faults = append(faults, Fault{Document: PresetInForce, Field: "Preset", Reason: "names no preset: " + string(view.presetInForce)})
	}
	regions := set.New[ident.Region]()
	for _, dataCentre := range view.dataCentres {
		regions.Add(dataCentre.Region)
	}
	for _, name := range view.Teams() {
		for _, region := range set.SortedKeys(view.teams[name].Quotas) {
			if !regions.Has(region) {
				faults = append(faults, Fault{
					Document: TeamName(name), Field: "Quotas." + string(region), Reason: "names a region without data centre",
				})
			}
		}
	}
	for _, name := range view.Services() {
		service := view.services[name]
		if _, ok := view.teams[service.Team]; !ok {
			faults = append(faults, Fault{
				Document: ServiceName(name), Field: "Team", Reason: "names no team: " + string(service.Team),
			})
		}
	}
	return faults
}

// message encodes the document for other daemons.
func (document Document) message() (*controlpb.ConfigDocument, error) {
	value, err := json.Marshal(document)
	if err != nil {
		return nil, ErrBadRow{Key: string(document.Name.Key()), Reason: err.Error()}
	}
	return &controlpb.ConfigDocument{
		Name: string(document.Name), Version: uint64(document.Version), Value: value, Deleted: document.Deleted,
	}, nil
}

// fromMessage decodes a document from another daemon. It returns ErrBadRow if the encoded document
// differs in name, version or deletion from the message around it.
func fromMessage(message *controlpb.ConfigDocument) (Document, error) {
	var document Document
	if err := json.Unmarshal(message.GetValue(), &document); err != nil {
		return Document{}, ErrBadRow{Key: message.GetName(), Reason: err.Error()}
	}
	if string(document.Name) != message.GetName() || uint64(document.Version) != message.GetVersion() ||
		document.Deleted != message.GetDeleted() {
		return Document{}, ErrBadRow{Key: message.GetName(), Reason: "value is of another document or version"}
	}
	return document, nil
}
