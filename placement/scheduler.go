// Package placement is the scheduler that an entry runs for the jobs it is home of. It is a pure
// state machine: Handle takes an event and the time and returns actions.
package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
)

// Scheduler places the tasks of jobs. It is not safe for concurrent use.
type Scheduler struct {
	settings     Settings
	dependencies Dependencies
}

// New returns a scheduler without jobs and workers.
func New(settings Settings, dependencies Dependencies) *Scheduler {
	return &Scheduler{settings: settings.withDefaults(), dependencies: dependencies.withDefaults()}
}

// Handle applies the event and returns what is to be done.
func (scheduler *Scheduler) Handle(event Event, now clock.Time) []Action {
	return nil
}

// Explanation tells how a job stands.
type Explanation struct {
	Job    ident.Job
	States map[job.State]int
	// Reason tells why waiting or parked tasks are not placed; empty if none waits.
	Reason string
	// Waited is how long the job has been waiting in total.
	Waited clock.Millis
	// Late is set if the job's patience passed before its first start.
	Late bool
}

// Explain tells how a job stands, and false if it is unknown here.
func (scheduler *Scheduler) Explain(name ident.Job) (Explanation, bool) {
	return Explanation{}, false
}

// Fits reports whether the known workers could ever hold the job, and why not.
func (scheduler *Scheduler) Fits(spec job.Spec) (reason string, ok bool) {
	return "", true
}

// Stats are counters since New, and the current queue.
type Stats struct {
	Jobs, Waiting, Live, Parked                    int
	Transactions, Claims, Conflicts, Unknown       int
	Placed, Started, NotStarted, Evictions, Losses int
	Preemptions, Refusals                          int
}

// Stats returns the counters.
func (scheduler *Scheduler) Stats() Stats { return Stats{} }
