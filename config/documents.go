// Package config holds the operators' configuration: documents with versions that only rise, their
// validation, history, and their way from the table into each daemon.
package config

import (
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Name names a document, as in "DataCentres/gent".
type Name string

// InForce is the name of the document that holds the preset in force, and the prefixes are those of
// the other documents.
const (
	InForce           Name = "Preset"
	PresetsPrefix     Name = "Presets/"
	DataCentresPrefix Name = "DataCentres/"
	TeamsPrefix       Name = "Teams/"
	ServicesPrefix    Name = "Services/"
)

// PresetName returns the name of a preset's document.
func PresetName(preset ident.Preset) Name { return PresetsPrefix + Name(preset) }

// DataCentreName returns the name of a data centre's document.
func DataCentreName(dataCentre ident.DataCentre) Name { return DataCentresPrefix + Name(dataCentre) }

// TeamName returns the name of a team's document.
func TeamName(team ident.Team) Name { return TeamsPrefix + Name(team) }

// ServiceName returns the name of a service's document.
func ServiceName(service ident.Service) Name { return ServicesPrefix + Name(service) }

// split returns the prefix and the identifier of a document's name.
func (name Name) split() (Name, string) {
	slash := strings.IndexByte(string(name), '/')
	if slash < 0 {
		return name, ""
	}
	return name[:slash+1], string(name[slash+1:])
}

// Choice is the document InForce: the preset in force.
type Choice struct {
	Preset ident.Preset
}

// Weights tell how much the three measures count for a team, in percent. Decisions compare them
// with each other, so their sum need not be 100.
type Weights struct {
	TailLatency int
	Throughput  int
	Evictions   int
}

// Preset is a document under PresetsPrefix: the operators' setting for a kind of day.
type Preset struct {
	// Description tells operators when to use the preset.
	Description string `json:",omitempty"`
	// Weights are those of teams with their own, Other those of all other teams.
	Weights map[ident.Team]Weights
	Other   Weights
	// HeadroomPercent is the part of each worker's capacity that placement keeps free of batch tasks.
	HeadroomPercent int
	// SlowdownLimitPercent is the slowdown of a service above which batch tasks beside it are
	// throttled; 100 is undisturbed. While most slots of the endpoint are free, more is tolerated.
	SlowdownLimitPercent int
	// EvictionsPerHour bounds the evictions that are not needed for urgent work.
	EvictionsPerHour int
	// StartBatch tells whether ordinary batch tasks are started.
	StartBatch bool
}

// WeightsOf returns the weights of a team.
func (preset Preset) WeightsOf(team ident.Team) Weights {
	if weights, ok := preset.Weights[team]; ok {
		return weights
	}
	return preset.Other
}

// DataCentre is a document under DataCentresPrefix.
type DataCentre struct {
	// Open data centres get new work.
	Open   bool
	Region ident.Region
	// DrainMillis is how long running work may take to end once the data centre is closed.
	DrainMillis clock.Millis
	// Lost states that the data centre is gone: the incarnations of workers that are silent there are
	// over. A lost data centre is not open.
	Lost bool `json:",omitempty"`
}

// Team is a document under TeamsPrefix.
type Team struct {
	// Quotas are the resources of the team by region. CPU is in thousandths of a core and Memory in
	// MiB.
	Quotas map[ident.Region]unit.Resources
}

// Service is a document under ServicesPrefix. Its name is also the class of its work for learned
// interference.
type Service struct {
	Team ident.Team
	// Idempotent services may run a request twice, so that requests with an unknown outcome are
	// retried.
	Idempotent bool
	// PatienceMillis is the deadline of requests that state none.
	PatienceMillis clock.Millis
	// SlowdownLimitPercent replaces that of the preset in force; 0 keeps it.
	SlowdownLimitPercent int `json:",omitempty"`
	// RetentionMillis is how long results of keyed requests are kept, if that is longer than the
	// entries' own retention.
	RetentionMillis clock.Millis `json:",omitempty"`
}
