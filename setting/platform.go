package setting

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Table configures the client of the platform's table service.
type Table struct {
	URL             string       `kind:"url" default:"http://127.0.0.1:7000" doc:"Address of the table service"`
	TimeoutMillis   clock.Millis `default:"2000" min:"10" max:"60000" doc:"Time after which a call counts as failed"`
	ReadsPerSecond  float64      `default:"900" min:"0.1" max:"2000" doc:"Most reads a second of all entries together, divided among the live ones"`
	WritesPerSecond float64      `default:"200" min:"0.1" max:"500" doc:"Most writes a second of all entries together, divided among the live ones"`
	GroupMillis     clock.Millis `default:"20" min:"0" max:"1000" doc:"Longest wait to commit several changes together"`
	BreakerFailures int          `default:"5" min:"1" max:"1000" doc:"Consecutive failures after which calls are refused at once"`
	BreakerMillis   clock.Millis `default:"2000" min:"10" max:"600000" doc:"Time between two probes while calls are refused"`
}

// Objects configures the client of the platform's object store.
type Objects struct {
	URL           string       `kind:"url" default:"http://127.0.0.1:7000" doc:"Address of the object store"`
	TimeoutMillis clock.Millis `default:"5000" min:"10" max:"600000" doc:"Time after which a call counts as failed"`
}

// Worker configures the client of the platform's runtime on the agent's worker.
type Worker struct {
	Name ident.Worker `kind:"name" doc:"Name of the worker"`
	URL  string       `kind:"url" default:"http://127.0.0.1:7000" doc:"Address of the worker runtime"`
	// TimeoutMillis is at most 2 s, so that a start cannot reach the worker long after its reservation.
	TimeoutMillis clock.Millis `default:"2000" min:"10" max:"2000" doc:"Time after which a call counts as failed, other than one that checkpoints or stops tasks"`
	PollMillis    clock.Millis `default:"1000" min:"10" max:"60000" doc:"Time between two reads of the worker's tasks and usage"`
}

// Endpoint configures the agent's endpoint.
type Endpoint struct {
	Name           ident.Endpoint `kind:"name" optional:"true" doc:"Name of the endpoint; empty if the worker has none"`
	Service        ident.Service  `kind:"name" optional:"true" doc:"Service of the endpoint"`
	URL            string         `kind:"url" optional:"true" doc:"Address of the endpoint"`
	ProgressMillis clock.Millis   `default:"2000" min:"10" max:"600000" doc:"Time without progress after which a connection is suspected to be silent"`
}
