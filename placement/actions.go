package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Action is an output of the scheduler. Actions are independent of each other, except that those
// for one agent must be carried out in order.
type Action interface{ action() }

// TaskRef identifies one placement of a task.
type TaskRef struct {
	Task  ident.Task
	Epoch ident.Epoch
}

// TaskSpec is what an agent needs to start a task later.
type TaskSpec struct {
	Task       ident.Task
	Epoch      ident.Epoch
	Kind       worker.Kind
	Size       unit.Resources
	Payload    string
	Checkpoint worker.Checkpoint
	Team       ident.Team
	Urgent     bool
	Class      string
}

// Reserve asks an agent to hold capacity. The answer is Reserved.
type Reserve struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Reservation capacity.Reservation
	Tasks       []TaskSpec
	Term        clock.Millis
}

// Commit writes to the table. The answer is Committed or CommitFailed.
type Commit struct {
	Transaction table.Transaction
	// Claims is the number of tasks the transaction claims.
	Claims int
}

// Read reads rows from the table. The answer is RowsRead or ReadFailed.
type Read struct{ Keys []table.Key }

// Start asks an agent to start tasks whose claim is committed, or to confirm that it runs them. The
// answer is Started.
type Start struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Reservation capacity.Reservation
	Tasks       []TaskRef
}

// Release releases reservations. It has no answer; a reservation that is not released expires.
type Release struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Reservation capacity.Reservation
	Tasks       []TaskRef
}

// Stop asks an agent to end tasks, after a checkpoint if Checkpoint is set, and to refuse later
// starts of these epochs. The answer is Stopped.
type Stop struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Tasks       []TaskRef
	Checkpoint  bool
	Reason      string
}

// Throttle asks an agent to limit the processor time of tasks to Percent. It has no answer.
type Throttle struct {
	Worker      ident.Worker
	Incarnation ident.Incarnation
	Tasks       []TaskRef
	Percent     int
}

// Recorded reports to an agent that the ends of tasks are in the table, so that it need not report
// them again.
type Recorded struct {
	Worker ident.Worker
	Tasks  []TaskRef
}

// Park reports that a job was parked. The state is written with the next Commit.
type Park struct {
	Job    ident.Job
	Reason string
}

// Candidate is a worker that was considered for a task.
type Candidate struct {
	Worker ident.Worker
	// Score is lower for better workers.
	Score int
}

// Decision is the content of one log line about a placement or an eviction.
type Decision struct {
	// Kind is "Place", "Preempt", "Drain", "Relieve" or "Cancel".
	Kind   string
	Task   ident.Task
	Epoch  ident.Epoch
	Worker ident.Worker
	Size   unit.Resources
	Reason string
	// Candidates are the best of the workers considered, best first.
	Candidates []Candidate
	// Considered is the number of workers that were considered.
	Considered int
}

func (Reserve) action()  {}
func (Commit) action()   {}
func (Read) action()     {}
func (Start) action()    {}
func (Release) action()  {}
func (Stop) action()     {}
func (Throttle) action() {}
func (Recorded) action() {}
func (Park) action()     {}
func (Decision) action() {}
