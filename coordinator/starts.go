package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/scheduler"
	"hyssopjunction/set"
)

// maxInboxAge is how old the leader's knowledge of the inbox may be while it starts tasks. A job's tasks must not be
// started later than 3 s after its cancellation was acknowledged, and an agent attempts a start for up to 1.8 s.
const maxInboxAge = clock.Second

// maySendStarts reports whether tasks may be placed and started: only while no other entry can lead, because a later
// leader knows of cancellations, ends and data centres of which this one does not, and while this leader follows the
// inbox.
func (coordinator *Coordinator) maySendStarts(now clock.Time) bool {
	leaseEnd := clock.Time(coordinator.validUntil.Load())
	inboxAge := now.Sub(coordinator.inboxAsOf)
	may := now.Before(leaseEnd) && inboxAge <= maxInboxAge
	if may != coordinator.sendsStarts {
		coordinator.sendsStarts = may
		klog.InfoS("Starts allowed", "Allowed", may, "Term", coordinator.leadership.Term.Number,
			"LeaseLeftMillis", int64(leaseEnd.Sub(now)), "InboxAgeMillis", int64(inboxAge), "WithheldWorkers", coordinator.withheld.Len())
	}
	return may
}

// withholdStart notes that a run of the worker is stored whose start was not sent.
func (coordinator *Coordinator) withholdStart(worker scheduler.Incarnation) {
	coordinator.counters.withheldStarts.Inc()
	coordinator.withheld.Add(worker)
}

// resumeStarts sends the withheld starts with the next round, without those of runs that have ended since. Agents know
// which of their runs they have started.
func (coordinator *Coordinator) resumeStarts() {
	if coordinator.withheld.Len() == 0 {
		return
	}
	workers := coordinator.withheld
	coordinator.withheld = set.New[scheduler.Incarnation]()
	coordinator.onceStored = append(coordinator.onceStored, func() {
		for _, worker := range set.Sorted(workers) {
			coordinator.sendOrders(coordinator.scheduler.ExpectedOrders(worker))
		}
	})
}
