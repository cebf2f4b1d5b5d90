package operator

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Accepted is the result of a configuration change.
type Accepted struct {
	// Document is the name of the changed document.
	Document string
	// Version is the configuration version that contains the change, to be passed to Wait.
	Version ident.Version
}

// PresetList is the result of Presets.
type PresetList struct {
	// InForce is the preset in force, set by Operator with configuration version Version.
	InForce  ident.Preset
	Version  ident.Version
	Operator string
	Presets  []PresetState
}

// PresetState describes a preset that can be put in force.
type PresetState struct {
	Preset      ident.Preset
	Description string
}

// PresetChange puts a preset in force.
type PresetChange struct {
	Preset ident.Preset
	// IfVersion is the version of the document that the operator saw; 0 accepts any.
	IfVersion ident.Version
}

// States of a data centre.
const (
	// In means that work is placed in the data centre.
	In = "In"
	// Out means that no work starts there and running work leaves within the drain bound.
	Out = "Out"
	// Lost means that the data centre is gone and its tasks are placed again elsewhere.
	Lost = "Lost"
)

// DataCentreList is the result of DataCentres.
type DataCentreList struct {
	DataCentres []DataCentreState
}

// DataCentreState describes a data centre.
type DataCentreState struct {
	DataCentre ident.DataCentre
	Region     ident.Region
	State      string
	Version    ident.Version
	Operator   string
	Workers    int
	Tasks      int
}

// DataCentreChange takes a data centre out or in.
type DataCentreChange struct {
	DataCentre ident.DataCentre
	// State is one of In, Out and Lost.
	State string
	// DrainMillis bounds the time in which running work leaves, for Out only.
	DrainMillis clock.Millis
	Reason      string
	IfVersion   ident.Version
}

// ServiceList is the result of Services.
type ServiceList struct {
	Services []ServiceState
}

// ServiceState describes a service.
type ServiceState struct {
	ServiceChange
	Version   ident.Version
	Operator  string
	Endpoints int
	// P99Millis is the 99th percentile of the response times of the last one to two minutes at the entry
	// that answers, 0 without responses.
	P99Millis clock.Millis
}

// ServiceChange creates or replaces a service.
type ServiceChange struct {
	Service ident.Service
	Team    ident.Team
	// Idempotent requests may be retried after an unknown outcome; others need a Request-Key.
	Idempotent bool
	// PatienceMillis is the deadline of requests that name none.
	PatienceMillis clock.Millis
	// TargetSlowdown is the tolerated slowdown by colocated work in percent; 100 is undisturbed, 0
	// stands for the limit of the preset in force.
	TargetSlowdown int
	// RetentionMillis is how long results of keyed requests are kept, if that is longer than the
	// entries' own retention.
	RetentionMillis clock.Millis
	IfVersion       ident.Version
}

// TeamList is the result of Teams.
type TeamList struct {
	Teams []TeamState
}

// TeamState is a team's account in one region.
type TeamState struct {
	Team     ident.Team
	Region   ident.Region
	Quota    unit.Resources
	Granted  unit.Resources
	Used     unit.Resources
	Borrowed unit.Resources
	Lent     unit.Resources
	Version  ident.Version
	Operator string
}

// TeamChange creates a team or replaces its quota in one region.
type TeamChange struct {
	Team ident.Team
	// Region whose quota changes; empty stands for the region of the entry.
	Region    ident.Region
	Quota     unit.Resources
	IfVersion ident.Version
}

// JobSubmission describes a new job.
type JobSubmission struct {
	Job   ident.Job
	Team  ident.Team
	Class string
	Kind  worker.Kind
	// Tasks is the number of equal tasks.
	Tasks int
	// Resources is the declared size of one task.
	Resources unit.Resources
	// PatienceMillis is the time in which the job is wanted; 0 means no deadline.
	PatienceMillis clock.Millis
	Urgent         bool
	// Payload is passed to each task unchanged.
	Payload string
}

// JobFilter selects jobs. Empty fields match all.
type JobFilter struct {
	Team  ident.Team
	State string
	// After is the last job of the previous page.
	After ident.Job
	Limit int
}

// JobList is a page of jobs. More tells whether another page follows.
type JobList struct {
	Jobs []JobState
	More bool
}

// JobState describes a job.
type JobState struct {
	JobSubmission
	State  string
	Reason string
	// Counts holds the number of tasks per task state.
	Counts map[string]int
	// Running lists the placements of running tasks.
	Running []TaskPlacement
}

// TaskPlacement tells where a task runs.
type TaskPlacement struct {
	Task       ident.Task
	Epoch      ident.Epoch
	Worker     ident.Worker
	DataCentre ident.DataCentre
}

// Explanation tells why a job's tasks run where they do or do not run.
type Explanation struct {
	Job ident.Job
	// Summary is one sentence on the job as a whole.
	Summary string
	// Size is the size used for placement, and Declared the one of the submission.
	Size     unit.Resources
	Declared unit.Resources
	// Refusals counts the workers that could not take a task, by reason.
	Refusals []Refusal
	// Decisions are the latest decisions on the job, newest first.
	Decisions []string
}

// Refusal counts the workers that could not take a task for one reason.
type Refusal struct {
	Reason  string
	Workers int
}

// WorkerFilter selects workers. Empty fields match all.
type WorkerFilter struct {
	DataCentre ident.DataCentre
	State      string
	After      ident.Worker
	Limit      int
}

// WorkerList is a page of workers. More tells whether another page follows.
type WorkerList struct {
	Workers []WorkerState
	More    bool
}

// WorkerState describes a worker.
type WorkerState struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Region      ident.Region
	DataCentre  ident.DataCentre
	Rack        ident.Rack
	State       string
	Reason      string
	Capacity    unit.Resources
	Used        unit.Resources
	Tasks       int
	Home        ident.Entry
	// AgeMillis is the time since the worker was last heard of.
	AgeMillis clock.Millis
}

// WorkerLoss states that an incarnation of a worker is over.
type WorkerLoss struct {
	Worker ident.Worker
	// Incarnation must be the one known to the system, so that a worker that returned meanwhile is
	// not declared lost by mistake.
	Incarnation ident.Incarnation
	Reason      string
}

// HistoryFilter selects configuration changes.
type HistoryFilter struct {
	// Document limits the list to one document; empty matches all.
	Document string
	// Before is the oldest version of the previous page; 0 starts at the newest.
	Before ident.Version
	Limit  int
}

// HistoryList is a page of configuration changes, newest first.
type HistoryList struct {
	Changes []HistoryChange
	More    bool
}

// HistoryChange is one configuration change.
type HistoryChange struct {
	Version  ident.Version
	Document string
	Operator string
	Request  ident.Request
	// Written is the wall-clock time at the writer, for people only.
	Written string
	Summary string
}

// DiffList is the difference between two configuration versions.
type DiffList struct {
	From      ident.Version
	To        ident.Version
	Documents []DocumentDiff
}

// DocumentDiff holds a document's values at both versions; empty means that it did not exist.
type DocumentDiff struct {
	Document string
	Before   string
	After    string
}

// InForce is the result of Wait.
type InForce struct {
	Version ident.Version
	// Everywhere tells whether all live daemons have applied the version.
	Everywhere bool
	// Lagging names daemons that have not, in ascending order and at most 20.
	Lagging []string
}

// Status is a summary of the system.
type Status struct {
	Entry         ident.Entry
	Region        ident.Region
	Preset        ident.Preset
	ConfigVersion ident.Version
	Entries       int
	Workers       int
	// WorkersDown counts workers not heard of, and Quarantined those out of service by quarantine.
	WorkersDown int
	Quarantined int
	Services    int
	Teams       int
	// JobsWaiting and TasksRunning are as this entry sees them.
	JobsWaiting  int
	TasksRunning int
	// TableAvailable is false during an outage of the table service.
	TableAvailable bool
	Capacity       unit.Resources
	Used           unit.Resources
	// Notes are conditions that need an operator's attention.
	Notes []string
}
