// Package placement is the scheduler that an entry runs for the jobs it is home of. It is a pure
// state machine: Handle takes an event and the time and returns actions.
//
// A task is placed in three steps. Reserve asks the agent, who owns the capacity, to hold room.
// Commit claims the task in its job's row, together with all other claims of the round, on the
// condition that the rows of the jobs, the teams and the data centres are unchanged. Start follows
// only a committed claim. After a conflict or an unknown outcome the rows are read back and the
// state is rebuilt from them: what agents reported meanwhile is kept as a list of changes per job
// that is applied to the new content.
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
	random       *rand.Rand
	sequence     uint64
	actions      []Action
	stats        Stats

	workers map[ident.Worker]*workerView
	// order lists the workers in ascending order of name.
	order []*workerView
	total unit.Resources
	// shape counts changes of the set of workers and their capacities; shapedAt is the last one.
	shape     uint64
	shapedAt  clock.Time
	parkShape uint64
	parkedAt  clock.Time
	centres   map[ident.DataCentre]*centreView
	racks     map[[2]string]*rackView
	// visit numbers the jobs whose tasks were counted per place.
	visit uint64

	jobs  map[ident.Job]*jobView
	teams map[ident.Team]*teamView
	// parked are the jobs set aside.
	parked map[ident.Job]*jobView
	lanes  []*lane
	// open are live tasks whose start is not confirmed or that are to be stopped.
	open map[ident.Task]struct{}
	// moved are the sizes of the tasks that drains evicted and that are not placed again.
	moved map[ident.Task]unit.Resources
	// dirty lists the jobs with changes that are not in the table, oldest first.
	dirty   []*jobView
	retired []*jobView
	touched []*jobView
	// refreshes lists the jobs in the order in which their rows are read again.
	refreshes []refresh

	holds map[capacity.Reservation]*reservation
	// holding are the jobs that have reservations or claims that are not in the table.
	holding     map[ident.Job]*jobView
	held        int
	outstanding int
	released    []*hold
	started     []*hold

	flight   *flight
	ahead    readAhead
	rowLimit int
	// tableAt is when the table may be tried again after an outage.
	tableAt clock.Time
	reads   map[table.Key]clock.Time
	misses  []miss
}

// New returns a scheduler without jobs and workers.
func New(settings Settings, dependencies Dependencies) *Scheduler {
	settings = settings.withDefaults()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(dependencies.Entry))
	return &Scheduler{
		settings:     settings,
		dependencies: dependencies.withDefaults(),
		// Entries start their searches at different workers, so that they compete less for the same.
		random:   rand.New(rand.NewPCG(hash.Sum64(), uint64(dependencies.Incarnation))),
		workers:  make(map[ident.Worker]*workerView),
		centres:  make(map[ident.DataCentre]*centreView),
		racks:    make(map[[2]string]*rackView),
		jobs:     make(map[ident.Job]*jobView),
		teams:    make(map[ident.Team]*teamView),
		parked:   make(map[ident.Job]*jobView),
		moved:    make(map[ident.Task]unit.Resources),
		open:     make(map[ident.Task]struct{}),
		holding:  make(map[ident.Job]*jobView),
		holds:    make(map[capacity.Reservation]*reservation),
		reads:    make(map[table.Key]clock.Time),
		rowLimit: settings.MaxRows,
	}
}

// Handle applies the event and returns what is to be done.
func (scheduler *Scheduler) Handle(event Event, now clock.Time) []Action {
	scheduler.now = max(scheduler.now, now)
	switch event := event.(type) {
	case JobLoaded:
		scheduler.load(event.Row)
	case JobDropped:
		scheduler.drop(event.Job)
	case Cancel:
		scheduler.cancel(event.Job)
	case WorkerChanged:
		scheduler.workerChanged(event.State)
	case WorkerSilent:
		if worker, ok := scheduler.workers[event.Worker]; ok {
			worker.silent = true
		}
	case WorkerGone:
		scheduler.workerGone(event.Worker, event.Incarnation)
	case DrainWorker:
		scheduler.drainWorker(event)
	case DataCentreChanged:
		scheduler.centreChanged(event)
	case Round:
		scheduler.round()
	case Reserved:
		scheduler.reserved(event)
	case Committed:
		scheduler.committed(event)
	case CommitFailed:
		scheduler.commitFailed(event)
	case RowsRead:
		scheduler.rowsRead(event.Rows)
	case ReadFailed:
		for _, key := range event.Keys {
			if _, ok := scheduler.reads[key]; ok {
				scheduler.reads[key] = scheduler.now
			}
		}
	case Started:
		scheduler.startAnswered(event)
	case Stopped:
		scheduler.stopAnswered(event)
	case TaskEnded:
		scheduler.ended(event)
	case Relieve:
		scheduler.relieve(event)
	}
	scheduler.emitReleases()
	scheduler.emitStarts()
	actions := scheduler.actions
	scheduler.actions = nil
	return actions
}

// round runs the periodic work. Everything that touches the table shares one transaction.
func (scheduler *Scheduler) round() {
	scheduler.pruneHolds()
	scheduler.resolve()
	scheduler.drain()
	scheduler.refresh()
	scheduler.retryReads()
	scheduler.reviewParked()
	scheduler.retire()
	if scheduler.outstanding > 0 {
		// An agent does not answer. The others' reservations must not expire because of it.
		scheduler.commit()
	}
	scheduler.place(false)
	if scheduler.outstanding == 0 {
		scheduler.commit()
	}
}

func (scheduler *Scheduler) emit(action Action) {
	scheduler.actions = append(scheduler.actions, action)
}

// name returns a unique id for a write or reservation.
func (scheduler *Scheduler) name() string {
	scheduler.sequence++
	return fmt.Sprintf("%s-%d-%d", scheduler.dependencies.Entry, scheduler.dependencies.Incarnation, scheduler.sequence)
}
