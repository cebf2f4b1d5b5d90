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

// fakeStore is a table whose answers can be delayed. It calls afterCall between the effect of a
// call and its answer, with the key that was read or the first one written. Get fails once its
// context has ended, like that of the table client.
type fakeStore struct {
	*tabletest.Memory
	mu        sync.Mutex
	afterCall func(call string, key table.Key)
}

func (store *fakeStore) setHook(afterCall func(call string, key table.Key)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.afterCall = afterCall
}

// runHook calls the hook, if one is set.
func (store *fakeStore) runHook(call string, key table.Key) {
	store.mu.Lock()
	hook := store.afterCall
	store.mu.Unlock()
	if hook != nil {
		hook(call, key)
	}
}

func (store *fakeStore) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := store.Memory.Get(ctx, key)
	store.runHook("Get", key)
	if ctx.Err() != nil {
		return table.Row{}, table.ErrUnavailable{Reason: ctx.Err().Error()}
	}
	return row, err
}

func (store *fakeStore) Range(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	rows, err := store.Memory.Range(ctx, prefix, after, limit)
	store.runHook("Range", prefix)
	return rows, err
}

func (store *fakeStore) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	result, err := store.Memory.Commit(ctx, transaction)
	store.runHook("Commit", transaction.Operations[0].Key)
	return result, err
}

// noRequests is a connection to agents that carries no requests.
type noRequests struct{ dispatch.Agents }

func (noRequests) KeepOnly(set.Set[string]) {}

// noConnections reaches no other daemon.
type noConnections struct{}

func (noConnections) Agent(string) (controlpb.AgentClient, error) { return nil, errClosed{} }
func (noConnections) Entry(string) (controlpb.EntryClient, error) { return nil, errClosed{} }
func (noConnections) Discard(string)                              {}

// fakeRuntime is a worker's runtime that can only list tasks.
type fakeRuntime struct {
	worker.Runtime
	list func(ctx context.Context) (worker.Report, error)
}

func (runtime fakeRuntime) List(ctx context.Context) (worker.Report, error) {
	return runtime.list(ctx)
}

// fixture is an entry in a synctest bubble.
type fixture struct {
	*testing.T
	entry     *Entry
	store     *fakeStore
	sequence  uint64
	mu        sync.Mutex
	listTasks func(ctx context.Context) (worker.Report, error)
}

// runFixture runs check with the only entry of its region, once the entry is ready.
func runFixture(t *testing.T, check func(fixture *fixture)) {
	t.Helper()
	runFixtureWith(t, noConnections{}, check)
}

// runFixtureWith is runFixture with an entry that reaches other daemons over the connections.
func runFixtureWith(t *testing.T, connections Connections, check func(fixture *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fixture := &fixture{T: t, store: &fakeStore{Memory: tabletest.New()}}
		settings := DefaultSettings()
		settings.ID, settings.Region, settings.DataCentre, settings.ControlAddress = "e1", "north", "dc1", "e1"
		entry, err := New(t.Context(), settings, Dependencies{
			Clock: clock.NewSystem(), Table: fixture.store, Agents: noRequests{}, Control: connections,
			Runtimes: func(string, ident.Worker) worker.Runtime {
				return fakeRuntime{list: func(ctx context.Context) (worker.Report, error) {
					fixture.mu.Lock()
					list := fixture.listTasks
					fixture.mu.Unlock()
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
		fixture.entry = entry
		defer entry.Close()
		fixture.advance(5 * time.Second)
		if !entry.Ready() {
			t.Fatal("entry is not ready")
		}
		check(fixture)
	})
}

// advance lets the duration pass and waits until all goroutines are idle.
func (fixture *fixture) advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// setRunningTasks sets the tasks that the workers' runtimes list.
func (fixture *fixture) setRunningTasks(tasks ...worker.Status) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	fixture.listTasks = func(context.Context) (worker.Report, error) { return worker.Report{Tasks: tasks}, nil }
}

// announce sends a heartbeat. The revision is that of the grant that the agent has.
func (fixture *fixture) announce(name ident.Worker, incarnation, revision uint64, tasks int32) *controlpb.AnnounceReply {
	fixture.sequence++
	reply, err := fixture.entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{GrantRevision: revision, State: &controlpb.WorkerState{
		Worker: string(name), AgentAddress: string(name), RuntimeAddress: string(name), Incarnation: incarnation,
		Sequence: fixture.sequence, Region: "north", DataCentre: "dc1", Tasks: tasks,
	}})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

func (fixture *fixture) wantGrant(reply *controlpb.AnnounceReply) uint64 {
	fixture.Helper()
	if reply.Fenced || !reply.Accepted || reply.LeaseTermMillis == 0 {
		fixture.Fatalf("got %v, want a lease", reply)
	}
	return reply.GrantRevision
}

func (fixture *fixture) wantFenced(reply *controlpb.AnnounceReply) {
	fixture.Helper()
	if !reply.Fenced || reply.Accepted || reply.LeaseTermMillis != 0 {
		fixture.Fatalf("got %v, want fenced", reply)
	}
}

// leaseRecord returns the worker's row, decoded and as stored.
func (fixture *fixture) leaseRecord(name ident.Worker) (lease.Record, table.Row) {
	fixture.Helper()
	row, err := fixture.store.Memory.Get(context.Background(), lease.Key(name))
	if err != nil {
		fixture.Fatal(err)
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		fixture.Fatal(err)
	}
	return record, row
}

// writeRow commits a row as another daemon would and returns the row's revision. It fails the test
// if err, the error of preparing the row, is not nil.
func (fixture *fixture) writeRow(condition table.Condition, operation table.Operation, err error) uint64 {
	fixture.Helper()
	if err == nil {
		err = fixture.store.Write(table.Transaction{Conditions: []table.Condition{condition}, Operations: []table.Operation{operation}})
	}
	if err != nil {
		fixture.Fatal(err)
	}
	row, _ := fixture.store.Memory.Get(context.Background(), operation.Key)
	return uint64(row.Revision)
}

// takeOver makes another entry the worker's granter and returns the revision of the worker's row.
func (fixture *fixture) takeOver(name ident.Worker, incarnation ident.Incarnation) uint64 {
	fixture.Helper()
	_, row := fixture.leaseRecord(name)
	return fixture.writeRow(lease.Takeover(row, name, incarnation, lease.Process{Entry: "e2", Incarnation: 1}))
}

func (fixture *fixture) workerNames(count int) []ident.Worker {
	var names []ident.Worker
	for index := range count {
		names = append(names, ident.Worker(fmt.Sprintf("w%02d", index)))
	}
	return names
}
