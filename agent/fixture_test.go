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
	run      = ident.Task{Job: "run", Index: 0}
)

// fakeRuntime is a worker without a size of its own. Before is called ahead of each call and may
// return an error instead of it; after may lose the answer of a call that took effect.
type fakeRuntime struct {
	time   clock.Clock
	mu     sync.Mutex
	tasks  map[ident.Task]worker.Status
	fences map[ident.Task]ident.Epoch
	expiry worker.Instant
	starts int
	before func(ctx context.Context, call string) error
	after  func(call string) error
}

func (runtime *fakeRuntime) do(ctx context.Context, call string, step func() error) error {
	runtime.mu.Lock()
	before, after := runtime.before, runtime.after
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

func (runtime *fakeRuntime) faults(before func(ctx context.Context, call string) error, after func(call string) error) {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.before, runtime.after = before, after
}

// finish ends a running task, as when its work is done.
func (runtime *fakeRuntime) finish(name ident.Task, state worker.State) {
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
		if have, ok := runtime.tasks[spec.Task]; ok && have.Epoch == spec.Epoch {
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

// fakeEntry is every entry. Answer decides on heartbeats, and record which ends are recorded.
type fakeEntry struct {
	controlpb.EntryClient
	mu         sync.Mutex
	heartbeats []*controlpb.AnnounceRequest
	targets    []string
	reports    []*controlpb.TaskStatus
	answer     func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error)
	record     bool
	// time is set if the entry notes in at when heartbeats arrive.
	time clock.Clock
	at   []clock.Time
}

// target is a connection to the fake entry under one address.
type target struct {
	*fakeEntry
	address string
}

func (entry *fakeEntry) Entry(address string) (controlpb.EntryClient, error) {
	return target{entry, address}, nil
}

func (entry *fakeEntry) Discard(string) {}

// granted is the reply of the home to a heartbeat.
func granted(revision uint64) *controlpb.AnnounceReply {
	return &controlpb.AnnounceReply{
		Accepted: true, LeaseTermMillis: 20_000, GrantRevision: revision, EntriesDigest: 1,
		Entries: []*controlpb.EntryState{{Entry: "e1", ControlAddress: "e1", Incarnation: 1, Region: "north"}},
	}
}

func (to target) Announce(_ context.Context, request *controlpb.AnnounceRequest, _ ...grpc.CallOption) (*controlpb.AnnounceReply, error) {
	to.mu.Lock()
	defer to.mu.Unlock()
	to.heartbeats = append(to.heartbeats, request)
	to.targets = append(to.targets, to.address)
	if to.time != nil {
		to.at = append(to.at, to.time.Now())
	}
	if to.answer != nil {
		return to.answer(request)
	}
	return granted(1), nil
}

func (to target) Report(_ context.Context, request *controlpb.ReportRequest, _ ...grpc.CallOption) (*controlpb.ReportReply, error) {
	to.mu.Lock()
	defer to.mu.Unlock()
	reply := &controlpb.ReportReply{}
	for _, status := range request.Ended {
		to.reports = append(to.reports, status)
		if to.record {
			reply.Recorded = append(reply.Recorded, status.Task)
		}
	}
	return reply, nil
}

func (to target) Leave(context.Context, *controlpb.LeaveRequest, ...grpc.CallOption) (*controlpb.LeaveReply, error) {
	return &controlpb.LeaveReply{}, nil
}

func (entry *fakeEntry) decide(answer func(request *controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error)) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.answer = answer
}

// reported returns the state in the newest report of a task, empty if there is none.
func (entry *fakeEntry) reported(name ident.Task) worker.State {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	state := worker.State("")
	for _, message := range entry.reports {
		if status := controlpb.ToStatus(message); status.Task == name {
			state = status.State
		}
	}
	return state
}

// world is an agent between a fake worker and a fake entry, on the clock of a synctest bubble.
type world struct {
	*testing.T
	agent   *Agent
	runtime *fakeRuntime
	entry   *fakeEntry
}

// inWorld runs check with an agent that has a lease.
func inWorld(t *testing.T, check func(world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{T: t, entry: &fakeEntry{}}
		world.runtime = &fakeRuntime{time: clock.NewSystem(), tasks: map[ident.Task]worker.Status{}, fences: map[ident.Task]ident.Epoch{}}
		world.begin(1)
		defer func() { world.agent.Close() }()
		world.pass(time.Second)
		check(world)
	})
}

// begin starts an agent process.
func (world *world) begin(incarnation ident.Incarnation) {
	settings := DefaultSettings()
	settings.Worker, settings.Region, settings.Address, settings.Balancer = "w1", "north", "agent", []string{"balancer"}
	world.agent = New(settings, world.runtime.time, world.runtime, nil, world.entry, config.NewPublisher(), incarnation, rand.New(rand.NewPCG(1, 1)))
}

func (world *world) pass(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func (world *world) ref(epoch ident.Epoch) []*controlpb.TaskRef {
	return []*controlpb.TaskRef{controlpb.FromTask(run, epoch)}
}

func (world *world) reserve(epoch ident.Epoch) *controlpb.ReserveReply {
	reply, err := world.agent.Reserve(world.Context(), &controlpb.ReserveRequest{
		Reservation: "r1", Incarnation: uint64(world.agent.Incarnation()), TermMillis: 2000,
		Tasks: []*controlpb.TaskSpec{{Task: controlpb.FromTask(run, epoch), Kind: string(worker.Batch), Resources: controlpb.FromResources(taskSize)}},
	})
	if err != nil {
		world.Fatal(err)
	}
	return reply
}

func (world *world) start(incarnation ident.Incarnation, epoch ident.Epoch) *controlpb.StartReply {
	reply, err := world.agent.Start(world.Context(), &controlpb.StartRequest{Reservation: "r1", Incarnation: uint64(incarnation), Tasks: world.ref(epoch)})
	if err != nil {
		world.Fatal(err)
	}
	synctest.Wait()
	return reply
}

// launch reserves and starts a task.
func (world *world) launch(epoch ident.Epoch) {
	world.Helper()
	world.reserve(epoch)
	reply := world.start(world.agent.Incarnation(), epoch)
	world.wantOK(reply.Results)
}

func (world *world) stop(epoch ident.Epoch) []*controlpb.TaskResult {
	ctx, cancel := context.WithTimeout(world.Context(), 5*time.Second)
	defer cancel()
	reply, err := world.agent.Stop(ctx, &controlpb.StopRequest{Incarnation: uint64(world.agent.Incarnation()), Tasks: world.ref(epoch), Checkpoint: true})
	if err != nil {
		world.Fatal(err)
	}
	return reply.Results
}

func (world *world) wantOK(results []*controlpb.TaskResult) {
	world.Helper()
	if len(results) != 1 || !results[0].Ok {
		world.Fatalf("got %v, want one confirmed task", results)
	}
}

func (world *world) wantRefusal(results []*controlpb.TaskResult, refusal string) {
	world.Helper()
	if len(results) != 1 || results[0].Ok || results[0].Refusal != refusal {
		world.Fatalf("got %v, want refusal %q", results, refusal)
	}
}

func (world *world) wantNone(results []*controlpb.TaskResult) {
	world.Helper()
	if len(results) != 0 {
		world.Fatalf("got %v, want no result", results)
	}
}

func (world *world) wantState(want worker.State) {
	world.Helper()
	if state := world.runtime.state(run); state != want {
		world.Fatalf("worker has state %q, want %q", state, want)
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

// held returns the tasks in the agent's ledger.
func (world *world) held() []capacity.Entry {
	var entries []capacity.Entry
	world.agent.control.Call(func() { entries = world.agent.ledger.Entries() })
	return entries
}
