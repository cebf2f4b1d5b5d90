package config

import (
	"encoding/json"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// build decodes the documents into their typed maps and collects the faults of single documents.
func (view *View) build() {
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
		view.add(checker, name, document.Value)
		view.faults = append(view.faults, checker.faults...)
		if checker.unreadable {
			view.unreadable = append(view.unreadable, checker.faults...)
		}
	}
}

func (view *View) add(checker *checker, name Name, value json.RawMessage) {
	prefix, id := name.split()
	if prefix != InForce {
		named(checker, "", id)
	}
	switch prefix {
	case InForce:
		var choice Choice
		if decode(checker, value, &choice) {
			named(checker, "Preset", choice.Preset)
			view.choice = choice.Preset
		}
	case PresetsPrefix:
		addTo(checker, value, view.presets, ident.Preset(id), Preset.check)
	case DataCentresPrefix:
		addTo(checker, value, view.dataCentres, ident.DataCentre(id), DataCentre.check)
	case TeamsPrefix:
		addTo(checker, value, view.teams, ident.Team(id), Team.check)
	case ServicesPrefix:
		addTo(checker, value, view.services, ident.Service(id), Service.check)
	default:
		checker.fault("", "is no known kind of document")
	}
}

func addTo[Identifier ~string, Value any](
	checker *checker, raw json.RawMessage, values map[Identifier]Value, id Identifier, check func(Value, *checker),
) {
	var value Value
	if decode(checker, raw, &value) {
		check(value, checker)
		values[id] = value
	}
}

// check returns the faults of the configuration as a whole: references to documents that do not
// exist.
func (view *View) check() []Fault {
	var faults []Fault
	if _, ok := view.presets[view.choice]; !ok {
		faults = append(faults, Fault{Document: InForce, Field: "Preset", Reason: "names no preset: " + string(view.choice)})
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

// message returns the document as sent to other daemons.
func (document Document) message() (*controlpb.ConfigDocument, error) {
	value, err := json.Marshal(document)
	if err != nil {
		return nil, ErrBadRow{Key: string(document.Name.Key()), Reason: err.Error()}
	}
	return &controlpb.ConfigDocument{
		Name: string(document.Name), Version: uint64(document.Version), Value: value, Deleted: document.Deleted,
	}, nil
}

// fromMessage returns the document in a message.
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
