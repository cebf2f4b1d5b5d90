package capacity

import (
	"errors"
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// isErr reports whether err is or wraps an error of type Kind.
func isErr[Kind error](err error) bool {
	var target Kind
	return errors.As(err, &target)
}

// ErrNotRebuilt reports that Rebuild was not called yet, so the running tasks are unknown.
type ErrNotRebuilt struct{}

// Error implements the error interface.
func (err ErrNotRebuilt) Error() string { return "ledger is not rebuilt from the worker's list" }

// IsErrNotRebuilt reports whether err is or wraps an ErrNotRebuilt.
func IsErrNotRebuilt(err error) bool { return isErr[ErrNotRebuilt](err) }

// ErrDraining reports that the worker is draining and takes no new tasks.
type ErrDraining struct{}

// Error implements the error interface.
func (err ErrDraining) Error() string { return "worker is draining" }

// IsErrDraining reports whether err is or wraps an ErrDraining.
func IsErrDraining(err error) bool { return isErr[ErrDraining](err) }

// ErrNoRoom reports a task that needs more resources than are free.
type ErrNoRoom struct {
	Task ident.Task
	Want unit.Resources
	Free unit.Resources
}

// Error implements the error interface.
func (err ErrNoRoom) Error() string {
	return fmt.Sprintf("task %s needs %s, free is %s", err.Task, err.Want, err.Free)
}

// IsErrNoRoom reports whether err is or wraps an ErrNoRoom.
func IsErrNoRoom(err error) bool { return isErr[ErrNoRoom](err) }

// ErrBadSize reports a reservation whose size is zero or negative.
type ErrBadSize struct {
	Task ident.Task
	Want unit.Resources
}

// Error implements the error interface.
func (err ErrBadSize) Error() string { return fmt.Sprintf("task %s asks for %s", err.Task, err.Want) }

// IsErrBadSize reports whether err is or wraps an ErrBadSize.
func IsErrBadSize(err error) bool { return isErr[ErrBadSize](err) }

// ErrStaleEpoch reports an epoch that is fenced or older than the one in the ledger. Have is the newest
// epoch in the ledger or the fenced one.
type ErrStaleEpoch struct {
	Task  ident.Task
	Epoch ident.Epoch
	Have  ident.Epoch
}

// Error implements the error interface.
func (err ErrStaleEpoch) Error() string {
	return fmt.Sprintf("epoch %d of task %s is over, ledger has %d", err.Epoch, err.Task, err.Have)
}

// IsErrStaleEpoch reports whether err is or wraps an ErrStaleEpoch.
func IsErrStaleEpoch(err error) bool { return isErr[ErrStaleEpoch](err) }

// ErrHeld reports a task that runs here already or has another reservation.
type ErrHeld struct {
	Task  ident.Task
	Epoch ident.Epoch
}

// Error implements the error interface.
func (err ErrHeld) Error() string {
	return fmt.Sprintf("task %s is already held with epoch %d", err.Task, err.Epoch)
}

// IsErrHeld reports whether err is or wraps an ErrHeld.
func IsErrHeld(err error) bool { return isErr[ErrHeld](err) }

// ErrNoReservation reports a start without a matching reservation of the task and the epoch.
type ErrNoReservation struct {
	Task  ident.Task
	Epoch ident.Epoch
}

// Error implements the error interface.
func (err ErrNoReservation) Error() string {
	return fmt.Sprintf("no reservation for task %s epoch %d", err.Task, err.Epoch)
}

// IsErrNoReservation reports whether err is or wraps an ErrNoReservation.
func IsErrNoReservation(err error) bool { return isErr[ErrNoReservation](err) }

// ErrExpired reports a start after the reservation expired.
type ErrExpired struct {
	Task   ident.Task
	Expiry clock.Time
	Now    clock.Time
}

// Error implements the error interface.
func (err ErrExpired) Error() string {
	return fmt.Sprintf("reservation of task %s expired %s ago", err.Task, err.Now.Sub(err.Expiry))
}

// IsErrExpired reports whether err is or wraps an ErrExpired.
func IsErrExpired(err error) bool { return isErr[ErrExpired](err) }

// ErrInvariant is the panic value when the ledger breaks an invariant, which is a fault of this
// package.
type ErrInvariant struct{ Reason string }

// Error implements the error interface.
func (err ErrInvariant) Error() string { return "ledger invariant broken: " + err.Reason }

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool { return isErr[ErrInvariant](err) }
