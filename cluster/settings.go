// Package cluster holds the settings of the daemons of a deployment that keeps its state in the platform's store.
package cluster

import (
	"errors"
	"fmt"
	"net"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are the settings of one daemon.
type Settings struct {
	Node       string
	Region     ident.Region
	DataCentre ident.DataCentre
	// Address is the address at which other daemons reach this machine, without a port.
	Address string
	// SessionPort is the port on which entries serve sessions. It is the same on all machines.
	SessionPort int
	// Seeds are the addresses of machines that may run entries, without ports.
	Seeds []string
	// Callers, Readiness and Workers are the addresses on which the daemon serves callers, the readiness probe
	// and the announcements of workers. It serves nothing for an empty address.
	Callers   string
	Readiness string
	Workers   string
	// Metrics is the address on which the daemon serves its metrics.
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// StoreWrites and StoreReads are the calls a second that all daemons together may make to the store; 0 means
	// no limit.
	StoreWrites float64
	StoreReads  float64
	// StoreRowBytes is the largest value of a row, in bytes; 0 means the default.
	StoreRowBytes int
	// Runtime is the address of the worker beside an agent, and Service the name of the worker's service.
	Runtime string
	Service string
	// Lease is the longest time for which a worker keeps its tasks without a renewal.
	Lease clock.Millis
	// Grace is the time that the platform leaves a daemon between the signal to stop and the kill.
	Grace clock.Millis
	// Impact is how long filling tasks may keep a serving task above its target latency.
	Impact clock.Millis
	// RemoteFactor is by how much longer a task takes on a rack that does not hold its data.
	RemoteFactor float64
	// Restore is how long a run takes to resume from a checkpoint, and StopTimeout how long it may take to stop.
	Restore     clock.Millis
	StopTimeout clock.Millis
	// OrdersByHeartbeat is set if workers take their orders from the responses to their heartbeats.
	OrdersByHeartbeat bool
	// MemoryBytes is the memory limit of the daemon; 0 means no limit.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the daemon may have; 0 means the limit of the operating system.
	Descriptors int
}

// Session returns the address, with its port, on which an entry on the machine serves sessions.
func (settings Settings) Session(machine string) string {
	return net.JoinHostPort(machine, fmt.Sprint(settings.SessionPort))
}

// ErrBadSetting reports a setting that is missing or unusable.
type ErrBadSetting struct {
	Name   string
	Reason string
}

// Error describes the setting.
func (err ErrBadSetting) Error() string { return fmt.Sprintf("setting %s: %s", err.Name, err.Reason) }

// IsErrBadSetting reports whether err is or wraps an ErrBadSetting.
func IsErrBadSetting(err error) bool { return errors.As(err, new(ErrBadSetting)) }

// minLease is the shortest worker lease that does not lapse during a change of leaders.
const minLease = 2 * clock.Second

// maxRemoteFactor is the highest factor that is taken for a setting rather than an error of the settings file.
const maxRemoteFactor = 100

// CheckEntry checks the settings of an entry. Error: ErrBadSetting.
func (settings Settings) CheckEntry() error {
	if err := settings.check(); err != nil {
		return err
	}
	return checkRequired([]namedValue{{"Callers", settings.Callers}, {"Readiness", settings.Readiness}})
}

// CheckAgent checks the settings of an agent. Error: ErrBadSetting.
func (settings Settings) CheckAgent() error {
	if err := settings.check(); err != nil {
		return err
	}
	if settings.OrdersByHeartbeat {
		return ErrBadSetting{Name: "OrdersByHeartbeat", Reason: "workers that take their orders from heartbeats are not supported"}
	}
	return checkRequired([]namedValue{{"Workers", settings.Workers}, {"Runtime", settings.Runtime}})
}

func (settings Settings) check() error {
	if settings.SessionPort < 1 || settings.SessionPort > 65535 {
		return ErrBadSetting{Name: "SessionPort", Reason: fmt.Sprintf("%d is not a port", settings.SessionPort)}
	}
	if settings.Lease < minLease {
		return ErrBadSetting{Name: "Lease", Reason: fmt.Sprintf("%s is shorter than %s", settings.Lease, minLease)}
	}
	if !(settings.RemoteFactor >= 1 && settings.RemoteFactor <= maxRemoteFactor) { // Also rejects NaN.
		return ErrBadSetting{Name: "RemoteFactor", Reason: fmt.Sprintf("%v is not between 1 and %d", settings.RemoteFactor, maxRemoteFactor)}
	}
	if settings.Restore < 0 {
		return ErrBadSetting{Name: "RestoreMs", Reason: fmt.Sprintf("%s is negative", settings.Restore)}
	}
	if settings.StopTimeout < 0 {
		return ErrBadSetting{Name: "StopTimeoutMs", Reason: fmt.Sprintf("%s is negative", settings.StopTimeout)}
	}
	return checkRequired([]namedValue{{"Node", settings.Node}, {"Address", settings.Address}, {"Store", settings.Store}})
}

type namedValue struct{ name, value string }

func checkRequired(values []namedValue) error {
	for _, value := range values {
		if value.value == "" {
			return ErrBadSetting{Name: value.name, Reason: "is missing"}
		}
	}
	return nil
}
