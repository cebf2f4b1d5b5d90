package setting

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// StandIn holds the settings of the platform's stand-in.
type StandIn struct {
	Listen       StandInListen
	Simulation   Simulation
	Workers      []StandInWorker   `optional:"true" doc:"Simulated workers"`
	Endpoints    []StandInEndpoint `optional:"true" doc:"Simulated endpoints"`
	Interference []Interference    `optional:"true" doc:"Pairs of classes that slow each other"`
	Log          Log
}

// Simulation holds the settings that apply to the whole stand-in.
type Simulation struct {
	Seed           int64        `default:"1" min:"0" max:"9007199254740991" doc:"Seed of service times and of faults with a probability"`
	TickMillis     clock.Millis `default:"100" min:"10" max:"10000" doc:"Time between two checks of the leases of tasks"`
	ValueBytes     int          `default:"262144" min:"1024" max:"16777216" doc:"Largest value of a row of the table, in bytes"`
	HistoryCommits int          `default:"0" min:"0" max:"100000" doc:"Newest commits recorded per row of the table"`
	ObjectBytes    int          `default:"67108864" min:"1024" max:"1073741824" doc:"Largest object, in bytes"`
}

// StandInWorker is one simulated worker.
type StandInWorker struct {
	Name              ident.Worker      `kind:"name" doc:"Name of the worker"`
	CPU               unit.MilliCPU     `default:"32000" min:"1" max:"1000000000" doc:"Processor time in thousandths of a core"`
	Memory            unit.Mebibytes    `default:"128000" min:"1" max:"1000000000" doc:"Memory in MiB"`
	Accelerators      unit.Accelerators `default:"0" min:"0" max:"1000" doc:"Number of accelerators"`
	ClockOffsetMillis clock.Millis      `default:"0" min:"0" max:"1000000000" doc:"Difference of the worker's clock from the stand-in's"`
	UsageLagMillis    clock.Millis      `default:"5000" min:"0" max:"600000" doc:"Age of reported usage"`
}

// StandInEndpoint is one simulated endpoint.
type StandInEndpoint struct {
	Name          ident.Endpoint `kind:"name" doc:"Name of the endpoint"`
	Service       ident.Service  `kind:"name" doc:"Service of the endpoint"`
	Listen        string         `kind:"address" doc:"Address of the endpoint"`
	Worker        ident.Worker   `kind:"name" optional:"true" doc:"Worker on which the endpoint runs; empty if it meets no interference"`
	Class         string         `kind:"name" optional:"true" doc:"Class of the endpoint's work in Interference"`
	Slots         int            `default:"8" min:"1" max:"1024" doc:"Requests at the same time above which a violation is recorded"`
	Connections   int            `default:"64" min:"1" max:"4096" doc:"Connections above which a violation is recorded"`
	Idempotent    bool           `default:"false" doc:"Whether requests may run more than once without a violation"`
	StopOnClose   bool           `default:"false" doc:"Whether a request stops, and frees its slot, when its connection is closed"`
	MedianMillis  clock.Millis   `default:"20" min:"0" max:"600000" doc:"Median service time"`
	Spread        float64        `default:"0.4" min:"0" max:"5" doc:"Standard deviation of the logarithm of the service time"`
	ResponseBytes int            `default:"0" min:"0" max:"16777216" doc:"Least size of a response body, in bytes"`
	StreamBytes   int64          `default:"0" min:"0" max:"1099511627776" doc:"Length of each stream, in bytes; 0 does not end"`
	ChunkBytes    int            `default:"256" min:"1" max:"1048576" doc:"Bytes sent on a stream at a time"`
	ChunkMillis   clock.Millis   `default:"100" min:"1" max:"600000" doc:"Time between two chunks of a stream"`
}

// Interference is the slowdown that one class of work causes to another on the same worker.
type Interference struct {
	Victim    string `kind:"name" doc:"Class that is slowed"`
	Aggressor string `kind:"name" doc:"Class that slows it"`
	Percent   int    `min:"1" max:"10000" doc:"Additional run time of the victim in percent beside one aggressor"`
}

// check reports contradictions between the settings.
func (standIn *StandIn) check(reader *reader) {
	workers := set.New[ident.Worker]()
	for index, worker := range standIn.Workers {
		key := fmt.Sprintf("Workers[%d].Name", index)
		reader.require(workers.Add(worker.Name), []string{key}, "%q is used twice", worker.Name)
	}
	names := set.New[ident.Endpoint]()
	addresses := map[string]string{"Listen.Platform": standIn.Listen.Platform}
	for index, endpoint := range standIn.Endpoints {
		key := fmt.Sprintf("Endpoints[%d].", index)
		reader.require(names.Add(endpoint.Name), []string{key + "Name"}, "%q is used twice", endpoint.Name)
		reader.require(endpoint.Worker == "" || workers.Has(endpoint.Worker), []string{key + "Worker"}, "there is no worker %q", endpoint.Worker)
		reader.require(endpoint.Slots <= endpoint.Connections, []string{key + "Slots", key + "Connections"},
			"must not exceed Connections (%d), is %d", endpoint.Connections, endpoint.Slots)
		addresses[key+"Listen"] = endpoint.Listen
	}
	checkDistinct(reader, addresses)
}
