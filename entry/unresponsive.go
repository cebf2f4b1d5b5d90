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

// silentReview is how often the row of a silent worker is read. It is the way to learn of an ended
// incarnation when the exchanges that said so were missed or when its granter is gone.
const silentReview = 10 * clock.Second

// silence is a worker that was not heard of in time.
type silence struct {
	due clock.Time
	// dataCentre is that which the worker announced last.
	dataCentre ident.DataCentre
}

// reviewSilent reads the rows of silent workers and ends the incarnations whose granter can
// certainly not have a lease in force.
func (entry *Entry) reviewSilent() {
	var due []ident.Worker
	entry.control.Call(func() {
		now := entry.time.Now()
		for _, worker := range set.SortedKeys(entry.silent) {
			known := entry.silent[worker]
			if !now.Before(known.due) {
				known.due = now.Add(silentReview)
				entry.silent[worker] = known
				due = append(due, worker)
			}
		}
	})
	inParallel(due, entry.reviewWorker)
}

func (entry *Entry) reviewWorker(worker ident.Worker) {
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	row, err := entry.store.Get(ctx, lease.Key(worker))
	if err != nil {
		return
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		klog.ErrorS(err, "Silent worker cannot be reviewed", "Worker", worker)
		return
	}
	if record.Over >= record.Incarnation {
		entry.control.Call(func() { entry.silentEnded(worker, record.Over, record.Reason) })
		return
	}
	reason := entry.overBecause(worker, record)
	if reason == "" {
		return
	}
	if err := entry.endIncarnation(ctx, row, worker, record.Incarnation, reason); err != nil {
		klog.V(1).InfoS("End of incarnation was not written", "Worker", worker, "Reason", err.Error())
		return
	}
	entry.control.Call(func() {
		if reason == lease.OperatorStatement {
			entry.statementWritten(worker, record.Incarnation)
		}
		entry.silentEnded(worker, record.Incarnation, reason)
	})
}

// overBecause returns why the incarnation in a silent worker's row is over, empty if it may not be.
func (entry *Entry) overBecause(worker ident.Worker, record lease.Record) (reason lease.Reason) {
	entry.control.Call(func() {
		now := entry.time.Now()
		switch {
		case entry.stated(worker, record, now):
			reason = lease.OperatorStatement
			entry.stopGranting(worker, record)
		case entry.allGone(record, now):
			reason = lease.HomeSilent
		}
	})
	return reason
}

func (entry *Entry) silentEnded(worker ident.Worker, incarnation ident.Incarnation, reason lease.Reason) {
	delete(entry.silent, worker)
	entry.incarnationEnded(worker, incarnation, reason)
}

// allGone reports whether neither the granter in the row nor a former one can have a lease in force.
func (entry *Entry) allGone(record lease.Record, now clock.Time) bool {
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

// workerSeen tells the scheduler the newest state of a worker.
func (entry *Entry) workerSeen(worker ident.Worker) {
	state, ok := entry.workers.Get(worker)
	if !ok {
		return
	}
	delete(entry.silent, worker)
	entry.handle(placement.WorkerChanged{State: entry.placementState(state)})
}

// workerSilent tells the scheduler that a worker was not heard of in time.
func (entry *Entry) workerSilent(worker ident.Worker) {
	klog.InfoS("Worker is silent", "Worker", worker)
	delete(entry.residents, worker)
	delete(entry.inForce.applied, worker)
	entry.learned.pairs.ForgetWorker(worker)
	entry.learned.governor.Forget(worker)
	if _, ok := entry.silent[worker]; !ok {
		silent := silence{due: entry.time.Now().Add(silentReview)}
		for _, known := range entry.view.Current().Workers {
			// The worker is in the published view until the next refresh.
			if known.ID == worker {
				silent.dataCentre = known.Place.DataCentre
			}
		}
		if centre, _ := entry.publisher.Current().DataCentre(silent.dataCentre); centre.Lost {
			silent.due = entry.time.Now()
		}
		entry.silent[worker] = silent
	}
	entry.handle(placement.WorkerSilent{Worker: worker})
}

// acceptLoss reports whether an operator may state that the incarnation in a worker's row is over. It
// may not while the incarnation announces itself here or at its home.
func (entry *Entry) acceptLoss(worker ident.Worker, record lease.Record) (accepted bool) {
	entry.control.Call(func() {
		state, known := entry.workers.Get(worker)
		if accepted = !known || ident.Incarnation(state.GetIncarnation()) != record.Incarnation; accepted {
			entry.stopGranting(worker, record)
		}
	})
	return accepted
}

// stopGranting refuses leases to the incarnation in a worker's row while its end is being written. An
// agent that returns in between would otherwise hold a lease for tasks that start elsewhere. It runs on
// the control goroutine.
func (entry *Entry) stopGranting(worker ident.Worker, record lease.Record) {
	current := entry.grants[worker]
	if current != nil && current.incarnation == record.Incarnation && record.Granter == entry.process() {
		current.ending = true
	}
}

// statementWritten notes that the worker's row says, by an operator's statement, that the incarnation is
// over. It runs on the control goroutine.
func (entry *Entry) statementWritten(worker ident.Worker, incarnation ident.Incarnation) {
	entry.granter.Declare(worker, incarnation)
	if current := entry.grants[worker]; current != nil && current.ending && current.incarnation == incarnation {
		current.revision = 0
	}
}

// reviewAt makes the silent workers of a data centre due for review. It is called from the control
// goroutine.
func (entry *Entry) reviewAt(name ident.DataCentre, due clock.Time) {
	for worker, known := range entry.silent {
		if known.dataCentre == name {
			known.due = due
			entry.silent[worker] = known
		}
	}
}

// stated reports whether an operator stated that the worker's data centre is lost and this entry may
// act on it: it is the granter itself or does not hear of the granter. A worker that its live granter
// still hears of is in fact not lost.
func (entry *Entry) stated(worker ident.Worker, record lease.Record, now clock.Time) bool {
	known, silent := entry.silent[worker]
	centre, _ := entry.publisher.Current().DataCentre(known.dataCentre)
	if !silent || !centre.Lost {
		return false
	}
	if record.Granter.Entry == entry.settings.ID {
		return true
	}
	return !slices.ContainsFunc(entry.entries.Live(now), func(live membership.Entry) bool { return live.ID == record.Granter.Entry })
}
