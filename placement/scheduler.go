// Package placement is the scheduler that an entry runs for the jobs of which it is home. It is a
// pure state machine: Handle takes an event and the time and returns actions.
//
// A task is placed in three steps. Reserve asks the worker's agent, which owns the capacity, to
// hold room. Commit claims the task in its job's row, together with all other claims of the round,
// on the condition that the rows of the jobs, the teams and the data centres are unchanged. Start
// is sent only after the claim is committed. After a conflict or an unknown outcome the rows are
// read back and the state is rebuilt from them. Each job keeps a list of uncommitted changes, such
// as reports of agents, which is applied to the new content.
package placement

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// Scheduler places the tasks of jobs. It is not safe for concurrent use.
type Scheduler struct {
	settings     Settings
	dependencies Dependencies
	now          clock.Time
	// random selects the worker at which a search starts.
	random *rand.Rand
	// sequence numbers the ids of writes and reservations.
	sequence uint64
	actions  []Action
	stats    Stats

	workers map[ident.Worker]*workerView
	// sortedWorkers lists the workers in ascending order of name.
	sortedWorkers []*workerView
	totalCapacity unit.Resources
	// fleetVersion counts changes of the set of workers and of their capacities; fleetChangedAt is
	// when the last one happened.
	fleetVersion   uint64
	fleetChangedAt clock.Time
	// parkReviewVersion is the fleetVersion at which parked jobs were last reviewed, parkReviewedAt
	// the time.
	parkReviewVersion uint64
	parkReviewedAt    clock.Time
	dataCentres       map[ident.DataCentre]*dataCentreView
	// racks are keyed by data centre and rack.
	racks map[[2]string]*rackView
	// countGeneration is incremented for each job whose tasks are counted in taskCounters.
	countGeneration uint64

	jobs   map[ident.Job]*jobView
	teams  map[ident.Team]*teamView
	parked map[ident.Job]*jobView
	queues []*teamQueue
	// unconfirmed are the live tasks whose start is not confirmed or that are to be stopped.
	unconfirmed map[ident.Task]struct{}
	// drainedSizes are the sizes of the tasks that drains evicted and that are not placed again
	// yet.
	drainedSizes map[ident.Task]unit.Resources
	// dirty are the jobs with changes that are not in the table, oldest first.
	dirty []*jobView
	// finalJobs are the jobs whose tasks are all final, in order of finalAt.
	finalJobs []*jobView
	// queueDirtyJobs are the jobs whose membership in their queue must be updated.
	queueDirtyJobs []*jobView
	// refreshQueue lists the jobs in the order in which their rows are read again.
	refreshQueue []rowRefresh

	// reserveBatches are the reservations without an answer.
	reserveBatches map[capacity.Reservation]*reserveBatch
	// jobsWithHolds are the jobs with reservations or claims that are not in the table.
	jobsWithHolds map[ident.Job]*jobView
	// holdCount is the number of reservations and claims that are not in the table.
	holdCount         int
	unansweredBatches int
	holdsToRelease    []*taskHold
	holdsToStart      []*taskHold

	pending   *pendingTransaction
	readAhead readAhead
	// rowLimit is the current limit of job rows per transaction, at most Settings.MaxRows.
	rowLimit int
	// tableRetryAt is when the table may be tried again after an outage.
	tableRetryAt clock.Time
	// pendingReads holds when each unanswered row was last requested.
	pendingReads map[table.Key]clock.Time
	failedFits   []failedFit
}

// New returns a scheduler without jobs and workers.
func New(settings Settings, dependencies Dependencies) *Scheduler {
	settings = settings.withDefaults()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(dependencies.Entry))
	return &Scheduler{
		settings:     settings,
		dependencies: dependencies.withDefaults(),
		// Entries start their searches at different workers, so that they rarely compete for the
		// same one.
		random:         rand.New(rand.NewPCG(hash.Sum64(), uint64(dependencies.Incarnation))),
		workers:        make(map[ident.Worker]*workerView),
		dataCentres:    make(map[ident.DataCentre]*dataCentreView),
		racks:          make(map[[2]string]*rackView),
		jobs:           make(map[ident.Job]*jobView),
		teams:          make(map[ident.Team]*teamView),
		parked:         make(map[ident.Job]*jobView),
		drainedSizes:   make(map[ident.Task]unit.Resources),
		unconfirmed:    make(map[ident.Task]struct{}),
		jobsWithHolds:  make(map[ident.Job]*jobView),
		reserveBatches: make(map[capacity.Reservation]*reserveBatch),
		pendingReads:   make(map[table.Key]clock.Time),
		rowLimit:       settings.MaxRows,
	}
}

// Handle applies the event and returns the resulting actions.
func (scheduler *Scheduler) Handle(event Event, now clock.Time) []Action {
	scheduler.now = max(scheduler.now, now)
	switch event := event.(type) {
	case JobLoaded:
		scheduler.loadJob(event.Row)
	case JobRemoved:
		scheduler.removeJob(event.Job)
	case Cancel:
		scheduler.cancelJob(event.Job)
	case WorkerChanged:
		scheduler.handleWorkerChanged(event.State)
	case WorkerUnresponsive:
		if worker, ok := scheduler.workers[event.Worker]; ok {
			worker.unresponsive = true
		}
	case IncarnationEnded:
		scheduler.handleWorkerGone(event.Worker, event.Incarnation)
	case DrainWorker:
		scheduler.handleDrainWorker(event)
	case DataCentreChanged:
		scheduler.handleDataCentreChanged(event)
	case Round:
		scheduler.runRound()
	case Reserved:
		scheduler.handleReserved(event)
	case Committed:
		scheduler.handleCommitted(event)
	case CommitFailed:
		scheduler.handleCommitFailed(event)
	case RowsRead:
		scheduler.handleRowsRead(event.Rows)
	case ReadFailed:
		for _, key := range event.Keys {
			if _, ok := scheduler.pendingReads[key]; ok {
				scheduler.pendingReads[key] = scheduler.now
			}
		}
	case Started:
		scheduler.handleStarted(event)
	case Stopped:
		scheduler.handleStopped(event)
	case TaskEnded:
		scheduler.handleTaskEnded(event)
	case ReduceInterference:
		scheduler.handleReduceInterference(event)
	}
	scheduler.emitReleases()
	scheduler.emitStarts()
	actions := scheduler.actions
	scheduler.actions = nil
	return actions
}

// runRound runs the periodic work. All writes of a round share one transaction.
func (scheduler *Scheduler) runRound() {
	scheduler.expireHolds()
	scheduler.confirmTasks()
	scheduler.drain()
	scheduler.refreshRows()
	scheduler.retryReads()
	scheduler.reviewParked()
	scheduler.removeFinalJobs()
	if scheduler.unansweredBatches > 0 {
		// An agent has not answered. The reservations at other agents must not expire meanwhile.
		scheduler.commit()
	}
	scheduler.place(false)
	if scheduler.unansweredBatches == 0 {
		scheduler.commit()
	}
}

func (scheduler *Scheduler) emit(action Action) {
	scheduler.actions = append(scheduler.actions, action)
}

// newID returns a unique id for a write or reservation.
func (scheduler *Scheduler) newID() string {
	scheduler.sequence++
	return fmt.Sprintf("%s-%d-%d", scheduler.dependencies.Entry, scheduler.dependencies.Incarnation, scheduler.sequence)
}
