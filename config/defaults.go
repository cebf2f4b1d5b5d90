package config

import (
	"hyssopjunction/ident"
)

// Names of the default presets.
const (
	Ordinary    ident.Preset = "Ordinary"
	Peak        ident.Preset = "Peak"
	Maintenance ident.Preset = "Maintenance"
)

// Teams of the current customers.
const (
	Omaruru   ident.Team = "Omaruru"
	Modelwerf ident.Team = "Modelwerf"
)

// DefaultPresets returns the presets of a new system. Omaruru's checks must be confirmed before a
// deadline, so tail latency has the highest weight for that team. Modelwerf's runs are long and costly
// to repeat, so throughput and evictions have the highest weights.
func DefaultPresets() map[ident.Preset]Preset {
	return map[ident.Preset]Preset{
		Ordinary: {
			Description: "ordinary days",
			Weights: map[ident.Team]Weights{
				Omaruru:   {TailLatency: 70, Throughput: 15, Evictions: 15},
				Modelwerf: {TailLatency: 20, Throughput: 45, Evictions: 35},
			},
			Other:                Weights{TailLatency: 40, Throughput: 30, Evictions: 30},
			HeadroomPercent:      15,
			SlowdownLimitPercent: 130,
			EvictionsPerHour:     20,
			StartBatch:           true,
		},
		// More capacity is kept free for short requests, and batch tasks are throttled and evicted earlier.
		Peak: {
			Description: "peaks: more free capacity for services, batch tasks give way earlier",
			Weights: map[ident.Team]Weights{
				Omaruru:   {TailLatency: 85, Throughput: 5, Evictions: 10},
				Modelwerf: {TailLatency: 30, Throughput: 40, Evictions: 30},
			},
			Other:                Weights{TailLatency: 60, Throughput: 20, Evictions: 20},
			HeadroomPercent:      30,
			SlowdownLimitPercent: 115,
			EvictionsPerHour:     60,
			StartBatch:           true,
		},
		// Workers are drained for replacement, so evictions have a high weight and no batch task is
		// started that would have to be evicted soon.
		Maintenance: {
			Description: "maintenance: no ordinary batch task starts, few evictions",
			Weights: map[ident.Team]Weights{
				Omaruru:   {TailLatency: 60, Throughput: 10, Evictions: 30},
				Modelwerf: {TailLatency: 15, Throughput: 35, Evictions: 50},
			},
			Other:                Weights{TailLatency: 35, Throughput: 20, Evictions: 45},
			HeadroomPercent:      25,
			SlowdownLimitPercent: 140,
			EvictionsPerHour:     10,
			StartBatch:           false,
		},
	}
}
