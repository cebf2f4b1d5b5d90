// Package explanation holds the types in which the leader explains the state of a job. They are also its messages.
package explanation

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Limits of the lists of an explanation.
const (
	// MaxDecisions is the number of decisions that are kept for each open job.
	MaxDecisions = 8
	// MaxRuns and MaxMoves bound the message: a job may have thousands of tasks.
	MaxRuns  = 64
	MaxMoves = 16
)

// Job explains an open job. Times are in milliseconds.
type Job struct {
	ID    workflow.ID
	Queue workflow.Queue
	State workflow.State
	// Rank is the rank of the job's first unfinished step among the waiting tasks of all jobs, by name.
	Rank string `json:",omitempty"`
	// Age is the time since the acceptance. ExpectedEnd is the age at which the job ends if its tasks find capacity at once, and
	// Objective the age by which it should end. A step that has begun counts as a whole.
	Age, ExpectedEnd, Objective clock.Millis
	Waiting                     []Waiting
	// RunCount is the number of active runs, of which Runs lists up to MaxRuns.
	RunCount  int
	Runs      []Run
	Moves     []Move
	Decisions []Decision
}

// Waiting explains the tasks of a step that have no run.
type Waiting struct {
	Occurrence int `json:",omitempty"`
	Step       int
	Tasks      int
	// Position is the position of the step among all steps with waiting tasks, from 1, or 0 if it waits for other steps.
	Position int `json:",omitempty"`
	// Reason is why the tasks found no capacity.
	Reason string
}

// Run describes an active run. Pace is the percentage of the full speed that the agent allows, as of the report of the age
// ReportAge, or -1 before the first report.
type Run struct {
	Task     string
	Run      workflow.Run
	Worker   string
	Pace     int
	Percent  int
	Age      clock.Millis
	Stopping bool `json:",omitempty"`
	// Copy reports that the run is the second one of its task.
	Copy      bool `json:",omitempty"`
	ReportAge clock.Millis
}

// Move describes a task that left a worker.
type Move struct {
	Task string
	From string
	Age  clock.Millis
}

// Decision describes equal decisions about a job. Age is the time since the last of them.
type Decision struct {
	Kind   Kind
	Count  int
	Age    clock.Millis
	Detail string `json:",omitempty"`
}

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Placed   Kind = "Placed"
	Moved    Kind = "Moved"
	RackWait Kind = "RackWait"
	Failed   Kind = "Failed"
	Rejected Kind = "Rejected"
	// Suspected: a worker crashed under a task that may have caused it. GivenUp: a task crashes its workers.
	Suspected Kind = "Suspected"
	GivenUp   Kind = "GivenUp"
)
