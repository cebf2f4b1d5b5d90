// Package session carries the messages between agents, entries and the leading entry of a cluster.
package session

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Report is what an agent tells the leader. Its first report on a stream holds everything; later ones
// hold what is new.
type Report struct {
	// Sequence numbers the reports of a stream from 1.
	Sequence uint64
	Node     string
	// Worker is the agent's worker, or nil while it has none.
	Worker *Worker `json:",omitempty"`
	// Progress lists the active runs if Listed is true.
	Listed   bool       `json:",omitempty"`
	Progress []Progress `json:",omitempty"`
	// Ends lists ends that the leader has not acknowledged, in ascending order of Number.
	Ends []End `json:",omitempty"`
	// Rejections lists runs that were ordered and certainly never run.
	Rejections []Rejection `json:",omitempty"`
}

// Worker describes an agent's worker.
type Worker struct {
	Incarnation string
	Service     workflow.Service
	DataCentre  ident.DataCentre
	Labels      []string
	Capacity    unit.Resources
	Draining    bool `json:",omitempty"`
	// Answering reports that the worker responds to its agent.
	Answering bool
	// Lapsed reports that the worker's lease has certainly ended, and with it everything on it.
	Lapsed bool `json:",omitempty"`
}

// Progress describes an active run.
type Progress struct {
	Task    string
	Run     workflow.Run
	Saved   workflow.Checkpoint `json:",omitempty"`
	Percent int                 `json:",omitempty"`
	// Sample is the tail latency of a serving task in milliseconds, or the processor time that any other
	// task uses in thousandths of a core.
	Sample int64 `json:"Figure,omitempty"`
	// Slowed is by how many percent the agent slows the run down.
	Slowed int `json:",omitempty"`
}

// End describes the end of a run.
type End struct {
	// Number counts the ends of a worker's incarnation from 1.
	Number int64
	Task   string
	Run    workflow.Run
	Cause  workflow.Cause
	// Reason is the worker's word for the cause.
	Reason string              `json:",omitempty"`
	Saved  workflow.Checkpoint `json:",omitempty"`
}

// Rejection describes a run that never runs.
type Rejection struct {
	Incarnation string
	Task        string
	Run         workflow.Run
	Reason      string
}

// Orders is what the leader tells an agent.
type Orders struct {
	// Term is the leader's fencing token.
	Term int64
	// Redirect is the address of the leader, set by an entry that does not lead. Nothing else is set then.
	Redirect string `json:",omitempty"`
	// Doubtful reports that the leader could not renew its term, so that another entry may lead.
	Doubtful bool `json:",omitempty"`
	// Sequence is the newest report that arrived. It grants the worker's lease for Lease from the
	// moment at which the agent sent that report.
	Sequence uint64       `json:",omitempty"`
	Lease    clock.Millis `json:",omitempty"`
	// Recorded is the number of the last end of the worker's Incarnation that is stored.
	Recorded    int64   `json:",omitempty"`
	Incarnation string  `json:",omitempty"`
	Starts      []Start `json:",omitempty"`
	Stops       []Stop  `json:",omitempty"`
	// Weights replaces what the agent knows about disturbances, unless empty.
	Weights []Weight `json:",omitempty"`
}

// Weight tells by how much one core of a filling image raises the logarithm of a serving image's tail.
type Weight struct {
	Serving string
	Filling string
	Rise    float64
}

// Start orders a run. A run that is active already only takes the description.
type Start struct {
	Incarnation string
	Task        string
	Run         workflow.Run
	Payload     string              `json:",omitempty"`
	Saved       workflow.Checkpoint `json:",omitempty"`
	Reserved    unit.Resources
	Fills       bool `json:",omitempty"`
	// CPU is what a filling task asks for.
	CPU    unit.MilliCPU `json:",omitempty"`
	Target clock.Millis  `json:",omitempty"`
	Image  string        `json:",omitempty"`
}

// Stop orders the end of a run.
type Stop struct {
	Incarnation string
	Task        string
	Run         workflow.Run
}

// StateRequest asks for the state of a job.
type StateRequest struct {
	ID workflow.ID
}

// StateReply tells the state of a job. Known is false if the leader does not have the job.
type StateReply struct {
	Known bool
	State workflow.State
}

// LeaderRequest asks who leads.
type LeaderRequest struct{}

// LeaderReply tells the newest term that an entry knows, and where its leader serves sessions.
type LeaderReply struct {
	Term    int64
	Address string
}

// PendingRequest asks how many jobs of a queue have not started.
type PendingRequest struct {
	Queue workflow.Queue
}

// PendingReply tells how many jobs of a queue have not started.
type PendingReply struct {
	Count int
}
