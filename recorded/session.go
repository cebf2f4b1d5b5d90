package recorded

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Session is a deployment with its work and its incidents.
type Session struct {
	Name string
	Seed uint64
	// Team owns the service and the jobs.
	Team    ident.Team
	Region  ident.Region
	Centres []ident.DataCentre
	// Workers is the number of workers, each with an endpoint, three to a rack.
	Workers  int
	Capacity unit.Resources
	// HopLow and HopHigh bound the time of a message between daemons. A mean of 0.5 ms is a hop of
	// 0 or 1 ms, because the clock counts milliseconds.
	HopLow, HopHigh clock.Millis
	// Length is how long work arrives; Settle is how long the rest may take after it.
	Length, Settle clock.Millis
	Traffic        Traffic
	Batch          Batch
	Incidents      Incidents
}

// Traffic is the requests of callers.
type Traffic struct {
	Service ident.Service
	// GapMicros is the mean time between two checks in microseconds.
	GapMicros int64
	// ServiceMicros is the mean service time of an undisturbed check.
	ServiceMicros int64
	Patience      clock.Millis
	// Keyed is the service of keyed submissions, empty for none, with their mean gap and service time.
	Keyed              ident.Service
	KeyedGapMicros     int64
	KeyedServiceMicros int64
	KeyedPatience      clock.Millis
	// Streams is the number of streams kept open at each endpoint.
	Streams int
}

// Batch is the jobs of the session.
type Batch struct {
	Class string
	// Gap is the mean time between two jobs of 1 to Tasks tasks.
	Gap   clock.Millis
	Tasks int
	// Declared is what callers say; the actual size is between Least and Most, and the work between
	// LeastWork and MostWork.
	Declared            unit.Resources
	Least, Most         unit.Resources
	LeastWork, MostWork clock.Millis
	// Standing is the number of standing jobs of one task, which start with the session.
	Standing      int
	StandingClass string
	StandingSize  unit.Resources
	// NoisePercent is how many points of slowdown each class causes to others on its worker.
	NoisePercent map[string]int
}

// Incidents are the times from the start of the session at which something goes wrong; 0 means never.
type Incidents struct {
	// LoadShift multiplies the rate of checks by LoadFactor until LoadNormal.
	LoadShift, LoadNormal clock.Millis
	LoadFactor            int64
	// NoisyWave submits NoisyTasks tasks of class "noisy".
	NoisyWave  clock.Millis
	NoisyTasks int
	// CentreOut and CentreBack take a data centre out and back.
	CentreOut, CentreBack clock.Millis
	// TableDown and TableUp bound an outage, with lost answers in the 5 s before and after it.
	TableDown, TableUp clock.Millis
	// EntryDies and EntryBack are of the second entry.
	EntryDies, EntryBack clock.Millis
	// AgentDies and AgentBack are of the fifth worker's agent.
	AgentDies, AgentBack clock.Millis
	// FaultyFrom and FaultyUntil bound the time in which the then busiest worker fails all it starts.
	FaultyFrom, FaultyUntil clock.Millis
	// CancelWave cancels every second unfinished batch job.
	CancelWave clock.Millis
	// Impossible submits a job that fits on no worker.
	Impossible clock.Millis
	// Race lets two operators choose different presets on the same base; RaceBack restores the preset.
	Race, RaceBack clock.Millis
	// EndpointLeaves and EndpointBack are of the eighth worker's endpoint.
	EndpointLeaves, EndpointBack clock.Millis
	// Pause and Wake are of the agent of the then busiest worker, further apart than the lease term and
	// its margin.
	Pause, Wake clock.Millis
	// Silent makes all open connections between entries and agents silent for ever.
	Silent clock.Millis
}

func allIncidents() Incidents {
	return Incidents{
		Impossible: 30 * clock.Second,
		LoadShift:  90 * clock.Second, LoadNormal: 180 * clock.Second, LoadFactor: 4,
		NoisyWave: 200 * clock.Second, NoisyTasks: 14,
		// 8 ms after a placement round, claims have just been committed and starts are on their way.
		CentreOut: 330*clock.Second + 8, CentreBack: 450 * clock.Second,
		Race: 350 * clock.Second, RaceBack: 500 * clock.Second,
		TableDown: 530 * clock.Second, TableUp: 575 * clock.Second,
		EntryDies: 610 * clock.Second, EntryBack: 670 * clock.Second,
		AgentDies: 690 * clock.Second, AgentBack: 735 * clock.Second,
		FaultyFrom: 745 * clock.Second, FaultyUntil: 840 * clock.Second,
		CancelWave:     850 * clock.Second,
		EndpointLeaves: 870 * clock.Second, EndpointBack: 900 * clock.Second,
		Pause: 905 * clock.Second, Wake: 945 * clock.Second,
		Silent: 950 * clock.Second,
	}
}

// ContestDay is the deployment of Omaruru: short registration checks, keyed entry submissions,
// adjudication streams and some batch work.
func ContestDay() Session {
	return Session{
		Name: "contest-day", Seed: 20261203, Team: "Omaruru", Region: "khomas",
		Centres: []ident.DataCentre{"khomas-a", "khomas-b", "khomas-c"}, Workers: 10,
		Capacity: unit.Resources{CPU: 32_000, Memory: 125_000}, HopLow: 1, HopHigh: 1,
		Length: 960 * clock.Second, Settle: 300 * clock.Second,
		Traffic: Traffic{
			Service: "checks", GapMicros: 7000, ServiceMicros: 60_000, Patience: 600,
			Keyed: "entries", KeyedGapMicros: 400_000, KeyedServiceMicros: 120_000, KeyedPatience: 5 * clock.Second, Streams: 12,
		},
		Batch: Batch{
			Class: "report", Gap: 20 * clock.Second, Tasks: 4,
			Declared: unit.Resources{CPU: 4000, Memory: 8000},
			Least:    unit.Resources{CPU: 1000, Memory: 2000}, Most: unit.Resources{CPU: 6000, Memory: 12_000},
			LeastWork: 20 * clock.Second, MostWork: 70 * clock.Second,
			Standing: 3, StandingClass: "sheet", StandingSize: unit.Resources{CPU: 1000, Memory: 2000},
			NoisePercent: map[string]int{"report": 6, "sheet": 1, "noisy": 45},
		},
		Incidents: allIncidents(),
	}
}

// CastingWeek is the deployment of Modelwerf: shrinkage checks, core box layout runs whose declared
// sizes are far off, and long-standing draft watches.
func CastingWeek() Session {
	return Session{
		Name: "casting-week", Seed: 20261204, Team: "Modelwerf", Region: "flanders",
		Centres: []ident.DataCentre{"gent", "kortrijk", "aalst"}, Workers: 10,
		Capacity: unit.Resources{CPU: 16_000, Memory: 60_000}, HopLow: 0, HopHigh: 1,
		Length: 960 * clock.Second, Settle: 420 * clock.Second,
		Traffic: Traffic{Service: "shrinkage", GapMicros: 16_000, ServiceMicros: 80_000, Patience: 1500},
		Batch: Batch{
			Class: "layout", Gap: 16 * clock.Second, Tasks: 10,
			Declared: unit.Resources{CPU: 6000, Memory: 16_000},
			Least:    unit.Resources{CPU: 500, Memory: 1500}, Most: unit.Resources{CPU: 4000, Memory: 22_000},
			LeastWork: 30 * clock.Second, MostWork: 120 * clock.Second,
			Standing: 6, StandingClass: "watch", StandingSize: unit.Resources{CPU: 500, Memory: 2000},
			NoisePercent: map[string]int{"layout": 8, "watch": 1, "noisy": 35},
		},
		Incidents: allIncidents(),
	}
}
