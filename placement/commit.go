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

// claimReserve is how long before its reservation expires a task is still claimed. A claim
// committed later would be refused at the start.
const claimReserve = 300 * clock.Millisecond

// flight is the transaction that is being committed or read back. There is at most one, so a job's
// row changes only through it or through someone else's write, which makes it conflict.
type flight struct {
	transaction table.Transaction
	since       clock.Time
	jobs        []flightJob
	accounts    AccountsRound
	// missing are the rows still to be read back, and rows those that were.
	missing map[table.Key]struct{}
	rows    map[table.Key]table.Row
	reading bool
}

// flightJob is one job row of a transaction: its new content and the changes it includes.
type flightJob struct {
	view     *jobView
	snapshot *job.Row
	changes  int
	claims   []int
}

func (scheduler *Scheduler) flying(view *jobView) bool {
	if scheduler.flight == nil {
		return false
	}
	return slices.ContainsFunc(scheduler.flight.jobs, func(item flightJob) bool { return item.view == view })
}

// commit writes what agents reserved and reported since the last transaction. Ended tasks are
// refunded before new claims are charged, so that a team can use its quota without a gap.
func (scheduler *Scheduler) commit() {
	if scheduler.flight != nil || scheduler.now.Before(scheduler.tableAt) {
		return
	}
	selected := scheduler.selectJobs()
	if scheduler.readTeams(selected) {
		return
	}
	next := &flight{since: scheduler.now, accounts: scheduler.dependencies.Accounts.Begin()}
	selected = slices.DeleteFunc(selected, func(view *jobView) bool { return !scheduler.refund(view, next.accounts) })
	centres := make(map[ident.DataCentre]struct{})
	claims := 0
	for _, view := range selected {
		scheduler.reviewClaims(view, next.accounts)
		scheduler.claimJob(view, next.accounts)
		if len(view.changes) == 0 {
			continue
		}
		item := flightJob{view: view, snapshot: view.row.Clone(), changes: len(view.changes), claims: sortedIndices(view.claims)}
		item.snapshot.Waited = scheduler.waited(view)
		for _, index := range item.claims {
			centres[view.row.Tasks[index].Placement.DataCentre] = struct{}{}
		}
		claims += len(item.claims)
		next.jobs = append(next.jobs, item)
	}
	scheduler.tidyDirty(next)
	if len(next.jobs) == 0 {
		return
	}
	scheduler.flight = next
	transaction, err := scheduler.transaction(next, centres)
	if err != nil {
		// The accounts contradict themselves. Nothing can be written before their rows are read again.
		scheduler.stats.BadRows++
		scheduler.tableAt = scheduler.now.Add(scheduler.settings.Retry)
		scheduler.putBack(next, true)
		return
	}
	next.transaction = transaction
	scheduler.stats.Transactions++
	scheduler.emit(Commit{Transaction: next.transaction, Claims: claims})
}

// selectJobs returns the jobs of the next transaction: half of it for the oldest changes, then jobs
// with reservations, then further changes.
func (scheduler *Scheduler) selectJobs() []*jobView {
	var selected []*jobView
	chosen := make(map[*jobView]bool)
	add := func(view *jobView, limit int) {
		if len(selected) < limit && !chosen[view] && scheduler.jobs[view.name] == view &&
			scheduler.team(view.row.Spec.Team).known && !scheduler.now.Before(view.writeAt) {
			chosen[view] = true
			selected = append(selected, view)
		}
	}
	for _, view := range scheduler.dirty {
		add(view, (scheduler.rowLimit+1)/2)
	}
	for _, urgent := range []bool{true, false} {
		for _, name := range set.SortedKeys(scheduler.holding) {
			view := scheduler.holding[name]
			if scheduler.jobs[name] != view || (len(view.claims) == 0 && len(view.reserving) == 0) {
				delete(scheduler.holding, name)
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

// tidyDirty keeps the jobs with changes that are not part of the transaction.
func (scheduler *Scheduler) tidyDirty(next *flight) {
	for index := range next.jobs {
		next.jobs[index].view.dirty = false
	}
	scheduler.dirty = slices.DeleteFunc(scheduler.dirty, func(view *jobView) bool {
		if scheduler.jobs[view.name] != view || len(view.changes) == 0 {
			view.dirty = false
		}
		return !view.dirty
	})
}

// refund gives back the charges of placements that are in the table and have ended. It reports
// false if the team's row must be read first.
func (scheduler *Scheduler) refund(view *jobView, accounts AccountsRound) bool {
	name := view.row.Spec.Team
	team := scheduler.team(name)
	if !team.known {
		return false
	}
	if len(view.changes) == 0 {
		return true
	}
	var sum unit.Resources
	for index := range view.base.Tasks {
		was, is := &view.base.Tasks[index], &view.row.Tasks[index]
		if was.State.Live() && (!is.State.Live() || is.Epoch != was.Epoch) {
			sum = sum.Add(was.Size)
		}
	}
	if sum.IsZero() {
		return true
	}
	err := accounts.Refund(name, sum, view.row.Spec.Urgent)
	switch {
	case err == nil:
		team.doubted = false
	case !team.doubted:
		// The known row may be older than the job's.
		team.doubted, team.known = true, false
		scheduler.read([]table.Key{TeamKey(name)})
		return false
	default:
		// Someone else changed the account. It must not stop the recording of ends.
		team.doubted = false
		scheduler.stats.TeamRepairs++
		if err := accounts.Refund(name, sum.Min(scheduler.dependencies.Accounts.Used(name)), view.row.Spec.Urgent); err != nil {
			view.reason = "Account: " + err.Error()
		}
	}
	return true
}

func (scheduler *Scheduler) transaction(next *flight, centres map[ident.DataCentre]struct{}) (table.Transaction, error) {
	transaction := table.Transaction{Write: ident.Write(scheduler.name())}
	for index := range next.jobs {
		item := &next.jobs[index]
		key := job.Key(item.view.name)
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: key, Revision: item.view.revision})
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: item.snapshot.Encode()})
	}
	conditions, operations, err := next.accounts.Transaction()
	if err != nil {
		return transaction, err
	}
	transaction.Conditions = append(transaction.Conditions, conditions...)
	transaction.Operations = append(transaction.Operations, operations...)
	seen := make(map[table.Key]struct{})
	for _, name := range set.SortedKeys(centres) {
		centre := scheduler.centres[name]
		if !scheduler.claimable(centre) {
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

// valid reports whether the hold can still be claimed.
func (scheduler *Scheduler) valid(held *hold) bool {
	return held.ok && !held.view.row.Cancelled && held.incarnation > held.worker.gone &&
		held.incarnation == held.worker.state.Incarnation &&
		scheduler.claimable(scheduler.centres[held.worker.state.DataCentre]) &&
		scheduler.now.Sub(held.asked) <= scheduler.settings.ReservationTerm-claimReserve
}

// charge charges the team with the hold. The usage in the team's row may have grown since the task
// was chosen, so this can fail.
func (scheduler *Scheduler) charge(held *hold, accounts AccountsRound) bool {
	spec := &held.view.row.Spec
	reason, ok := accounts.Admit(spec.Team, held.size, spec.Urgent)
	if !ok {
		held.view.reason = "Quota: " + reason
	}
	return ok
}

// reviewClaims charges the claims left from a transaction that did not take effect, and gives up
// those that are no longer possible.
func (scheduler *Scheduler) reviewClaims(view *jobView, accounts AccountsRound) {
	if len(view.claims) == 0 {
		return
	}
	kept := scheduler.chargeAll(view, view.claims, accounts)
	dropped := false
	for _, index := range sortedIndices(view.claims) {
		if !kept[index] {
			dropped = true
			scheduler.release(view.claims[index])
			delete(view.claims, index)
		}
	}
	if dropped {
		scheduler.rebuild(view)
	}
}

// chargeAll charges the holds that can be claimed and returns their indices. Of a gang it charges
// all or none.
func (scheduler *Scheduler) chargeAll(view *jobView, holds map[int]*hold, accounts AccountsRound) map[int]bool {
	charged := make(map[int]bool, len(holds))
	var sum unit.Resources
	for _, index := range sortedIndices(holds) {
		held := holds[index]
		if scheduler.valid(held) && scheduler.charge(held, accounts) {
			charged[index] = true
			sum = sum.Add(held.size)
		}
	}
	if !view.row.Spec.Gang || len(charged) == len(holds) {
		return charged
	}
	if !sum.IsZero() {
		if err := accounts.Refund(view.row.Spec.Team, sum, view.row.Spec.Urgent); err != nil {
			panic(ErrInvariant{Reason: "a charge of the same round cannot be refunded: " + err.Error()})
		}
	}
	return nil
}

// abandon gives up a task that is reserved or claimed but not in the table.
func (scheduler *Scheduler) abandon(view *jobView, index int) {
	if held, ok := view.reserving[index]; ok {
		delete(view.reserving, index)
		scheduler.release(held)
	}
	if held, ok := view.claims[index]; ok {
		delete(view.claims, index)
		scheduler.release(held)
		scheduler.rebuild(view)
	}
}

// claimJob turns the job's reservations that agents hold into claims.
func (scheduler *Scheduler) claimJob(view *jobView, accounts AccountsRound) {
	answered := make(map[int]*hold, len(view.reserving))
	for index, held := range view.reserving {
		if held.answered {
			answered[index] = held
		}
	}
	// A gang waits for all answers. If a task was refused, or none was asked for it, none is claimed.
	if len(answered) == 0 || (view.row.Spec.Gang && len(answered) < len(view.reserving)) {
		return
	}
	var charged map[int]bool
	if !view.row.Spec.Gang || len(scheduler.waiting(view)) == 0 {
		charged = scheduler.chargeAll(view, answered, accounts)
	}
	for _, index := range sortedIndices(answered) {
		held := answered[index]
		delete(view.reserving, index)
		if !charged[index] {
			scheduler.release(held)
			continue
		}
		view.claims[index] = held
		claim := job.Change{
			Step: job.StepClaim, Index: index, Epoch: held.epoch, Size: held.size,
			Placement: job.Placement{Worker: held.worker.name, Incarnation: held.incarnation, DataCentre: held.worker.state.DataCentre},
		}
		if !scheduler.apply(view, claim, "") {
			panic(ErrInvariant{Reason: "reserved task " + held.task().String() + " cannot be claimed"})
		}
	}
}
