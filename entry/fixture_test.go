package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeStore is a table whose answers can be delayed: after is called between a call that took effect
// and its answer, with the key read or the first one written. Reads fail once their context has ended, as
// those of the table client do.
type fakeStore struct {
	*tabletest.Memory
	mu    sync.Mutex
	after func(call string, key table.Key)
}

func (store *fakeStore) hook(after func(call string, key table.Key)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.after = after
}

func (store *fakeStore) passed(call string, key table.Key) {
	store.mu.Lock()
	after := store.after
	store.mu.Unlock()
	if after != nil {
		after(call, key)
	}
}

func (store *fakeStore) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := store.Memory.Get(ctx, key)
	store.passed("Get", key)
	if ctx.Err() != nil {
		return table.Row{}, table.ErrUnavailable{Reason: ctx.Err().Error()}
	}
	return row, err
}

func (store *fakeStore) Range(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	rows, err := store.Memory.Range(ctx, prefix, after, limit)
	store.passed("Range", prefix)
	return rows, err
}

func (store *fakeStore) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	result, err := store.Memory.Commit(ctx, transaction)
	store.passed("Commit", transaction.Operations[0].Key)
	return result, err
}

// noRequests carries no callers' requests.
type noRequests struct{ dispatch.Agents }

func (noRequests) Keep(set.Set[string]) {}

// noConnections reaches no other daemon.
type noConnections struct{}

func (noConnections) Agent(string) (controlpb.AgentClient, error) { return nil, errClosed{} }
func (noConnections) Entry(string) (controlpb.EntryClient, error) { return nil, errClosed{} }
func (noConnections) Discard(string)                              {}

// fakeRuntime is a worker that only lists its tasks.
type fakeRuntime struct {
	worker.Runtime
	list func(ctx context.Context) (worker.Report, error)
}

func (runtime fakeRuntime) List(ctx context.Context) (worker.Report, error) {
	return runtime.list(ctx)
}

// world is an entry on the clock of a synctest bubble.
type world struct {
	*testing.T
	entry    *Entry
	store    *fakeStore
	sequence uint64
	mu       sync.Mutex
	list     func(ctx context.Context) (worker.Report, error)
}

// inWorld runs check with the only entry of its region, which has read the configuration.
func inWorld(t *testing.T, check func(world *world)) {
	t.Helper()
	inWorldWith(t, noConnections{}, check)
}

// inWorldWith runs check with an entry that reaches other daemons over the connections.
func inWorldWith(t *testing.T, connections Connections, check func(world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := &world{T: t, store: &fakeStore{Memory: tabletest.New()}}
		settings := DefaultSettings()
		settings.ID, settings.Region, settings.DataCentre, settings.ControlAddress = "e1", "north", "dc1", "e1"
		entry, err := New(t.Context(), settings, Dependencies{
			Clock: clock.NewSystem(), Table: world.store, Agents: noRequests{}, Control: connections,
			Runtimes: func(string, ident.Worker) worker.Runtime {
				return fakeRuntime{list: func(ctx context.Context) (worker.Report, error) {
					world.mu.Lock()
					list := world.list
					world.mu.Unlock()
					if list == nil {
						return worker.Report{}, nil
					}
					return list(ctx)
				}}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		world.entry = entry
		defer entry.Close()
		world.pass(5 * time.Second)
		if !entry.Ready() {
			t.Fatal("entry is not ready")
		}
		check(world)
	})
}

func (world *world) pass(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// runs sets what the worker's runtime lists.
func (world *world) runs(tasks ...worker.Status) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.list = func(context.Context) (worker.Report, error) { return worker.Report{Tasks: tasks}, nil }
}

// announce sends a heartbeat. Revision is that of the grant that the agent has.
func (world *world) announce(name ident.Worker, incarnation, revision uint64, tasks int32) *controlpb.AnnounceReply {
	world.sequence++
	reply, err := world.entry.Announce(world.Context(), &controlpb.AnnounceRequest{GrantRevision: revision, State: &controlpb.WorkerState{
		Worker: string(name), AgentAddress: string(name), RuntimeAddress: string(name), Incarnation: incarnation,
		Sequence: world.sequence, Region: "north", DataCentre: "dc1", Tasks: tasks,
	}})
	if err != nil {
		world.Fatal(err)
	}
	return reply
}

func (world *world) wantGrant(reply *controlpb.AnnounceReply) uint64 {
	world.Helper()
	if reply.Fenced || !reply.Accepted || reply.LeaseTermMillis == 0 {
		world.Fatalf("got %v, want a lease", reply)
	}
	return reply.GrantRevision
}

func (world *world) wantFenced(reply *controlpb.AnnounceReply) {
	world.Helper()
	if !reply.Fenced || reply.Accepted || reply.LeaseTermMillis != 0 {
		world.Fatalf("got %v, want fenced", reply)
	}
}

// record returns the worker's row.
func (world *world) record(name ident.Worker) (lease.Record, table.Row) {
	world.Helper()
	row, err := world.store.Memory.Get(context.Background(), lease.Key(name))
	if err != nil {
		world.Fatal(err)
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		world.Fatal(err)
	}
	return record, row
}

// write commits a change of a worker's row as another daemon and returns the row's revision.
func (world *world) write(condition table.Condition, operation table.Operation, err error) uint64 {
	world.Helper()
	if err == nil {
		err = world.store.Write(table.Transaction{Conditions: []table.Condition{condition}, Operations: []table.Operation{operation}})
	}
	if err != nil {
		world.Fatal(err)
	}
	row, _ := world.store.Memory.Get(context.Background(), operation.Key)
	return uint64(row.Revision)
}

// takeOver makes another entry the worker's granter.
func (world *world) takeOver(name ident.Worker, incarnation ident.Incarnation) uint64 {
	world.Helper()
	_, row := world.record(name)
	return world.write(lease.Takeover(row, name, incarnation, lease.Process{Entry: "e2", Incarnation: 1}))
}

func (world *world) workers(count int) []ident.Worker {
	var names []ident.Worker
	for index := range count {
		names = append(names, ident.Worker(fmt.Sprintf("w%02d", index)))
	}
	return names
}
