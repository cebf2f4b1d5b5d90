package recorded

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Session describes a deployment, its work and its incidents.
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
	// MinHop and MaxHop bound the transmission time of a message between daemons. A mean of 0.5 ms
	// is drawn as 0 or 1 ms, because the clock counts milliseconds.
	MinHop, MaxHop clock.Millis
	// Length is how long work arrives; Settle is the time after it in which the remaining work may
	// end.
	Length, Settle clock.Millis
	Traffic        Traffic
	Batch          Batch
	Incidents      Incidents
}

// Traffic describes the requests of callers.
type Traffic struct {
	Service ident.Service
	// GapMicros is the mean time between two checks, which are requests without a key.
	GapMicros int64
	// ServiceMicros is the mean service time of a check without interference.
	ServiceMicros int64
	Patience      clock.Millis
	// Keyed is the service of submissions with a key, empty for none. The next three fields are its
	// mean gap, mean service time and patience.
	Keyed              ident.Service
	KeyedGapMicros     int64
	KeyedServiceMicros int64
	KeyedPatience      clock.Millis
	// Streams is the number of streams kept open at each endpoint.
	Streams int
}

// Batch describes the jobs of the session.
type Batch struct {
	Class string
	// MeanGap is the mean time between two jobs of 1 to Tasks tasks.
	MeanGap clock.Millis
	Tasks   int
	// Declared is the declared size of a task. Its actual size is between MinSize and MaxSize, its
	// work between MinWork and MaxWork.
	Declared         unit.Resources
	MinSize, MaxSize unit.Resources
	MinWork, MaxWork clock.Millis
	// Standing is the number of standing jobs of one task, which start with the session.
	Standing      int
	StandingClass string
	StandingSize  unit.Resources
	// NoisePercent is the slowdown, in percentage points, that a task of each class causes to
	// others on its worker.
	NoisePercent map[string]int
}

// Incidents holds the times of the incidents after the start of the session; 0 means never.
type Incidents struct {
	// LoadShift multiplies the rate of checks by LoadFactor until LoadNormal.
	LoadShift, LoadNormal clock.Millis
	LoadFactor            int64
	// NoisyWave submits NoisyTasks tasks of class "noisy".
	NoisyWave  clock.Millis
	NoisyTasks int
	// CentreOut and CentreBack take a data centre out and back.
	CentreOut, CentreBack clock.Millis
	// TableDown and TableUp bound an outage of the table. Answers are lost in the 5 s before and
	// after it.
	TableDown, TableUp clock.Millis
	// EntryDies and EntryBack crash and restart the second entry.
	EntryDies, EntryBack clock.Millis
	// AgentDies and AgentBack crash and restart the agent of the fifth worker.
	AgentDies, AgentBack clock.Millis
	// FaultyFrom and FaultyUntil bound the time in which the worker that is the busiest at
	// FaultyFrom fails every task that it starts.
	FaultyFrom, FaultyUntil clock.Millis
	// CancelWave cancels every second unfinished batch job.
	CancelWave clock.Millis
	// Impossible submits a job that fits on no worker.
	Impossible clock.Millis
	// Race lets two operators choose different presets based on the same version; RaceBack restores
	// the preset.
	Race, RaceBack clock.Millis
	// EndpointLeaves and EndpointBack stop and restart the endpoint of the eighth worker.
	EndpointLeaves, EndpointBack clock.Millis
	// Pause and Wake pause and resume the agent of the worker that is the busiest at Pause. They
	// are further apart than the lease term and its margin.
	Pause, Wake clock.Millis
	// Silent makes all open connections between entries and agents silent for good.
	Silent clock.Millis
}

func allIncidents() Incidents {
	return Incidents{
		Impossible: 30 * clock.Second,
		LoadShift:  90 * clock.Second, LoadNormal: 180 * clock.Second, LoadFactor: 4,
		NoisyWave: 200 * clock.Second, NoisyTasks: 14,
		// 8 ms after a placement round, claims have just been committed and starts are in transit.
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

// ContestDay is the deployment of Omaruru: short registration checks, entry submissions with keys,
// adjudication streams and a few batch jobs.
func ContestDay() Session {
	return Session{
		Name: "contest-day", Seed: 20261203, Team: "Omaruru", Region: "khomas",
		Centres: []ident.DataCentre{"khomas-a", "khomas-b", "khomas-c"}, Workers: 10,
		Capacity: unit.Resources{CPU: 32_000, Memory: 125_000}, MinHop: 1, MaxHop: 1,
		Length: 960 * clock.Second, Settle: 300 * clock.Second,
		Traffic: Traffic{
			Service: "checks", GapMicros: 7000, ServiceMicros: 60_000, Patience: 600,
			Keyed: "entries", KeyedGapMicros: 400_000, KeyedServiceMicros: 120_000, KeyedPatience: 5 * clock.Second, Streams: 12,
		},
		Batch: Batch{
			Class: "report", MeanGap: 20 * clock.Second, Tasks: 4,
			Declared: unit.Resources{CPU: 4000, Memory: 8000},
			MinSize:  unit.Resources{CPU: 1000, Memory: 2000}, MaxSize: unit.Resources{CPU: 6000, Memory: 12_000},
			MinWork: 20 * clock.Second, MaxWork: 70 * clock.Second,
			Standing: 3, StandingClass: "sheet", StandingSize: unit.Resources{CPU: 1000, Memory: 2000},
			NoisePercent: map[string]int{"report": 6, "sheet": 1, "noisy": 45},
		},
		Incidents: allIncidents(),
	}
}

// CastingWeek is the deployment of Modelwerf: shrinkage checks, core box layout jobs whose declared
// sizes are far from the actual ones, and long-running draft watches.
func CastingWeek() Session {
	return Session{
		Name: "casting-week", Seed: 20261204, Team: "Modelwerf", Region: "flanders",
		Centres: []ident.DataCentre{"gent", "kortrijk", "aalst"}, Workers: 10,
		Capacity: unit.Resources{CPU: 16_000, Memory: 60_000}, MinHop: 0, MaxHop: 1,
		Length: 960 * clock.Second, Settle: 420 * clock.Second,
		Traffic: Traffic{Service: "shrinkage", GapMicros: 16_000, ServiceMicros: 80_000, Patience: 1500},
		Batch: Batch{
			Class: "layout", MeanGap: 16 * clock.Second, Tasks: 10,
			Declared: unit.Resources{CPU: 6000, Memory: 16_000},
			MinSize:  unit.Resources{CPU: 500, Memory: 1500}, MaxSize: unit.Resources{CPU: 4000, Memory: 22_000},
			MinWork: 30 * clock.Second, MaxWork: 120 * clock.Second,
			Standing: 6, StandingClass: "watch", StandingSize: unit.Resources{CPU: 500, Memory: 2000},
			NoisePercent: map[string]int{"layout": 8, "watch": 1, "noisy": 35},
		},
		Incidents: allIncidents(),
	}
}
