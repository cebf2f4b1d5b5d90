package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Event is what the scheduler is told. All events but Round may be repeated or arrive late.
type Event interface{ event() }

// JobLoaded gives the row of a job this entry is home of: after its submission was committed, when
// this entry becomes its home, and when the row is known to have changed. An older revision than
// the known one is ignored.
type JobLoaded struct{ Row table.Row }

// JobDropped tells that this entry is no longer home of the job.
type JobDropped struct{ Job ident.Job }

// Cancel cancels a job. Unknown jobs are ignored.
type Cancel struct{ Job ident.Job }

// Resident is a task on a worker that is not of this scheduler's jobs.
type Resident struct {
	Task  ident.Task
	Epoch ident.Epoch
	Class string
	Size  unit.Resources
	// Preemptible tasks are batch work that urgent work may displace.
	Preemptible bool
}

// WorkerState is what an agent announced, as seen by this entry.
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
	// Classes of the work on the worker that is not listed in Residents, such as its endpoint's.
	Classes []string
	// Residents are the tasks of other schedulers' jobs, as far as known.
	Residents []Resident
	// Coarse states come from another entry and may be minutes late.
	Coarse bool
}

// WorkerChanged gives the newest state of a worker. A lower incarnation than the known is ignored.
type WorkerChanged struct{ State WorkerState }

// WorkerSilent tells that nothing was heard from the worker for some time. It gets no new work; its
// tasks stay until WorkerGone.
type WorkerSilent struct{ Worker ident.Worker }

// WorkerGone tells that the incarnation and all earlier ones of the worker are certainly over.
type WorkerGone struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
}

// DrainWorker is an operator's request to empty a worker within Bound; Drain false revokes it.
type DrainWorker struct {
	Worker ident.Worker
	Drain  bool
	Bound  clock.Millis
}

// DataCentreChanged gives the state of a data centre's configuration row.
type DataCentreChanged struct {
	DataCentre ident.DataCentre
	Open       bool
	// Key and Revision are of the row that says so; claims are conditional on them. Several data
	// centres may share a row.
	Key      table.Key
	Revision table.Revision
	// Bound is how long the tasks may stay after the data centre was closed.
	Bound clock.Millis
}

// Round is the tick of the scheduling loop, every Settings.Round.
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
	// Free is what is left in the agent's ledger. It is ignored if FreeKnown is false.
	Free      unit.Resources
	FreeKnown bool
}

// Committed tells that a transaction took effect.
type Committed struct {
	Write  ident.Write
	Result table.Result
}

// CommitFailed tells how a transaction failed; Err is one of the errors of table.Store.
type CommitFailed struct {
	Write ident.Write
	Err   error
}

// RowsRead answers Read. A missing row has Revision 0.
type RowsRead struct{ Rows []table.Row }

// ReadFailed tells that a Read had no answer; the scheduler repeats it.
type ReadFailed struct{ Keys []table.Key }

// StartResult is an agent's answer for one task.
type StartResult struct {
	Task  ident.Task
	Epoch ident.Epoch
	// OK means that the epoch runs, or ran and its end will be reported. Not OK means that it never
	// ran on this incarnation and never will. An agent that cannot tell gives no result: before its
	// ledger is rebuilt, without a lease, or if it is of another incarnation.
	OK      bool
	Refusal string
}

// Started is an agent's answer to Start. Tasks without a result stay unresolved; Start is repeated.
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
	// never will, and has no unrecorded end. With neither, the task stays unresolved.
	Stopped    bool
	Absent     bool
	Checkpoint worker.Checkpoint
}

// Stopped is an agent's answer to Stop. Tasks without a result stay unresolved; Stop is repeated.
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

// Relieve asks to reduce the disturbance a task causes: to throttle it to Percent of its processor
// time, or to evict it after a checkpoint.
type Relieve struct {
	Task    ident.Task
	Epoch   ident.Epoch
	Percent int
	Evict   bool
}

func (JobLoaded) event()         {}
func (JobDropped) event()        {}
func (Cancel) event()            {}
func (WorkerChanged) event()     {}
func (WorkerSilent) event()      {}
func (WorkerGone) event()        {}
func (DrainWorker) event()       {}
func (DataCentreChanged) event() {}
func (Round) event()             {}
func (Reserved) event()          {}
func (Committed) event()         {}
func (CommitFailed) event()      {}
func (RowsRead) event()          {}
func (ReadFailed) event()        {}
func (Started) event()           {}
func (Stopped) event()           {}
func (TaskEnded) event()         {}
func (Relieve) event()           {}
