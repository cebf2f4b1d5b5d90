// Package agent implements the daemon that runs on a worker, beside its endpoint. It owns the
// capacity of the worker, the slots and the queue of the endpoint, and the lease under which the
// tasks of the worker run.
package agent

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are the identity, addresses and timings of an agent.
type Settings struct {
	Worker     ident.Worker
	Region     ident.Region
	DataCentre ident.DataCentre
	Rack       ident.Rack
	// Address is the IP address and port of the gRPC service of the agent.
	Address string
	// RuntimeAddress is the address at which entries reach the worker's runtime when the agent is
	// unresponsive.
	RuntimeAddress string
	// Balancer lists addresses through which the gRPC service of any entry can be reached.
	Balancer []string
	// Heartbeat is the interval of announcements to the home entry.
	Heartbeat clock.Millis
	// Watch is the interval at which the worker's list of tasks is read.
	Watch clock.Millis
	// CallTimeout is the timeout of each call to an entry, and of stopping all tasks.
	CallTimeout clock.Millis
	// WorkerTimeout is the timeout of each call to the worker's runtime. Calls that checkpoint or
	// stop tasks for an entry have the deadline of the entry's call instead.
	WorkerTimeout clock.Millis
	// StopMargin is how long before the end of the lease the agent checkpoints and stops its
	// tasks.
	StopMargin clock.Millis
	// Shutdown is the timeout of the graceful shutdown.
	Shutdown clock.Millis
}

// DefaultSettings returns the timings used in production. With a heartbeat of 4 s, 3 heartbeats can
// fail before the tasks of a 20 s lease are stopped.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:     4 * clock.Second,
		Watch:         500 * clock.Millisecond,
		CallTimeout:   2 * clock.Second,
		WorkerTimeout: 2 * clock.Second,
		StopMargin:    4 * clock.Second,
		Shutdown:      30 * clock.Second,
	}
}
