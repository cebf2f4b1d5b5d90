package membership

import (
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Endpoint is the state of one endpoint, for the routing of requests.
type Endpoint struct {
	ID           ident.Endpoint
	Service      ident.Service
	Worker       ident.Worker
	AgentAddress string
	Incarnation  ident.Incarnation
	Place        Place
	Rack         ident.Rack
	// Leaving endpoints must not get new work.
	Leaving bool
	Healthy bool
	// Slots and Connections are limits. SlotsUsed, ConnectionsUsed and Queue are the load at
	// SeenAt.
	Slots           int
	Connections     int
	SlotsUsed       int
	ConnectionsUsed int
	Queue           int
	// Latency is the mean service time of recent requests.
	Latency clock.Millis
	// Slowdown is in percent of the latency without interference; 100 is none.
	Slowdown int
	// SeenAt is when the endpoint was in this state, on this process's clock.
	SeenAt clock.Time
}

// Worker is the state of one worker, for the placement of tasks.
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
	// SeenAt is when the worker was in this state, on this process's clock.
	SeenAt clock.Time
}

// Snapshot is an immutable copy of the view. Its slices and maps must not be changed.
type Snapshot struct {
	// At is the time of the snapshot.
	At clock.Time
	// Workers are in ascending order of their ids.
	Workers []Worker
	// Endpoints are in ascending order of their ids within each service.
	Endpoints map[ident.Service][]Endpoint
	// Entries are the live entries in ascending order of their ids.
	Entries []Entry
}

// Snapshot returns the current view together with the given live entries.
func (workers *Workers) Snapshot(live []Entry, now clock.Time) *Snapshot {
	snapshot := &Snapshot{At: now, Endpoints: make(map[ident.Service][]Endpoint), Entries: live}
	snapshot.Workers = make([]Worker, 0, len(workers.records))
	for _, id := range set.SortedKeys(workers.records) {
		record := workers.records[id]
		snapshot.Workers = append(snapshot.Workers, record.worker())
		if state := record.state.GetEndpoint(); state.GetEndpoint() != "" {
			endpoint := record.endpoint()
			snapshot.Endpoints[endpoint.Service] = append(snapshot.Endpoints[endpoint.Service], endpoint)
		}
	}
	workers.dirty, workers.joined = false, false
	return snapshot
}

// Changed reports whether the view changed since the last Snapshot.
func (workers *Workers) Changed() bool {
	return workers.dirty
}

// Joined reports whether a worker was added or began a new incarnation since the last Snapshot. Until the next one no
// request reaches it.
func (workers *Workers) Joined() bool {
	return workers.joined
}

func (record *record) place() Place {
	return Place{Region: ident.Region(record.state.GetRegion()), DataCentre: ident.DataCentre(record.state.GetDataCentre())}
}

func (record *record) worker() Worker {
	state := record.state
	return Worker{
		ID:            ident.Worker(state.GetWorker()),
		AgentAddress:  state.GetAgentAddress(),
		Home:          record.home,
		Incarnation:   ident.Incarnation(state.GetIncarnation()),
		Sequence:      ident.Sequence(state.GetSequence()),
		Place:         record.place(),
		Rack:          ident.Rack(state.GetRack()),
		Capacity:      resources(state.GetCapacity()),
		Used:          resources(state.GetUsed()),
		Draining:      state.GetDraining(),
		Tasks:         int(state.GetTasks()),
		ConfigVersion: ident.Version(state.GetConfigVersion()),
		SeenAt:        record.stateAt,
	}
}

func (record *record) endpoint() Endpoint {
	state, endpoint := record.state, record.state.GetEndpoint()
	return Endpoint{
		ID:              ident.Endpoint(endpoint.GetEndpoint()),
		Service:         ident.Service(endpoint.GetService()),
		Worker:          ident.Worker(state.GetWorker()),
		AgentAddress:    state.GetAgentAddress(),
		Incarnation:     ident.Incarnation(state.GetIncarnation()),
		Place:           record.place(),
		Rack:            ident.Rack(state.GetRack()),
		Leaving:         endpoint.GetLeaving() || record.leaving == endpoint.GetEndpoint(),
		Healthy:         endpoint.GetHealthy(),
		Slots:           int(endpoint.GetSlots()),
		Connections:     int(endpoint.GetConnections()),
		SlotsUsed:       int(endpoint.GetSlotsUsed()),
		ConnectionsUsed: int(endpoint.GetConnectionsUsed()),
		Queue:           int(endpoint.GetQueue()),
		Latency:         clock.Millis(endpoint.GetLatencyMillis()),
		Slowdown:        int(endpoint.GetSlowdownPercent()),
		SeenAt:          record.endpointAt,
	}
}

func resources(message *controlpb.Resources) unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(message.GetCpuMilli()),
		Memory:       unit.Mebibytes(message.GetMemoryMib()),
		Accelerators: unit.Accelerators(message.GetAccelerators()),
	}
}

// Publisher passes the newest snapshot from the control goroutine to other goroutines.
type Publisher struct {
	current atomic.Pointer[Snapshot]
}

// NewPublisher returns a publisher of an empty snapshot.
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
