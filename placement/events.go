package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Event is an input of the scheduler. All events but Round may be repeated or arrive late.
type Event interface{ event() }

// JobLoaded is the row of a job of which this entry is home. It is sent after the job's submission
// was committed, when this entry becomes its home, and when the row is known to have changed. A
// revision that is not newer than the loaded one is ignored.
type JobLoaded struct{ Row table.Row }

// JobRemoved reports that this entry is no longer home of the job.
type JobRemoved struct{ Job ident.Job }

// Cancel cancels a job. Unknown jobs are ignored.
type Cancel struct{ Job ident.Job }

// Resident is a task on a worker that belongs to a job of another scheduler.
type Resident struct {
	Task  ident.Task
	Epoch ident.Epoch
	Class string
	Size  unit.Resources
	// Preemptible tasks are batch tasks that urgent work may evict.
	Preemptible bool
}

// WorkerState is a worker's state as reported by its agent.
type WorkerState struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Rack        ident.Rack
	Capacity    unit.Resources
	// Used is the sum of reservations and running tasks in the agent's ledger.
	Used unit.Resources
	// Draining workers take no new work.
	Draining bool
	// Classes are those of the work on the worker that is not listed in Residents, such as its
	// endpoint's.
	Classes []string
	// Residents are the listed tasks of other schedulers' jobs.
	Residents []Resident
	// Coarse states come from another entry and may be minutes old.
	Coarse bool
}

// WorkerChanged is the newest state of a worker. It is ignored if its incarnation is older than the
// last known one or is over.
type WorkerChanged struct{ State WorkerState }

// WorkerUnresponsive reports that a worker has sent nothing for some time. It gets no new work; its tasks
// stay until IncarnationEnded.
type WorkerUnresponsive struct{ Worker ident.Worker }

// IncarnationEnded reports that the incarnation and all earlier ones of the worker are certainly over.
type IncarnationEnded struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
}

// DrainWorker is an operator's request to empty a worker within Bound; Drain false revokes it.
type DrainWorker struct {
	Worker ident.Worker
	Drain  bool
	Bound  clock.Millis
}

// DataCentreChanged is the state of a data centre according to its configuration row.
type DataCentreChanged struct {
	DataCentre ident.DataCentre
	Open       bool
	// Key and Revision are those of the row; claims are conditional on them. Several data centres
	// may share a row.
	Key      table.Key
	Revision table.Revision
	// Bound is how long the tasks may stay after the data centre was closed.
	Bound clock.Millis
}

// Round starts a round of the scheduling loop. It is sent at intervals of Settings.Round.
type Round struct{}

// ReserveResult is an agent's answer for one task.
type ReserveResult struct {
	Task  ident.Task
	Epoch ident.Epoch
	OK    bool
	// Refusal is the name of the error type.
	Refusal string
}

// Reserved is an agent's answer to Reserve. Tasks without a result count as refused and are
// released.
type Reserved struct {
	Worker      ident.Worker
	Reservation capacity.Reservation
	Results     []ReserveResult
	// Free is the free capacity in the agent's ledger; ignored if FreeKnown is false.
	Free      unit.Resources
	FreeKnown bool
}

// Committed reports that a transaction took effect.
type Committed struct {
	Write  ident.Write
	Result table.Result
}

// CommitFailed reports that a transaction failed; Err is one of the errors of table.Store.
type CommitFailed struct {
	Write ident.Write
	Err   error
}

// RowsRead answers Read. A missing row has Revision 0.
type RowsRead struct{ Rows []table.Row }

// ReadFailed reports that a Read had no answer; the scheduler repeats it.
type ReadFailed struct{ Keys []table.Key }

// StartResult is an agent's answer for one task.
type StartResult struct {
	Task  ident.Task
	Epoch ident.Epoch
	// OK means that the epoch runs, or ran and its end will be reported. If OK is false, it never
	// ran on this incarnation and never will. An agent that cannot decide gives no result: before
	// its ledger is rebuilt, without a lease, or if it is of another incarnation.
	OK      bool
	Refusal string
}

// Started is an agent's answer to Start. Tasks without a result stay unconfirmed; Start is
// repeated.
type Started struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Results     []StartResult
}

// StopResult is an agent's answer for one task.
type StopResult struct {
	Task  ident.Task
	Epoch ident.Epoch
	// Stopped means that the epoch was running and has stopped. Absent means that it does not run,
	// never will, and has no unrecorded end. If both are false, the task stays unconfirmed.
	Stopped    bool
	Absent     bool
	Checkpoint worker.Checkpoint
}

// Stopped is an agent's answer to Stop. Tasks without a result stay unconfirmed; Stop is repeated.
type Stopped struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Results     []StopResult
}

// TaskEnded is an agent's report of a task that ended: Status.State is Finished, Failed or Stopped.
// It is repeated until answered by Recorded.
type TaskEnded struct {
	Worker ident.Worker
	Status worker.Status
}

// ReduceInterference requests less interference by a task: the task is throttled to Percent of its
// processor time or, with Evict, evicted after a checkpoint.
type ReduceInterference struct {
	Task    ident.Task
	Epoch   ident.Epoch
	Percent int
	Evict   bool
}

func (JobLoaded) event()          {}
func (JobRemoved) event()         {}
func (Cancel) event()             {}
func (WorkerChanged) event()      {}
func (WorkerUnresponsive) event() {}
func (IncarnationEnded) event()   {}
func (DrainWorker) event()        {}
func (DataCentreChanged) event()  {}
func (Round) event()              {}
func (Reserved) event()           {}
func (Committed) event()          {}
func (CommitFailed) event()       {}
func (RowsRead) event()           {}
func (ReadFailed) event()         {}
func (Started) event()            {}
func (Stopped) event()            {}
func (TaskEnded) event()          {}
func (ReduceInterference) event() {}
