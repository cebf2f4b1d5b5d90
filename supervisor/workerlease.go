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
	// maxReadingTime is how long a listing may take for its reading of the worker's clock to count, and for how long the
	// reading is carried on. It exceeds the timeout of a listing: if more time has passed, the agent stood still.
	maxReadingTime = listingWait + 2*listingGrace
	// minLoggedStandstill is the time from which a standstill of the worker's clock is logged.
	minLoggedStandstill = 250 * clock.Millisecond
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
	// firstReadAt is when the first reading arrived.
	firstReadAt clock.Time
	// deadline is the latest end of the lease that any call has set, whether it was answered or not.
	deadline WorkerTime
}

// recordReading records a reading of the worker's clock from a listing that was requested at sentAt and answered now. It
// returns for how long the worker's clock certainly stood still since the last reading. An earlier process of the agent may
// have extended the lease by up to length until the first reading.
func (lease *workerLease) recordReading(reading WorkerTime, sentAt, now, steadyNow clock.Time, length clock.Millis) clock.Millis {
	if now.Sub(sentAt) > maxReadingTime {
		return 0
	}
	standstill := clock.Millis(0)
	if lease.clockReadAt == 0 {
		lease.firstReadAt, lease.deadline = now, reading+WorkerTime(length)
	} else {
		standstill = sentAt.Sub(lease.clockReadAt) - clock.Millis(reading-lease.workerClock)
	}
	lease.workerClock, lease.clockReadAt, lease.steadyReadAt = reading, now, steadyNow
	return max(0, standstill)
}

// isFresh reports whether the last reading of the worker's clock may be carried on until now.
func (lease *workerLease) isFresh(now clock.Time) bool {
	return lease.clockReadAt != 0 && now.Sub(lease.clockReadAt) <= maxReadingTime
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
	length := supervisor.bounds.Lease
	granted := supervisor.grant.until
	if granted == 0 {
		// The grant of an earlier process of the agent is not known. It is not later than this.
		granted = worker.firstReadAt.Add(length)
	}
	left := worker.left(supervisor.clocks.Steady.Now())
	return left > 0 && left-granted.Sub(now) > length*maxWorkerDriftPercent/100+leaseEndError
}

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
	if standstill < minLoggedStandstill {
		return
	}
	now := supervisor.clocks.Boot.Now()
	klog.InfoS("Worker's clock stood still", "Worker", worker.incarnation, "StandstillMillis", int64(standstill),
		"GrantLeftMillis", int64(supervisor.grant.until.Sub(now)), "LeaseLeftMillis", int64(worker.left(supervisor.clocks.Steady.Now())))
}
