package lease

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// Reason tells why an incarnation is certainly over, see safety rule 3 of the design.
type Reason string

// Reasons to place again.
const (
	// LeaseLapsed is condition (a): the last grant plus term plus margin has passed here.
	LeaseLapsed Reason = "LeaseLapsed"
	// NewerIncarnation is condition (b): a newer incarnation announced itself with its list.
	NewerIncarnation Reason = "NewerIncarnation"
	// HomeLeft and HomeSilent are condition (c): the granting entry's row says Left, or was not
	// renewed for the outage grace, and a term plus margin has passed since.
	HomeLeft   Reason = "HomeLeft"
	HomeSilent Reason = "HomeSilent"
	// OperatorStatement is condition (d).
	OperatorStatement Reason = "OperatorStatement"
)

// Settings of a granter.
type Settings struct {
	// Term of a lease; 0 means DefaultTerm.
	Term clock.Millis
	// OutageGrace is how long a home may grant without renewing its row; 0 means DefaultOutageGrace.
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

type grant struct {
	incarnation ident.Incarnation
	// recorded is set while the table names this entry as the granter of the worker, at revision.
	recorded bool
	revision table.Revision
	last     clock.Time
	// former are the entries that may still be granting under an older revision. While there are any,
	// the worker may hold a lease that this entry does not know of.
	former []Process
	// over is set by Over and Declare, declared by Declare alone.
	over, declared bool
}

// Granter is the home's side of the leases. It is not safe for concurrent use.
//
// Condition (a) is only sound if no other entry granted a later lease. Two entries with different
// views of the membership can both believe they are the home, so an entry grants only while the
// table names it as the granter of the worker: it records itself with a compare-and-set write before
// the first grant (Record), and the write that ends an incarnation must hold on the same revision.
// The revision travels with every grant and heartbeat, so that neither the agent nor a former granter
// continues a lease that the table gave to someone else.
type Granter struct {
	settings Settings
	grants   map[ident.Worker]*grant
}

// NewGranter returns a granter without workers.
func NewGranter(settings Settings) *Granter {
	return &Granter{settings: settings.withDefaults(), grants: make(map[ident.Worker]*grant)}
}

// Record notes that the table names this entry as granter of the worker's incarnation since
// revision. The previous granter may have granted until now, so the grant is taken to be as young as
// possible. Former is that of the row: until the agent has confirmed a grant of this entry, or each
// of them has stopped, this entry cannot tell when the last lease ends. Errors are ErrFenced and, for an
// old copy of the row, ErrNotGranter.
func (granter *Granter) Record(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision, former []Process, now clock.Time) error {
	have, ok := granter.grants[worker]
	if ok && (incarnation < have.incarnation || (incarnation == have.incarnation && have.over)) {
		return ErrFenced{Worker: worker, Incarnation: incarnation, Have: have.incarnation}
	}
	if ok && incarnation == have.incarnation && revision < have.revision {
		// The row was read from an old copy.
		return ErrNotGranter{Worker: worker}
	}
	if ok && incarnation == have.incarnation {
		have.recorded, have.revision, have.former = true, revision, slices.Clone(former)
		have.last = max(have.last, now)
		return nil
	}
	granter.grants[worker] = &grant{incarnation: incarnation, recorded: true, revision: revision, former: slices.Clone(former), last: now}
	return nil
}

// Stopped notes that a former granter is known to grant no more leases to the worker: it answered
// that it called Lose, or its row says Left. Its last grant may be as young as now.
func (granter *Granter) Stopped(worker ident.Worker, former Process, now clock.Time) {
	have, ok := granter.grants[worker]
	if !ok || !slices.Contains(have.former, former) {
		return
	}
	have.former = slices.DeleteFunc(have.former, func(other Process) bool { return other == former })
	have.last = max(have.last, now)
}

// Former returns the former granters that may still be granting to the worker.
func (granter *Granter) Former(worker ident.Worker) []Process {
	if have, ok := granter.grants[worker]; ok {
		return slices.Clone(have.former)
	}
	return nil
}

// Lose notes that the table names another entry as granter, or that the worker moved. Grants are
// refused until the next Record, and this entry makes no statement about the worker.
func (granter *Granter) Lose(worker ident.Worker) {
	if have, ok := granter.grants[worker]; ok {
		have.recorded = false
	}
}

// Grant returns the term to put in the reply to a heartbeat, together with Revision. It must be
// called right before the reply is sent, because the home counts from then. Seen is the revision in
// the heartbeat; a newer one than that of Record shows that another entry took the worker over.
// Errors are ErrFenced and ErrNotGranter.
func (granter *Granter) Grant(worker ident.Worker, incarnation ident.Incarnation, seen table.Revision, now clock.Time) (clock.Millis, error) {
	have, ok := granter.grants[worker]
	if ok && (incarnation < have.incarnation || (incarnation == have.incarnation && have.over)) {
		return 0, ErrFenced{Worker: worker, Incarnation: incarnation, Have: have.incarnation}
	}
	if ok && seen > have.revision {
		have.recorded = false
	}
	if !ok || !have.recorded || incarnation > have.incarnation {
		return 0, ErrNotGranter{Worker: worker}
	}
	if seen == have.revision {
		// The agent took a grant of this entry and refuses those of former ones.
		have.former = nil
	}
	have.last = max(have.last, now)
	return granter.settings.Term, nil
}

// Revision returns the revision of the worker's row at which this entry became its granter.
func (granter *Granter) Revision(worker ident.Worker) table.Revision {
	if have, ok := granter.grants[worker]; ok {
		return have.revision
	}
	return 0
}

// Lapsed reports condition (a) for the worker's incarnation.
func (granter *Granter) Lapsed(worker ident.Worker, incarnation ident.Incarnation, now clock.Time) bool {
	have, ok := granter.grants[worker]
	if !ok || !have.recorded || incarnation != have.incarnation || len(have.former) > 0 {
		return false
	}
	term := granter.settings.Term
	return !now.Before(have.last.Add(term + Margin(term)))
}

// Over notes the decision that the incarnation is over and refuses every later grant of it. It must
// be called before the decision is written, so that no grant can follow. The error is ErrNotOver
// unless the incarnation lapsed; use Declare for the other conditions.
func (granter *Granter) Over(worker ident.Worker, incarnation ident.Incarnation, now clock.Time) error {
	if !granter.Lapsed(worker, incarnation, now) {
		return ErrNotOver{Worker: worker}
	}
	granter.grants[worker].over = true
	return nil
}

// Resume takes back Over after the table refused the end: at revision the row names another granter
// and does not say that the incarnation is over. It has no effect unless that is later than Record,
// because an end that was written without an answer may follow an earlier one. Grants need another
// Record, at that revision or later.
func (granter *Granter) Resume(worker ident.Worker, incarnation ident.Incarnation, revision table.Revision) {
	have, ok := granter.grants[worker]
	if !ok || incarnation != have.incarnation || have.declared || revision <= have.revision {
		return
	}
	have.over, have.recorded, have.revision = false, false, revision
}

// Declare notes that the table says that the incarnation is over.
func (granter *Granter) Declare(worker ident.Worker, incarnation ident.Incarnation) {
	have, ok := granter.grants[worker]
	if !ok || incarnation > have.incarnation {
		granter.grants[worker] = &grant{incarnation: incarnation, over: true, declared: true}
		return
	}
	if incarnation == have.incarnation {
		have.over, have.declared = true, true
	}
}

// Due returns the workers whose incarnation lapsed and is not yet declared over, in ascending order.
func (granter *Granter) Due(now clock.Time) []ident.Worker {
	var due []ident.Worker
	for _, worker := range set.SortedKeys(granter.grants) {
		have := granter.grants[worker]
		if !have.over && granter.Lapsed(worker, have.incarnation, now) {
			due = append(due, worker)
		}
	}
	return due
}

// Evidence is what an entry knows about the incarnation of an unreachable worker.
type Evidence struct {
	// Lapsed is the statement of the recorded granter, condition (a).
	Lapsed bool
	// Newest is the newest incarnation that announced itself with its complete list, 0 for none.
	Newest ident.Incarnation
	// HomeLeft is set if the rows of the granting entry and of all former ones say Left. HomeLeftAt is
	// when this entry first read that of the last one, on its own clock.
	HomeLeft   bool
	HomeLeftAt clock.Time
	// HomeRenewedAt is when this entry last saw the revision of the row of the granting entry or a
	// former one change, or first read one, on its own clock; 0 if it read none.
	HomeRenewedAt clock.Time
	// Stated is set if an operator stated that the worker or its data centre is lost.
	Stated bool
}

// Certain reports whether the incarnation is certainly over and why. The weakest evidence is
// considered last, so that the reason in logs is the strongest one.
func (settings Settings) Certain(incarnation ident.Incarnation, evidence Evidence, now clock.Time) (Reason, bool) {
	settings = settings.withDefaults()
	wait := settings.Term + Margin(settings.Term)
	grace := settings.OutageGrace + Margin(settings.OutageGrace) - fixedMargin
	switch {
	case evidence.Newest > incarnation:
		return NewerIncarnation, true
	case evidence.Lapsed:
		return LeaseLapsed, true
	case evidence.HomeLeft && !now.Before(evidence.HomeLeftAt.Add(wait)):
		return HomeLeft, true
	case evidence.HomeRenewedAt != 0 && !now.Before(evidence.HomeRenewedAt.Add(grace+wait)):
		return HomeSilent, true
	case evidence.Stated:
		return OperatorStatement, true
	}
	return "", false
}
