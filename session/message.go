// Package session defines the messages between agents, entries and the leader of a cluster, and carries them
// over gRPC.
package session

import (
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// ReportInterval is how often an agent reports at least.
const ReportInterval = 600 * clock.Millisecond

// Report is a message of an agent to the leader. The first report on a stream holds the agent's full state;
// later ones hold the changes.
type Report struct {
	// Sequence numbers the reports of a stream from 1.
	Sequence uint64
	Node     string
	// At is when the report was composed, on the clock of the agent's machine, or 0 from an agent of an earlier version.
	At clock.Time `json:",omitempty"`
	// Worker is the agent's worker, or nil while it has none.
	Worker *Worker `json:",omitempty"`
	// Listed reports that Progress lists all active runs, of which there may be none.
	Listed   bool       `json:",omitempty"`
	Progress []Progress `json:",omitempty"`
	// Ends lists ends of runs that the leader has not acknowledged, in ascending order of Number.
	Ends []End `json:",omitempty"`
	// Rejections lists runs that were ordered and have certainly not started, nor ever will.
	Rejections []Rejection `json:",omitempty"`
	// Crashes lists the crashes of workers of the node that no leader has stored yet. They come before everything else in the
	// report.
	Crashes []Crash `json:",omitempty"`
}

// Crash reports that a worker's process ended although the worker had not announced that. A worker that is lost with its whole
// machine is not reported, because its agent is lost too.
type Crash struct {
	Incarnation string
	// Ago is how long before the message the process ended.
	Ago clock.Millis
	// Runs lists the runs that the worker had started or may have started.
	Runs []CrashedRun `json:",omitempty"`
}

// CrashedRun is a run on a worker that crashed. Age is how long before the crash its start was sent to the worker.
type CrashedRun struct {
	Task string
	Run  workflow.Run
	Age  clock.Millis
}

// Worker describes an agent's worker.
type Worker struct {
	Incarnation string
	Service     workflow.Service
	DataCentre  ident.DataCentre
	Labels      []string
	Capacity    unit.Resources
	Draining    bool `json:",omitempty"`
	// Responsive reports that the worker answers its agent.
	Responsive bool `json:"Answering"`
	// Lapsed reports that the worker's lease has certainly ended, and with it all of the worker's runs.
	Lapsed bool `json:",omitempty"`
}

// Progress describes an active run. Saved is its newest checkpoint and Percent its progress.
type Progress struct {
	Task    string
	Run     workflow.Run
	Saved   workflow.Checkpoint `json:",omitempty"`
	Percent int                 `json:",omitempty"`
	// Sample is the tail latency of a serving task in milliseconds, or the CPU usage of any other task in
	// thousandths of a core.
	Sample int64 `json:"Figure,omitempty"`
	// ThrottlePercent is by how many percent the agent throttles the run, from 0 to 100.
	ThrottlePercent int `json:"Slowed,omitempty"`
}

// End describes the end of a run.
type End struct {
	// Number counts the ends of a worker's incarnation from 1.
	Number int64
	Task   string
	Run    workflow.Run
	Cause  workflow.Cause
	// Reason is the cause as the worker reports it.
	Reason string              `json:",omitempty"`
	Saved  workflow.Checkpoint `json:",omitempty"`
}

// RefusedTask is the reason of a rejection by a worker that refused the task itself, rather than for want of room or a lease.
const RefusedTask = "Other"

// Rejection describes a run that was ordered and never starts.
type Rejection struct {
	Incarnation string
	Task        string
	Run         workflow.Run
	Reason      string
}

// Orders is a message of the leader to an agent.
type Orders struct {
	// Term is the leader's fencing token.
	Term int64
	// Redirect is the address of the leader, set by an entry that does not lead. Nothing else is set then.
	Redirect string `json:",omitempty"`
	// LeaderLeaseEnded reports that the lease of the leader has ended without a renewal, so that another entry may
	// lead.
	LeaderLeaseEnded bool `json:"Doubtful,omitempty"`
	// Sequence is the number of the newest report that the leader received. Unless Lease is 0, the worker's lease lasts
	// for Lease from the moment at which the agent sent that report.
	Sequence uint64       `json:",omitempty"`
	Lease    clock.Millis `json:",omitempty"`
	// ReportAge is how long after the arrival of that report the message was sent. It is set in messages with a start of a
	// task that may have two runs.
	ReportAge clock.Millis `json:",omitempty"`
	// StoredEnds acknowledges the ends of runs of the worker's Incarnation up to this number: they are stored.
	StoredEnds  int64  `json:"Recorded,omitempty"`
	Incarnation string `json:",omitempty"`
	// LapseBefore is the highest number of an end that the worker's lease must lapse before, until which it must not be told that the end
	// is stored, or 0. The leader has started the task again, because it took the lease for lapsed. Agents of an earlier version
	// ignore the field.
	LapseBefore int64   `json:",omitempty"`
	Starts      []Start `json:",omitempty"`
	Stops       []Stop  `json:",omitempty"`
	// Weights holds the interference weights that changed since they were last sent to the agent's worker.
	Weights []Weight `json:"WeightChanges,omitempty"`
}

// Weight is the increase of the log tail latency of a serving image per core that a filling image uses.
type Weight struct {
	Serving  string
	Filling  string
	Increase float64 `json:"Rise"`
}

// Start orders a run. If the run is active already, only its description is updated. The order is valid until the end of
// the last lease that was granted before it, and only if the leader had the report of the worker's last lapse: after a
// lapse, the leader places the task elsewhere.
type Start struct {
	Incarnation string
	Task        string
	Run         workflow.Run
	Payload     string              `json:",omitempty"`
	Saved       workflow.Checkpoint `json:",omitempty"`
	Reserved    unit.Resources
	Fills       bool `json:",omitempty"`
	// CPU is the CPU that a filling task requests; it is not part of Reserved.
	CPU    unit.MilliCPU `json:",omitempty"`
	Target clock.Millis  `json:",omitempty"`
	Image  string        `json:",omitempty"`
	// Copies reports that the task may have two runs. The start must be made soon after the order was sent, because the
	// other run may finish.
	Copies bool `json:",omitempty"`
}

// Stop orders the end of a run.
type Stop struct {
	Incarnation string
	Task        string
	Run         workflow.Run
}

// WorkerEnd reports that an incarnation of a worker has ended for good, and all of its runs with it. If Lapsed is set, it
// reports only that the listed runs have ended, because the lease of a worker that may still return has lapsed. A worker
// never starts a run again that has ended on it, so a late copy of such a report is still true.
type WorkerEnd struct {
	Node        string
	Incarnation string
	// At is when the agent noticed the end, on the clock of Report.At, or 0 from an agent of an earlier version.
	At clock.Time `json:",omitempty"`
	// Lapsed limits the report to Ends. Entries of an earlier version do not know the field; they do not have the gRPC
	// method for such reports either.
	Lapsed bool `json:",omitempty"`
	// Ends lists the ends of runs that no leader has acknowledged, in ascending order of Number, and after them those of
	// runs that were active: all of them if Lapsed is set, otherwise those with a checkpoint. The latter have numbers that
	// the worker never gave.
	Ends []End `json:",omitempty"`
	// Crash is set if the worker's process ended by itself.
	Crash *Crash `json:",omitempty"`
}

// Key identifies the reports of which the latest replaces the earlier ones.
func (end *WorkerEnd) Key() string {
	if end.Lapsed {
		return end.Incarnation + " lapsed"
	}
	return end.Incarnation
}

// WorkerEndReply acknowledges a WorkerEnd. If Stored is false, the entry keeps the report until a leader has stored it.
type WorkerEndReply struct {
	Stored bool
}

// StateRequest requests the state of a job.
type StateRequest struct {
	ID workflow.ID
}

// StateReply holds the state of a job. Known is false if the leader does not have the job.
type StateReply struct {
	Known bool
	State workflow.State
}

// ExplainRequest requests the explanation of a job's state.
type ExplainRequest struct {
	ID workflow.ID
}

// ExplainReply holds the explanation, as of the leader's Term. Known is false if the leader has no open job with the id.
type ExplainReply struct {
	Known bool
	Term  int64
	Job   explanation.Job
}

// LeaderRequest requests the leader.
type LeaderRequest struct{}

// LeaderReply holds the newest term that an entry has seen, and the address at which its leader serves sessions.
type LeaderReply struct {
	Term    int64
	Address string
}

// PendingRequest requests the number of jobs of a queue that have not started.
type PendingRequest struct {
	Queue workflow.Queue
}

// PendingReply holds the number of jobs of a queue that have not started.
type PendingReply struct {
	Count int
}
