package standalone

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"hyssopjunction/agent"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/entry"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/operator"
	"hyssopjunction/set"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// bubble is a system with production times that runs on the fake clock of a synctest bubble. Its
// daemons call each other within the process, because a goroutine that waits for a socket would keep
// the fake clock from advancing.
type bubble struct {
	*testing.T
	clock    clock.Clock
	platform *standin.Platform
	centres  []ident.DataCentre
	workers  int

	mu         sync.Mutex
	servers    map[string]any
	entries    map[ident.Entry]*bubbleEntry
	agents     map[ident.Worker]*agent.Agent
	lastNumber uint64
}

// bubbleEntry is a running entry with its client of the table.
type bubbleEntry struct {
	*entry.Entry
	store *table.Client
}

// inBubble runs check on a system of three data centres, each with one entry and the given number of
// workers with agents.
func inBubble(t *testing.T, workers int, check func(bubble *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bubble := &bubble{
			T: t, clock: clock.NewSystem(), centres: SampleLayout().DataCentres, workers: workers,
			servers: map[string]any{}, entries: map[ident.Entry]*bubbleEntry{}, agents: map[ident.Worker]*agent.Agent{},
		}
		settings := setting.StandIn{Simulation: setting.Simulation{Seed: 1, TickMillis: 1000, ValueBytes: 256 << 10, ObjectBytes: 16 << 20, HistoryCommits: 1}}
		bubble.forEachWorker(func(centre ident.DataCentre, index int) {
			settings.Workers = append(settings.Workers, setting.StandInWorker{
				Name: WorkerID(centre, index), CPU: 32_000, Memory: 128_000, ClockOffsetMillis: clock.Millis(1000 * index), UsageLagMillis: 5000,
			})
		})
		bubble.platform = standin.New(settings, bubble.clock)
		defer bubble.platform.Close()
		for _, centre := range bubble.centres {
			bubble.startEntry(centre)
		}
		defer bubble.closeAll()
		bubble.forEachWorker(bubble.startAgent)
		bubble.advance(20 * clock.Second)
		bubble.configure()
		check(bubble)
	})
}

// forEachWorker calls step for each worker of each data centre.
func (bubble *bubble) forEachWorker(step func(centre ident.DataCentre, index int)) {
	for _, centre := range bubble.centres {
		for index := range bubble.workers {
			step(centre, index)
		}
	}
}

// advance lets the fake clock advance by the duration and waits until all goroutines are blocked.
func (bubble *bubble) advance(duration clock.Millis) {
	<-bubble.clock.After(duration)
	synctest.Wait()
}

// nextNumber returns a new number for each start of a daemon, used as its seed and incarnation.
func (bubble *bubble) nextNumber() uint64 {
	bubble.lastNumber++
	return bubble.lastNumber
}

func (bubble *bubble) startEntry(centre ident.DataCentre) {
	bubble.Helper()
	id, seed := EntryID(centre), bubble.nextNumber()
	tableSettings := table.DefaultSettings()
	tableSettings.Entries = len(bubble.centres)
	store := table.NewClient(bubble.platform.Table, bubble.clock, fmt.Sprintf("%s-%d", id, seed), rand.New(rand.NewPCG(seed, 1)), tableSettings)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre, settings.ControlAddress, settings.Seed = id, "flanders", centre, string(id), seed
	daemon, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: bubble.clock, Table: store, Control: bubble, Agents: noAgentConnections{}, Objects: bubble.platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return bubble.platform.Workers[name] },
	})
	if err != nil {
		bubble.Fatal(err)
	}
	bubble.serve(string(id), daemon)
	bubble.entries[id] = &bubbleEntry{daemon, store}
}

func (bubble *bubble) startAgent(centre ident.DataCentre, index int) {
	name, seed := WorkerID(centre, index), bubble.nextNumber()
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre, settings.Address = name, "flanders", centre, string(name)
	settings.Rack, settings.RuntimeAddress = ident.Rack(fmt.Sprint(centre, index/workersPerRack)), "in process"
	for _, dataCentre := range bubble.centres {
		settings.Balancer = append(settings.Balancer, string(EntryID(dataCentre)))
	}
	daemon := agent.New(settings, bubble.clock, bubble.platform.Workers[name], nil, bubble, config.NewPublisher(), ident.Incarnation(seed), rand.New(rand.NewPCG(seed, 2)))
	bubble.serve(string(name), daemon)
	bubble.agents[name] = daemon
}

func (bubble *bubble) serve(address string, server any) {
	bubble.mu.Lock()
	defer bubble.mu.Unlock()
	bubble.servers[address] = server
}

// unreachableDaemon takes the place of a daemon whose VM is gone: calls to it are never answered.
type unreachableDaemon struct{}

// crashEntry ends an entry at once. Further calls to it are refused.
func (bubble *bubble) crashEntry(centre ident.DataCentre) {
	id := EntryID(centre)
	bubble.serve(string(id), nil)
	bubble.entries[id].Close()
	bubble.entries[id].store.Close()
	delete(bubble.entries, id)
}

// crashAgent ends an agent at once. Its tasks continue to run until the worker's lease expires.
func (bubble *bubble) crashAgent(centre ident.DataCentre, index int) {
	name := WorkerID(centre, index)
	bubble.serve(string(name), nil)
	bubble.agents[name].Close()
	delete(bubble.agents, name)
}

func (bubble *bubble) closeAll() {
	for _, daemon := range bubble.agents {
		daemon.Close()
	}
	for _, daemon := range bubble.entries {
		daemon.Close()
		daemon.store.Close()
	}
}

// Invoke calls a method of the daemon at the address. Generated clients call it.
func (connection inProcessConnection) Invoke(ctx context.Context, method string, request, reply any, _ ...grpc.CallOption) error {
	connection.bubble.mu.Lock()
	server := connection.bubble.servers[connection.address]
	connection.bubble.mu.Unlock()
	if _, unreachable := server.(unreachableDaemon); unreachable {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	if server == nil {
		return status.Error(codes.Unavailable, "no process listens")
	}
	for _, service := range []grpc.ServiceDesc{controlpb.Entry_ServiceDesc, controlpb.Agent_ServiceDesc} {
		for _, description := range service.Methods {
			if "/"+service.ServiceName+"/"+description.MethodName != method {
				continue
			}
			answer, err := description.Handler(server, ctx, func(into any) error {
				proto.Merge(into.(proto.Message), request.(proto.Message))
				return nil
			}, nil)
			if err == nil {
				proto.Merge(reply.(proto.Message), answer.(proto.Message))
			}
			return err
		}
	}
	return status.Error(codes.Unimplemented, method)
}

// inProcessConnection is a client connection to the daemon at an address.
type inProcessConnection struct {
	grpc.ClientConnInterface
	bubble  *bubble
	address string
}

// Entry returns a client of the entry at the address.
func (bubble *bubble) Entry(address string) (controlpb.EntryClient, error) {
	return controlpb.NewEntryClient(inProcessConnection{bubble: bubble, address: address}), nil
}

// Agent returns a client of the agent at the address.
func (bubble *bubble) Agent(address string) (controlpb.AgentClient, error) {
	return controlpb.NewAgentClient(inProcessConnection{bubble: bubble, address: address}), nil
}

// Discard does nothing: there are no connections to close.
func (bubble *bubble) Discard(string) {}

// noAgentConnections takes the place of the connections that carry callers' requests to agents. These
// tests send no such requests.
type noAgentConnections struct{ entry.Agents }

func (noAgentConnections) KeepOnly(set.Set[string]) {}

// operations returns the operators' API of a running entry.
func (bubble *bubble) operations() operator.Control {
	for _, centre := range bubble.centres {
		if daemon := bubble.entries[EntryID(centre)]; daemon != nil {
			return daemon.Operations()
		}
	}
	bubble.Fatal("no entry runs")
	return nil
}

var operatorCall = operator.Call{Operator: "anna"}

// configure takes the data centres in and creates the team.
func (bubble *bubble) configure() {
	bubble.Helper()
	for _, centre := range bubble.centres {
		if _, err := bubble.operations().SetDataCentre(context.Background(), operatorCall, operator.DataCentreChange{DataCentre: centre, State: operator.In}); err != nil {
			bubble.Fatal(err)
		}
	}
	change := operator.TeamChange{Team: castingTeam, Quota: unit.Resources{CPU: 1_000_000, Memory: 10_000_000}}
	if _, err := bubble.operations().SetTeam(context.Background(), operatorCall, change); err != nil {
		bubble.Fatal(err)
	}
	bubble.advance(10 * clock.Second)
}

// submit submits a job, whose tasks run for the given time, and returns the error of the call.
func (bubble *bubble) submit(name ident.Job, tasks int, kind worker.Kind, run clock.Millis) error {
	_, err := bubble.operations().SubmitJob(context.Background(), operatorCall, operator.JobSubmission{
		Job: name, Team: castingTeam, Class: "layout", Kind: kind, Tasks: tasks,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: run, Class: "layout"}.String(),
	})
	return err
}

// countRuns returns the number of running tasks and the number of all runs so far, from the workers'
// records.
func (bubble *bubble) countRuns() (tasks, runs int) {
	for _, run := range bubble.platform.Records.Runs() {
		runs++
		if run.State == worker.Running {
			tasks++
		}
	}
	return tasks, runs
}

// startStandingTasks submits the given number of standing tasks and checks that they run after 20 s.
func (bubble *bubble) startStandingTasks(tasks int) {
	bubble.Helper()
	if err := bubble.submit("watch", tasks, worker.Standing, 24*clock.Hour); err != nil {
		bubble.Fatal(err)
	}
	bubble.advance(20 * clock.Second)
	bubble.assertRuns(tasks, tasks)
}

// assertRuns checks the number of running tasks and the number of all runs so far.
func (bubble *bubble) assertRuns(tasks, runs int) {
	bubble.Helper()
	if running, all := bubble.countRuns(); running != tasks || all != runs {
		bubble.Fatalf("%d tasks run after %d runs, want %d after %d", running, all, tasks, runs)
	}
}

// agentsWithoutLease counts the agents without a lease.
func (bubble *bubble) agentsWithoutLease() int {
	count := 0
	for _, daemon := range bubble.agents {
		if !daemon.Ready() {
			count++
		}
	}
	return count
}

// agentsHomedAt counts the agents whose leases are granted by the entry of the data centre.
func (bubble *bubble) agentsHomedAt(centre ident.DataCentre) int {
	bubble.Helper()
	count := 0
	for name := range bubble.agents {
		// Reading the history doesn't add to the table's count of reads, which assertSafe checks.
		history := bubble.platform.Table.History(lease.Key(name))
		newest := history[len(history)-1]
		record, err := lease.DecodeRecord(table.Row{Key: lease.Key(name), Value: newest.Value, Revision: newest.Revision})
		if err != nil {
			bubble.Fatal(err)
		}
		if record.Granter.Entry == EntryID(centre) {
			count++
		}
	}
	return count
}

// assertSafe checks that no task was lost or ran twice, and that the table's peak rates of reads and
// commits stayed within the limits that the entries set themselves.
func (bubble *bubble) assertSafe() {
	bubble.Helper()
	if violations := bubble.platform.Records.Violations(); violations.HasViolations() {
		bubble.Fatalf("violations: %+v", violations)
	}
	limits, counts := table.DefaultSettings(), bubble.platform.Table.Counts()
	if counts.PeakReads > limits.SystemReads || counts.PeakCommits > limits.SystemWrites {
		bubble.Fatalf("%d reads and %d commits in a second", counts.PeakReads, counts.PeakCommits)
	}
	bubble.Logf("peaks of the table: %d reads and %d commits in a second", counts.PeakReads, counts.PeakCommits)
}

// until waits for a state, checking the condition every 100 ms, and returns how long it took. The test
// fails after the timeout.
func (bubble *bubble) until(state string, timeout clock.Millis, condition func() bool) clock.Millis {
	bubble.Helper()
	start := bubble.clock.Now()
	for !condition() {
		if bubble.clock.Now().Sub(start) > timeout {
			bubble.Fatalf("not reached within %s: %s", timeout.Duration(), state)
		}
		bubble.advance(100 * clock.Millisecond)
	}
	return bubble.clock.Now().Sub(start)
}
