package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
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
	"hyssopjunction/logging"
	"hyssopjunction/operator"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	region = ident.Region("flanders")
	team   = ident.Team("casting")
	token  = "benchmark-operator-token"
	// tasksPerWorker corresponds to 14,100 running tasks on 1,200 workers.
	tasksPerWorker = 12
)

var centres = []ident.DataCentre{"gent", "kortrijk", "aalst"}

// fleet is a system with production times in one process. It reaches the platform over HTTP, so that
// the traffic of the table is measured too. Package standalone can't be used for this, because it
// shortens the times and calls the platform directly.
type fleet struct {
	tb              testing.TB
	clock           clock.Clock
	platform        *standin.Platform
	platformAddress string
	entries         []*entryNode
	agents          []*agentNode
	// daemonCount counts the daemons started so far. It gives each one its own incarnation.
	daemonCount int

	mu sync.Mutex
	// entryProcesses holds every entry started so far, including those that have ended.
	entryProcesses []*entryNode
	// centres lists the data centres, to which daemons are assigned round-robin.
	centres []ident.DataCentre
	// waitTimeout is the timeout of each wait for a state.
	waitTimeout clock.Millis
	// heapBefore is the size of the heap before anything was started, in bytes.
	heapBefore float64
	stop       []func()
}

type entryNode struct {
	controlMeter    meter
	tableMeter      meter
	store           *table.Client
	controlAddress  string
	operatorAddress string
	callerAddress   string
	daemon          *entry.Entry
	stop            func()
}

type agentNode struct {
	meter  meter
	daemon *agent.Agent
	config *config.Publisher
	stop   func()
}

// newFleet starts the platform with the given number of workers, but no daemons.
func newFleet(tb testing.TB, workers int) *fleet {
	tb.Helper()
	logging.New(io.Discard, slog.LevelInfo)
	fleet := &fleet{tb: tb, clock: clock.NewSystem(), centres: centres, waitTimeout: 2 * clock.Minute, heapBefore: heapBytes()}
	settings := setting.StandIn{Simulation: setting.Simulation{Seed: 1, TickMillis: 1000, ValueBytes: 256 << 10, ObjectBytes: 16 << 20}}
	for index := range workers {
		settings.Workers = append(settings.Workers, setting.StandInWorker{
			Name: workerID(index), CPU: 32_000, Memory: 128_000, UsageLagMillis: 5000,
		})
		settings.Endpoints = append(settings.Endpoints, setting.StandInEndpoint{
			Name: endpointID(index), Service: "checks", Listen: "127.0.0.1:0", Worker: workerID(index), Class: "checks",
			Slots: 8, Connections: 64, MedianMillis: 10, Spread: 0.4,
		})
	}
	fleet.platform = standin.New(settings, fleet.clock)
	ctx, cancel := context.WithCancel(context.Background())
	listener := new(meter).listen(tb)
	fleet.platformAddress = "http://" + listener.Addr().String()
	go func() { _ = standin.NewServer(fleet.platform).Serve(ctx, listener) }()
	fleet.stop = append(fleet.stop, func() {
		cancel()
		for _, server := range fleet.platform.Endpoints {
			_ = server.Close()
		}
		fleet.platform.Close()
	})
	editor := config.NewEditor(fleet.platform.Table, fleet.clock, random(9), config.NewPublisher())
	fleet.must(editor.Bootstrap(ctx, "benchmark"))
	return fleet
}

func workerID(index int) ident.Worker { return ident.Worker(fmt.Sprintf("worker-%04d", index)) }

func endpointID(index int) ident.Endpoint { return ident.Endpoint(fmt.Sprintf("endpoint-%04d", index)) }

func random(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(1, purpose)) }

func (fleet *fleet) must(err error) {
	fleet.tb.Helper()
	if err != nil {
		fleet.tb.Fatal(err)
	}
}

// close stops everything, in the reverse order of the starts.
func (fleet *fleet) close() {
	for index := len(fleet.stop) - 1; index >= 0; index-- {
		fleet.stop[index]()
	}
}

// startEntry starts another entry of a system that will have entryCount entries.
func (fleet *fleet) startEntry(entryCount int) {
	fleet.entries = append(fleet.entries, nil)
	fleet.runEntry(len(fleet.entries)-1, entryCount)
}

// runEntry starts the entry with the index, or starts it again after it has ended.
func (fleet *fleet) runEntry(index, entryCount int) {
	node := &entryNode{}
	listeners := entry.Listeners{Control: node.controlMeter.listen(fleet.tb), Caller: new(meter).listen(fleet.tb), Operator: new(meter).listen(fleet.tb)}
	node.controlAddress, node.operatorAddress = listeners.Control.Addr().String(), listeners.Operator.Addr().String()
	tableSettings := table.DefaultSettings()
	tableSettings.Entries = entryCount
	fleet.daemonCount++
	writer := fmt.Sprintf("entry-%d-%d", index, fleet.daemonCount)
	node.store = table.NewClient(table.NewHTTP(fleet.platformAddress, node.tableMeter.client()), fleet.clock, writer, random(uint64(index)), tableSettings)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = ident.Entry(fmt.Sprintf("entry-%02d", index)), region, centres[index%len(centres)]
	settings.ControlAddress, settings.CallerAddress = node.controlAddress, listeners.Caller.Addr().String()
	settings.Seed = uint64(index + 1)
	node.callerAddress = settings.CallerAddress
	control, runtimes := node.controlMeter.pool(), new(meter).client()
	agents := dispatch.NewConnections(fleet.clock, controlpb.DialOptions(insecure.NewCredentials())...)
	fleet.tb.Cleanup(agents.Close)
	daemon, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: fleet.clock, Table: node.store, Agents: agents, Control: control,
		Runtimes: func(address string, name ident.Worker) worker.Runtime { return worker.NewHTTP(address, name, runtimes) },
	})
	fleet.must(err)
	operatorSettings := operator.Defaults()
	operatorSettings.Credentials = []operator.Credential{{Operator: "benchmark", Token: token}}
	operators, err := operator.New(operatorSettings, daemon.Operations(), metrics.NewSet())
	fleet.must(err)
	server := entry.NewServer(daemon, listeners, operators, caller.Defaults(), nil, grpc.StatsHandler(&node.controlMeter))
	node.daemon, fleet.entries[index] = daemon, node
	node.stop = sync.OnceFunc(func() {
		server.Close()
		node.store.Close()
		control.Close()
	})
	fleet.stop = append(fleet.stop, node.stop)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.entryProcesses = append(fleet.entryProcesses, node)
}

// startAgent starts the agent of the next worker, together with its endpoint.
func (fleet *fleet) startAgent(bootstrap []string) {
	fleet.agents = append(fleet.agents, nil)
	fleet.runAgent(len(fleet.agents)-1, bootstrap)
}

// runAgent starts the agent of the worker with the index, or starts it again after it has ended.
func (fleet *fleet) runAgent(index int, bootstrap []string) {
	fleet.daemonCount++
	incarnation := ident.Incarnation(fleet.daemonCount)
	node := &agentNode{config: config.NewPublisher()}
	address, err := fleet.platform.ServeEndpoint(endpointID(index))
	fleet.must(err)
	clientSettings := endpoint.ClientDefaults()
	clientSettings.Address = address
	client := endpoint.NewClient(fleet.clock, clientSettings)
	gateSettings := endpoint.GateDefaults()
	gateSettings.Endpoint, gateSettings.Service, gateSettings.Incarnation = endpointID(index), "checks", incarnation
	gate := endpoint.NewGate(fleet.clock, client, gateSettings)
	listener := node.meter.listen(fleet.tb)
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre = workerID(index), region, centres[index%len(centres)]
	settings.Rack = ident.Rack(fmt.Sprintf("rack-%d", index/9))
	settings.RuntimeAddress, settings.Address, settings.Balancer = fleet.platformAddress, listener.Addr().String(), bootstrap
	pool := node.meter.pool()
	node.daemon = agent.New(settings, fleet.clock, worker.NewHTTP(fleet.platformAddress, workerID(index), new(meter).client()), gate, pool,
		node.config, incarnation, random(uint64(index)))
	server := agent.NewServer(node.daemon, listener, grpc.StatsHandler(&node.meter))
	fleet.agents[index] = node
	node.stop = sync.OnceFunc(func() {
		server.Close()
		gate.Close()
		client.Close()
		pool.Close()
	})
	fleet.stop = append(fleet.stop, node.stop)
}

// controlAddresses returns the control addresses of the entries.
func (fleet *fleet) controlAddresses() []string {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.controlAddress)
	}
	return addresses
}

// baselineEntry answers heartbeats with a constant lease and does nothing else. What a system with it
// uses is the cost of the agents and of gRPC, without that of an entry.
type baselineEntry struct {
	controlpb.UnimplementedEntryServer
	state *controlpb.EntryState
}

// Announce accepts every agent with the same lease.
func (baseline *baselineEntry) Announce(context.Context, *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	return &controlpb.AnnounceReply{Accepted: true, Home: baseline.state, LeaseTermMillis: 20_000, GrantRevision: 1}, nil
}

// startBaselineEntry starts a baselineEntry and returns its address.
func (fleet *fleet) startBaselineEntry() string {
	listener := new(meter).listen(fleet.tb)
	controlAddress := listener.Addr().String()
	server := grpc.NewServer(controlpb.ServerOptions()...)
	controlpb.RegisterEntryServer(server, &baselineEntry{state: &controlpb.EntryState{Entry: "fixed", ControlAddress: controlAddress, Region: string(region)}})
	go func() { _ = server.Serve(listener) }()
	fleet.stop = append(fleet.stop, server.Stop)
	return controlAddress
}

// operatorClient returns a client of the operators' API that uses all entries.
func (fleet *fleet) operatorClient() *operator.Client {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.operatorAddress)
	}
	client, err := operator.NewClient(operator.ClientSettings{Entries: addresses, Token: token, TimeoutMillis: 10 * clock.Second})
	fleet.must(err)
	return client
}

// until waits until the condition holds, and fails after waitTimeout.
func (fleet *fleet) until(state string, condition func() bool) {
	fleet.tb.Helper()
	deadline := fleet.clock.Now().Add(fleet.waitTimeout)
	for !condition() {
		if fleet.clock.Now() > deadline {
			fleet.tb.Fatalf("not reached within %s: %s", fleet.waitTimeout, state)
		}
		<-fleet.clock.After(50 * clock.Millisecond)
	}
}

// awaitLeases waits until all agents have leases.
func (fleet *fleet) awaitLeases() {
	fleet.tb.Helper()
	fleet.until("all agents hold a lease", func() bool {
		for _, node := range fleet.agents {
			if !node.daemon.Ready() {
				return false
			}
		}
		return true
	})
}

// configure takes the data centres in and creates the team.
func (fleet *fleet) configure(operators *operator.Client) operator.Accepted {
	var accepted operator.Accepted
	var err error
	for _, centre := range fleet.centres {
		fleet.until("entries are ready", func() bool {
			accepted, err = operators.SetDataCentre(context.Background(), operator.DataCentreChange{DataCentre: centre, State: operator.In, Reason: "benchmark"})
			return err == nil
		})
	}
	quota := unit.Resources{CPU: 10_000_000, Memory: 100_000_000}
	accepted, err = operators.SetTeam(context.Background(), operator.TeamChange{Team: team, Quota: quota})
	fleet.must(err)
	return accepted
}

// submit submits a job of standing tasks that use half a core and 512 MiB each.
func (fleet *fleet) submit(operators *operator.Client, name ident.Job, tasks int) {
	_, err := operators.SubmitJob(context.Background(), operator.JobSubmission{
		Job: name, Team: team, Class: "layout", Kind: worker.Standing, Tasks: tasks,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: 3600_000, Class: "layout"}.String(),
	})
	fleet.must(err)
}

// countTasks counts the running tasks in the ledgers of all agents.
func (fleet *fleet) countTasks() int {
	count := 0
	for _, node := range fleet.agents {
		count += len(fleet.listTasks(node))
	}
	return count
}

// listTasks returns the running tasks in the ledger of an agent.
func (fleet *fleet) listTasks(node *agentNode) []*controlpb.TaskStatus {
	reply, err := node.daemon.Tasks(context.Background(), &controlpb.TasksRequest{})
	fleet.must(err)
	return reply.GetTasks()
}
