package lease

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// Reason is why an incarnation is certainly over, so that its tasks may be placed on other workers. The
// reasons are the conditions (a) to (d) in safety rule 3 of the design.
type Reason string

// Reasons why an incarnation is over.
const (
	// LeaseLapsed is condition (a): the term and its margin have passed since the granter's last grant.
	LeaseLapsed Reason = "LeaseLapsed"
	// NewerIncarnation is condition (b): a newer incarnation announced itself with its list of tasks.
	NewerIncarnation Reason = "NewerIncarnation"
	// HomeLeft and HomeUnresponsive are condition (c): the granter's membership row has the state Left, or it
	// was not renewed for the outage grace. A term and its margin must have passed since.
	HomeLeft         Reason = "HomeLeft"
	HomeUnresponsive Reason = "HomeSilent"
	// OperatorDeclaration is condition (d): an operator declared the worker or its data centre lost.
	OperatorDeclaration Reason = "OperatorStatement"
)

// Settings configures a Granter.
type Settings struct {
	// Term is the term of a lease; 0 means DefaultTerm.
	Term clock.Millis
	// OutageGrace is how long an entry may grant leases without renewing its membership row; 0 means
	// DefaultOutageGrace.
	OutageGrace clock.Millis
}

func (settings Settings) withDefaults() Settings {
	if settings.Term <= 0 {
		settings.Term = DefaultTerm
	}
	if settings.OutageGrace <= 0 {
		settings.OutageGrace = DefaultOutageGrace
	}
	return settings
}

// workerGrant is the state of the lease of one worker.
type workerGrant struct {
	incarnation ident.Incarnation
	// recorded is set while the table names this entry as the granter of the worker, since revision.
	recorded    bool
	revision    table.Revision
	lastGrantAt clock.Time
	// former holds the former granters that may still grant leases under an older revision. While there
	// are any, the worker may have a lease that this entry did not grant.
	former []Process
	// over is set by MarkOver and Declare, declared by Declare only.
	over, declared bool
}

// Granter is the home entry's side of the leases: it grants them and decides when they have ended. It
// is not safe for concurrent use.
//
// Condition (a) is only sound if no other entry granted a later lease. Two entries with different
// views of the membership may both act as the home entry. An entry therefore grants leases only while
// the worker's row in the table names it as the granter. It writes its name there with a
// compare-and-set before the first grant (Takeover, Record), and the write that ends an incarnation
// (End) is conditional on the same revision of the row. Every grant and heartbeat carries the
// revision, so that neither the agent nor a former granter continues a lease after the table names
// another granter.
type Granter struct {
	settings Settings
	grants   map[ident.Worker]*workerGrant
}

// NewGranter returns a granter without workers.
func NewGranter(settings Settings) *Granter {
	return &Granter{settings: settings.withDefaults(), grants: make(map[ident.Worker]*workerGrant)}
}

// Record stores that the table names this entry as the granter of the worker's incarnation since
// revision. The previous granter may have granted a lease until now, so the term counts from now. The
// former granters are those of the row. Until the agent has confirmed a grant of this entry, or all
// former granters have stopped, the end of the last lease is unknown and Lapsed is false. The errors
// are ErrFenced and, if revision is older than the recorded one, ErrNotGranter.
func (granter *Granter) Record(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision, former []Process, now clock.Time) error {
	grant, ok := granter.grants[worker]
	if ok && (incarnation < grant.incarnation || (incarnation == grant.incarnation && grant.over)) {
		return ErrFenced{Worker: worker, Incarnation: incarnation, Newest: grant.incarnation}
	}
	if ok && incarnation == grant.incarnation && revision < grant.revision {
		// The row is an old copy.
		return ErrNotGranter{Worker: worker}
	}
	if ok && incarnation == grant.incarnation {
		grant.recorded, grant.revision, grant.former = true, revision, slices.Clone(former)
		grant.lastGrantAt = max(grant.lastGrantAt, now)
		return nil
	}
	granter.grants[worker] = &workerGrant{incarnation: incarnation, recorded: true, revision: revision, former: slices.Clone(former), lastGrantAt: now}
	return nil
}

// RemoveFormer removes a former granter that grants no more leases to the worker: it replied that it
// called Suspend, or its membership row has the state Left. It may have granted its last lease at now.
func (granter *Granter) RemoveFormer(worker ident.Worker, former Process, now clock.Time) {
	grant, ok := granter.grants[worker]
	if !ok || !slices.Contains(grant.former, former) {
		return
	}
	grant.former = slices.DeleteFunc(grant.former, func(other Process) bool { return other == former })
	grant.lastGrantAt = max(grant.lastGrantAt, now)
}

// Former returns the former granters that may still grant leases to the worker.
func (granter *Granter) Former(worker ident.Worker) []Process {
	if grant, ok := granter.grants[worker]; ok {
		return slices.Clone(grant.former)
	}
	return nil
}

// Suspend stops the grants to a worker that another entry became the granter of, or that moved. Until the
// next Record, Grant refuses the worker and Lapsed is false.
func (granter *Granter) Suspend(worker ident.Worker) {
	if grant, ok := granter.grants[worker]; ok {
		grant.recorded = false
	}
}

// Grant returns the term for the reply to a heartbeat, which must also contain Revision. It must be
// called right before the reply is sent, because the term counts from now. AgentRevision is the
// revision in the heartbeat; one that is newer than that of Record shows that another entry became the
// granter. The errors are ErrFenced and ErrNotGranter.
func (granter *Granter) Grant(worker ident.Worker, incarnation ident.Incarnation, agentRevision table.Revision, now clock.Time) (clock.Millis, error) {
	grant, ok := granter.grants[worker]
	if ok && (incarnation < grant.incarnation || (incarnation == grant.incarnation && grant.over)) {
		return 0, ErrFenced{Worker: worker, Incarnation: incarnation, Newest: grant.incarnation}
	}
	if ok && agentRevision > grant.revision {
		grant.recorded = false
	}
	if !ok || !grant.recorded || incarnation > grant.incarnation {
		return 0, ErrNotGranter{Worker: worker}
	}
	if agentRevision == grant.revision {
		// The agent accepted a grant of this entry, so it refuses those of former granters.
		grant.former = nil
	}
	grant.lastGrantAt = max(grant.lastGrantAt, now)
	return granter.settings.Term, nil
}

// Revision returns the revision of the worker's row since which this entry is the granter, 0 if there
// is none.
func (granter *Granter) Revision(worker ident.Worker) table.Revision {
	if grant, ok := granter.grants[worker]; ok {
		return grant.revision
	}
	return 0
}

// Lapsed reports whether the last lease of the worker's incarnation has certainly ended, condition (a).
func (granter *Granter) Lapsed(worker ident.Worker, incarnation ident.Incarnation, now clock.Time) bool {
	grant, ok := granter.grants[worker]
	if !ok || !grant.recorded || incarnation != grant.incarnation || len(grant.former) > 0 {
		return false
	}
	term := granter.settings.Term
	return !now.Before(grant.lastGrantAt.Add(term + Margin(term)))
}

// MarkOver marks the incarnation as over because its lease lapsed; later grants are refused. It must be
// called before the end is written to the table, so that no grant can follow. The error is ErrNotOver
// if the lease has not lapsed. For the other conditions, use Declare.
func (granter *Granter) MarkOver(worker ident.Worker, incarnation ident.Incarnation, now clock.Time) error {
	if !granter.Lapsed(worker, incarnation, now) {
		return ErrNotOver{Worker: worker}
	}
	granter.grants[worker].over = true
	return nil
}

// UnmarkOver undoes MarkOver after the table refused to write the end: the row, as read at revision, names
// another granter and the incarnation is not over. It has no effect unless the revision is newer than
// that of Record. An older copy of the row would not show an end that was written but not confirmed.
// Grants need another Record, at this revision or a newer one.
func (granter *Granter) UnmarkOver(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision) {
	grant, ok := granter.grants[worker]
	if !ok || incarnation != grant.incarnation || grant.declared || revision <= grant.revision {
		return
	}
	grant.over, grant.recorded, grant.revision = false, false, revision
}

// Declare marks the incarnation as over because it is over in the table. UnmarkOver doesn't undo it.
func (granter *Granter) Declare(worker ident.Worker, incarnation ident.Incarnation) {
	grant, ok := granter.grants[worker]
	if !ok || incarnation > grant.incarnation {
		granter.grants[worker] = &workerGrant{incarnation: incarnation, over: true, declared: true}
		return
	}
	if incarnation == grant.incarnation {
		grant.over, grant.declared = true, true
	}
}

// LapsedWorkers returns, in ascending order, the workers whose lease lapsed and whose incarnation is not marked
// as over.
func (granter *Granter) LapsedWorkers(now clock.Time) []ident.Worker {
	var workers []ident.Worker
	for _, worker := range set.SortedKeys(granter.grants) {
		grant := granter.grants[worker]
		if !grant.over && granter.Lapsed(worker, grant.incarnation, now) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// Evidence is what shows that an incarnation of an unreachable worker is over. Times are on the clock
// of the entry that examines it.
type Evidence struct {
	// Lapsed is set if the granter reported that the lease lapsed, condition (a).
	Lapsed bool
	// Newest is the newest incarnation that announced itself with its complete list of tasks, 0 for none.
	Newest ident.Incarnation
	// HomeLeft is set if the membership rows of the granter and of all former ones have the state Left.
	// HomeLeftAt is when this entry first read that state in the last of these rows.
	HomeLeft   bool
	HomeLeftAt clock.Time
	// HomeRenewedAt is when this entry last saw the membership row of the granter or of a former one
	// change. The first reading of a row counts as a change. It is 0 if this entry read none of them.
	HomeRenewedAt clock.Time
	// Declared is set if an operator declared the worker or its data centre lost, condition (d).
	Declared bool
}

// Certain reports whether the incarnation is certainly over, and why. Of several reasons it returns
// the one with the strongest evidence.
func (settings Settings) Certain(incarnation ident.Incarnation, evidence Evidence, now clock.Time) (Reason, bool) {
	settings = settings.withDefaults()
	wait := settings.Term + Margin(settings.Term)
	// The fixed margin is already part of wait.
	grace := settings.OutageGrace + Margin(settings.OutageGrace) - fixedMargin
	switch {
	case evidence.Newest > incarnation:
		return NewerIncarnation, true
	case evidence.Lapsed:
		return LeaseLapsed, true
	case evidence.HomeLeft && !now.Before(evidence.HomeLeftAt.Add(wait)):
		return HomeLeft, true
	case evidence.HomeRenewedAt != 0 && !now.Before(evidence.HomeRenewedAt.Add(grace+wait)):
		return HomeUnresponsive, true
	case evidence.Declared:
		return OperatorDeclaration, true
	}
	return "", false
}
