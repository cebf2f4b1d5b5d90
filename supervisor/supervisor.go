package supervisor

import (
	"context"
	"fmt"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/loop"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Timeouts and limits of the calls to the worker.
const (
	// listingWait is how long the worker may wait for the end of a run before it answers a listing. It bounds
	// the age of the samples that filling tasks are paced by. A sample covers half a second.
	listingWait = 400 * clock.Millisecond
	// maxCallTimeout is the maximum timeout of a call that starts, stops or paces a run.
	maxCallTimeout = 500 * clock.Millisecond
	// listingGrace is the timeout of a listing beyond the time that the worker may wait.
	listingGrace = 200 * clock.Millisecond
	// firstCallTimeout is the timeout of the first attempt of a call. It doubles after each attempt that gets no
	// answer. The worker is on the same machine and answers within a few milliseconds, six times as many on slow
	// machines. Unanswered calls may take effect up to 12 s later, so they are repeated early.
	firstCallTimeout = 120 * clock.Millisecond
	// callRetryInterval is the time before the next attempt of a call that failed with an answer or could not be
	// made.
	callRetryInterval = 150 * clock.Millisecond
	// listingPause is the time between two listings if the first one was answered at once without a new end.
	listingPause = 60 * clock.Millisecond
	// maxConfirmationAge is how long after a listing the worker may be sent an acknowledgement of ends. It exceeds listingPause,
	// so that listings need no confirmation unless one failed or the agent stood still, and a process needs longer to be
	// replaced.
	maxConfirmationAge = 100 * clock.Millisecond
	// maxConcurrentCalls limits concurrent calls that start, stop or pace runs.
	maxConcurrentCalls = 6
	// maxStartAttempts is how often a worker may answer a start with ErrNothingDone or ErrNotListening before the
	// run is rejected, so that the leader places the task again.
	maxStartAttempts = 3
	// maxStartAge is how long the start of a run is attempted. Then the run is rejected and the leader places the
	// task again, because the worker may be draining or its data centre out by then. Runs must not be started more
	// than 2 s after the worker begins to drain or 5 s after its data centre is out.
	maxStartAge = 1800 * clock.Millisecond
	// maxCopiesStartAge is how long after its sending the start of a run is attempted if its task may have two runs. No run
	// may start more than 1 s after the end of the other one was stored; the rest is for the call to the worker.
	maxCopiesStartAge = 800 * clock.Millisecond
	// unresponsiveListings is the number of consecutive unanswered listings after which the worker gets no new runs
	// and its lease is not extended. Unanswered calls may still take effect, so a lease that is extended by them
	// might never lapse.
	unresponsiveListings = 3
	// goneTimeout is how long nothing must listen at the worker's address before its process counts as ended: four
	// listings.
	goneTimeout = 250 * clock.Millisecond
)

// Supervisor manages the worker of one node for the leader. Create it with New.
type Supervisor struct {
	node           string
	clocks         Clocks
	runtime        Runtime
	bounds         Bounds
	loop           *loop.Loop
	baseContext    context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	callSlots      chan struct{}
	reportRequests chan struct{}

	// The fields below may be accessed only on the control loop.
	worker   *workerState
	grant    grant
	activity activity
	// candidate is the announcement of another incarnation that the worker's process has not confirmed yet, or nil.
	candidate *Announcement
	// rejections are the ones to be sent with the next report.
	rejections []session.Rejection
	session    sessionState
	// directory is nil before Follow is called.
	directory Directory
	// crashed holds the workers whose crash no leader has stored yet.
	crashed []*workerState
	// pendingEnds counts the workers, including earlier ones, whose endReport is endPending. A lapse counts like an end.
	pendingEnds int
}

// grant is the leader's permission to extend the worker's lease until a time, and the leader's term.
type grant struct {
	until clock.Time
	term  int64
}

// workerState is the agent's view of one incarnation of the worker.
type workerState struct {
	announcement Announcement
	incarnation  string
	governor     *pacing.Governor
	runs         map[runKey]*runState
	workerLease
	// leaseSentAt is the time of the last call that may have extended the lease, whether it was answered or not, on
	// Clocks.Steady. An earlier process of the agent may have made one until this process got to know the worker.
	leaseSentAt clock.Time
	// unansweredListings is the number of consecutive listings without an answer.
	unansweredListings int
	// answeredAt is when the worker last answered a call, and failingSince when the first of the unanswered listings failed,
	// or 0.
	answeredAt, failingSince clock.Time
	// crash is what the worker had started when its process ended by itself, or nil.
	crash *crash
	// lapsed reports that no run is active on the worker, because its lease or its process ended. ended reports that it was
	// the process.
	lapsed, ended bool
	// endedAt is when the end of the process was last noticed.
	endedAt   clock.Time
	endReport endReport
	// successor is a later incarnation under the same id, or nil.
	successor *successor
	// notListeningSince is the time on Clocks.Steady since which nothing listens at the worker's address, or 0.
	notListeningSince clock.Time
	// recordedEnd is the number of the last end that the leader has stored.
	recordedEnd int64
	// sentRecordedEnd is the number in the last listing call, and acknowledgedEnd the highest one that the worker has
	// received.
	sentRecordedEnd, acknowledgedEnd int64
	// isConfirming reports that the last listing call only asked which incarnation answers.
	isConfirming bool
	weights      map[[2]pacing.Image]float64
	listing      Listing
	// pacesLoggedAt is when paces were last logged.
	pacesLoggedAt clock.Time
}

// phase is the progress of a run at the worker.
type phase int

const (
	// phaseStarting: the start is attempted.
	phaseStarting phase = iota
	// phaseStarted: the worker confirmed the start or listed the run.
	phaseStarted
	// phaseStopping: the stop is attempted.
	phaseStopping
	// phaseStopped: the worker confirmed that the run is stopped and that it refuses later starts of it.
	phaseStopped
)

// unknownPacePercent is the pace of a run that was started by an earlier process of the agent.
const unknownPacePercent = -1

// runKey identifies a run.
type runKey struct {
	task   string
	number workflow.Run
}

// runState is the agent's view of a run that was ordered by the leader or listed by the worker.
type runState struct {
	order session.Start
	phase phase
	// confirmedAt is when the worker confirmed the start or the stop.
	confirmedAt clock.Time
	// orderedAt is when the start order arrived.
	orderedAt clock.Time
	// startSentAt is when the last start call was sent that may have taken effect, or 0, and previousStartSentAt the one
	// before.
	startSentAt, previousStartSentAt clock.Time
	// unansweredStarts counts the start calls whose outcome is not known. They may take effect later.
	unansweredStarts int
	// stopSentAt is when the last stop call was sent, or 0.
	stopSentAt clock.Time
	// listedAt is when the run was first listed, or 0.
	listedAt clock.Time
	startLimits
	// reason is why the run is being stopped.
	reason string
	// pacePercent is the pace that the worker last confirmed, or unknownPacePercent.
	pacePercent int
	// usage is what the samples of a filling run tell of its usage at full pace.
	usage pacing.Usage
	// callPending reports that a call for the run is in progress or waits to be repeated.
	callPending bool
	// pacedAfterStart reports that the paces were updated when the run had started.
	pacedAfterStart bool
	// startAttempts counts the starts that failed with ErrNothingDone or ErrNotListening.
	startAttempts int
	// hasOrder is false for runs that the worker listed before the leader ordered them again after a restart of
	// the agent. Their reservation is not known yet.
	hasOrder bool
	// known reports that the worker has listed the run, or has confirmed its start or its stop. Once the run has ended, the
	// worker refuses to start it again, also if a later process of the agent attempts it.
	known bool
}

// startLimits are the times from which a run must not be started any more.
type startLimits struct {
	// leaseEnd is the end of the last lease that was granted before the leader last ordered the start, or the time at
	// which a lapse was reported that the leader did not know of then. The leader may place the task elsewhere only after
	// it, so the run must not be started from then on.
	leaseEnd clock.Time
	// startBy is set if the task may have two runs: the other one may have finished after the order was sent, and the order
	// to stop this one may not have arrived. Otherwise it is 0.
	startBy clock.Time
}

// Bounds are times in milliseconds that the worker keeps or asks for.
type Bounds struct {
	// Lease is the longest lease that the worker accepts.
	Lease clock.Millis
	// StopTimeout is how long the worker takes to stop a run at most.
	StopTimeout clock.Millis
	// MaxOverTarget is how long serving tasks may exceed their target through filling tasks.
	MaxOverTarget clock.Millis
}

// New starts the supervisor of the node's worker.
func New(clocks Clocks, runtime Runtime, node string, bounds Bounds) *Supervisor {
	baseContext, cancel := context.WithCancel(context.Background())
	supervisor := &Supervisor{
		node: node, clocks: clocks, runtime: runtime, bounds: bounds, loop: loop.New(), baseContext: baseContext, cancel: cancel,
		callSlots: make(chan struct{}, maxConcurrentCalls), reportRequests: make(chan struct{}, 1),
	}
	supervisor.background(supervisor.renewLeases)
	return supervisor
}

// background runs the work in a goroutine that Close waits for.
func (supervisor *Supervisor) background(work func()) {
	supervisor.goroutines.Add(1)
	go func() {
		defer supervisor.goroutines.Done()
		work()
	}()
}

// Close stops the supervisor. The worker keeps its runs until its lease ends.
func (supervisor *Supervisor) Close() {
	supervisor.loop.Call(func() {
		if worker := supervisor.worker; worker != nil {
			klog.InfoS("Worker is left", "Worker", worker.incarnation, "Draining", worker.announcement.Draining, "Lapsed", worker.lapsed,
				"EndStored", worker.endReport == endStored, "Term", supervisor.grant.term)
		}
		supervisor.cancel() // On the control loop, so that no event after it adds a goroutine.
	})
	supervisor.goroutines.Wait()
	supervisor.loop.Close()
}

// Announce records an announcement of the worker. It returns false if the incarnation is not the latest one. Another incarnation
// than the present one counts once the worker's process has confirmed it.
func (supervisor *Supervisor) Announce(announcement Announcement) bool {
	accepted := false
	supervisor.loop.Call(func() { accepted = supervisor.announce(announcement) })
	return accepted
}

func (supervisor *Supervisor) announce(announcement Announcement) bool {
	worker := supervisor.worker
	if worker != nil && announcement.Incarnation == worker.announcement.Incarnation {
		if announcement.Sequence <= worker.announcement.Sequence {
			return true // The announcement is repeated or older than the last one.
		}
		if announcement.Draining != worker.announcement.Draining {
			klog.InfoS("Worker state", "Worker", worker.incarnation, "Draining", announcement.Draining, "RemainingMillis", int64(announcement.Remaining))
			supervisor.requestReport()
		}
		if announcement.Capacity != worker.announcement.Capacity {
			klog.InfoS("Worker capacity", "Worker", worker.incarnation, "CPU", int64(announcement.Capacity.CPU), "Memory", int64(announcement.Capacity.Memory),
				"Accelerators", int64(announcement.Capacity.Accelerators), "ReservedCPU", int64(worker.reserved().CPU), "ReservedMemory", int64(worker.reserved().Memory))
			supervisor.requestReport()
		}
		if worker.announcement.Draining {
			announcement.Draining = true
		}
		worker.announcement = announcement
		return true
	}
	if worker == nil {
		supervisor.adopt(announcement)
		return true
	}
	if announcement.Incarnation.StartedAt < worker.latestStart() && worker.clockReadAt != 0 && !worker.mayHaveSuccessor() {
		klog.InfoS("Announcement of an earlier incarnation ignored", "ID", announcement.Incarnation.ID, "Born", announcement.Incarnation.StartedAt)
		return false
	}
	supervisor.propose(announcement)
	return true
}

// mayHaveSuccessor reports whether another process may have taken the place of the worker's. Its start may seem to be earlier, because the
// time of day steps back.
func (worker *workerState) mayHaveSuccessor() bool {
	return worker.isOver() || worker.unansweredListings > 0
}

// latestStart returns the time of day from which an incarnation counts as a later one than those that the agent knows of.
func (worker *workerState) latestStart() int64 {
	latest := worker.announcement.Incarnation.StartedAt + 1
	if worker.successor != nil {
		latest = max(latest, worker.successor.startedAt)
	}
	return latest
}

// adopt makes an announced incarnation the worker of the node. The earlier one has ended.
func (supervisor *Supervisor) adopt(announcement Announcement) {
	unknownLease := supervisor.bounds.Lease // An earlier process of the agent may have extended it, or a call for an earlier incarnation.
	if earlier := supervisor.worker; earlier != nil && earlier.announcement.Incarnation.ID != announcement.Incarnation.ID {
		unknownLease = 0
	}
	supervisor.worker = &workerState{
		announcement: announcement, incarnation: fmt.Sprintf("%s@%d@%s", announcement.Incarnation.ID, announcement.Incarnation.StartedAt, supervisor.node),
		governor: pacing.NewGovernor(supervisor.bounds.MaxOverTarget), runs: map[runKey]*runState{}, weights: map[[2]pacing.Image]float64{},
		leaseSentAt: supervisor.clocks.Steady.Now(), workerLease: workerLease{unknown: unknownLease},
	}
	klog.InfoS("Worker announced", "Worker", supervisor.worker.incarnation, "Service", announcement.Service, "CPU", int64(announcement.Capacity.CPU), "Labels", announcement.Labels)
	supervisor.requestReport()
}

// Leave records that the worker with the id is shutting down. It counts as draining from then on.
func (supervisor *Supervisor) Leave(id string) {
	supervisor.loop.Call(func() {
		if supervisor.worker != nil && supervisor.worker.announcement.Incarnation.ID == id {
			klog.InfoS("Worker leaves", "Worker", supervisor.worker.incarnation)
			supervisor.worker.announcement.Draining = true
			supervisor.requestReport()
		}
	})
}

// requestReport makes the session send a report at once.
func (supervisor *Supervisor) requestReport() {
	select {
	case supervisor.reportRequests <- struct{}{}:
	default:
	}
}

// renewLeases extends the worker's lease and lists its runs until the supervisor is closed, one call at a time.
func (supervisor *Supervisor) renewLeases() {
	for supervisor.baseContext.Err() == nil {
		supervisor.confirmCandidate()
		var worker *workerState
		var call RenewCall
		supervisor.loop.Call(func() { worker, call = supervisor.nextRenewCall() })
		if worker == nil {
			supervisor.sleep(listingPause)
			continue
		}
		sentAt := supervisor.clocks.Boot.Now()
		ctx, cancel := context.WithTimeout(supervisor.baseContext, (call.Wait + listingGrace).Duration())
		listing, err := supervisor.runtime.Renew(ctx, call)
		cancel()
		skipsPause := false
		supervisor.loop.Call(func() { skipsPause = supervisor.handleListing(worker, listing, sentAt, err) })
		if !skipsPause {
			supervisor.sleep(listingPause)
		}
	}
}

// sleep waits for the time or until the supervisor is closed.
func (supervisor *Supervisor) sleep(millis clock.Millis) {
	select {
	case <-supervisor.clocks.Boot.After(millis):
	case <-supervisor.baseContext.Done():
	}
}

// nextRenewCall enforces the end of the grant, and returns the worker and the next call that extends its lease and lists its
// runs, or nil if no worker has been announced. The call does not extend the lease of an unresponsive worker. It acknowledges
// ends, and waits for further ones, only if the worker has just confirmed its incarnation, and its lease does not have to lapse.
func (supervisor *Supervisor) nextRenewCall() (*workerState, RenewCall) {
	worker := supervisor.worker
	if worker == nil {
		return nil, RenewCall{}
	}
	supervisor.activity.observe(supervisor.clocks.Boot.Now())
	supervisor.enforceGrant(worker)
	supervisor.observeGrantEnd(worker)
	call := RenewCall{Incarnation: worker.announcement.Incarnation, Token: supervisor.grant.term}
	worker.isConfirming = !worker.isConfirmed(supervisor.clocks.Boot.Now())
	if !worker.isConfirming {
		// Otherwise a later incarnation may answer, whose ends have the same numbers.
		call.RecordedEnd, call.Wait = worker.recordedEnd, listingWait
	}
	if supervisor.leaseOverruns(worker, supervisor.clocks.Boot.Now()) {
		call.Wait = 0 // The next reading of the worker's clock shows whether its lease still overruns.
	}
	if worker.lapse != nil {
		call.RecordedEnd, call.Wait = 0, 0
	}
	worker.sentRecordedEnd = call.RecordedEnd
	if worker.unansweredListings < unresponsiveListings && worker.successor == nil {
		call.Deadline = supervisor.nextDeadline(worker)
	}
	return worker, call
}

// isConfirmed reports whether the worker's last listing is so recent that no later incarnation can have ended a run since.
func (worker *workerState) isConfirmed(now clock.Time) bool {
	return worker.clockReadAt != 0 && worker.unansweredListings == 0 && worker.successor == nil && now.Sub(worker.clockReadAt) <= maxConfirmationAge
}

// nextDeadline returns the end of the granted lease on the worker's clock for a call that is made now, or 0 if no lease is
// granted or the worker's clock has to be read first, because the agent has stood still since its last reading.
func (supervisor *Supervisor) nextDeadline(worker *workerState) WorkerTime {
	now, steadyNow := supervisor.clocks.Boot.Now(), supervisor.clocks.Steady.Now()
	supervisor.activity.observe(now)
	hasReading := worker.clockReadAt != 0 && !worker.clockReadAt.Before(supervisor.activity.resumedAt)
	if !hasReading || !now.Before(supervisor.grant.until) || worker.lapse != nil {
		return 0
	}
	deadline := worker.deadlineAt(supervisor.grant.until, now, steadyNow)
	worker.deadline, worker.leaseSentAt = max(worker.deadline, deadline), steadyNow
	return deadline
}

// handleListing processes the outcome of a listing that was requested at sentAt. It reports whether the next one
// may follow without a pause.
func (supervisor *Supervisor) handleListing(worker *workerState, listing Listing, sentAt clock.Time, err error) bool {
	if supervisor.worker != worker {
		return false
	}
	now := supervisor.clocks.Boot.Now()
	wasResponsive := supervisor.isResponsive(worker)
	if err != nil {
		worker.recordFailure(err, sentAt, now)
		worker.unansweredListings++
		if worker.unansweredListings == unresponsiveListings {
			klog.ErrorS(err, "Worker does not answer", "Worker", worker.incarnation)
		}
		if wasResponsive && !supervisor.isResponsive(worker) {
			supervisor.requestReport()
		}
		if worker.trackGone(err, supervisor.clocks.Steady.Now()) || IsErrOtherIncarnation(err) {
			supervisor.endIncarnation(worker, err.Error())
		}
		if !worker.lapsed && supervisor.clocks.Steady.Now().Sub(worker.leaseSentAt) > election.WorkerStoppedAfter(supervisor.bounds.Lease) {
			klog.InfoS("Worker lapsed", "Worker", worker.incarnation)
			worker.lapsed = true
			supervisor.requestReport()
			supervisor.startEndReport(worker)
		}
		return false
	}
	if listing.StartedAt != 0 && listing.StartedAt != worker.announcement.Incarnation.StartedAt {
		supervisor.observeSuccessor(worker, listing, sentAt)
		return false
	}
	if !wasResponsive && !worker.awaitsLapse() || worker.lapsed {
		klog.InfoS("Worker answers again", "Worker", worker.incarnation)
		worker.lapsed, worker.ended, worker.successor = false, false, nil
		supervisor.withdrawCrash(worker)
		supervisor.requestReport()
	}
	worker.unansweredListings, worker.notListeningSince = 0, 0
	worker.answeredAt, worker.failingSince = now, 0
	if !sentAt.Before(supervisor.session.startedAt) {
		supervisor.session.hasListing = true
	}
	standstill := worker.recordReading(listing.Clock, sentAt, now, supervisor.clocks.Steady.Now())
	supervisor.logStandstill(worker, standstill)
	supervisor.observeLapse(worker, lastEndNumber(listing.Ended))
	hasNewEnds := len(listing.Ended) > 0 && listing.Ended[len(listing.Ended)-1].Number > lastEndNumber(worker.listing.Ended)
	hasFirstRuns := len(worker.listing.Active)+len(worker.listing.Ended) == 0 && len(listing.Active) > 0
	worker.listing = listing
	supervisor.reconcile(worker, sentAt)
	worker.observeUsage()
	supervisor.updatePaces(worker)
	if hasNewEnds || hasFirstRuns {
		supervisor.requestReport()
	}
	if worker.isConfirming {
		hasUnrecordedEnds := lastEndNumber(listing.Ended) > worker.recordedEnd
		return hasNewEnds || !hasUnrecordedEnds || worker.recordedEnd > worker.acknowledgedEnd
	}
	worker.acknowledgedEnd = max(worker.acknowledgedEnd, worker.sentRecordedEnd)
	return hasNewEnds || now.Sub(sentAt) >= listingPause // The second holds if the worker waited before it answered.
}

// trackGone updates since when nothing listens at the worker's address and reports whether this has lasted for
// goneTimeout, on Clocks.Steady. Then the worker's process has ended with all its runs, and a new process has a new incarnation.
func (worker *workerState) trackGone(err error, now clock.Time) bool {
	switch {
	case !IsErrNotListening(err):
		worker.notListeningSince = 0
	case worker.notListeningSince == 0:
		worker.notListeningSince = now
	}
	return worker.notListeningSince != 0 && now.Sub(worker.notListeningSince) >= goneTimeout
}

// reconcile compares the runs with the last listing, which was requested at sentAt. Ended runs are removed. If the listing
// has all ends, runs that are missing although they were confirmed before are stopped, and runs that were stopped without
// ever having started are rejected.
func (supervisor *Supervisor) reconcile(worker *workerState, sentAt clock.Time) {
	activeKeys := map[runKey]struct{}{}
	for _, item := range worker.listing.Active {
		key := runKey{item.Task, item.Run}
		activeKeys[key] = struct{}{}
		run, ok := worker.runs[key]
		if !ok {
			worker.runs[key] = &runState{order: session.Start{Task: item.Task, Run: item.Run}, phase: phaseStarted, pacePercent: unknownPacePercent, known: true, listedAt: sentAt}
			continue
		}
		run.known = true
		if run.listedAt == 0 {
			run.listedAt = sentAt
		}
		if run.phase == phaseStarting {
			run.phase, run.confirmedAt = phaseStarted, sentAt
		}
	}
	for _, item := range worker.listing.Ended {
		delete(worker.runs, runKey{item.Task, item.Run})
	}
	for key, run := range worker.runs {
		if _, ok := activeKeys[key]; ok {
			continue
		}
		if worker.listing.MoreEnds {
			continue // The run may have ended, and its end is listed once the leader has stored earlier ones.
		}
		listingIsNewer := run.confirmedAt != 0 && run.confirmedAt.Before(sentAt)
		switch {
		case run.phase == phaseStarted && !run.hasOrder:
			delete(worker.runs, key)
		case run.phase == phaseStarted && listingIsNewer:
			supervisor.stopRun(worker, run, "Vanished")
		case run.phase == phaseStopped && listingIsNewer:
			// The run is neither active nor ended, so it was never started, and later starts of it are refused.
			delete(worker.runs, key)
			supervisor.rejections = append(supervisor.rejections, session.Rejection{
				Incarnation: worker.incarnation, Task: key.task, Run: key.number, Reason: run.reason,
			})
			supervisor.requestReport()
		}
	}
}

// reserved returns the resources reserved by all runs on the worker.
func (worker *workerState) reserved() unit.Resources {
	var total unit.Resources
	for _, run := range worker.runs {
		total = total.Add(run.order.Reserved)
	}
	return total
}

// lastEndNumber returns the number of the last end, or 0 if there is none.
func lastEndNumber(ends []Ended) int64 {
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].Number
}
