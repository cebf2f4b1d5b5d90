// Package coordinator implements the control loop of the leader of a cluster: it loads the jobs from the
// store, holds sessions with all agents, schedules tasks, and stores every decision before sending it.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/assignment"
	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/intake"
	"hyssopjunction/loop"
	"hyssopjunction/mechanism"
	"hyssopjunction/scheduler"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Intervals and limits of the control loop.
const (
	// checkInterval is the interval of the checks that depend on time alone.
	checkInterval = 100 * clock.Millisecond
	// waitingLogInterval is how often the numbers of waiting tasks are logged.
	waitingLogInterval = 2 * clock.Second
	// minRoundPause is the shortest time between two rounds of writes. It limits the leader to 40 of the
	// 200 transactions per second that one partition of the store applies.
	minRoundPause = 25 * clock.Millisecond
	// maxTxEntries is the store's limit on the conditions, puts and removals of a transaction together.
	maxTxEntries = 100
	// entriesPerJob is the number of entries that a job adds: a condition and a put.
	entriesPerJob = 2
	// maxTxBytes keeps a transaction below the store's limit of 1 MB after encoding.
	maxTxBytes = 500_000
	// defaultMaxRowBytes is the largest value of a row if the platform does not state it.
	defaultMaxRowBytes = 64 << 10
)

// Dependencies are the services that a Coordinator uses.
type Dependencies struct {
	Store store.Store
	Clock clock.Clock
	// TimeOfDay returns the time of day in Unix milliseconds, for scheduled jobs.
	TimeOfDay func() int64
	// Out returns the data centres that are out and get no new tasks, or false before they are known.
	Out func() (set.Set[ident.DataCentre], bool)
	// Retention is how long records of jobs that ended are kept.
	Retention Retention
	// Faults remembers failed events through all terms. Nil means that each term has a record of its own.
	Faults *Faults
	// Bounds are the limits of the platform for the assignment of tasks. The zero value means the defaults.
	Bounds assignment.Bounds
	// MaxRowBytes is the largest value of a row in the store; 0 means defaultMaxRowBytes.
	MaxRowBytes int
	// MaxBacklog is the memory that open jobs may need; 0 means no limit.
	MaxBacklog backlog.Bytes
	// Disabled holds the mechanisms that are switched off.
	Disabled set.Set[mechanism.Name]
}

// Leadership is a term that this entry won, with the versions of its rows in the store.
type Leadership struct {
	Term             election.Term
	TermVersion      store.Version
	HeartbeatVersion store.Version
	// Sent is when the transaction that won the term was sent.
	Sent clock.Time
	// Inherited holds what is known of the grants of earlier leaders.
	Inherited election.InheritedGrants
}

// Coordinator is the control loop of the leader during one term. Create it with Start.
type Coordinator struct {
	deps        Dependencies
	leadership  Leadership
	workerLease clock.Millis
	loop        *loop.Loop
	// ctx ends with the term.
	ctx    context.Context
	cancel context.CancelFunc
	// lost is closed when the leadership is lost.
	lost       chan struct{}
	lostOnce   sync.Once
	goroutines sync.WaitGroup

	counters counters

	// refusal is which jobs the leader takes no more of, or nil before the backlog is measured.
	refusal atomic.Pointer[backlog.Refusal]

	// validUntil is the end of the leader's lease, a clock.Time.
	validUntil atomic.Int64

	// The fields below, except jobStates, are used on the control loop only.
	// hasFailed reports that an event panicked, so that the state may be inconsistent.
	hasFailed bool
	scheduler *scheduler.Scheduler
	sessions  map[string]*agentSession
	// grantsEnded reports that the last lease was refused because of canGrantLeases.
	grantsEnded bool
	// workers holds the last worker by node.
	workers map[string]attachedWorker
	// ledger holds the last grants by node.
	ledger election.GrantLedger
	// stateVersions holds the versions of the state rows of jobs.
	stateVersions map[workflow.ID]store.Version
	// inboxVersions holds the versions of the rows of the inbox of jobs that are not archived.
	inboxVersions map[workflow.ID]intake.Versions
	// backlog measures the jobs that are not archived.
	backlog *backlog.Gauge
	// endedAt is when the end of a job was stored.
	endedAt map[workflow.ID]clock.Time
	// archivedJobs holds the archived jobs whose state rows are still to be removed, oldest first.
	archivedJobs []archivedJob
	// archiving reports that a batch is being archived; archivedAt is when the last one began.
	archiving  bool
	archivedAt clock.Time
	// roundDuration is how long the last round of writes took.
	roundDuration clock.Millis
	heartbeat     election.Heartbeat
	// heartbeatVersion is the version of the heartbeat row.
	heartbeatVersion store.Version
	// weightsVersion is the version of the row of learned weights, last stored at weightsStoredAt.
	weightsVersion  store.Version
	weightsStoredAt clock.Time
	// writing reports that a round is being written.
	writing bool
	// renewedAt is when the last successful renewal of the leader's lease was sent.
	renewedAt    clock.Time
	roundEndedAt clock.Time
	// onceStored holds actions that must wait until the scheduler's present state is stored.
	onceStored []func()
	// endsToStore holds the reported ends of workers that the next round stores, by session.WorkerEnd.Key. Each channel is
	// closed when that end is stored.
	endsToStore map[string]chan struct{}
	// inboxAsOf is a time before which no row was stored in the inbox that this leader has not read.
	inboxAsOf clock.Time
	// withheld holds the workers with stored runs whose starts were not sent.
	withheld set.Set[scheduler.Incarnation]
	// sendsStarts is the last result of maySendStarts.
	sendsStarts    bool
	startedAt      clock.Time
	attention      attention
	outDataCentres set.Set[ident.DataCentre]
	// waitingLoggedAt is when the numbers of waiting tasks were last logged.
	waitingLoggedAt clock.Time
	// assignmentsLoggedAt is when assignments were last logged.
	assignmentsLoggedAt clock.Time

	// jobStates holds the stored states of jobs, including archived ones. It is guarded by jobStatesMu.
	jobStatesMu sync.Mutex
	jobStates   map[workflow.ID]workflow.State
}

// attachedWorker is a worker that an agent reported in this term.
type attachedWorker struct {
	incarnation scheduler.Incarnation
	lapsed      bool
}

// Start loads the state of the cluster and starts the control loop for a term. workerLease is how long a
// worker runs its tasks without a renewal. It fails if the store cannot be read before ctx ends.
func Start(ctx context.Context, deps Dependencies, leadership Leadership, workerLease clock.Millis) (*Coordinator, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	coordinator := &Coordinator{
		deps: deps, leadership: leadership, workerLease: workerLease, loop: loop.New(), ctx: runCtx, cancel: cancel, lost: make(chan struct{}),
		scheduler: scheduler.New(), sessions: map[string]*agentSession{}, workers: map[string]attachedWorker{},
		stateVersions: map[workflow.ID]store.Version{}, inboxVersions: map[workflow.ID]intake.Versions{}, endedAt: map[workflow.ID]clock.Time{}, heartbeat: election.Heartbeat{Term: leadership.Term.Number}, heartbeatVersion: leadership.HeartbeatVersion,
		backlog: backlog.New(deps.MaxBacklog), counters: newCounters(), withheld: set.New[scheduler.Incarnation](), renewedAt: leadership.Sent, startedAt: deps.Clock.Now(), jobStates: map[workflow.ID]workflow.State{},
	}
	coordinator.validUntil.Store(int64(leadership.Sent.Add(election.LeaderLease)))
	coordinator.scheduler.SetTaskLimit(int(deps.MaxBacklog / backlog.TaskBytes))
	if deps.Faults == nil {
		coordinator.deps.Faults = NewFaults(deps.Clock)
	}
	if deps.Bounds != (assignment.Bounds{}) {
		coordinator.scheduler.SetBounds(deps.Bounds)
	}
	coordinator.scheduler.Disable(deps.Disabled)
	coordinator.ledger = election.NewGrantLedger(leadership.Inherited, coordinator.startedAt)
	version, err := coordinator.loadWithTerm(ctx)
	if err != nil {
		cancel()
		coordinator.loop.Close()
		return nil, err
	}
	jobCount := len(coordinator.stateVersions) // Later the control loop changes the map.
	coordinator.background(func() { coordinator.followInbox(version) })
	coordinator.background(func() {
		coordinator.loadEndedJobs()
		coordinator.expireEndedJobs()
	})
	coordinator.background(func() {
		for {
			select {
			case <-coordinator.deps.Clock.After(checkInterval):
				coordinator.post(coordinator.runPeriodicChecks)
			case <-runCtx.Done():
				return
			}
		}
	})
	coordinator.counters.terms.Inc()
	klog.InfoS("Leading", "Term", leadership.Term.Number, "Jobs", jobCount, "LoadMillis", int64(deps.Clock.Now().Sub(coordinator.startedAt)))
	coordinator.loop.Call(coordinator.logInherited)
	return coordinator, nil
}

// background runs work on a goroutine that Close waits for.
func (coordinator *Coordinator) background(work func()) {
	coordinator.goroutines.Add(1)
	go func() {
		defer coordinator.goroutines.Done()
		work()
	}()
}

// post runs event on the control loop and then starts a round for its changes.
func (coordinator *Coordinator) post(event func()) { coordinator.postFrom(sourceUnknown, event) }

// postFrom is post for an event that came from an agent or a job.
func (coordinator *Coordinator) postFrom(from source, event func()) {
	coordinator.loop.Post(func() {
		coordinator.contain(from, event)
		coordinator.contain(sourceUnknown, coordinator.startRound)
	})
}

// call runs event on the control loop and returns false if the term has ended.
func (coordinator *Coordinator) call(from source, event func()) bool {
	return coordinator.loop.Call(func() { coordinator.contain(from, event) }) && coordinator.ctx.Err() == nil
}

// Lost returns a channel that is closed when the leadership is lost.
func (coordinator *Coordinator) Lost() <-chan struct{} { return coordinator.lost }

// Close ends the term without releasing it in the store.
func (coordinator *Coordinator) Close() {
	coordinator.cancel()
	coordinator.loop.Close()
	coordinator.goroutines.Wait()
}

// Release ends the term and releases it in the store, so that another entry takes over at once.
func (coordinator *Coordinator) Release(ctx context.Context) {
	// The loop must be closed first: no worker lease may be granted after the release.
	coordinator.Close()
	heartbeat := coordinator.heartbeat
	heartbeat.Count++
	heartbeat.Released = true
	heartbeat.Grants = coordinator.ledger.Compose(coordinator.scheduler.BusyNodes(), coordinator.deps.Clock.Now())
	tx, err := coordinator.renewalTx(heartbeat)
	if err == nil {
		_, err = coordinator.deps.Store.Commit(ctx, tx)
	}
	if err != nil {
		klog.ErrorS(err, "Could not release the leadership; others take over when its lease ends", "Term", coordinator.leadership.Term.Number)
		return
	}
	klog.InfoS("Released the leadership", "Term", coordinator.leadership.Term.Number)
}

// stepDown ends the term because another entry leads or the store holds rows that this leader did not write.
func (coordinator *Coordinator) stepDown(reason string) {
	coordinator.lostOnce.Do(func() {
		klog.InfoS("Leadership lost", "Term", coordinator.leadership.Term.Number, "Reason", reason)
		close(coordinator.lost)
		coordinator.cancel()
	})
}

// canGrantLeases reports whether worker leases may still be granted: until election.GrantExtension after the end
// of the leader's own lease, so that workers keep their tasks during an outage of the store. Every successor
// takes that time into account.
func (coordinator *Coordinator) canGrantLeases() bool {
	if coordinator.ctx.Err() != nil {
		return false
	}
	until := clock.Time(coordinator.validUntil.Load()).Add(election.GrantExtension)
	return coordinator.deps.Clock.Now().Before(until)
}

// runPeriodicChecks logs waiting tasks, archives jobs and detects workers whose lease has lapsed.
func (coordinator *Coordinator) runPeriodicChecks() {
	now := coordinator.deps.Clock.Now()
	if now.Sub(coordinator.waitingLoggedAt) >= waitingLogInterval {
		coordinator.waitingLoggedAt = now
		if waiting := coordinator.scheduler.Waiting(now); waiting != (scheduler.WaitingCounts{}) {
			klog.InfoS("Tasks wait", "Quick", waiting.Quick, "Standing", waiting.Standing, "Filling", waiting.Filling, "Late", waiting.Late)
		}
		coordinator.logLoad(now)
		if withheld := coordinator.scheduler.WithheldCopies(); withheld != (scheduler.WithheldCopies{}) {
			klog.InfoS("Late runs without copies", "Budget", withheld.Budget, "Feedback", withheld.Feedback, "Worker", withheld.Worker)
		}
	}
	coordinator.archive(now)
	coordinator.detectLapses(now)
	coordinator.updateRefusal(now)
}

// updateOutDataCentres passes the data centres that are out to the scheduler and reports whether they are
// known. No task is placed before they are.
func (coordinator *Coordinator) updateOutDataCentres() bool {
	out, ok := coordinator.deps.Out()
	if ok && !equalSets(out, coordinator.outDataCentres) {
		klog.InfoS("Data centres out", "DataCentres", set.Sorted(out))
		coordinator.outDataCentres = out
		coordinator.scheduler.SetOut(out)
	}
	return ok
}

func equalSets(left, right set.Set[ident.DataCentre]) bool {
	if left.Len() != right.Len() {
		return false
	}
	for name := range left {
		if !right.Has(name) {
			return false
		}
	}
	return true
}

// State returns the stored state of a job, or false if the leader does not have the job.
func (coordinator *Coordinator) State(id workflow.ID) (workflow.State, bool) {
	coordinator.jobStatesMu.Lock()
	defer coordinator.jobStatesMu.Unlock()
	state, ok := coordinator.jobStates[id]
	return state, ok
}

// Pending returns the number of jobs of a queue that have not started, or false if the term has ended.
func (coordinator *Coordinator) Pending(queue workflow.Queue) (int, bool) {
	count := 0
	ok := coordinator.call(sourceUnknown, func() { count = coordinator.scheduler.PendingJobCount(queue) })
	return count, ok
}

// setJobState records the state of a job that State returns.
func (coordinator *Coordinator) setJobState(id workflow.ID, state workflow.State) {
	coordinator.jobStatesMu.Lock()
	defer coordinator.jobStatesMu.Unlock()
	coordinator.jobStates[id] = state
}
