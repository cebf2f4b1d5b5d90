package membership

import (
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Endpoint is what traffic goroutines know of one endpoint.
type Endpoint struct {
	ID           ident.Endpoint
	Service      ident.Service
	Worker       ident.Worker
	AgentAddress string
	Incarnation  ident.Incarnation
	Place        Place
	Rack         ident.Rack
	// Leaving endpoints must get no new work.
	Leaving bool
	Healthy bool
	// Slots and Connections are limits, SlotsUsed and ConnectionsUsed and Queue the load when seen.
	Slots           int
	Connections     int
	SlotsUsed       int
	ConnectionsUsed int
	Queue           int
	// Latency is the mean service time of recent requests.
	Latency clock.Millis
	// Slowdown is in percent; 100 is undisturbed.
	Slowdown int
	// SeenAt is when the endpoint was in this state, on this process's clock.
	SeenAt clock.Time
}

// Worker is what placement knows of one worker.
type Worker struct {
	ID           ident.Worker
	AgentAddress string
	Home         ident.Entry
	Incarnation  ident.Incarnation
	Sequence     ident.Sequence
	Place        Place
	Rack         ident.Rack
	Capacity     unit.Resources
	Used         unit.Resources
	Draining     bool
	Tasks        int
	// ConfigVersion is the version of the configuration that the agent has applied.
	ConfigVersion ident.Version
	SeenAt        clock.Time
}

// Snapshot is an immutable view. Its slices and maps must not be changed.
type Snapshot struct {
	// At is when the snapshot was taken.
	At clock.Time
	// Workers are in ascending order of their ids.
	Workers []Worker
	// Endpoints are in ascending order of their ids within each service.
	Endpoints map[ident.Service][]Endpoint
	// Entries can be homes, in ascending order of their ids.
	Entries []Entry
}

// Snapshot returns the current view with the given live entries.
func (workers *Workers) Snapshot(live []Entry, now clock.Time) *Snapshot {
	snapshot := &Snapshot{At: now, Endpoints: make(map[ident.Service][]Endpoint), Entries: live}
	snapshot.Workers = make([]Worker, 0, len(workers.records))
	for _, id := range set.SortedKeys(workers.records) {
		known := workers.records[id]
		snapshot.Workers = append(snapshot.Workers, known.worker())
		if state := known.state.GetEndpoint(); state.GetEndpoint() != "" {
			endpoint := known.endpoint()
			snapshot.Endpoints[endpoint.Service] = append(snapshot.Endpoints[endpoint.Service], endpoint)
		}
	}
	workers.dirty = false
	return snapshot
}

// Changed reports whether the view changed since the last Snapshot.
func (workers *Workers) Changed() bool {
	return workers.dirty
}

func (known *record) place() Place {
	return Place{Region: ident.Region(known.state.GetRegion()), DataCentre: ident.DataCentre(known.state.GetDataCentre())}
}

func (known *record) worker() Worker {
	state := known.state
	return Worker{
		ID:            ident.Worker(state.GetWorker()),
		AgentAddress:  state.GetAgentAddress(),
		Home:          known.home,
		Incarnation:   ident.Incarnation(state.GetIncarnation()),
		Sequence:      ident.Sequence(state.GetSequence()),
		Place:         known.place(),
		Rack:          ident.Rack(state.GetRack()),
		Capacity:      resources(state.GetCapacity()),
		Used:          resources(state.GetUsed()),
		Draining:      state.GetDraining(),
		Tasks:         int(state.GetTasks()),
		ConfigVersion: ident.Version(state.GetConfigVersion()),
		SeenAt:        known.at,
	}
}

func (known *record) endpoint() Endpoint {
	state, endpoint := known.state, known.state.GetEndpoint()
	return Endpoint{
		ID:              ident.Endpoint(endpoint.GetEndpoint()),
		Service:         ident.Service(endpoint.GetService()),
		Worker:          ident.Worker(state.GetWorker()),
		AgentAddress:    state.GetAgentAddress(),
		Incarnation:     ident.Incarnation(state.GetIncarnation()),
		Place:           known.place(),
		Rack:            ident.Rack(state.GetRack()),
		Leaving:         endpoint.GetLeaving() || known.leaving == endpoint.GetEndpoint(),
		Healthy:         endpoint.GetHealthy(),
		Slots:           int(endpoint.GetSlots()),
		Connections:     int(endpoint.GetConnections()),
		SlotsUsed:       int(endpoint.GetSlotsUsed()),
		ConnectionsUsed: int(endpoint.GetConnectionsUsed()),
		Queue:           int(endpoint.GetQueue()),
		Latency:         clock.Millis(endpoint.GetLatencyMillis()),
		Slowdown:        int(endpoint.GetSlowdownPercent()),
		SeenAt:          known.endpointAt,
	}
}

func resources(message *controlpb.Resources) unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(message.GetCpuMilli()),
		Memory:       unit.Mebibytes(message.GetMemoryMib()),
		Accelerators: unit.Accelerators(message.GetAccelerators()),
	}
}

// Publisher hands the newest snapshot from the control goroutine to traffic goroutines.
type Publisher struct {
	current atomic.Pointer[Snapshot]
}

// NewPublisher returns a Publisher of an empty snapshot.
func NewPublisher() *Publisher {
	publisher := &Publisher{}
	publisher.current.Store(&Snapshot{Endpoints: make(map[ident.Service][]Endpoint)})
	return publisher
}

// Publish replaces the snapshot.
func (publisher *Publisher) Publish(snapshot *Snapshot) {
	publisher.current.Store(snapshot)
}

// Current returns the newest snapshot.
func (publisher *Publisher) Current() *Snapshot {
	return publisher.current.Load()
}
