// Package cluster holds the settings of the daemons of a deployment whose state lies in a store of the
// platform.
package cluster

import (
	"errors"
	"fmt"
	"net"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are what a daemon learns from its deployment.
type Settings struct {
	Node       string
	Region     ident.Region
	DataCentre ident.DataCentre
	// Address is where the daemon's machine is reached by other daemons, without a port.
	Address string
	// SessionPort is the port on which entries serve sessions, equal on all machines.
	SessionPort int
	// Seeds are addresses of machines that may run entries, without ports.
	Seeds []string
	// Callers, Readiness and Workers are what the daemon listens on; empty means not at all.
	Callers   string
	Readiness string
	Workers   string
	// Metrics is where metrics are served.
	Metrics string
	// Store is the address of the store.
	Store string
	// StoreWrites and StoreReads are the calls a second that all daemons together may make; 0 means no limit.
	StoreWrites float64
	StoreReads  float64
	// Runtime is the address of the worker beside an agent, and Service names what it belongs to.
	Runtime string
	Service string
	// Lease is the longest time for which a worker keeps its tasks without a renewal.
	Lease clock.Millis
	// Grace is the time between the signal to stop and the kill.
	Grace clock.Millis
	// Impact is how long a standing task may be over its target through filling tasks.
	Impact clock.Millis
	// OrdersByHeartbeat reports that workers take their orders from the answers to their heartbeats.
	OrdersByHeartbeat bool
	// MemoryBytes is the most memory that the daemon may use; 0 means no limit.
	MemoryBytes int64
}

// Session returns the address on which an entry on the machine serves sessions.
func (settings Settings) Session(machine string) string {
	return net.JoinHostPort(machine, fmt.Sprint(settings.SessionPort))
}

// ErrBadSetting reports a setting that a daemon cannot work with.
type ErrBadSetting struct {
	Name   string
	Reason string
}

// Error describes the setting.
func (err ErrBadSetting) Error() string { return fmt.Sprintf("setting %s: %s", err.Name, err.Reason) }

// IsErrBadSetting reports whether err is or wraps an ErrBadSetting.
func IsErrBadSetting(err error) bool { return errors.As(err, new(ErrBadSetting)) }

// minLease is the shortest worker lease that outlasts a change of leaders.
const minLease = 2 * clock.Second

// CheckEntry reports what an entry misses as an ErrBadSetting.
func (settings Settings) CheckEntry() error {
	if err := settings.check(); err != nil {
		return err
	}
	return required([]named{{"Callers", settings.Callers}, {"Readiness", settings.Readiness}})
}

// CheckAgent reports what an agent misses as an ErrBadSetting.
func (settings Settings) CheckAgent() error {
	if err := settings.check(); err != nil {
		return err
	}
	if settings.OrdersByHeartbeat {
		return ErrBadSetting{Name: "OrdersByHeartbeat", Reason: "workers that take their orders from heartbeats are not supported"}
	}
	return required([]named{{"Workers", settings.Workers}, {"Runtime", settings.Runtime}})
}

func (settings Settings) check() error {
	if settings.SessionPort < 1 || settings.SessionPort > 65535 {
		return ErrBadSetting{Name: "SessionPort", Reason: fmt.Sprintf("%d is not a port", settings.SessionPort)}
	}
	if settings.Lease < minLease {
		return ErrBadSetting{Name: "Lease", Reason: fmt.Sprintf("%s is shorter than %s", settings.Lease, minLease)}
	}
	return required([]named{{"Node", settings.Node}, {"Address", settings.Address}, {"Store", settings.Store}})
}

type named struct{ name, value string }

func required(list []named) error {
	for _, item := range list {
		if item.value == "" {
			return ErrBadSetting{Name: item.name, Reason: "is missing"}
		}
	}
	return nil
}
