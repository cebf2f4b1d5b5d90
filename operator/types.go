package operator

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Accepted is the result of an accepted configuration change.
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
	// IfVersion is the version that the document must have, else the change fails with ErrConflict; 0
	// accepts any version.
	IfVersion ident.Version
}

// States of a data centre.
const (
	// In means that work is placed in the data centre.
	In = "In"
	// Out means that no work starts there and running work is moved away within the drain time.
	Out = "Out"
	// Lost declares that the incarnations of the data centre's unresponsive workers have ended, so that
	// their tasks are placed again elsewhere.
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

// DataCentreChange changes the state of a data centre.
type DataCentreChange struct {
	DataCentre ident.DataCentre
	// State is one of In, Out and Lost.
	State string
	// DrainMillis limits the time in which running work is moved away, for Out only.
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
	// P99Millis is the 99th percentile of the response times at the entry that answers, over the last one
	// to two minutes; 0 if there were no responses.
	P99Millis clock.Millis
}

// ServiceChange creates or replaces a service.
type ServiceChange struct {
	Service ident.Service
	Team    ident.Team
	// Idempotent requests may be retried after an unknown outcome; others need a Request-Key.
	Idempotent bool
	// PatienceMillis is the patience of requests that state none.
	PatienceMillis clock.Millis
	// TargetSlowdown is the tolerated slowdown by colocated work in percent, where 100 means no slowdown;
	// 0 selects the limit of the preset in force.
	TargetSlowdown int
	// RetentionMillis is how long results of keyed requests are kept. The entries' own retention applies
	// if it is longer.
	RetentionMillis clock.Millis
	IfVersion       ident.Version
}

// TeamList is the result of Teams.
type TeamList struct {
	Teams []TeamState
}

// TeamState is the quota and the usage of a team in one region.
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
	// Region is where the quota applies; empty selects the region of the entry.
	Region    ident.Region
	Quota     unit.Resources
	IfVersion ident.Version
}

// JobSubmission describes a job to be run.
type JobSubmission struct {
	Job   ident.Job
	Team  ident.Team
	Class string
	Kind  worker.Kind
	// Tasks is the number of equal tasks.
	Tasks int
	// Resources is the declared size of one task.
	Resources unit.Resources
	// PatienceMillis is how long the job can wait for its first start; 0 means no deadline.
	PatienceMillis clock.Millis
	Urgent         bool
	// Payload is passed to each task unchanged.
	Payload string
}

// JobFilter selects a page of jobs. Empty fields match all.
type JobFilter struct {
	Team  ident.Team
	State string
	// After is the last job of the previous page.
	After ident.Job
	Limit int
}

// JobList is a page of jobs. More is true if another page follows.
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

// TaskPlacement is the placement of a running task.
type TaskPlacement struct {
	Task       ident.Task
	Epoch      ident.Epoch
	Worker     ident.Worker
	DataCentre ident.DataCentre
}

// Explanation explains why a job's tasks run where they do, or why they do not run.
type Explanation struct {
	Job ident.Job
	// Summary describes the job as a whole in one sentence.
	Summary string
	// Size is the task size used for placement, and Declared the one of the submission.
	Size     unit.Resources
	Declared unit.Resources
	// Refusals counts the workers that cannot take a task, by reason.
	Refusals []Refusal
	// Decisions are the latest scheduling decisions on the job, newest first.
	Decisions []string
}

// Refusal is the number of workers that cannot take a task for one reason.
type Refusal struct {
	Reason  string
	Workers int
}

// WorkerFilter selects a page of workers. Empty fields match all.
type WorkerFilter struct {
	DataCentre ident.DataCentre
	State      string
	// After is the last worker of the previous page.
	After ident.Worker
	Limit int
}

// WorkerList is a page of workers. More is true if another page follows.
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
	// AgeMillis is the time since the last report of the worker.
	AgeMillis clock.Millis
}

// WorkerLoss declares that an incarnation of a worker has ended.
type WorkerLoss struct {
	Worker ident.Worker
	// Incarnation must be the worker's current one, so that a worker that has returned meanwhile is not
	// declared lost by mistake.
	Incarnation ident.Incarnation
	Reason      string
}

// HistoryFilter selects a page of configuration changes.
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
	// Written is the wall-clock time at the writer, for display only.
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

// VersionStatus is the result of Wait: whether a configuration version is in force everywhere.
type VersionStatus struct {
	Version ident.Version
	// Everywhere is true if all live daemons have applied the version.
	Everywhere bool
	// Lagging names daemons that have not applied it, in ascending order and at most 20.
	Lagging []string
}

// Status is a summary of the system as one entry sees it.
type Status struct {
	Entry         ident.Entry
	Region        ident.Region
	Preset        ident.Preset
	ConfigVersion ident.Version
	Entries       int
	Workers       int
	// WorkersDown counts the workers that do not report, and Quarantined those in quarantine.
	WorkersDown int
	Quarantined int
	Services    int
	Teams       int
	// JobsWaiting and TasksRunning are counted in this entry's view.
	JobsWaiting  int
	TasksRunning int
	// TableAvailable is false during an outage of the table service.
	TableAvailable bool
	Capacity       unit.Resources
	Used           unit.Resources
	// Notes describe conditions that need an operator's attention.
	Notes []string
}
