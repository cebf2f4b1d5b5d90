package placement

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// claimMargin is the minimum remaining term of a reservation when its task is claimed. With less, the
// reservation may expire before the claim is committed, and the agent then refuses the start.
const claimMargin = 300 * clock.Millisecond

// pendingTransaction is the transaction that is being committed or read back. There is at most one,
// so a job's row changes either through it or through another writer, which makes it conflict.
type pendingTransaction struct {
	transaction table.Transaction
	startedAt   clock.Time
	jobs        []transactionJob
	accounts    TransactionCharges
	// unreadKeys are the rows still to be read back; rows holds those already read.
	unreadKeys  map[table.Key]struct{}
	rows        map[table.Key]table.Row
	readingBack bool
}

// transactionJob is one job row of a transaction: its new content and the number of changes it
// includes.
type transactionJob struct {
	view        *jobView
	snapshot    *job.Row
	changeCount int
	claims      []int
}

// inTransaction reports whether the job's row is part of the pending transaction.
func (scheduler *Scheduler) inTransaction(view *jobView) bool {
	if scheduler.pending == nil {
		return false
	}
	return slices.ContainsFunc(scheduler.pending.jobs, func(item transactionJob) bool { return item.view == view })
}

// commit writes the reservations and reports since the last transaction. Ended tasks are refunded
// before new claims are charged, so that a team can use its whole quota without a gap.
func (scheduler *Scheduler) commit() {
	if scheduler.pending != nil || scheduler.now.Before(scheduler.tableRetryAt) {
		return
	}
	selected := scheduler.selectJobs()
	if scheduler.readTeamsAhead(selected) {
		return
	}
	pending := &pendingTransaction{startedAt: scheduler.now, accounts: scheduler.dependencies.Accounts.Begin()}
	selected = slices.DeleteFunc(selected, func(view *jobView) bool { return !scheduler.refundEndedTasks(view, pending.accounts) })
	centres := make(map[ident.DataCentre]struct{})
	claims := 0
	for _, view := range selected {
		scheduler.rechargeClaims(view, pending.accounts)
		scheduler.claimHolds(view, pending.accounts)
		if len(view.changes) == 0 {
			continue
		}
		item := transactionJob{view: view, snapshot: view.row.Clone(), changeCount: len(view.changes), claims: sortedIndices(view.claims)}
		item.snapshot.Waited = scheduler.waitingTime(view)
		for _, index := range item.claims {
			centres[view.row.Tasks[index].Placement.DataCentre] = struct{}{}
		}
		claims += len(item.claims)
		pending.jobs = append(pending.jobs, item)
	}
	scheduler.removeCleanJobs(pending)
	if len(pending.jobs) == 0 {
		return
	}
	scheduler.pending = pending
	transaction, err := scheduler.buildTransaction(pending, centres)
	if err != nil {
		// The accounts are inconsistent. Nothing can be written before their rows are read again.
		scheduler.stats.BadRows++
		scheduler.tableRetryAt = scheduler.now.Add(scheduler.settings.Retry)
		scheduler.requeueChanges(pending, true)
		return
	}
	pending.transaction = transaction
	scheduler.stats.Transactions++
	scheduler.emit(Commit{Transaction: pending.transaction, Claims: claims})
}

// selectJobs returns the jobs of the next transaction: up to half of it for the oldest changes,
// then jobs with reservations, urgent ones first, then further changes.
func (scheduler *Scheduler) selectJobs() []*jobView {
	var selected []*jobView
	added := make(map[*jobView]bool)
	add := func(view *jobView, limit int) {
		if len(selected) < limit && !added[view] && scheduler.jobs[view.name] == view &&
			scheduler.teamView(view.row.Spec.Team).loaded && !scheduler.now.Before(view.rowRetryAt) {
			added[view] = true
			selected = append(selected, view)
		}
	}
	for _, view := range scheduler.dirty {
		add(view, (scheduler.rowLimit+1)/2)
	}
	for _, urgent := range []bool{true, false} {
		for _, name := range set.SortedKeys(scheduler.jobsWithHolds) {
			view := scheduler.jobsWithHolds[name]
			if scheduler.jobs[name] != view || (len(view.claims) == 0 && len(view.holds) == 0) {
				delete(scheduler.jobsWithHolds, name)
				continue
			}
			if view.row.Spec.Urgent == urgent {
				add(view, scheduler.rowLimit)
			}
		}
	}
	for _, view := range scheduler.dirty {
		add(view, scheduler.rowLimit)
	}
	return selected
}

// removeCleanJobs removes the jobs that are part of the transaction, or have no changes, from the
// list of dirty jobs.
func (scheduler *Scheduler) removeCleanJobs(pending *pendingTransaction) {
	for index := range pending.jobs {
		pending.jobs[index].view.dirty = false
	}
	scheduler.dirty = slices.DeleteFunc(scheduler.dirty, func(view *jobView) bool {
		if scheduler.jobs[view.name] != view || len(view.changes) == 0 {
			view.dirty = false
		}
		return !view.dirty
	})
}

// refundEndedTasks refunds the charges of placements that are in the table and have ended. It
// returns false if the team's row must be read first.
func (scheduler *Scheduler) refundEndedTasks(view *jobView, accounts TransactionCharges) bool {
	name := view.row.Spec.Team
	team := scheduler.teamView(name)
	if !team.loaded {
		return false
	}
	if len(view.changes) == 0 {
		return true
	}
	var refund unit.Resources
	for index := range view.base.Tasks {
		before, after := &view.base.Tasks[index], &view.row.Tasks[index]
		if before.State.Live() && (!after.State.Live() || after.Epoch != before.Epoch) {
			refund = refund.Add(before.Size)
		}
	}
	if refund.IsZero() {
		return true
	}
	err := accounts.Refund(name, refund, view.row.Spec.Urgent)
	switch {
	case err == nil:
		team.refundFailed = false
	case !team.refundFailed:
		// The loaded row of the team may be older than the job's.
		team.refundFailed, team.loaded = true, false
		scheduler.readRows([]table.Key{TeamKey(name)})
		return false
	default:
		// Another writer changed the account. The ends of tasks must be recorded nevertheless.
		team.refundFailed = false
		scheduler.stats.TeamRepairs++
		if err := accounts.Refund(name, refund.Min(scheduler.dependencies.Accounts.Used(name)), view.row.Spec.Urgent); err != nil {
			view.reason = "Account: " + err.Error()
		}
	}
	return true
}

// buildTransaction returns a transaction that writes the rows of the jobs and the teams, on the
// condition that these and the rows of the data centres are unchanged.
func (scheduler *Scheduler) buildTransaction(pending *pendingTransaction, centres map[ident.DataCentre]struct{}) (table.Transaction, error) {
	transaction := table.Transaction{Write: ident.Write(scheduler.newID())}
	for index := range pending.jobs {
		item := &pending.jobs[index]
		key := job.Key(item.view.name)
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: key, Revision: item.view.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: item.snapshot.Encode()})
	}
	conditions, operations, err := pending.accounts.Transaction()
	if err != nil {
		return transaction, err
	}
	transaction.Conditions = append(transaction.Conditions, conditions...)
	transaction.Operations = append(transaction.Operations, operations...)
	seen := make(map[table.Key]struct{})
	for _, name := range set.SortedKeys(centres) {
		centre := scheduler.dataCentres[name]
		if !scheduler.acceptsClaims(centre) {
			panic(ErrInvariant{Reason: "claim in data centre " + string(name) + " that is not open"})
		}
		if _, ok := seen[centre.key]; ok {
			continue
		}
		seen[centre.key] = struct{}{}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: centre.key, Revision: centre.revision})
	}
	return transaction, nil
}

// canClaim reports whether the hold can still be claimed.
func (scheduler *Scheduler) canClaim(hold *taskHold) bool {
	return hold.granted && !hold.view.row.Cancelled && hold.incarnation > hold.worker.endedIncarnation &&
		hold.incarnation == hold.worker.state.Incarnation &&
		scheduler.acceptsClaims(scheduler.dataCentres[hold.worker.state.DataCentre]) &&
		scheduler.now.Sub(hold.requestedAt) <= scheduler.settings.ReservationTerm-claimMargin
}

// chargeHold charges the hold to the team. It fails if the team's usage has grown too much since
// the task was placed.
func (scheduler *Scheduler) chargeHold(hold *taskHold, accounts TransactionCharges) bool {
	spec := &hold.view.row.Spec
	reason, ok := accounts.Admit(spec.Team, hold.size, spec.Urgent)
	if !ok {
		hold.view.reason = "Quota: " + reason
	}
	return ok
}

// rechargeClaims charges the claims that remain from a transaction that had no effect, and releases
// those that are no longer possible.
func (scheduler *Scheduler) rechargeClaims(view *jobView, accounts TransactionCharges) {
	if len(view.claims) == 0 {
		return
	}
	charged := scheduler.chargeHolds(view, view.claims, accounts)
	released := false
	for _, index := range sortedIndices(view.claims) {
		if !charged[index] {
			released = true
			scheduler.releaseHold(view.claims[index])
			delete(view.claims, index)
		}
	}
	if released {
		scheduler.rebuildRow(view)
	}
}

// chargeHolds charges the holds that can be claimed and returns their indices. For a gang it
// charges all or none.
func (scheduler *Scheduler) chargeHolds(view *jobView, holds map[int]*taskHold, accounts TransactionCharges) map[int]bool {
	charged := make(map[int]bool, len(holds))
	var total unit.Resources
	for _, index := range sortedIndices(holds) {
		hold := holds[index]
		if scheduler.canClaim(hold) && scheduler.chargeHold(hold, accounts) {
			charged[index] = true
			total = total.Add(hold.size)
		}
	}
	if !view.row.Spec.Gang || len(charged) == len(holds) {
		return charged
	}
	if !total.IsZero() {
		if err := accounts.Refund(view.row.Spec.Team, total, view.row.Spec.Urgent); err != nil {
			panic(ErrInvariant{Reason: "a charge of the same round cannot be refunded: " + err.Error()})
		}
	}
	return nil
}

// abandonTask releases the hold of a task whose reservation or claim is not in the table.
func (scheduler *Scheduler) abandonTask(view *jobView, index int) {
	if hold, ok := view.holds[index]; ok {
		delete(view.holds, index)
		scheduler.releaseHold(hold)
	}
	if hold, ok := view.claims[index]; ok {
		delete(view.claims, index)
		scheduler.releaseHold(hold)
		scheduler.rebuildRow(view)
	}
}

// claimHolds turns the job's answered reservations into claims and releases those that cannot be
// claimed.
func (scheduler *Scheduler) claimHolds(view *jobView, accounts TransactionCharges) {
	answered := make(map[int]*taskHold, len(view.holds))
	for index, hold := range view.holds {
		if hold.answered {
			answered[index] = hold
		}
	}
	// A gang waits for all answers. If a task of it was refused or has no reservation, none is
	// claimed.
	if len(answered) == 0 || (view.row.Spec.Gang && len(answered) < len(view.holds)) {
		return
	}
	var charged map[int]bool
	if !view.row.Spec.Gang || len(scheduler.waitingTasks(view)) == 0 {
		charged = scheduler.chargeHolds(view, answered, accounts)
	}
	for _, index := range sortedIndices(answered) {
		hold := answered[index]
		delete(view.holds, index)
		if !charged[index] {
			scheduler.releaseHold(hold)
			continue
		}
		view.claims[index] = hold
		claim := job.Change{
			Step: job.StepClaim, Index: index, Epoch: hold.epoch, Size: hold.size,
			Placement: job.Placement{Worker: hold.worker.name, Incarnation: hold.incarnation, DataCentre: hold.worker.state.DataCentre},
		}
		if !scheduler.applyChange(view, claim, "") {
			panic(ErrInvariant{Reason: "reserved task " + hold.task().String() + " cannot be claimed"})
		}
	}
}
