package supervisor

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

const (
	// maxWorkerDriftPercent limits by how much a worker's clock may run slower than the agent's.
	maxWorkerDriftPercent = 2
	// leaseEndError limits the error of workerLease.left beside the drift: the time that an answer of the worker takes.
	leaseEndError = 100 * clock.Millisecond
	// maxActiveGap is the time between two events of the agent, and from the request of a listing to its answer, above which
	// the agent stood still. It exceeds the timeouts of a listing and of one that confirms an announcement.
	maxActiveGap = listingWait + confirmTimeout + 2*listingGrace
	// minStandstill is how long the worker's clock must stand still between two readings for that to be noticed. It exceeds
	// what drift makes of the time between two listings.
	minStandstill = 250 * clock.Millisecond
)

// Clocks are two clocks of the agent's machine.
type Clocks struct {
	// Boot includes the time during which the machine is suspended. Grants are counted on it, as the leader does.
	Boot clock.Clock
	// Steady does not include that time. The worker, on the same machine, counts its lease on such a clock.
	Steady clock.Clock
}

// workerLease is what the agent knows of the lease that its worker holds.
type workerLease struct {
	// workerClock is the last reading of the worker's clock, or 0. The reading arrived at clockReadAt on Clocks.Boot and at
	// steadyReadAt on Clocks.Steady.
	workerClock  WorkerTime
	clockReadAt  clock.Time
	steadyReadAt clock.Time
	// firstReadAt is when the first reading arrived, and stoodStill for how long the worker's clock has stood still since.
	firstReadAt clock.Time
	stoodStill  clock.Millis
	// deadline is the latest end of the lease that any call has set, whether it was answered or not.
	deadline WorkerTime
	// unknown is how long the lease may be that others have extended before the first reading.
	unknown clock.Millis
	// lapse is set while it is not known whether the lease has lapsed since the grant ended.
	lapse *pendingLapse
	// settledGrant is the end of the last grant after which the lease has lapsed, and lapsedEnd the number of the last end of a run
	// before that.
	settledGrant clock.Time
	lapsedEnd    int64
}

// pendingLapse is the lapse of a lease whose grant has ended, or that the leader has taken for lapsed. The leader may have placed the
// tasks of the worker elsewhere, also those of runs that have finished and whose ends it has not stored. Such an end must not be
// acknowledged before the lapse, or the worker counts it although the task runs again; and a lease that is extended does not lapse.
type pendingLapse struct {
	// grantEnd is the end of the grant, and noticedAt when the agent noticed it or was told of the lapse.
	grantEnd, noticedAt clock.Time
	// at is the end of the lease on the worker's clock.
	at WorkerTime
	// overruns reports that a reading since the end of the grant has shown that the lease overruns it.
	overruns bool
}

// recordReading records a reading of the worker's clock from a listing that was requested at sentAt and answered now. It
// returns for how long the worker's clock certainly stood still since the last reading, or 0 if the reading does not tell.
func (lease *workerLease) recordReading(reading WorkerTime, sentAt, now, steadyNow clock.Time) clock.Millis {
	if now.Sub(sentAt) > maxActiveGap {
		return 0
	}
	standstill := clock.Millis(0)
	if lease.clockReadAt == 0 {
		lease.firstReadAt, lease.deadline = now, reading+WorkerTime(lease.unknown)
	} else if standstill = sentAt.Sub(lease.clockReadAt) - clock.Millis(reading-lease.workerClock); standstill < minStandstill {
		standstill = 0
	}
	lease.workerClock, lease.clockReadAt, lease.steadyReadAt = reading, now, steadyNow
	lease.stoodStill += standstill
	return standstill
}

// activity tells when the agent stood still, with its machine or by itself.
type activity struct {
	// activeAt is when the agent was last active, and resumedAt when it went on after it last stood still.
	activeAt, resumedAt clock.Time
}

// observe records that the agent is active.
func (activity *activity) observe(now clock.Time) {
	if now.Sub(activity.activeAt) > maxActiveGap {
		activity.resumedAt = now
	}
	activity.activeAt = now
}

// deadlineAt returns a time on the worker's clock that is not later than the time until. The worker read its clock before the
// reading arrived, and both clocks stand still while the machine is suspended.
func (lease *workerLease) deadlineAt(until, now, steadyNow clock.Time) WorkerTime {
	return lease.workerClock + WorkerTime(steadyNow.Sub(lease.steadyReadAt)+until.Sub(now))
}

// left returns for how long the lease goes on unless the machine is suspended. It is not positive if the lease has ended.
func (lease *workerLease) left(steadyNow clock.Time) clock.Millis {
	return clock.Millis(lease.deadline-lease.workerClock) - steadyNow.Sub(lease.steadyReadAt)
}

// leaseOverruns reports whether the worker's lease ends later than the grant by more than the leader allows for. That is so
// after its machine was suspended, until the next grant, and if a call for an earlier incarnation extended it.
func (supervisor *Supervisor) leaseOverruns(worker *workerState, now clock.Time) bool {
	if worker.clockReadAt == 0 || worker.lapsed || worker.isOver() {
		return false
	}
	left, granted := worker.left(supervisor.clocks.Steady.Now()), supervisor.grant.until
	if granted == 0 {
		return left > 0 && worker.stoodStill > 0 // The lease and the grant are those of an earlier process of the agent.
	}
	return left > 0 && left-granted.Sub(now) > supervisor.leaseTolerance()
}

// leaseTolerance is by how much a worker's lease may seem to end later than the grant although its clock went on.
func (supervisor *Supervisor) leaseTolerance() clock.Millis {
	return supervisor.bounds.Lease*maxWorkerDriftPercent/100 + leaseEndError
}

// observeGrantEnd makes the worker's lease lapse before it is extended again if the grant has ended.
func (supervisor *Supervisor) observeGrantEnd(worker *workerState) {
	granted, now := supervisor.grant.until, supervisor.clocks.Boot.Now()
	if granted == 0 || now.Before(granted) || worker.lapse != nil || worker.settledGrant == granted {
		return
	}
	if worker.clockReadAt == 0 || !worker.firstReadAt.Before(granted) {
		return // The worker had no lease under that grant.
	}
	worker.lapse = &pendingLapse{grantEnd: granted, noticedAt: now, at: worker.deadline}
}

// requireLapse makes the worker's lease lapse before the ends up to the number are acknowledged, unless it has lapsed since them.
func (supervisor *Supervisor) requireLapse(worker *workerState, end int64) {
	if end <= worker.lapsedEnd || worker.lapse != nil || worker.clockReadAt == 0 {
		return
	}
	klog.InfoS("Lease has to lapse before ends are acknowledged", "Worker", worker.incarnation, "End", end, "Term", supervisor.grant.term,
		"LeaseLeftMillis", int64(worker.left(supervisor.clocks.Steady.Now())))
	worker.lapse = &pendingLapse{grantEnd: supervisor.grant.until, noticedAt: supervisor.clocks.Boot.Now(), at: worker.deadline, overruns: true}
	supervisor.requestReport()
}

// observeLapse updates whether the lease has lapsed since the grant ended, once the worker's clock was read after that. lastEnd is the
// number of the last end that was listed with this reading.
func (supervisor *Supervisor) observeLapse(worker *workerState, lastEnd int64) {
	if worker.lapse == nil || worker.clockReadAt.Before(worker.lapse.noticedAt) {
		return
	}
	left := clock.Millis(worker.lapse.at - worker.workerClock)
	if left > supervisor.leaseTolerance() && !worker.lapse.overruns {
		worker.lapse.overruns = true
		klog.InfoS("Lease has to lapse after the end of the grant", "Worker", worker.incarnation, "LeaseLeftMillis", int64(left), "Term", supervisor.grant.term)
		supervisor.requestReport()
	}
	if left > 0 && worker.lapse.overruns {
		return
	}
	if worker.lapse.overruns {
		klog.InfoS("Lease has lapsed after the end of the grant", "Worker", worker.incarnation, "Term", supervisor.grant.term)
		supervisor.requestReport()
	}
	worker.lapse, worker.settledGrant, worker.lapsedEnd = nil, worker.lapse.grantEnd, max(worker.lapsedEnd, lastEnd)
}

// awaitsLapse reports whether the worker's lease is known to outlast an earlier grant.
func (worker *workerState) awaitsLapse() bool { return worker.lapse != nil && worker.lapse.overruns }

// stopLead is how long before the end of the grant the runs of a worker are stopped whose lease overruns. It leaves the time
// for a call that has to be repeated and for the stop itself.
func (supervisor *Supervisor) stopLead() clock.Millis {
	return supervisor.bounds.StopTimeout + maxCallTimeout
}

// enforceGrant stops all runs of the worker shortly before the end of the grant if its lease overruns. From the end of the
// grant on, the leader may place the tasks elsewhere.
func (supervisor *Supervisor) enforceGrant(worker *workerState) {
	now := supervisor.clocks.Boot.Now()
	if supervisor.worker != worker || now.Before(supervisor.grant.until.Add(-supervisor.stopLead())) || !supervisor.leaseOverruns(worker, now) {
		return
	}
	supervisor.stopOverrun(worker, now)
}

// stopOverrun stops all runs of a worker whose lease overruns.
func (supervisor *Supervisor) stopOverrun(worker *workerState, now clock.Time) {
	stopped := 0
	for _, run := range worker.runs {
		if run.phase == phaseStarting || run.phase == phaseStarted {
			supervisor.stopRun(worker, run, reasonLeaseOverrun)
			stopped++
		}
	}
	if stopped > 0 {
		klog.InfoS("Runs are stopped before the end of the grant", "Worker", worker.incarnation, "Runs", stopped, "Term", supervisor.grant.term,
			"GrantLeftMillis", int64(supervisor.grant.until.Sub(now)), "LeaseLeftMillis", int64(worker.left(supervisor.clocks.Steady.Now())))
	}
}

// hasOverrunningRuns reports whether runs of the present worker may go on after the end of the grant.
func (supervisor *Supervisor) hasOverrunningRuns() bool {
	worker := supervisor.worker
	return worker != nil && len(worker.runs) > 0 && supervisor.leaseOverruns(worker, supervisor.clocks.Boot.Now())
}

// logStandstill logs that the worker's clock stood still, as it does while its machine is suspended.
func (supervisor *Supervisor) logStandstill(worker *workerState, standstill clock.Millis) {
	if standstill == 0 {
		return
	}
	now := supervisor.clocks.Boot.Now()
	klog.InfoS("Worker's clock stood still", "Worker", worker.incarnation, "StandstillMillis", int64(standstill),
		"GrantLeftMillis", int64(supervisor.grant.until.Sub(now)), "LeaseLeftMillis", int64(worker.left(supervisor.clocks.Steady.Now())))
}
