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

// bubble is a system with production times in a synctest bubble. Its daemons call each other within
// the process, without sockets, so that its time is fake.
type bubble struct {
	*testing.T
	time     clock.Clock
	platform *standin.Platform
	centres  []ident.DataCentre
	workers  int

	mu      sync.Mutex
	servers map[string]any
	entries map[ident.Entry]*bubbleEntry
	agents  map[ident.Worker]*agent.Agent
	starts  uint64
}

type bubbleEntry struct {
	*entry.Entry
	store *table.Client
}

// inBubble runs check with one entry and some workers with agents in each of three data centres.
func inBubble(t *testing.T, workers int, check func(bubble *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		made := &bubble{
			T: t, time: clock.NewSystem(), centres: SampleLayout().DataCentres, workers: workers,
			servers: map[string]any{}, entries: map[ident.Entry]*bubbleEntry{}, agents: map[ident.Worker]*agent.Agent{},
		}
		settings := setting.StandIn{Simulation: setting.Simulation{Seed: 1, TickMillis: 1000, ValueBytes: 256 << 10, ObjectBytes: 16 << 20, HistoryCommits: 1}}
		made.each(func(centre ident.DataCentre, index int) {
			settings.Workers = append(settings.Workers, setting.StandInWorker{
				Name: WorkerID(centre, index), CPU: 32_000, Memory: 128_000, ClockOffsetMillis: clock.Millis(1000 * index), UsageLagMillis: 5000,
			})
		})
		made.platform = standin.New(settings, made.time)
		defer made.platform.Close()
		for _, centre := range made.centres {
			made.startEntry(centre)
		}
		defer made.closeAll()
		made.each(made.startAgent)
		made.pass(20 * clock.Second)
		made.configure()
		check(made)
	})
}

func (bubble *bubble) each(step func(centre ident.DataCentre, index int)) {
	for _, centre := range bubble.centres {
		for index := range bubble.workers {
			step(centre, index)
		}
	}
}

func (bubble *bubble) pass(time clock.Millis) {
	<-bubble.time.After(time)
	synctest.Wait()
}

// next returns a number that no daemon was started with before.
func (bubble *bubble) next() uint64 {
	bubble.starts++
	return bubble.starts
}

func (bubble *bubble) startEntry(centre ident.DataCentre) {
	bubble.Helper()
	id, seed := EntryID(centre), bubble.next()
	limits := table.DefaultSettings()
	limits.Entries = len(bubble.centres)
	store := table.NewClient(bubble.platform.Table, bubble.time, fmt.Sprintf("%s-%d", id, seed), rand.New(rand.NewPCG(seed, 1)), limits)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre, settings.ControlAddress, settings.Seed = id, "flanders", centre, string(id), seed
	made, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: bubble.time, Table: store, Control: bubble, Agents: noRequests{}, Objects: bubble.platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return bubble.platform.Workers[name] },
	})
	if err != nil {
		bubble.Fatal(err)
	}
	bubble.serve(string(id), made)
	bubble.entries[id] = &bubbleEntry{made, store}
}

func (bubble *bubble) startAgent(centre ident.DataCentre, index int) {
	name, seed := WorkerID(centre, index), bubble.next()
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre, settings.Address = name, "flanders", centre, string(name)
	settings.Rack, settings.RuntimeAddress = ident.Rack(fmt.Sprint(centre, index/workersPerRack)), "in process"
	for _, known := range bubble.centres {
		settings.Balancer = append(settings.Balancer, string(EntryID(known)))
	}
	made := agent.New(settings, bubble.time, bubble.platform.Workers[name], nil, bubble, config.NewPublisher(), ident.Incarnation(seed), rand.New(rand.NewPCG(seed, 2)))
	bubble.serve(string(name), made)
	bubble.agents[name] = made
}

func (bubble *bubble) serve(address string, server any) {
	bubble.mu.Lock()
	defer bubble.mu.Unlock()
	bubble.servers[address] = server
}

// vanished stands for a daemon whose VM is gone: calls to it have no answer.
type vanished struct{}

// crashEntry ends an entry at once. Calls to it are refused.
func (bubble *bubble) crashEntry(centre ident.DataCentre) {
	id := EntryID(centre)
	bubble.serve(string(id), nil)
	bubble.entries[id].Close()
	bubble.entries[id].store.Close()
	delete(bubble.entries, id)
}

// crashAgent ends an agent at once. Its tasks run on until the lease lapses.
func (bubble *bubble) crashAgent(centre ident.DataCentre, index int) {
	name := WorkerID(centre, index)
	bubble.serve(string(name), nil)
	bubble.agents[name].Close()
	delete(bubble.agents, name)
}

func (bubble *bubble) closeAll() {
	for _, running := range bubble.agents {
		running.Close()
	}
	for _, running := range bubble.entries {
		running.Close()
		running.store.Close()
	}
}

// Invoke calls the daemon at the address, as generated clients do.
func (to target) Invoke(ctx context.Context, method string, request, reply any, _ ...grpc.CallOption) error {
	to.bubble.mu.Lock()
	server := to.bubble.servers[to.address]
	to.bubble.mu.Unlock()
	if _, gone := server.(vanished); gone {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	if server == nil {
		return status.Error(codes.Unavailable, "no process listens")
	}
	for _, service := range []grpc.ServiceDesc{controlpb.Entry_ServiceDesc, controlpb.Agent_ServiceDesc} {
		for _, known := range service.Methods {
			if "/"+service.ServiceName+"/"+known.MethodName != method {
				continue
			}
			answer, err := known.Handler(server, ctx, func(into any) error {
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

// target is the connection to one address.
type target struct {
	grpc.ClientConnInterface
	bubble  *bubble
	address string
}

// Entry is part of the daemons' connections.
func (bubble *bubble) Entry(address string) (controlpb.EntryClient, error) {
	return controlpb.NewEntryClient(target{bubble: bubble, address: address}), nil
}

// Agent is part of the daemons' connections.
func (bubble *bubble) Agent(address string) (controlpb.AgentClient, error) {
	return controlpb.NewAgentClient(target{bubble: bubble, address: address}), nil
}

// Discard is part of the daemons' connections.
func (bubble *bubble) Discard(string) {}

// noRequests stands for the connections of callers' requests, of which these systems have none.
type noRequests struct{ entry.Agents }

func (noRequests) Keep(set.Set[string]) {}

// operations returns the operators' calls of a running entry.
func (bubble *bubble) operations() operator.Control {
	for _, centre := range bubble.centres {
		if running := bubble.entries[EntryID(centre)]; running != nil {
			return running.Operations()
		}
	}
	bubble.Fatal("no entry runs")
	return nil
}

var bubbleCall = operator.Call{Operator: "anna"}

func (bubble *bubble) configure() {
	bubble.Helper()
	for _, centre := range bubble.centres {
		if _, err := bubble.operations().SetDataCentre(context.Background(), bubbleCall, operator.DataCentreChange{DataCentre: centre, State: operator.In}); err != nil {
			bubble.Fatal(err)
		}
	}
	change := operator.TeamChange{Team: casting, Quota: unit.Resources{CPU: 1_000_000, Memory: 10_000_000}}
	if _, err := bubble.operations().SetTeam(context.Background(), bubbleCall, change); err != nil {
		bubble.Fatal(err)
	}
	bubble.pass(10 * clock.Second)
}

// submit submits a job and returns the error of the operators' call.
func (bubble *bubble) submit(name ident.Job, tasks int, kind worker.Kind, run clock.Millis) error {
	_, err := bubble.operations().SubmitJob(context.Background(), bubbleCall, operator.JobSubmission{
		Job: name, Team: casting, Class: "layout", Kind: kind, Tasks: tasks,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: run, Class: "layout"}.String(),
	})
	return err
}

// running counts the running tasks, and all runs so far, in the records of the workers.
func (bubble *bubble) running() (tasks, runs int) {
	for _, run := range bubble.platform.Records.Runs() {
		runs++
		if run.State == worker.Running {
			tasks++
		}
	}
	return tasks, runs
}

// stand submits standing tasks and waits until they run.
func (bubble *bubble) stand(tasks int) {
	bubble.Helper()
	if err := bubble.submit("watch", tasks, worker.Standing, 24*clock.Hour); err != nil {
		bubble.Fatal(err)
	}
	bubble.pass(20 * clock.Second)
	bubble.wantRunning(tasks, tasks)
}

func (bubble *bubble) wantRunning(tasks, runs int) {
	bubble.Helper()
	if running, all := bubble.running(); running != tasks || all != runs {
		bubble.Fatalf("%d tasks run after %d runs, want %d after %d", running, all, tasks, runs)
	}
}

// unready counts the agents without a lease.
func (bubble *bubble) unready() int {
	count := 0
	for _, running := range bubble.agents {
		if !running.Ready() {
			count++
		}
	}
	return count
}

// homed counts the agents whose lease the entry of the data centre grants.
func (bubble *bubble) homed(centre ident.DataCentre) int {
	bubble.Helper()
	count := 0
	for name := range bubble.agents {
		// The history is no read that the table counts.
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

// assertSafe checks that nothing was lost or doubled and that the table stayed below the rates to
// which the entries bind themselves.
func (bubble *bubble) assertSafe() {
	bubble.Helper()
	if violations := bubble.platform.Records.Violations(); violations.Any() {
		bubble.Fatalf("violations: %+v", violations)
	}
	limits, counts := table.DefaultSettings(), bubble.platform.Table.Counts()
	if counts.PeakReads > limits.SystemReads || counts.PeakCommits > limits.SystemWrites {
		bubble.Fatalf("%d reads and %d commits in a second", counts.PeakReads, counts.PeakCommits)
	}
	bubble.Logf("peaks of the table: %d reads and %d commits in a second", counts.PeakReads, counts.PeakCommits)
}

// until waits for a state, checking it every 100 ms, and returns how long it took.
func (bubble *bubble) until(awaited string, limit clock.Millis, reached func() bool) clock.Millis {
	bubble.Helper()
	began := bubble.time.Now()
	for !reached() {
		if bubble.time.Now().Sub(began) > limit {
			bubble.Fatalf("not reached within %s: %s", limit.Duration(), awaited)
		}
		bubble.pass(100 * clock.Millisecond)
	}
	return bubble.time.Now().Sub(began)
}
