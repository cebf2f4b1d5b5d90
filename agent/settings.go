// Package agent is the daemon beside an endpoint and on a worker. It owns the worker's capacity,
// the endpoint's slots and queue, and the lease under which the worker's tasks run.
package agent

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings are the agent's identity and times.
type Settings struct {
	Worker     ident.Worker
	Region     ident.Region
	DataCentre ident.DataCentre
	Rack       ident.Rack
	// Address is where entries reach the agent's gRPC service (IP number and port).
	Address string
	// RuntimeAddress is where the worker's runtime is reached by entries when the agent is silent.
	RuntimeAddress string
	// Balancer are addresses through which any entry's gRPC service is reached.
	Balancer []string
	// Heartbeat is the interval of announcements to the home entry.
	Heartbeat clock.Millis
	// Watch is the interval at which the worker's own list of tasks is read.
	Watch clock.Millis
	// CallTimeout bounds each call to an entry, and the stop of all tasks.
	CallTimeout clock.Millis
	// WorkerTimeout bounds each call to the worker's runtime, other than those that checkpoint or stop
	// tasks for an entry, which that call's deadline bounds.
	WorkerTimeout clock.Millis
	// StopMargin is how long before the lease lapses the agent checkpoints and stops its tasks.
	StopMargin clock.Millis
	// Shutdown bounds the graceful shutdown.
	Shutdown clock.Millis
}

// DefaultSettings returns the times used in production. The heartbeat of 4 s lets 3
// heartbeats fail before the tasks of a 20 s lease are stopped.
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
