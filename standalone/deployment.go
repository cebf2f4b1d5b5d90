// Package standalone runs entries, agents and the platform's stand-in in one process on loopback.
// It serves the sample run and the tests of whole deployments.
package standalone

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/credentials/insecure"

	"hyssopjunction/agent"
	"hyssopjunction/caller"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/endpoint"
	"hyssopjunction/entry"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// operatorToken is accepted by the operators' API of a deployment, which listens on loopback.
const operatorToken = "standalone-operator-token"

// workersPerRack is that of the current deployments.
const workersPerRack = 3

// Layout describes a deployment.
type Layout struct {
	Region      ident.Region
	DataCentres []ident.DataCentre
	// Peers are control addresses of entries of the other region, set by NewRegions.
	Peers []string
	// Workers is the number of workers per data centre, each with an endpoint of a service. The
	// services are assigned in turn.
	Workers  int
	Services []ident.Service
	// Idempotent are the services whose requests may run more than once.
	Idempotent []ident.Service
	// CPU and Memory are the size of each worker in thousandths of a core and MiB.
	CPU    unit.MilliCPU
	Memory unit.Mebibytes
	// Interference gives how much the first class slows the second, in percent.
	Interference []setting.Interference
	Seed         uint64
	// Heartbeat, Watch and Term shorten the production times where a run must end soon.
	Heartbeat clock.Millis
	Watch     clock.Millis
	Term      clock.Millis
	// DisturbanceWait is how long batch tasks wait for a worker without predicted interference.
	DisturbanceWait clock.Millis
	// Membership are the times of failure detection between daemons.
	Membership membership.Settings
}

// Deployment is a running system. Entries and agents can be stopped and started one by one.
type Deployment struct {
	layout   Layout
	time     clock.Clock
	Platform *standin.Platform

	mu      sync.Mutex
	entries map[ident.Entry]*entryNode
	agents  map[ident.Worker]*agentNode
	// bootstrap are the control addresses of the first entries, as a balancer would offer them.
	bootstrap   []string
	incarnation ident.Incarnation
}

// entryNode is one running entry.
type entryNode struct {
	server   *entry.Server
	store    *table.Client
	pool     *controlpb.Pool
	agents   *dispatch.Connections
	control  string
	caller   string
	operator string
}

// agentNode is one running agent.
type agentNode struct {
	server *agent.Server
	gate   *endpoint.Gate
	client *endpoint.Client
	pool   *controlpb.Pool
}

// New starts one entry in each data centre, and an agent on each worker.
func New(ctx context.Context, layout Layout) (*Deployment, error) {
	return newDeployment(ctx, layout, clock.NewSystem())
}

func newDeployment(ctx context.Context, layout Layout, source clock.Clock) (*Deployment, error) {
	deployment := &Deployment{
		layout: layout, time: source, Platform: standin.New(layout.standIn(), source),
		entries: map[ident.Entry]*entryNode{}, agents: map[ident.Worker]*agentNode{},
		incarnation: ident.Incarnation(time.Now().UnixMilli()),
	}
	if err := deployment.startAll(ctx); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (deployment *Deployment) startAll(ctx context.Context) error {
	// With two regions the link decides which one writes the default presets.
	if len(deployment.layout.Peers) == 0 {
		bootstrap := config.NewEditor(deployment.Platform.Table, deployment.time, rand.New(rand.NewPCG(deployment.layout.Seed, 9)), config.NewPublisher())
		if err := bootstrap.Bootstrap(ctx, "standalone"); err != nil {
			return err
		}
	}
	for _, centre := range deployment.layout.DataCentres {
		if err := deployment.StartEntry(ctx, EntryID(centre), centre); err != nil {
			return err
		}
	}
	for _, centre := range deployment.layout.DataCentres {
		for index := range deployment.layout.Workers {
			if err := deployment.StartAgent(centre, index); err != nil {
				return err
			}
		}
	}
	return nil
}

// EntryID names the entry of a data centre.
func EntryID(centre ident.DataCentre) ident.Entry {
	return ident.Entry("entry-" + string(centre))
}

// WorkerID names a worker of a data centre.
func WorkerID(centre ident.DataCentre, index int) ident.Worker {
	return ident.Worker(fmt.Sprintf("worker-%s-%d", centre, index))
}

func endpointID(centre ident.DataCentre, index int) ident.Endpoint {
	return ident.Endpoint(fmt.Sprintf("endpoint-%s-%d", centre, index))
}

// serviceOf returns the service whose endpoint is on the worker.
func (layout Layout) serviceOf(index int) ident.Service {
	return layout.Services[index%len(layout.Services)]
}

// standIn returns the settings of the platform's stand-in.
func (layout Layout) standIn() setting.StandIn {
	settings := setting.StandIn{
		Simulation:   setting.Simulation{Seed: int64(layout.Seed), TickMillis: 20, ValueBytes: 256 << 10, ObjectBytes: 16 << 20},
		Interference: layout.Interference,
	}
	for _, centre := range layout.DataCentres {
		for index := range layout.Workers {
			settings.Workers = append(settings.Workers, setting.StandInWorker{
				Name: WorkerID(centre, index), CPU: layout.CPU, Memory: layout.Memory,
				ClockOffsetMillis: clock.Millis(1000 * (index + 1)), UsageLagMillis: 500,
			})
			settings.Endpoints = append(settings.Endpoints, setting.StandInEndpoint{
				Name: endpointID(centre, index), Service: layout.serviceOf(index), Listen: "127.0.0.1:0",
				Idempotent: slices.Contains(layout.Idempotent, layout.serviceOf(index)),
				Worker:     WorkerID(centre, index), Class: string(layout.serviceOf(index)), Slots: 8, Connections: 64,
				MedianMillis: 10, Spread: 0.4, StreamBytes: 4096, ChunkBytes: 256, ChunkMillis: 20,
			})
		}
	}
	return settings
}

func loopbackListener() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

func newPool() *controlpb.Pool {
	return controlpb.NewPool(controlpb.DialOptions(insecure.NewCredentials())...)
}

// StartEntry starts an entry with the id in the data centre.
func (deployment *Deployment) StartEntry(ctx context.Context, id ident.Entry, centre ident.DataCentre) error {
	var listeners entry.Listeners
	for _, listener := range []*net.Listener{&listeners.Control, &listeners.Caller, &listeners.Operator} {
		opened, err := loopbackListener()
		if err != nil {
			return err
		}
		*listener = opened
	}
	deployment.mu.Lock()
	deployment.incarnation++
	writer := fmt.Sprintf("%s-%d", id, deployment.incarnation)
	deployment.mu.Unlock()
	limits := table.DefaultSettings()
	limits.Entries = len(deployment.layout.DataCentres)
	node := &entryNode{
		store:   table.NewClient(deployment.Platform.Table, deployment.time, writer, rand.New(rand.NewPCG(deployment.layout.Seed, 3)), limits),
		pool:    newPool(),
		agents:  dispatch.NewConnections(deployment.time, controlpb.DialOptions(insecure.NewCredentials())...),
		control: listeners.Control.Addr().String(), caller: listeners.Caller.Addr().String(), operator: listeners.Operator.Addr().String(),
	}
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = id, deployment.layout.Region, centre
	settings.ControlAddress, settings.CallerAddress, settings.Regions = node.control, node.caller, deployment.layout.Peers
	settings.Round, settings.Seed = 100*clock.Millisecond, deployment.layout.Seed
	settings.Placement.DisturbanceWait = deployment.layout.DisturbanceWait
	settings.Lease.Term, settings.Membership = deployment.layout.Term, deployment.layout.Membership
	daemon, err := entry.New(ctx, settings, entry.Dependencies{
		Clock: deployment.time, Table: node.store, Agents: node.agents, Control: node.pool, Objects: deployment.Platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return deployment.Platform.Workers[name] },
	})
	if err != nil {
		return err
	}
	access := operator.Defaults()
	access.Credentials = []operator.Credential{{Operator: "standalone", Token: operatorToken}}
	operators, err := operator.New(access, daemon.Operations(), metrics.NewSet())
	if err != nil {
		return err
	}
	node.server = entry.NewServer(daemon, listeners, operators, caller.Defaults(), nil)
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.entries[id] = node
	deployment.bootstrap = append(deployment.bootstrap, settings.ControlAddress)
	return nil
}

// StartAgent starts the agent of a worker. The worker's endpoint is served from the first start on.
func (deployment *Deployment) StartAgent(centre ident.DataCentre, index int) error {
	name := WorkerID(centre, index)
	address, err := deployment.serveEndpoint(endpointID(centre, index))
	if err != nil {
		return err
	}
	listener, err := loopbackListener()
	if err != nil {
		return err
	}
	deployment.mu.Lock()
	deployment.incarnation++
	incarnation := deployment.incarnation
	bootstrap := append([]string(nil), deployment.bootstrap...)
	deployment.mu.Unlock()
	limits := endpoint.ClientDefaults()
	limits.Address = address
	node := &agentNode{client: endpoint.NewClient(deployment.time, limits), pool: newPool()}
	admitted := endpoint.GateDefaults()
	admitted.Endpoint, admitted.Service, admitted.Incarnation = endpointID(centre, index), deployment.layout.serviceOf(index), incarnation
	node.gate = endpoint.NewGate(deployment.time, node.client, admitted)
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre = name, deployment.layout.Region, centre
	settings.Rack = ident.Rack(fmt.Sprintf("%s-rack-%d", centre, index/workersPerRack))
	settings.RuntimeAddress = "in process"
	settings.Address, settings.Balancer = listener.Addr().String(), bootstrap
	settings.Heartbeat, settings.Watch = deployment.layout.Heartbeat, deployment.layout.Watch
	if deployment.layout.Term > 0 {
		settings.StopMargin = deployment.layout.Term / 5
	}
	daemon := agent.New(settings, deployment.time, deployment.Platform.Workers[name], node.gate, node.pool,
		config.NewPublisher(), incarnation, rand.New(rand.NewPCG(deployment.layout.Seed, uint64(incarnation))))
	node.server = agent.NewServer(daemon, listener)
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.agents[name] = node
	return nil
}

// serveEndpoint makes the stand-in's endpoint listen, once, and returns its address.
func (deployment *Deployment) serveEndpoint(name ident.Endpoint) (string, error) {
	return deployment.Platform.ServeEndpoint(name)
}

// CrashEntry ends an entry at once.
func (deployment *Deployment) CrashEntry(id ident.Entry) {
	if node := take(deployment, deployment.entries, id); node != nil {
		node.server.Close()
		node.release()
	}
}

// StopEntry ends an entry gracefully.
func (deployment *Deployment) StopEntry(ctx context.Context, id ident.Entry) error {
	node := take(deployment, deployment.entries, id)
	if node == nil {
		return nil
	}
	defer node.release()
	return node.server.Shutdown(ctx)
}

func (node *entryNode) release() {
	node.store.Close()
	node.agents.Close()
	node.pool.Close()
}

// CrashAgent ends an agent at once. Its tasks run on until the worker's lease lapses.
func (deployment *Deployment) CrashAgent(name ident.Worker) {
	if node := take(deployment, deployment.agents, name); node != nil {
		node.server.Close()
		node.release()
	}
}

// StopAgent ends an agent gracefully.
func (deployment *Deployment) StopAgent(ctx context.Context, name ident.Worker) error {
	node := take(deployment, deployment.agents, name)
	if node == nil {
		return nil
	}
	defer node.release()
	return node.server.Shutdown(ctx)
}

func (node *agentNode) release() {
	node.gate.Close()
	node.client.Close()
	node.pool.Close()
}

// take removes a node, so that it is ended once only.
func take[ID ~string, Node any](deployment *Deployment, nodes map[ID]*Node, id ID) *Node {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	node := nodes[id]
	delete(nodes, id)
	return node
}

// Close ends everything at once.
func (deployment *Deployment) Close() {
	deployment.mu.Lock()
	var agents []ident.Worker
	var entries []ident.Entry
	for name := range deployment.agents {
		agents = append(agents, name)
	}
	for id := range deployment.entries {
		entries = append(entries, id)
	}
	deployment.mu.Unlock()
	for _, name := range agents {
		deployment.CrashAgent(name)
	}
	for _, id := range entries {
		deployment.CrashEntry(id)
	}
	for _, served := range deployment.Platform.Endpoints {
		_ = served.Close()
	}
	deployment.Platform.Close()
}

// Callers returns the addresses of the callers' APIs of the running entries.
func (deployment *Deployment) Callers() []string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var addresses []string
	for _, centre := range deployment.layout.DataCentres {
		if node := deployment.entries[EntryID(centre)]; node != nil {
			addresses = append(addresses, node.caller)
		}
	}
	return addresses
}

// Operators returns a client of the operators' API of the running entries.
func (deployment *Deployment) Operators() (*operator.Client, error) {
	deployment.mu.Lock()
	var addresses []string
	for _, centre := range deployment.layout.DataCentres {
		if node := deployment.entries[EntryID(centre)]; node != nil {
			addresses = append(addresses, node.operator)
		}
	}
	deployment.mu.Unlock()
	return operator.NewClient(operator.ClientSettings{Entries: addresses, Token: operatorToken, TimeoutMillis: 10 * clock.Second})
}
