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
	// tasksPerWorker is 14,100 running tasks on 1,200 workers.
	tasksPerWorker = 12
)

var centres = []ident.DataCentre{"gent", "kortrijk", "aalst"}

// fleet is a system with production times in one process. The platform is reached over HTTP, so that
// the bytes of the table are counted too. Package standalone shortens times and reaches the platform
// by calls, which would leave both out.
type fleet struct {
	b        testing.TB
	time     clock.Clock
	platform *standin.Platform
	address  string
	entries  []*entryNode
	agents   []*agentNode
	// processes counts the daemons started so far, so that each has an incarnation of its own.
	processes int

	mu sync.Mutex
	// started are the processes of entries, ended ones included.
	started []*entryNode
	// centres are the data centres, in turn.
	centres []ident.DataCentre
	// patience bounds each wait for a state.
	patience clock.Millis
	// heapBefore is the heap before anything was started.
	heapBefore float64
	stop       []func()
}

type entryNode struct {
	control  meter
	table    meter
	store    *table.Client
	address  string
	operator string
	caller   string
	daemon   *entry.Entry
	stop     func()
}

type agentNode struct {
	meter  meter
	daemon *agent.Agent
	config *config.Publisher
	stop   func()
}

// newFleet starts the platform with the given number of workers, and no daemon.
func newFleet(b testing.TB, workers int) *fleet {
	b.Helper()
	logging.New(io.Discard, slog.LevelInfo)
	fleet := &fleet{b: b, time: clock.NewSystem(), centres: centres, patience: 2 * clock.Minute, heapBefore: heap()}
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
	fleet.platform = standin.New(settings, fleet.time)
	ctx, cancel := context.WithCancel(context.Background())
	listener := new(meter).listen(b)
	fleet.address = "http://" + listener.Addr().String()
	go func() { _ = standin.NewServer(fleet.platform).Serve(ctx, listener) }()
	fleet.stop = append(fleet.stop, func() {
		cancel()
		for _, served := range fleet.platform.Endpoints {
			_ = served.Close()
		}
		fleet.platform.Close()
	})
	editor := config.NewEditor(fleet.platform.Table, fleet.time, random(9), config.NewPublisher())
	fleet.check(editor.Bootstrap(ctx, "benchmark"))
	return fleet
}

func workerID(index int) ident.Worker { return ident.Worker(fmt.Sprintf("worker-%04d", index)) }

func endpointID(index int) ident.Endpoint { return ident.Endpoint(fmt.Sprintf("endpoint-%04d", index)) }

func random(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(1, purpose)) }

func (fleet *fleet) check(err error) {
	fleet.b.Helper()
	if err != nil {
		fleet.b.Fatal(err)
	}
}

// close stops everything in reverse order.
func (fleet *fleet) close() {
	for index := len(fleet.stop) - 1; index >= 0; index-- {
		fleet.stop[index]()
	}
}

// startEntry starts one entry of a system with the given number of entries.
func (fleet *fleet) startEntry(total int) {
	fleet.entries = append(fleet.entries, nil)
	fleet.runEntry(len(fleet.entries)-1, total)
}

// runEntry starts the process of an entry, anew if it ended.
func (fleet *fleet) runEntry(index, total int) {
	node := &entryNode{}
	listeners := entry.Listeners{Control: node.control.listen(fleet.b), Caller: new(meter).listen(fleet.b), Operator: new(meter).listen(fleet.b)}
	node.address, node.operator = listeners.Control.Addr().String(), listeners.Operator.Addr().String()
	limits := table.DefaultSettings()
	limits.Entries = total
	fleet.processes++
	writer := fmt.Sprintf("entry-%d-%d", index, fleet.processes)
	node.store = table.NewClient(table.NewHTTP(fleet.address, node.table.client()), fleet.time, writer, random(uint64(index)), limits)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = ident.Entry(fmt.Sprintf("entry-%02d", index)), region, centres[index%len(centres)]
	settings.ControlAddress, settings.CallerAddress = node.address, listeners.Caller.Addr().String()
	settings.Seed = uint64(index + 1)
	node.caller = settings.CallerAddress
	control, runtimes := node.control.pool(), new(meter).client()
	agents := dispatch.NewConnections(fleet.time, controlpb.DialOptions(insecure.NewCredentials())...)
	fleet.b.Cleanup(agents.Close)
	daemon, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: fleet.time, Table: node.store, Agents: agents, Control: control,
		Runtimes: func(address string, name ident.Worker) worker.Runtime { return worker.NewHTTP(address, name, runtimes) },
	})
	fleet.check(err)
	access := operator.Defaults()
	access.Credentials = []operator.Credential{{Operator: "benchmark", Token: token}}
	operators, err := operator.New(access, daemon.Operations(), metrics.NewSet())
	fleet.check(err)
	server := entry.NewServer(daemon, listeners, operators, caller.Defaults(), nil, grpc.StatsHandler(&node.control))
	node.daemon, fleet.entries[index] = daemon, node
	node.stop = sync.OnceFunc(func() {
		server.Close()
		node.store.Close()
		control.Close()
	})
	fleet.stop = append(fleet.stop, node.stop)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.started = append(fleet.started, node)
}

// startAgent starts the agent of the next worker, with an endpoint.
func (fleet *fleet) startAgent(bootstrap []string) {
	fleet.agents = append(fleet.agents, nil)
	fleet.runAgent(len(fleet.agents)-1, bootstrap)
}

// runAgent starts the agent of a worker, anew if it ended.
func (fleet *fleet) runAgent(index int, bootstrap []string) {
	fleet.processes++
	incarnation := ident.Incarnation(fleet.processes)
	node := &agentNode{config: config.NewPublisher()}
	address, err := fleet.platform.ServeEndpoint(endpointID(index))
	fleet.check(err)
	limits := endpoint.ClientDefaults()
	limits.Address = address
	client := endpoint.NewClient(fleet.time, limits)
	admitted := endpoint.GateDefaults()
	admitted.Endpoint, admitted.Service, admitted.Incarnation = endpointID(index), "checks", incarnation
	gate := endpoint.NewGate(fleet.time, client, admitted)
	listener := node.meter.listen(fleet.b)
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre = workerID(index), region, centres[index%len(centres)]
	settings.Rack = ident.Rack(fmt.Sprintf("rack-%d", index/9))
	settings.RuntimeAddress, settings.Address, settings.Balancer = fleet.address, listener.Addr().String(), bootstrap
	pool := node.meter.pool()
	node.daemon = agent.New(settings, fleet.time, worker.NewHTTP(fleet.address, workerID(index), new(meter).client()), gate, pool,
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

// addresses are the control addresses of the entries.
func (fleet *fleet) addresses() []string {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.address)
	}
	return addresses
}

// fixedEntry answers heartbeats with a constant lease and does nothing else. It is the baseline that
// leaves the cost of the agents and of gRPC.
type fixedEntry struct {
	controlpb.UnimplementedEntryServer
	state *controlpb.EntryState
}

// Announce accepts every agent.
func (fixed *fixedEntry) Announce(context.Context, *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
	return &controlpb.AnnounceReply{Accepted: true, Home: fixed.state, LeaseTermMillis: 20_000, GrantRevision: 1}, nil
}

// startFixed starts the baseline and returns its address.
func (fleet *fleet) startFixed() string {
	listener := new(meter).listen(fleet.b)
	address := listener.Addr().String()
	server := grpc.NewServer(controlpb.ServerOptions()...)
	controlpb.RegisterEntryServer(server, &fixedEntry{state: &controlpb.EntryState{Entry: "fixed", ControlAddress: address, Region: string(region)}})
	go func() { _ = server.Serve(listener) }()
	fleet.stop = append(fleet.stop, server.Stop)
	return address
}

// operators returns a client of the operators' API.
func (fleet *fleet) operators() *operator.Client {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.operator)
	}
	client, err := operator.NewClient(operator.ClientSettings{Entries: addresses, Token: token, TimeoutMillis: 10 * clock.Second})
	fleet.check(err)
	return client
}

// until waits for a state of the running system.
func (fleet *fleet) until(awaited string, reached func() bool) {
	fleet.b.Helper()
	deadline := fleet.time.Now().Add(fleet.patience)
	for !reached() {
		if fleet.time.Now() > deadline {
			fleet.b.Fatalf("not reached within %s: %s", fleet.patience, awaited)
		}
		<-fleet.time.After(50 * clock.Millisecond)
	}
}

// ready waits until all agents hold leases.
func (fleet *fleet) ready() {
	fleet.b.Helper()
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
	fleet.check(err)
	return accepted
}

// submit submits a job of standing tasks that use little.
func (fleet *fleet) submit(operators *operator.Client, name ident.Job, tasks int) {
	_, err := operators.SubmitJob(context.Background(), operator.JobSubmission{
		Job: name, Team: team, Class: "layout", Kind: worker.Standing, Tasks: tasks,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: 3600_000, Class: "layout"}.String(),
	})
	fleet.check(err)
}

// tasks counts the running tasks as the agents' ledgers hold them.
func (fleet *fleet) tasks() int {
	count := 0
	for _, node := range fleet.agents {
		count += len(fleet.listed(node))
	}
	return count
}

// listed returns the running tasks of an agent.
func (fleet *fleet) listed(node *agentNode) []*controlpb.TaskStatus {
	reply, err := node.daemon.Tasks(context.Background(), &controlpb.TasksRequest{})
	fleet.check(err)
	return reply.GetTasks()
}
