// Package config implements the operators' configuration: documents with increasing versions, their
// validation and history, and their distribution from the table to all daemons.
package config

import (
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Name is the name of a document, as in "DataCentres/gent".
type Name string

// PresetInForce is the name of the document that holds the preset in force. The other documents are
// named by one of the prefixes and an identifier.
const (
	PresetInForce     Name = "Preset"
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

// split returns the prefix, with its slash, and the identifier of a document's name.
func (name Name) split() (Name, string) {
	slash := strings.IndexByte(string(name), '/')
	if slash < 0 {
		return name, ""
	}
	return name[:slash+1], string(name[slash+1:])
}

// Choice is the document PresetInForce: the preset in force.
type Choice struct {
	Preset ident.Preset
}

// Weights are the weights of tail latency, throughput and evictions for a team, in percent. Decisions
// compare them with each other, so their sum need not be 100.
type Weights struct {
	TailLatency int
	Throughput  int
	Evictions   int
}

// Preset is a document under PresetsPrefix: a set of scheduling parameters that operators switch
// between, such as those for ordinary days or for peaks.
type Preset struct {
	// Description explains to operators when to use the preset.
	Description string `json:",omitempty"`
	// Weights are the weights of single teams, Other those of all other teams.
	Weights map[ident.Team]Weights
	Other   Weights
	// HeadroomPercent is the share of each worker's capacity that placement keeps free of batch tasks.
	HeadroomPercent int
	// SlowdownLimitPercent is the slowdown of a service above which batch tasks on the same worker are
	// throttled; 100 means no interference. While most slots of the endpoint are free, a higher slowdown
	// is tolerated.
	SlowdownLimitPercent int
	// EvictionsPerHour limits the evictions that are not needed for urgent work.
	EvictionsPerHour int
	// StartBatch is whether batch tasks that are not urgent are started.
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
	// Open is whether the data centre gets new work.
	Open   bool
	Region ident.Region
	// DrainMillis is how long running work may take to end once the data centre is closed.
	DrainMillis clock.Millis
	// Lost declares that the data centre is lost: the incarnations of its unresponsive workers are over.
	// A lost data centre must not be open.
	Lost bool `json:",omitempty"`
}

// Team is a document under TeamsPrefix.
type Team struct {
	// Quotas are the team's resources in each region. CPU is in thousandths of a core and Memory in MiB.
	Quotas map[ident.Region]unit.Resources
}

// Service is a document under ServicesPrefix. The service's name is also the class under which the
// interference of its work is learned.
type Service struct {
	Team ident.Team
	// Idempotent is whether a request may run twice, so that one with an unknown outcome is retried.
	Idempotent bool
	// PatienceMillis is the patience of requests that state none.
	PatienceMillis clock.Millis
	// SlowdownLimitPercent overrides the limit of the preset in force; 0 means no override.
	SlowdownLimitPercent int `json:",omitempty"`
	// RetentionMillis is how long results of keyed requests are kept. It has an effect only if it is
	// longer than the retention in the settings of the entries.
	RetentionMillis clock.Millis `json:",omitempty"`
}
