package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// adoptionTimeout ends the test if the state is not reached. It is no performance bound.
const adoptionTimeout = 30 * time.Second

// startSingleEntry starts an entry without agents on the table.
func startSingleEntry(t *testing.T, store table.Store) *Entry {
	t.Helper()
	source := clock.NewSystem()
	client := table.NewClient(store, source, "lone-1", rand.New(rand.NewPCG(1, 1)), table.DefaultSettings())
	t.Cleanup(client.Close)
	pool := controlpb.NewPool(controlpb.DialOptions(insecure.NewCredentials())...)
	t.Cleanup(pool.Close)
	agents := dispatch.NewConnections(source, controlpb.DialOptions(insecure.NewCredentials())...)
	t.Cleanup(agents.Close)
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = "lone", "flanders", "gent"
	settings.ControlAddress = "127.0.0.1:1"
	entry, err := New(t.Context(), settings, Dependencies{Clock: source, Table: client, Agents: agents, Control: pool})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(entry.Close)
	return entry
}

// TestAdoptedTaskOfEndedIncarnation guards against tasks that stay placed forever because the
// incarnation of their worker ended before the entry that became their home had started.
func TestAdoptedTaskOfEndedIncarnation(t *testing.T) {
	store := standin.NewTable(standin.TableOptions{Clock: clock.NewSystem()})
	row, err := job.New(job.Spec{
		Job: "watch", Team: "casting", Kind: worker.Standing, Count: 1, Region: "flanders",
		Declared: unit.Resources{CPU: 1000, Memory: 1024},
	})
	if err != nil {
		t.Fatal(err)
	}
	placed := job.Placement{Worker: "gone", Incarnation: 5, DataCentre: "gent"}
	for _, change := range []job.Change{
		{Step: job.StepClaim, Epoch: 1, Placement: placed, Size: row.Spec.Declared}, {Step: job.StepStart, Epoch: 1},
	} {
		if err := row.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	condition, operation, err := lease.End(table.Row{Key: lease.Key("gone")}, "gone", 5, lease.Process{Entry: "past"}, lease.OperatorDeclaration)
	if err != nil {
		t.Fatal(err)
	}
	_, err = store.Commit(context.Background(), table.Transaction{
		Write: "setup", Conditions: []table.Condition{condition},
		Operations: []table.Operation{
			operation, {Key: job.Key("watch"), Value: row.Encode()}, {Key: pendingKey("watch"), Value: []byte("1")},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	entry := startSingleEntry(t, store)
	for deadline := time.Now().Add(adoptionTimeout); ; time.Sleep(20 * time.Millisecond) {
		state := job.State("")
		entry.control.Call(func() {
			if row, ok := entry.scheduler.Job(ident.Job("watch")); ok {
				state = row.Tasks[0].State
			}
		})
		if state == job.Waiting || state == job.Parked {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the task is %q", state)
		}
	}
}
