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

// regionNetwork passes exchanges between the entries of one region.
type regionNetwork struct {
	noConnections
	entries sync.Map
}

func (network *regionNetwork) Entry(address string) (controlpb.EntryClient, error) {
	return regionPeer{network: network, address: address}, nil
}

// regionPeer is a client of one entry of the region.
type regionPeer struct {
	controlpb.EntryClient
	network *regionNetwork
	address string
}

func (peer regionPeer) Exchange(ctx context.Context, request *controlpb.ExchangeRequest, _ ...grpc.CallOption) (*controlpb.ExchangeReply, error) {
	if entry, ok := peer.network.entries.Load(peer.address); ok {
		return entry.(*Entry).Exchange(ctx, request)
	}
	return nil, errClosed{}
}

func (peer regionPeer) Yield(context.Context, *controlpb.YieldRequest, ...grpc.CallOption) (*controlpb.YieldReply, error) {
	return nil, errClosed{}
}

// regionFixture is three entries of a region and ten workers.
type regionFixture struct {
	*testing.T
	network *regionNetwork
	memory  *tabletest.Memory
	entries []*Entry
	count   int
}

func (fixture *regionFixture) start(name string) *Entry {
	entry := startEntry(fixture.T, name, Dependencies{Table: fixture.memory, Control: fixture.network})
	fixture.network.entries.Store(name, entry)
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

// announce sends a heartbeat of each worker to each entry.
func (fixture *regionFixture) announce() {
	for index := range 10 {
		fixture.count++
		state := &controlpb.WorkerState{
			Worker: fmt.Sprintf("w%02d", index), AgentAddress: "none", Incarnation: 1, Sequence: uint64(fixture.count),
			Region: "north", DataCentre: "dc1", Capacity: &controlpb.Resources{CpuMilli: 1000, MemoryMib: 1000},
		}
		for _, entry := range fixture.entries {
			if _, err := entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{State: state}); err != nil {
				fixture.Fatal(err)
			}
		}
	}
}

// advance lets the seconds pass with a heartbeat of each worker in each.
func (fixture *regionFixture) advance(seconds int) {
	for range seconds {
		fixture.announce()
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

// reportFailure reports a failed task of a new job whose home is the entry.
func (fixture *regionFixture) reportFailure(entry *Entry, workerName string) {
	for {
		fixture.count++
		name := ident.Job(fmt.Sprintf("job-%d", fixture.count))
		if !entry.homedHere(name) {
			continue
		}
		submission, err := job.Submission(job.Spec{
			Job: name, Team: "team", Kind: worker.Batch, Count: 1, Region: "north", Declared: unit.Resources{CPU: 100, Memory: 100},
		}, "")
		if err == nil {
			err = fixture.memory.Write(submission)
		}
		if err == nil {
			err = entry.loadJob(fixture.Context(), name)
		}
		if err != nil {
			fixture.Fatal(err)
		}
		_, err = entry.Report(fixture.Context(), &controlpb.ReportRequest{Worker: workerName, Incarnation: 1, Ended: []*controlpb.TaskStatus{{
			Task: controlpb.FromTask(ident.Task{Job: name}, 1), State: string(worker.Failed), Reason: "exit status 1",
		}}})
		if err != nil {
			fixture.Fatal(err)
		}
		return
	}
}

// wantUnusable checks that no entry places tasks on the worker.
func (fixture *regionFixture) wantUnusable(name ident.Worker) {
	fixture.Helper()
	for _, entry := range fixture.entries {
		usable := true
		entry.control.Call(func() { usable = entry.models.health.Usable(name, entry.time.Now()) })
		if usable {
			fixture.Errorf("%s places on %s", entry.settings.ID, name)
		}
	}
}

// TestFailuresAtSeveralEntries guards against a faulty worker that is not quarantined because the
// jobs that failed on it have different homes, and against an entry that places tasks on it after a
// restart.
func TestFailuresAtSeveralEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := &regionFixture{T: t, network: &regionNetwork{}, memory: tabletest.New()}
		for index := range 3 {
			fixture.entries = append(fixture.entries, fixture.start(fmt.Sprintf("e%d", index)))
		}
		defer func() {
			for _, entry := range fixture.entries {
				entry.Close()
			}
		}()
		time.Sleep(20 * time.Second)
		fixture.advance(10)
		for _, entry := range fixture.entries {
			fixture.reportFailure(entry, "w03")
		}
		exchange := int(DefaultSettings().Membership.ExchangeMillis / clock.Second)
		fixture.advance(exchange + 1)
		fixture.wantUnusable("w03")

		fixture.entries[1].Close()
		fixture.entries[1] = fixture.start("e1")
		time.Sleep(time.Second)
		fixture.advance(2*exchange + 1)
		fixture.wantUnusable("w03")
	})
}
