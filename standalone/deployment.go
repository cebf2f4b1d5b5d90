// Package standalone runs entries, agents and the stand-in of the platform in one process on
// loopback. The sample run and the tests of whole deployments use it.
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

// operatorToken is the token of the operators' API of a deployment, which listens on loopback only.
const operatorToken = "standalone-operator-token"

// workersPerRack is the rack size of the production deployments.
const workersPerRack = 3

// Layout describes a deployment.
type Layout struct {
	Region      ident.Region
	DataCentres []ident.DataCentre
	// Peers lists the control addresses of the entries of the other region. NewRegions sets it.
	Peers []string
	// Workers is the number of workers per data centre. Each worker has one endpoint; the endpoints
	// are assigned to Services round-robin.
	Workers  int
	Services []ident.Service
	// Idempotent lists the services whose requests may run more than once.
	Idempotent []ident.Service
	// CPU and Memory are the capacity of each worker, in thousandths of a core and in MiB.
	CPU    unit.MilliCPU
	Memory unit.Mebibytes
	// Interference lists by how many percent one class of work slows another on the same worker.
	Interference []setting.Interference
	Seed         uint64
	// Heartbeat is the interval of an agent's announcements, WorkerPoll the interval at which it reads
	// its worker's tasks, and LeaseTerm the term of its lease. Short runs use less than in production.
	Heartbeat  clock.Millis
	WorkerPoll clock.Millis
	LeaseTerm  clock.Millis
	// DisturbanceWait is how long batch tasks wait for a worker whose predicted slowdown is tolerable.
	DisturbanceWait clock.Millis
	// Membership holds the intervals and timeouts of failure detection between daemons.
	Membership membership.Settings
}

// Deployment is a running system whose entries and agents can be stopped and started one by one.
type Deployment struct {
	layout   Layout
	clock    clock.Clock
	Platform *standin.Platform

	mu      sync.Mutex
	entries map[ident.Entry]*entryNode
	agents  map[ident.Worker]*agentNode
	// bootstrap lists the control addresses of all entries started so far. Agents get them in place of
	// a load balancer.
	bootstrap   []string
	incarnation ident.Incarnation
}

// entryNode is a running entry with its connections and the addresses of its APIs.
type entryNode struct {
	server          *entry.Server
	store           *table.Client
	pool            *controlpb.Pool
	agents          *dispatch.Connections
	controlAddress  string
	callerAddress   string
	operatorAddress string
}

// agentNode is a running agent with its connections.
type agentNode struct {
	server *agent.Server
	gate   *endpoint.Gate
	client *endpoint.Client
	pool   *controlpb.Pool
}

// New starts one entry in each data centre and one agent on each worker.
func New(ctx context.Context, layout Layout) (*Deployment, error) {
	return newDeployment(ctx, layout, clock.NewSystem())
}

func newDeployment(ctx context.Context, layout Layout, source clock.Clock) (*Deployment, error) {
	deployment := &Deployment{
		layout: layout, clock: source, Platform: standin.New(layout.standInSettings(), source),
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
	// Two regions agree over their link which of them writes the default presets.
	if len(deployment.layout.Peers) == 0 {
		editor := config.NewEditor(deployment.Platform.Table, deployment.clock, rand.New(rand.NewPCG(deployment.layout.Seed, 9)), config.NewPublisher())
		if err := editor.Bootstrap(ctx, "standalone"); err != nil {
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

// EntryID returns the ID of the entry in a data centre.
func EntryID(centre ident.DataCentre) ident.Entry {
	return ident.Entry("entry-" + string(centre))
}

// WorkerID returns the ID of a worker in a data centre.
func WorkerID(centre ident.DataCentre, index int) ident.Worker {
	return ident.Worker(fmt.Sprintf("worker-%s-%d", centre, index))
}

func endpointID(centre ident.DataCentre, index int) ident.Endpoint {
	return ident.Endpoint(fmt.Sprintf("endpoint-%s-%d", centre, index))
}

// serviceOf returns the service whose endpoint runs on the worker with the index.
func (layout Layout) serviceOf(index int) ident.Service {
	return layout.Services[index%len(layout.Services)]
}

// standInSettings returns the settings of the stand-in of the platform.
func (layout Layout) standInSettings() setting.StandIn {
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

// StartEntry starts an entry with the ID in the data centre.
func (deployment *Deployment) StartEntry(ctx context.Context, id ident.Entry, centre ident.DataCentre) error {
	var listeners entry.Listeners
	for _, listener := range []*net.Listener{&listeners.Control, &listeners.Caller, &listeners.Operator} {
		loopback, err := loopbackListener()
		if err != nil {
			return err
		}
		*listener = loopback
	}
	deployment.mu.Lock()
	deployment.incarnation++
	writer := fmt.Sprintf("%s-%d", id, deployment.incarnation)
	deployment.mu.Unlock()
	tableSettings := table.DefaultSettings()
	tableSettings.Entries = len(deployment.layout.DataCentres)
	node := &entryNode{
		store:          table.NewClient(deployment.Platform.Table, deployment.clock, writer, rand.New(rand.NewPCG(deployment.layout.Seed, 3)), tableSettings),
		pool:           newPool(),
		agents:         dispatch.NewConnections(deployment.clock, controlpb.DialOptions(insecure.NewCredentials())...),
		controlAddress: listeners.Control.Addr().String(), callerAddress: listeners.Caller.Addr().String(), operatorAddress: listeners.Operator.Addr().String(),
	}
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = id, deployment.layout.Region, centre
	settings.ControlAddress, settings.CallerAddress, settings.Regions = node.controlAddress, node.callerAddress, deployment.layout.Peers
	settings.Round, settings.Seed = 100*clock.Millisecond, deployment.layout.Seed
	settings.Placement.DisturbanceWait = deployment.layout.DisturbanceWait
	settings.Lease.Term, settings.Membership = deployment.layout.LeaseTerm, deployment.layout.Membership
	daemon, err := entry.New(ctx, settings, entry.Dependencies{
		Clock: deployment.clock, Table: node.store, Agents: node.agents, Control: node.pool, Objects: deployment.Platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return deployment.Platform.Workers[name] },
	})
	if err != nil {
		return err
	}
	operatorSettings := operator.Defaults()
	operatorSettings.Credentials = []operator.Credential{{Operator: "standalone", Token: operatorToken}}
	operators, err := operator.New(operatorSettings, daemon.Operations(), metrics.NewSet())
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

// StartAgent starts the agent of a worker. The first start also starts the worker's endpoint, which
// keeps running when the agent ends.
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
	clientSettings := endpoint.ClientDefaults()
	clientSettings.Address = address
	node := &agentNode{client: endpoint.NewClient(deployment.clock, clientSettings), pool: newPool()}
	gateSettings := endpoint.GateDefaults()
	gateSettings.Endpoint, gateSettings.Service, gateSettings.Incarnation = endpointID(centre, index), deployment.layout.serviceOf(index), incarnation
	node.gate = endpoint.NewGate(deployment.clock, node.client, gateSettings)
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre = name, deployment.layout.Region, centre
	settings.Rack = ident.Rack(fmt.Sprintf("%s-rack-%d", centre, index/workersPerRack))
	settings.RuntimeAddress = "in process"
	settings.Address, settings.Balancer = listener.Addr().String(), bootstrap
	settings.Heartbeat, settings.Watch = deployment.layout.Heartbeat, deployment.layout.WorkerPoll
	if deployment.layout.LeaseTerm > 0 {
		settings.StopMargin = deployment.layout.LeaseTerm / 5
	}
	daemon := agent.New(settings, deployment.clock, deployment.Platform.Workers[name], node.gate, node.pool,
		config.NewPublisher(), incarnation, rand.New(rand.NewPCG(deployment.layout.Seed, uint64(incarnation))))
	node.server = agent.NewServer(daemon, listener)
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.agents[name] = node
	return nil
}

// serveEndpoint starts an endpoint of the stand-in if it isn't running and returns its address.
func (deployment *Deployment) serveEndpoint(name ident.Endpoint) (string, error) {
	return deployment.Platform.ServeEndpoint(name)
}

// CrashEntry ends an entry at once, without a graceful shutdown.
func (deployment *Deployment) CrashEntry(id ident.Entry) {
	if node := removeNode(deployment, deployment.entries, id); node != nil {
		node.server.Close()
		node.release()
	}
}

// StopEntry shuts an entry down gracefully.
func (deployment *Deployment) StopEntry(ctx context.Context, id ident.Entry) error {
	node := removeNode(deployment, deployment.entries, id)
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

// CrashAgent ends an agent at once. Its tasks continue to run until the worker's lease expires.
func (deployment *Deployment) CrashAgent(name ident.Worker) {
	if node := removeNode(deployment, deployment.agents, name); node != nil {
		node.server.Close()
		node.release()
	}
}

// StopAgent shuts an agent down gracefully.
func (deployment *Deployment) StopAgent(ctx context.Context, name ident.Worker) error {
	node := removeNode(deployment, deployment.agents, name)
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

// removeNode removes and returns a node, or returns nil, so that no node is ended twice.
func removeNode[ID ~string, Node any](deployment *Deployment, nodes map[ID]*Node, id ID) *Node {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	node := nodes[id]
	delete(nodes, id)
	return node
}

// Close ends all daemons at once, then the endpoints and the stand-in.
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
	for _, server := range deployment.Platform.Endpoints {
		_ = server.Close()
	}
	deployment.Platform.Close()
}

// CallerAddresses returns the addresses at which the running entries serve the callers' API.
func (deployment *Deployment) CallerAddresses() []string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	var addresses []string
	for _, centre := range deployment.layout.DataCentres {
		if node := deployment.entries[EntryID(centre)]; node != nil {
			addresses = append(addresses, node.callerAddress)
		}
	}
	return addresses
}

// OperatorClient returns a client of the operators' API that uses the entries running now.
func (deployment *Deployment) OperatorClient() (*operator.Client, error) {
	deployment.mu.Lock()
	var addresses []string
	for _, centre := range deployment.layout.DataCentres {
		if node := deployment.entries[EntryID(centre)]; node != nil {
			addresses = append(addresses, node.operatorAddress)
		}
	}
	deployment.mu.Unlock()
	return operator.NewClient(operator.ClientSettings{Entries: addresses, Token: operatorToken, TimeoutMillis: 10 * clock.Second})
}
