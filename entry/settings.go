// Package entry is the daemon that serves callers and operators, schedules the jobs and grants the
// leases of the agents whose home it is.
package entry

import (
	"hyssopjunction/clock"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
)

// Settings are an entry's identity, addresses, intervals and limits.
type Settings struct {
	ID         ident.Entry
	Region     ident.Region
	DataCentre ident.DataCentre
	// ControlAddress serves gRPC and CallerAddress HTTP. Both are "IP:port", as other daemons reach
	// them.
	ControlAddress string
	CallerAddress  string
	// Regions are control addresses of entries of the other region; empty in systems with one
	// region.
	Regions []string
	// CallTimeout bounds one call to another daemon.
	CallTimeout clock.Millis
	// StopTimeout bounds a call that checkpoints or stops tasks.
	StopTimeout clock.Millis
	// Tick is the interval of the periodic work other than scheduling rounds.
	Tick clock.Millis
	// Round is the interval of scheduling rounds.
	Round clock.Millis
	// ConfigPoll is the interval at which the configuration's head is read.
	ConfigPoll clock.Millis
	// Concurrency bounds the callers' requests in flight.
	Concurrency int
	// Seed makes random choices reproducible.
	Seed       uint64
	Lease      lease.Settings
	Membership membership.Settings
	Placement  placement.Settings
	Routing    routing.Settings
	Dispatch   dispatch.Settings
	Retry      retry.Settings
	// Retention is how long the results of keyed submissions are kept.
	Retention clock.Millis
	// JobRetention is how long the rows of ended jobs are kept for operators.
	JobRetention clock.Millis
	// DefaultPatience is the patience of requests whose service sets none.
	DefaultPatience clock.Millis
	// ObjectTimeout bounds one use of the object store.
	ObjectTimeout clock.Millis
}

// DefaultSettings returns the settings used in production, without identity and addresses.
func DefaultSettings() Settings {
	return Settings{
		CallTimeout: 1500 * clock.Millisecond,
		StopTimeout: 5 * clock.Second,
		Tick:        250 * clock.Millisecond,
		Round:       250 * clock.Millisecond,
		// An agent that missed a push receives a change after a poll and a heartbeat, within 6 s.
		ConfigPoll:  2 * clock.Second,
		Concurrency: 2048,
		Seed:        1,
		Membership:  membership.DefaultSettings(),
		Routing:     routing.Defaults(),
		Dispatch:    dispatch.Defaults(),
		Retry:       retry.Defaults(),
		Retention:   clock.Day,

		JobRetention: clock.Day,

		DefaultPatience: 5 * clock.Second,
		ObjectTimeout:   5 * clock.Second,
	}
}

// withDefaults sets the settings that must agree with each other.
func (settings Settings) withDefaults() Settings {
	if settings.Lease.Term <= 0 {
		settings.Lease.Term = lease.DefaultTerm
	}
	if settings.Lease.OutageGrace <= 0 {
		settings.Lease.OutageGrace = lease.DefaultOutageGrace
	}
	settings.Membership.LeaseTermMillis = settings.Lease.Term
	settings.Membership.LeaseMarginMillis = lease.Margin(settings.Lease.Term)
	settings.Membership.OutageGraceMillis = settings.Lease.OutageGrace
	settings.Membership.Seed = settings.Seed
	settings.Placement.Round = settings.Round
	settings.Routing.DataCentre = settings.DataCentre
	settings.Routing.Seed = settings.Seed
	return settings
}
