// Package capacity implements the agent's ledger of the reservations and the running tasks of its
// worker. Only the agent changes the ledger, so concurrent entries can't overcommit the worker.
package capacity

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// DefaultReservationTerm is the maximum time between the reservation and the start of a task. It also
// bounds how long tasks can still start in a data centre after it was taken out of service.
const DefaultReservationTerm = 2 * clock.Second

// DefaultFenceTerm is how long fenced epochs are kept. It exceeds the deadline of every call, so that a
// delayed copy of an old call can't start a task after its epoch ended.
const DefaultFenceTerm = 15 * clock.Minute

// Reservation is the id of a reservation, which covers one or more tasks.
type Reservation string

// Settings configures a Ledger.
type Settings struct {
	// ReservationTerm is the maximum term of a reservation; 0 means DefaultReservationTerm.
	ReservationTerm clock.Millis
	// FenceTerm is how long fenced epochs are kept; 0 means DefaultFenceTerm.
	FenceTerm clock.Millis
}

// Entry is a reserved or running task.
type Entry struct {
	Task  ident.Task
	Epoch ident.Epoch
	Size  unit.Resources
	// Reservation and Expiry are set until the task starts.
	Reservation Reservation
	Expiry      clock.Time
	// Running is set once the task has started.
	Running bool
}

// fence refuses an epoch of a task and older ones.
type fence struct {
	epoch ident.Epoch
	until clock.Time
}

// Ledger keeps the reservations and the running tasks of a worker within its capacity. It is not safe
// for concurrent use.
type Ledger struct {
	settings Settings
	// ready is set by Rebuild.
	ready    bool
	draining bool
	capacity unit.Resources
	// used is the total size of the entries.
	used    unit.Resources
	entries map[ident.Task]Entry
	fences  map[ident.Task]fence
	// ended holds the epochs of tasks that ended and whose end is not yet recorded in the table.
	ended map[ident.Task]ident.Epoch
	// earliestExpiry is at or before the earliest expiry of a reservation. Expire returns at once before
	// it, or if it is 0 because there are no reservations.
	earliestExpiry clock.Time
}

// New returns a ledger that refuses all reservations and starts until Rebuild is called.
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

// Rebuild replaces the content of the ledger by the worker's own list: its running tasks, and those
// that ended and whose end is not yet recorded. The running tasks may exceed the capacity; nothing is
// reserved until they fit.
func (ledger *Ledger) Rebuild(capacity unit.Resources, running, ended []Entry, now clock.Time) {
	ledger.capacity, ledger.used = capacity, unit.Resources{}
	ledger.entries = make(map[ident.Task]Entry, len(running))
	ledger.ended = make(map[ident.Task]ident.Epoch, len(ended))
	for _, entry := range ended {
		ledger.raiseFence(entry.Task, entry.Epoch, now)
		ledger.ended[entry.Task] = max(ledger.ended[entry.Task], entry.Epoch)
	}
	for _, entry := range running {
		if other, ok := ledger.entries[entry.Task]; ok {
			if other.Epoch >= entry.Epoch {
				continue
			}
			ledger.used = ledger.used.Sub(other.Size)
		}
		entry.Running, entry.Reservation, entry.Expiry = true, "", 0
		ledger.entries[entry.Task] = entry
		ledger.used = ledger.used.Add(entry.Size)
	}
	ledger.ready = true
}

// Ready reports whether Rebuild was called.
func (ledger *Ledger) Ready() bool { return ledger.ready }

// Resize changes the capacity. Reservations and running tasks stay, even if they exceed it.
func (ledger *Ledger) Resize(capacity unit.Resources) { ledger.capacity = capacity }

// Drain sets whether new reservations and starts are refused.
func (ledger *Ledger) Drain(draining bool) { ledger.draining = draining }

// Draining reports whether new reservations and starts are refused.
func (ledger *Ledger) Draining() bool { return ledger.draining }

// Capacity returns the capacity of the worker.
func (ledger *Ledger) Capacity() unit.Resources { return ledger.capacity }

// Used returns the total size of the reserved and running tasks.
func (ledger *Ledger) Used() unit.Resources { return ledger.used }

// Free returns the resources that can still be reserved. No component is negative.
func (ledger *Ledger) Free() unit.Resources {
	return ledger.capacity.Sub(ledger.used).Max(unit.Resources{})
}

// Entries returns the reserved and running tasks in ascending order of task.
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

// Reserve reserves size for the task's epoch until now plus term. A term that is not positive or
// exceeds Settings.ReservationTerm is replaced by it. A repeated call changes nothing. A newer epoch
// replaces the reservation of an older one. The errors are ErrNotRebuilt, ErrDraining, ErrBadSize,
// ErrStaleEpoch, ErrHeld and ErrNoRoom.
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
	if fence, ok := ledger.fences[task]; ok && epoch <= fence.epoch {
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: fence.epoch}
	}
	old, exists := ledger.entries[task]
	if exists {
		switch {
		case old.Epoch > epoch:
			return ErrStaleEpoch{Task: task, Epoch: epoch, Have: old.Epoch}
		case !old.Running && old.Epoch == epoch && old.Reservation == reservation:
			return nil
		case old.Running || old.Epoch == epoch:
			return ErrHeld{Task: task, Epoch: old.Epoch}
		}
	}
	free := ledger.capacity.Sub(ledger.used)
	if exists {
		free = free.Add(old.Size)
	}
	if !size.FitsIn(free) {
		return ErrNoRoom{Task: task, Want: size, Free: free.Max(unit.Resources{})}
	}
	if exists {
		ledger.remove(old)
	}
	if term <= 0 || term > ledger.settings.ReservationTerm {
		term = ledger.settings.ReservationTerm
	}
	entry := Entry{Task: task, Epoch: epoch, Size: size, Reservation: reservation, Expiry: now.Add(term)}
	ledger.entries[task] = entry
	ledger.used = ledger.used.Add(size)
	if ledger.earliestExpiry == 0 || entry.Expiry.Before(ledger.earliestExpiry) {
		ledger.earliestExpiry = entry.Expiry
	}
	if !ledger.used.FitsIn(ledger.capacity) {
		panic(ErrInvariant{Reason: "reserved and running exceed the capacity"})
	}
	return nil
}

// Start turns the reservation into a running task. It returns alreadyStarted if the epoch was started
// before and still runs, or ended and its end is not yet recorded. Such a repeated start is not
// refused, because the caller places refused tasks again. After any error but ErrNotRebuilt the epoch
// is fenced and can't start on this worker. The errors are ErrNotRebuilt, ErrDraining, ErrStaleEpoch,
// ErrNoReservation and ErrExpired.
func (ledger *Ledger) Start(reservation Reservation, task ident.Task, epoch ident.Epoch, now clock.Time) (alreadyStarted bool, err error) {
	if !ledger.ready {
		return false, ErrNotRebuilt{}
	}
	entry, exists := ledger.entries[task]
	if exists && entry.Running && entry.Epoch == epoch {
		return true, nil
	}
	if endedEpoch, ok := ledger.ended[task]; ok && endedEpoch == epoch {
		return true, nil
	}
	if err := ledger.checkStart(entry, exists, reservation, task, epoch, now); err != nil {
		ledger.Fence(task, epoch, now)
		return false, err
	}
	entry.Running, entry.Reservation, entry.Expiry = true, "", 0
	ledger.entries[task] = entry
	return false, nil
}

// checkStart returns the error for which a start must be refused. The entry is that of the task if
// exists is set.
func (ledger *Ledger) checkStart(entry Entry, exists bool, reservation Reservation, task ident.Task, epoch ident.Epoch, now clock.Time) error {
	if fence, ok := ledger.fences[task]; ok && epoch <= fence.epoch {
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: fence.epoch}
	}
	switch {
	case exists && entry.Epoch > epoch:
		return ErrStaleEpoch{Task: task, Epoch: epoch, Have: entry.Epoch}
	case !exists || entry.Running || entry.Epoch != epoch || entry.Reservation != reservation:
		return ErrNoReservation{Task: task, Epoch: epoch}
	case !now.Before(entry.Expiry):
		return ErrExpired{Task: task, Expiry: entry.Expiry, Now: now}
	case ledger.draining:
		return ErrDraining{}
	}
	return nil
}

// Release removes the reservation of a task. It has no effect on a running task.
func (ledger *Ledger) Release(reservation Reservation, task ident.Task) {
	entry, exists := ledger.entries[task]
	if exists && !entry.Running && entry.Reservation == reservation {
		ledger.remove(entry)
	}
}

// Ended removes a running task and fences its epoch. The end is kept until RemoveEnded. It reports whether
// the task was running with that epoch.
func (ledger *Ledger) Ended(task ident.Task, epoch ident.Epoch, now clock.Time) bool {
	entry, exists := ledger.entries[task]
	running := exists && entry.Running && entry.Epoch == epoch
	if running {
		ledger.remove(entry)
		ledger.ended[task] = epoch
	}
	ledger.raiseFence(task, epoch, now)
	return running
}

// EndedUnrecorded reports whether the epoch ran here and ended, and its end is not yet recorded.
func (ledger *Ledger) EndedUnrecorded(task ident.Task, epoch ident.Epoch) bool {
	endedEpoch, ok := ledger.ended[task]
	return ok && endedEpoch == epoch
}

// RemoveEnded removes an ended task after its end was recorded in the table.
func (ledger *Ledger) RemoveEnded(task ident.Task, epoch ident.Epoch) {
	if endedEpoch, ok := ledger.ended[task]; ok && endedEpoch <= epoch {
		delete(ledger.ended, task)
	}
}

// Fence refuses the epoch and older ones from now on and removes their reservation, so that the epoch
// can't start here any more. It reports whether the epoch, or an older one, is running; the caller must
// then stop the task and call Ended.
func (ledger *Ledger) Fence(task ident.Task, epoch ident.Epoch, now clock.Time) (running bool) {
	entry, exists := ledger.entries[task]
	if exists && !entry.Running && entry.Epoch <= epoch {
		ledger.remove(entry)
	}
	ledger.raiseFence(task, epoch, now)
	return exists && entry.Running && entry.Epoch <= epoch
}

// raiseFence fences the epoch, unless a newer one is fenced, and restarts the term of the fence.
func (ledger *Ledger) raiseFence(task ident.Task, epoch ident.Epoch, now clock.Time) {
	until := now.Add(ledger.settings.FenceTerm)
	if old, ok := ledger.fences[task]; ok && old.epoch > epoch {
		epoch = old.epoch
	}
	ledger.fences[task] = fence{epoch: epoch, until: until}
}

// Expire removes the expired reservations and returns them in ascending order of task. With them it
// removes the fences whose term has passed.
func (ledger *Ledger) Expire(now clock.Time) []Entry {
	if ledger.earliestExpiry == 0 || now.Before(ledger.earliestExpiry) {
		return nil
	}
	var expired []Entry
	earliest := clock.Time(0)
	for _, entry := range ledger.Entries() {
		switch {
		case entry.Running:
		case now.Before(entry.Expiry):
			if earliest == 0 || entry.Expiry.Before(earliest) {
				earliest = entry.Expiry
			}
		default:
			ledger.remove(entry)
			expired = append(expired, entry)
		}
	}
	ledger.earliestExpiry = earliest
	for task, fence := range ledger.fences {
		if now.After(fence.until) {
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
