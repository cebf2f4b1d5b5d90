package entry

import (
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/set"
)

// unresponsiveReviewInterval is how often the row of an unresponsive worker is read. This is how an
// entry learns of an ended incarnation if it missed the exchanges that reported it or if the
// granter is gone.
const unresponsiveReviewInterval = 10 * clock.Second

// unresponsiveWorker is a worker whose heartbeats or state did not arrive in time.
type unresponsiveWorker struct {
	nextReview clock.Time
	// dataCentre is the one that the worker last announced.
	dataCentre ident.DataCentre
}

// reviewUnresponsive reads the rows of unresponsive workers and ends the incarnations whose
// granters certainly have no lease in force.
func (entry *Entry) reviewUnresponsive() {
	var workers []ident.Worker
	entry.control.Call(func() {
		now := entry.time.Now()
		for _, worker := range set.SortedKeys(entry.unresponsive) {
			state := entry.unresponsive[worker]
			if !now.Before(state.nextReview) {
				state.nextReview = now.Add(unresponsiveReviewInterval)
				entry.unresponsive[worker] = state
				workers = append(workers, worker)
			}
		}
	})
	inParallel(workers, entry.reviewWorker)
}

// reviewWorker reads the row of an unresponsive worker, and ends its incarnation if it may be
// ended.
func (entry *Entry) reviewWorker(worker ident.Worker) {
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, lease.Key(worker))
	if err != nil {
		return
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "Unresponsive worker cannot be reviewed", "Worker", worker)
		return
	}
	if record.Over >= record.Incarnation {
		entry.control.Call(func() { entry.unresponsiveEnded(worker, record.Over, record.Reason) })
		return
	}
	reason := entry.endReason(worker, record)
	if reason == "" {
		return
	}
	if err := entry.endIncarnation(ctx, row, worker, record.Incarnation, reason); err != nil {
		klog.V(1).InfoS("End of incarnation was not written", "Worker", worker, "Reason", err.Error())
		return
	}
	entry.control.Call(func() {
		if reason == lease.OperatorDeclaration {
			entry.declarationWritten(worker, record.Incarnation)
		}
		entry.unresponsiveEnded(worker, record.Incarnation, reason)
	})
}

// endReason returns why the incarnation in an unresponsive worker's row is over, or "" if it must
// not be ended.
func (entry *Entry) endReason(worker ident.Worker, record lease.Record) (reason lease.Reason) {
	entry.control.Call(func() {
		now := entry.time.Now()
		switch {
		case entry.declaredLost(worker, record, now):
			reason = lease.OperatorDeclaration
			entry.stopGranting(worker, record)
		case entry.grantersGone(record, now):
			reason = lease.HomeUnresponsive
		}
	})
	return reason
}

// unresponsiveEnded records that the incarnation of an unresponsive worker is over.
func (entry *Entry) unresponsiveEnded(worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) {
	delete(entry.unresponsive, worker)
	entry.incarnationEnded(worker, incarnation, reason)
}

// grantersGone reports whether neither the granter in the row nor a former one can have a lease in
// force.
func (entry *Entry) grantersGone(record lease.Record, now clock.Time) bool {
	if record.Granter.Entry == "" {
		return false
	}
	for _, process := range append([]lease.Process{record.Granter}, record.Former...) {
		if !entry.entries.Gone(process.Entry, process.Incarnation, now) {
			return false
		}
	}
	return true
}

// updateWorker passes the newest state of a worker to the scheduler.
func (entry *Entry) updateWorker(worker ident.Worker) {
	state, ok := entry.workers.Get(worker)
	if !ok {
		return
	}
	delete(entry.unresponsive, worker)
	entry.handle(placement.WorkerChanged{State: entry.placementState(state)})
}

// workerUnresponsive records that a worker's state did not arrive in time, and informs the
// scheduler.
func (entry *Entry) workerUnresponsive(worker ident.Worker) {
	klog.InfoS("Worker is unresponsive", "Worker", worker)
	delete(entry.residents, worker)
	delete(entry.versions.agents, worker)
	entry.models.interference.RemoveWorker(worker)
	entry.models.governor.RemoveWorker(worker)
	if _, ok := entry.unresponsive[worker]; !ok {
		state := unresponsiveWorker{nextReview: entry.time.Now().Add(unresponsiveReviewInterval)}
		for _, member := range entry.membershipPublisher.Current().Workers {
			// The published snapshot still contains the worker until the next refresh.
			if member.ID == worker {
				state.dataCentre = member.Place.DataCentre
			}
		}
		if centre, _ := entry.configPublisher.Current().DataCentre(state.dataCentre); centre.Lost {
			state.nextReview = entry.time.Now()
		}
		entry.unresponsive[worker] = state
	}
	entry.handle(placement.WorkerUnresponsive{Worker: worker})
}

// acceptDeclaration reports whether an operator may declare the incarnation in a worker's row over,
// and if so, stops granting leases to it. The declaration is refused while the incarnation
// announces itself here or at its home.
func (entry *Entry) acceptDeclaration(worker ident.Worker, record lease.Record) (accepted bool) {
	entry.control.Call(func() {
		state, exists := entry.workers.Get(worker)
		if accepted = !exists || ident.Incarnation(state.GetIncarnation()) != record.Incarnation; accepted {
			entry.stopGranting(worker, record)
		}
	})
	return accepted
}

// stopGranting refuses leases to the incarnation in a worker's row while its end is being written.
// Otherwise an agent that returns in the meantime would hold a lease for tasks that start
// elsewhere. It runs on the control goroutine.
func (entry *Entry) stopGranting(worker ident.Worker, record lease.Record) {
	current := entry.grants[worker]
	if current != nil && current.incarnation == record.Incarnation && record.Granter == entry.process() {
		current.endDecided = true
	}
}

// declarationWritten records that the worker's row has the end that an operator declared. It runs
// on the control goroutine.
func (entry *Entry) declarationWritten(worker ident.Worker, incarnation ident.Incarnation) {
	entry.granter.Declare(worker, incarnation)
	if current := entry.grants[worker]; current != nil && current.endDecided && current.incarnation == incarnation {
		current.revision = 0
	}
}

// scheduleReviews sets the time of the next review of all unresponsive workers of a data centre. It
// runs on the control goroutine.
func (entry *Entry) scheduleReviews(name ident.DataCentre, nextReview clock.Time) {
	for worker, state := range entry.unresponsive {
		if state.dataCentre == name {
			state.nextReview = nextReview
			entry.unresponsive[worker] = state
		}
	}
}

// declaredLost reports whether an operator declared the worker's data centre lost and this entry
// may act on it, because it is the granter itself or the granter is not live. A live granter still
// receives the heartbeats of a worker that is not lost after all.
func (entry *Entry) declaredLost(worker ident.Worker, record lease.Record, now clock.Time) bool {
	state, ok := entry.unresponsive[worker]
	centre, _ := entry.configPublisher.Current().DataCentre(state.dataCentre)
	if !ok || !centre.Lost {
		return false
	}
	if record.Granter.Entry == entry.settings.ID {
		return true
	}
	return !slices.ContainsFunc(entry.entries.Live(now), func(peer membership.Entry) bool { return peer.ID == record.Granter.Entry })
}
