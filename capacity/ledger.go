// Package capacity is the agent's ledger of what its worker holds: reservations and running tasks.
// The agent is the only owner of this state, so concurrent entries cannot overcommit a worker.
package capacity

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// DefaultReservationTerm bounds how long a start can follow the reservation, and with it how long
// after a data centre was taken out a task can still start there.
const DefaultReservationTerm = 2 * clock.Second

// DefaultFenceTerm is how long the epoch of an ended task is remembered. It exceeds every deadline
// of a call, so a delayed copy of an old call cannot arrive after it.
const DefaultFenceTerm = 15 * clock.Minute

// Reservation names a reservation, which covers one or more tasks.
type Reservation string

// Settings of a ledger.
type Settings struct {
	// ReservationTerm is the longest term of a reservation; 0 means DefaultReservationTerm.
	ReservationTerm clock.Millis
	// FenceTerm is how long ended epochs are remembered; 0 means DefaultFenceTerm.
	FenceTerm clock.Millis
}

// Entry is one task in the ledger.
type Entry struct {
	Task  ident.Task
	Epoch ident.Epoch
	Size  unit.Resources
	// Reservation and Expiry are set while the task is reserved.
	Reservation Reservation
	Expiry      clock.Time
	// Running is set from the start until the end.
	Running bool
}

type fence struct {
	epoch ident.Epoch
	until clock.Time
}

// Ledger keeps reservations and running tasks within the capacity. It is not safe for concurrent
// use.
type Ledger struct {
	settings Settings
	ready    bool
	draining bool
	capacity unit.Resources
	used     unit.Resources
	entries  map[ident.Task]Entry
	fences   map[ident.Task]fence
	// ended holds the epoch of tasks that ended and whose end is not yet recorded in the table.
	ended map[ident.Task]ident.Epoch
	// expiry is the earliest expiry of any reservation, so that Expire is cheap when none is due.
	expiry clock.Time
}

// New returns a ledger that admits nothing before Rebuild.
func New(settings Settings) *Ledger {
	if settings.ReservationTerm <= 0 {
		settings.ReservationTerm = DefaultReservationTerm
	}
	if settings.FenceTerm <= 0 {
		settings.FenceTerm = DefaultFenceTerm
	}
	return &Ledger{
		settings: settings,
		entries:  make(map[ident.Task]Entry),
		fences:   make(map[ident.Task]fence),
		ended:    make(map[ident.Task]ident.Epoch),
	}
}

// Rebuild replaces the content by the worker's own list and opens the ledger: the running tasks,
// and those that ended and were not forgotten. The running tasks may exceed the capacity; nothing
// is admitted until they no longer do.
func (ledger *Ledger) Rebuild(capacity unit.Resources, running, ended []Entry, now clock.Time) {
	ledger.capacity, ledger.used = capacity, unit.Resources{}
	ledger.entries = make(map[ident.Task]Entry, len(running))
	ledger.ended = make(map[ident.Task]ident.Epoch, len(ended))
	for _, entry := range ended {
		ledger.raise(entry.Task, entry.Epoch, now)
		ledger.ended[entry.Task] = max(ledger.ended[entry.Task], entry.Epoch)
	}
	for _, entry := range running {
		if have, ok := ledger.entries[entry.Task]; ok {
			if have.Epoch >= entry.Epoch {
				continue
			}
			ledger.used = ledger.used.Sub(have.Size)
		}
		entry.Running, entry.Reservation, entry.Expiry = true, "", 0
		ledger.entries[entry.Task] = entry
		ledger.used = ledger.used.Add(entry.Size)
	}
	ledger.ready = true
}

// Ready reports whether Rebuild was called.
func (ledger *Ledger) Ready() bool { return ledger.ready }

// Resize changes the capacity. What is admitted stays, even above a smaller capacity.
func (ledger *Ledger) Resize(capacity unit.Resources) { ledger.capacity = capacity }

// Drain sets whether new reservations and starts are refused.
func (ledger *Ledger) Drain(draining bool) { ledger.draining = draining }

// Draining reports whether new reservations and starts are refused.
func (ledger *Ledger) Draining() bool { return ledger.draining }

// Capacity returns what the worker holds.
func (ledger *Ledger) Capacity() unit.Resources { return ledger.capacity }

// Used returns the sum of reserved and running sizes.
func (ledger *Ledger) Used() unit.Resources { return ledger.used }

// Free returns what can still be reserved, with no component below zero.
func (ledger *Ledger) Free() unit.Resources {
	return ledger.capacity.Sub(ledger.used).Max(unit.Resources{})
}

// Entries returns the tasks in the ledger in ascending order.
func (ledger *Ledger) Entries() []Entry {
	entries := make([]Entry, 0, len(ledger.entries))
	for _, entry := range ledger.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(first, second Entry) int {
		return cmp.Or(cmp.Compare(first.Task.Job, second.Task.Job), cmp.Compare(first.Task.Index, second.Task.Index))
	})
	return entries
}

// Reserve holds size for the task's epoch until now plus term, at most the settings' term. A
// repeated call changes nothing. A newer epoch replaces the reservation of an older one. Errors are
// ErrNotRebuilt, ErrDraining, ErrBadSize, ErrStaleEpoch, ErrHeld and ErrNoRoom.
func (ledger *Ledger) Reserve(reservation Reservation, task ident.Task, epoch ident.Epoch, size unit.Resources, term clock.Millis, now clock.Time) error {
	ledger.Expire(now)
	switch {
	case !ledger.ready:
		return ErrNotRebuilt{}
	case ledger.draining:
		return ErrDraining{}
	case size.Negative() || size.IsZero():
		return ErrBadSize{Task: task, Want: size}
	}
	if fenced, ok := ledger.fences[task]; ok && epoch <= fenced.epoch {
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: fenced.epoch}
	}
	have, held := ledger.entries[task]
	if held {
		switch {
		case have.Epoch > epoch:
			return ErrStaleEpoch{Task: task, Epoch: epoch, Have: have.Epoch}
		case !have.Running && have.Epoch == epoch && have.Reservation == reservation:
			return nil
		case have.Running || have.Epoch == epoch:
			return ErrHeld{Task: task, Epoch: have.Epoch}
		}
	}
	free := ledger.capacity.Sub(ledger.used)
	if held {
		free = free.Add(have.Size)
	}
	if !size.FitsIn(free) {
		return ErrNoRoom{Task: task, Want: size, Free: free.Max(unit.Resources{})}
	}
	if held {
		ledger.remove(have)
	}
	if term <= 0 || term > ledger.settings.ReservationTerm {
		term = ledger.settings.ReservationTerm
	}
	entry := Entry{Task: task, Epoch: epoch, Size: size, Reservation: reservation, Expiry: now.Add(term)}
	ledger.entries[task] = entry
	ledger.used = ledger.used.Add(size)
	if ledger.expiry == 0 || entry.Expiry.Before(ledger.expiry) {
		ledger.expiry = entry.Expiry
	}
	if !ledger.used.FitsIn(ledger.capacity) {
		panic(ErrInvariant{Reason: "reserved and running exceed the capacity"})
	}
	return nil
}

// Start turns the reservation into a running task. It reports already if the epoch was started
// before: it still runs, or it ended and its end is not yet recorded. A repeated start must not be
// refused then, because the caller places a refused task again. After an error other than
// ErrNotRebuilt the epoch can never start on this worker. Errors are ErrNotRebuilt, ErrDraining,
// ErrStaleEpoch, ErrNoReservation and ErrExpired.
func (ledger *Ledger) Start(reservation Reservation, task ident.Task, epoch ident.Epoch, now clock.Time) (already bool, err error) {
	if !ledger.ready {
		return false, ErrNotRebuilt{}
	}
	have, held := ledger.entries[task]
	if held && have.Running && have.Epoch == epoch {
		return true, nil
	}
	if ended, ok := ledger.ended[task]; ok && ended == epoch {
		return true, nil
	}
	if err := ledger.startable(have, held, reservation, task, epoch, now); err != nil {
		ledger.Fence(task, epoch, now)
		return false, err
	}
	have.Running, have.Reservation, have.Expiry = true, "", 0
	ledger.entries[task] = have
	return false, nil
}

func (ledger *Ledger) startable(have Entry, held bool, reservation Reservation, task ident.Task, epoch ident.Epoch, now clock.Time) error {
	if fenced, ok := ledger.fences[task]; ok && epoch <= fenced.epoch {
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: fenced.epoch}
	}
	switch {
	case held && have.Epoch > epoch:
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: have.Epoch}
	case !held || have.Running || have.Epoch != epoch || have.Reservation != reservation:
		return ErrNoReservation{Task: task, Epoch: epoch}
	case !now.Before(have.Expiry):
		return ErrExpired{Task: task, Expiry: have.Expiry, Now: now}
	case ledger.draining:
		return ErrDraining{}
	}
	return nil
}

// Release gives up the reservation of a task. A running task is not affected.
func (ledger *Ledger) Release(reservation Reservation, task ident.Task) {
	have, held := ledger.entries[task]
	if held && !have.Running && have.Reservation == reservation {
		ledger.remove(have)
	}
}

// Ended removes a running task and refuses its epoch from now on. Its end is remembered until
// Forget. It reports whether the task was running with that epoch.
func (ledger *Ledger) Ended(task ident.Task, epoch ident.Epoch, now clock.Time) bool {
	have, held := ledger.entries[task]
	running := held && have.Running && have.Epoch == epoch
	if running {
		ledger.remove(have)
		ledger.ended[task] = epoch
	}
	ledger.raise(task, epoch, now)
	return running
}

// EndedUnrecorded reports whether the epoch ran here, ended, and was not forgotten.
func (ledger *Ledger) EndedUnrecorded(task ident.Task, epoch ident.Epoch) bool {
	ended, ok := ledger.ended[task]
	return ok && ended == epoch
}

// Forget drops the memory of an ended task once its end is recorded in the table.
func (ledger *Ledger) Forget(task ident.Task, epoch ident.Epoch) {
	if ended, ok := ledger.ended[task]; ok && ended <= epoch {
		delete(ledger.ended, task)
	}
}

// Fence refuses the epoch and older ones from now on and drops their reservation, so that the
// caller can rely on the epoch never starting here. It reports whether the epoch is running, in
// which case the caller has to stop the task and call Ended.
func (ledger *Ledger) Fence(task ident.Task, epoch ident.Epoch, now clock.Time) (running bool) {
	have, held := ledger.entries[task]
	if held && !have.Running && have.Epoch <= epoch {
		ledger.remove(have)
	}
	ledger.raise(task, epoch, now)
	return held && have.Running && have.Epoch <= epoch
}

func (ledger *Ledger) raise(task ident.Task, epoch ident.Epoch, now clock.Time) {
	until := now.Add(ledger.settings.FenceTerm)
	if have, ok := ledger.fences[task]; ok && have.epoch > epoch {
		epoch = have.epoch
	}
	ledger.fences[task] = fence{epoch: epoch, until: until}
}

// Expire drops the reservations whose expiry has come and returns them in ascending order of task.
func (ledger *Ledger) Expire(now clock.Time) []Entry {
	if ledger.expiry == 0 || now.Before(ledger.expiry) {
		return nil
	}
	var expired []Entry
	next := clock.Time(0)
	for _, entry := range ledger.Entries() {
		switch {
		case entry.Running:
		case now.Before(entry.Expiry):
			if next == 0 || entry.Expiry.Before(next) {
				next = entry.Expiry
			}
		default:
			ledger.remove(entry)
			expired = append(expired, entry)
		}
	}
	ledger.expiry = next
	for task, fenced := range ledger.fences {
		if now.After(fenced.until) {
			delete(ledger.fences, task)
		}
	}
	return expired
}

func (ledger *Ledger) remove(entry Entry) {
	delete(ledger.entries, entry.Task)
	ledger.used = ledger.used.Sub(entry.Size)
	if ledger.used.Negative() {
		panic(ErrInvariant{Reason: "used is negative"})
	}
}
