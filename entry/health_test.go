package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// neighbours passes exchanges between the entries of one region.
type neighbours struct {
	noConnections
	running sync.Map
}

func (network *neighbours) Entry(address string) (controlpb.EntryClient, error) {
	return neighbour{network: network, address: address}, nil
}

type neighbour struct {
	controlpb.EntryClient
	network *neighbours
	address string
}

func (client neighbour) Exchange(ctx context.Context, request *controlpb.ExchangeRequest, _ ...grpc.CallOption) (*controlpb.ExchangeReply, error) {
	if running, ok := client.network.running.Load(client.address); ok {
		return running.(*Entry).Exchange(ctx, request)
	}
	return nil, errClosed{}
}

func (client neighbour) Yield(context.Context, *controlpb.YieldRequest, ...grpc.CallOption) (*controlpb.YieldReply, error) {
	return nil, errClosed{}
}

// healthWorld is three entries of a region and ten workers.
type healthWorld struct {
	*testing.T
	network *neighbours
	memory  *tabletest.Memory
	entries []*Entry
	count   int
}

func (world *healthWorld) start(name string) *Entry {
	entry := startEntry(world.T, name, Dependencies{Table: world.memory, Control: world.network})
	world.network.running.Store(name, entry)
	return entry
}

func startEntry(t *testing.T, name string, dependencies Dependencies) *Entry {
	t.Helper()
	settings := DefaultSettings()
	settings.ID, settings.ControlAddress, settings.Region, settings.DataCentre = ident.Entry(name), name, "north", "dc1"
	dependencies.Clock, dependencies.Agents = clock.NewSystem(), noRequests{}
	dependencies.Runtimes = func(string, ident.Worker) worker.Runtime { return nil }
	entry, err := New(t.Context(), settings, dependencies)
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

func (world *healthWorld) announce() {
	for index := range 10 {
		world.count++
		state := &controlpb.WorkerState{
			Worker: fmt.Sprintf("w%02d", index), AgentAddress: "none", Incarnation: 1, Sequence: uint64(world.count),
			Region: "north", DataCentre: "dc1", Capacity: &controlpb.Resources{CpuMilli: 1000, MemoryMib: 1000},
		}
		for _, entry := range world.entries {
			if _, err := entry.Announce(world.Context(), &controlpb.AnnounceRequest{State: state}); err != nil {
				world.Fatal(err)
			}
		}
	}
}

func (world *healthWorld) pass(seconds int) {
	for range seconds {
		world.announce()
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

// fail reports a failed task of a job whose home is the entry.
func (world *healthWorld) fail(entry *Entry, on string) {
	for {
		world.count++
		name := ident.Job(fmt.Sprintf("job-%d", world.count))
		if !entry.mine(name) {
			continue
		}
		submission, err := job.Submission(job.Spec{
			Job: name, Team: "team", Kind: worker.Batch, Count: 1, Region: "north", Declared: unit.Resources{CPU: 100, Memory: 100},
		}, "")
		if err == nil {
			err = world.memory.Write(submission)
		}
		if err == nil {
			err = entry.loadJob(world.Context(), name)
		}
		if err != nil {
			world.Fatal(err)
		}
		_, err = entry.Report(world.Context(), &controlpb.ReportRequest{Worker: on, Incarnation: 1, Ended: []*controlpb.TaskStatus{{
			Task: controlpb.FromTask(ident.Task{Job: name}, 1), State: string(worker.Failed), Reason: "exit status 1",
		}}})
		if err != nil {
			world.Fatal(err)
		}
		return
	}
}

func (world *healthWorld) wantUnusable(on ident.Worker) {
	world.Helper()
	for _, entry := range world.entries {
		usable := true
		entry.control.Call(func() { usable = entry.learned.health.Usable(on, entry.time.Now()) })
		if usable {
			world.Errorf("%s places on %s", entry.settings.ID, on)
		}
	}
}

// TestFailuresAtSeveralEntries guards against a faulty worker that stays in service because the jobs
// that failed on it have different homes, and against an entry that restarts and places on it.
func TestFailuresAtSeveralEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := &healthWorld{T: t, network: &neighbours{}, memory: tabletest.New()}
		for index := range 3 {
			world.entries = append(world.entries, world.start(fmt.Sprintf("e%d", index)))
		}
		defer func() {
			for _, entry := range world.entries {
				entry.Close()
			}
		}()
		time.Sleep(20 * time.Second)
		world.pass(10)
		for _, entry := range world.entries {
			world.fail(entry, "w03")
		}
		exchange := int(DefaultSettings().Membership.ExchangeMillis / clock.Second)
		world.pass(exchange + 1)
		world.wantUnusable("w03")

		world.entries[1].Close()
		world.entries[1] = world.start("e1")
		time.Sleep(time.Second)
		world.pass(2*exchange + 1)
		world.wantUnusable("w03")
	})
}
