package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	taskSize = unit.Resources{CPU: 1000, Memory: 1024}
	testTask = ident.Task{Job: "run", Index: 0}
)

// fakeRuntime is an in-memory worker without a capacity limit. beforeCall runs before each call and
// can fail it without effect; afterCall can fail a call that took effect, as if its reply were
// lost.
type fakeRuntime struct {
	time       clock.Clock
	mu         sync.Mutex
	tasks      map[ident.Task]worker.Status
	fences     map[ident.Task]ident.Epoch
	expiry     worker.Instant
	starts     int
	beforeCall func(ctx context.Context, call string) error
	afterCall  func(call string) error
}

func (runtime *fakeRuntime) do(ctx context.Context, call string, step func() error) error {
	runtime.mu.Lock()
	before, after := runtime.beforeCall, runtime.afterCall
	runtime.mu.Unlock()
	if before != nil {
		if err := before(ctx, call); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return worker.ErrUnavailable{Reason: ctx.Err().Error()}
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	if err := step(); err != nil || after == nil {
		return err
	}
	return after(call)
}

func (runtime *fakeRuntime) setFaults(before func(ctx context.Context, call string) error, after func(call string) error) {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.beforeCall, runtime.afterCall = before, after
}

// setState sets the state of a task, for example to Finished as if it had ended by itself.
func (runtime *fakeRuntime) setState(name ident.Task, state worker.State) {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	status := runtime.tasks[name]
	status.State = state
	runtime.tasks[name] = status
}

func (runtime *fakeRuntime) state(name ident.Task) worker.State {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	return runtime.tasks[name].State
}

func (runtime *fakeRuntime) Start(ctx context.Context, spec worker.Spec, expiry worker.Instant) error {
	return runtime.do(ctx, "Start", func() error {
		if status, ok := runtime.tasks[spec.Task]; ok && status.Epoch == spec.Epoch {
			return nil
		}
		if spec.Epoch < runtime.fences[spec.Task] {
			return worker.ErrStaleEpoch{Task: spec.Task, Epoch: spec.Epoch}
		}
		if now := worker.Instant(runtime.time.Now()); expiry <= now {
			return worker.ErrLeaseLapsed{Expiry: expiry, Now: now}
		}
		runtime.starts++
		runtime.tasks[spec.Task] = worker.Status{Task: spec.Task, Epoch: spec.Epoch, State: worker.Running, Resources: spec.Resources}
		return nil
	})
}

func (runtime *fakeRuntime) Renew(ctx context.Context, expiry worker.Instant) (worker.Instant, error) {
	return 0, runtime.do(ctx, "Renew", func() error {
		runtime.expiry = max(runtime.expiry, expiry)
		return nil
	})
}

func (runtime *fakeRuntime) Checkpoint(ctx context.Context, name ident.Task, epoch ident.Epoch) (worker.Checkpoint, error) {
	return worker.Checkpoint{Epoch: epoch, Name: "saved"}, runtime.do(ctx, "Checkpoint", func() error { return nil })
}

func (runtime *fakeRuntime) Throttle(ctx context.Context, _ ident.Task, _ ident.Epoch, _ int) error {
	return runtime.do(ctx, "Throttle", func() error { return nil })
}

func (runtime *fakeRuntime) Stop(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	return runtime.do(ctx, "Stop", func() error {
		runtime.fences[name] = max(runtime.fences[name], epoch+1)
		status, ok := runtime.tasks[name]
		if !ok || status.Epoch != epoch {
			return worker.ErrNoSuchTask{Task: name, Epoch: epoch}
		}
		if status.State == worker.Running {
			status.State = worker.Stopped
			runtime.tasks[name] = status
		}
		return nil
	})
}

func (runtime *fakeRuntime) Forget(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	return runtime.do(ctx, "Forget", func() error {
		if status, ok := runtime.tasks[name]; ok && status.Epoch == epoch && status.State != worker.Running {
			delete(runtime.tasks, name)
		}
		return nil
	})
}

func (runtime *fakeRuntime) List(ctx context.Context) (worker.Report, error) {
	report := worker.Report{Capacity: unit.Resources{CPU: 4000, Memory: 8192}}
	err := runtime.do(ctx, "List", func() error {
		report.Now = worker.Instant(runtime.time.Now())
		for _, status := range runtime.tasks {
			report.Tasks = append(report.Tasks, status)
		}
		return nil
	})
	return report, err
}

// fakeEntry stands for all entries. answer decides on heartbeats; recordEnds makes reported ends
// recorded.
type fakeEntry struct {
	controlpb.EntryClient
	mu         sync.Mutex
	heartbeats []*controlpb.AnnounceRequest
	addresses  []string
	reports    []*controlpb.TaskStatus
	answer     func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error)
	recordEnds bool
	// time is the clock for arrivals, nil if the times of heartbeats are not recorded.
	time     clock.Clock
	arrivals []clock.Time
}

// entryClient is a connection to the fake entry under one address.
type entryClient struct {
	*fakeEntry
	address string
}

func (entry *fakeEntry) Entry(address string) (controlpb.EntryClient, error) {
	return entryClient{entry, address}, nil
}

func (entry *fakeEntry) Discard(string) {}

// grantReply returns the home entry's reply to an accepted heartbeat, with a lease whose grant has
// the revision.
func grantReply(revision uint64) *controlpb.AnnounceReply {
	return &controlpb.AnnounceReply{
		Accepted: true, LeaseTermMillis: 20_000, GrantRevision: revision, EntriesDigest: 1,
		Entries: []*controlpb.EntryState{{Entry: "e1", ControlAddress: "e1", Incarnation: 1, Region: "north"}},
	}
}

func (client entryClient) Announce(_ context.Context, request *controlpb.AnnounceRequest, _ ...grpc.CallOption) (*controlpb.AnnounceReply, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.heartbeats = append(client.heartbeats, request)
	client.addresses = append(client.addresses, client.address)
	if client.time != nil {
		client.arrivals = append(client.arrivals, client.time.Now())
	}
	if client.answer != nil {
		return client.answer(request)
	}
	return grantReply(1), nil
}

func (client entryClient) Report(_ context.Context, request *controlpb.ReportRequest, _ ...grpc.CallOption) (*controlpb.ReportReply, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	reply := &controlpb.ReportReply{}
	for _, status := range request.Ended {
		client.reports = append(client.reports, status)
		if client.recordEnds {
			reply.Recorded = append(reply.Recorded, status.Task)
		}
	}
	return reply, nil
}

func (client entryClient) Leave(context.Context, *controlpb.LeaveRequest, ...grpc.CallOption) (*controlpb.LeaveReply, error) {
	return &controlpb.LeaveReply{}, nil
}

func (entry *fakeEntry) setAnswer(answer func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error)) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.answer = answer
}

// reportedState returns the last reported state of a task, empty if there is none.
func (entry *fakeEntry) reportedState(name ident.Task) worker.State {
	return entry.reportedStatus(name).State
}

// reportedStatus returns the last report of a task, or one without a state if there is none.
func (entry *fakeEntry) reportedStatus(name ident.Task) worker.Status {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	var last worker.Status
	for _, message := range entry.reports {
		if status := controlpb.ToStatus(message); status.Task == name {
			last = status
		}
	}
	return last
}

// fixture is an agent with a fake worker and fake entries on the clock of a synctest bubble.
type fixture struct {
	*testing.T
	agent *Agent
	// clock is the agent's. That of the runtime is the worker's.
	clock   clock.Clock
	runtime *fakeRuntime
	entry   *fakeEntry
}

// withFixture runs check in a synctest bubble with an agent that has a lease.
func withFixture(t *testing.T, check func(fixture *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{T: t, clock: clock.NewSystem(), entry: &fakeEntry{}}
		fixture.runtime = &fakeRuntime{time: fixture.clock, tasks: map[ident.Task]worker.Status{}, fences: map[ident.Task]ident.Epoch{}}
		fixture.startAgent(1)
		defer func() { fixture.agent.Close() }()
		fixture.sleep(time.Second)
		check(fixture)
	})
}

// startAgent starts an agent process.
func (fixture *fixture) startAgent(incarnation ident.Incarnation) {
	settings := DefaultSettings()
	settings.Worker, settings.Region, settings.Address, settings.Balancer = "w1", "north", "agent", []string{"balancer"}
	fixture.agent = New(settings, fixture.clock, fixture.runtime, nil, fixture.entry, config.NewPublisher(), incarnation, rand.New(rand.NewPCG(1, 1)))
}

func (fixture *fixture) sleep(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func (fixture *fixture) ref(epoch ident.Epoch) []*controlpb.TaskRef {
	return []*controlpb.TaskRef{controlpb.FromTask(testTask, epoch)}
}

func (fixture *fixture) reserve(epoch ident.Epoch) *controlpb.ReserveReply {
	reply, err := fixture.agent.Reserve(fixture.Context(), &controlpb.ReserveRequest{
		Reservation: "r1", Incarnation: uint64(fixture.agent.Incarnation()), TermMillis: 2000,
		Tasks: []*controlpb.TaskSpec{{Task: controlpb.FromTask(testTask, epoch), Kind: string(worker.Batch), Resources: controlpb.FromResources(taskSize)}},
	})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

func (fixture *fixture) start(incarnation ident.Incarnation, epoch ident.Epoch) *controlpb.StartReply {
	reply, err := fixture.agent.Start(fixture.Context(), &controlpb.StartRequest{Reservation: "r1", Incarnation: uint64(incarnation), Tasks: fixture.ref(epoch)})
	if err != nil {
		fixture.Fatal(err)
	}
	synctest.Wait()
	return reply
}

// launch reserves and starts the test task.
func (fixture *fixture) launch(epoch ident.Epoch) {
	fixture.Helper()
	fixture.reserve(epoch)
	reply := fixture.start(fixture.agent.Incarnation(), epoch)
	fixture.wantOK(reply.Results)
}

func (fixture *fixture) stop(epoch ident.Epoch) []*controlpb.TaskResult {
	ctx, cancel := context.WithTimeout(fixture.Context(), 5*time.Second)
	defer cancel()
	reply, err := fixture.agent.Stop(ctx, &controlpb.StopRequest{Incarnation: uint64(fixture.agent.Incarnation()), Tasks: fixture.ref(epoch), Checkpoint: true})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply.Results
}

func (fixture *fixture) wantOK(results []*controlpb.TaskResult) {
	fixture.Helper()
	if len(results) != 1 || !results[0].Ok {
		fixture.Fatalf("got %v, want one confirmed task", results)
	}
}

func (fixture *fixture) wantRefusal(results []*controlpb.TaskResult, refusal string) {
	fixture.Helper()
	if len(results) != 1 || results[0].Ok || results[0].Refusal != refusal {
		fixture.Fatalf("got %v, want refusal %q", results, refusal)
	}
}

func (fixture *fixture) wantNone(results []*controlpb.TaskResult) {
	fixture.Helper()
	if len(results) != 0 {
		fixture.Fatalf("got %v, want no result", results)
	}
}

func (fixture *fixture) wantState(want worker.State) {
	fixture.Helper()
	if state := fixture.runtime.state(testTask); state != want {
		fixture.Fatalf("worker has state %q, want %q", state, want)
	}
}

// unavailable makes the named calls fail without effect.
func unavailable(calls ...string) func(context.Context, string) error {
	return func(_ context.Context, call string) error {
		for _, failing := range calls {
			if call == failing {
				return worker.ErrUnavailable{Reason: "test"}
			}
		}
		return nil
	}
}

// ledgerEntries returns the entries of the agent's ledger.
func (fixture *fixture) ledgerEntries() []capacity.Entry {
	var entries []capacity.Entry
	fixture.agent.control.Call(func() { entries = fixture.agent.ledger.Entries() })
	return entries
}
