package entry

import (
	"fmt"
	"strings"
	"testing"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// outOfMemory reports that an epoch of the job's task ran out of memory at the limit.
func (world *world) outOfMemory(epoch ident.Epoch, limit int64) {
	world.Helper()
	used := unit.Mebibytes(limit)
	world.end(worker.Status{Task: run, Epoch: epoch, State: worker.Failed, End: worker.OutOfMemory, Resources: unit.Resources{Memory: used}, Peak: used})
}

func (world *world) end(status worker.Status) {
	world.Helper()
	request := &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{controlpb.FromStatus(status)}}
	if _, err := world.entry.Report(world.Context(), request); err != nil {
		world.Fatal(err)
	}
}

// memory returns what the next task of the job is placed with, in MiB.
func (world *world) memory() int64 {
	world.Helper()
	reply, err := world.entry.Explain(world.Context(), &controlpb.ExplainRequest{Job: string(run.Job)})
	if err != nil || !reply.Known {
		world.Fatalf("job is not explained: %v, %v", reply, err)
	}
	return reply.GetSize().GetMemoryMib()
}

// TestOutOfMemoryRaisesSize guards against a task that is placed again with the memory at which it
// ran out, against a size above the largest worker while that was not tried, and against an end that
// convicts the worker or parks the job as faulty.
func TestOutOfMemoryRaisesSize(t *testing.T) {
	inWorld(t, func(world *world) {
		for index := range 3 {
			world.sequence++
			state := &controlpb.WorkerState{
				Worker: fmt.Sprintf("w%d", index), AgentAddress: "none", Incarnation: 1, Sequence: world.sequence, Region: "north",
				DataCentre: "dc1", Capacity: &controlpb.Resources{CpuMilli: 8000, MemoryMib: 4000},
			}
			if _, err := world.entry.Announce(world.Context(), &controlpb.AnnounceRequest{State: state}); err != nil {
				world.Fatal(err)
			}
		}
		world.pass(2 * refreshInterval.Duration())
		row, err := job.New(job.Spec{Job: run.Job, Team: "team", Kind: worker.Batch, Count: 1, Declared: size, Region: "north", Class: "layout"})
		world.write(table.Condition{Key: job.Key(run.Job)}, table.Operation{Key: job.Key(run.Job), Value: row.Encode()}, err)
		if err := world.entry.loadJob(world.Context(), run.Job); err != nil {
			world.Fatal(err)
		}
		largest := int64(0)
		world.entry.control.Call(func() { largest = int64(world.entry.learned.largest) })
		limit, steps := world.memory(), 0
		for epoch := ident.Epoch(1); limit < largest; epoch++ {
			world.outOfMemory(epoch, limit)
			world.outOfMemory(epoch, limit) // Reports are repeated.
			next := world.memory()
			if next <= limit || next > largest {
				world.Fatalf("%d MiB after running out at %d, largest worker %d", next, limit, largest)
			}
			limit = next
			steps++
		}
		if steps < 2 {
			world.Fatalf("largest worker after %d steps: a repeated report counts again", steps)
		}
		world.outOfMemory(100, limit)
		if next := world.memory(); next <= largest {
			world.Fatalf("%d MiB after running out on the largest worker with %d", next, largest)
		}
		reply, _ := world.entry.Explain(world.Context(), &controlpb.ExplainRequest{Job: string(run.Job)})
		if len(reply.Decisions) == 0 || !strings.Contains(reply.Decisions[0], "ran out of memory") {
			world.Errorf("explained by %q", reply.Decisions)
		}
		world.entry.control.Call(func() {
			if reason, blocked := world.entry.learned.health.Blocked(run.Job, world.entry.time.Now()); blocked {
				world.Errorf("parked as faulty: %s", reason)
			}
			if out := world.entry.learned.health.Quarantined(); len(out) != 0 {
				world.Errorf("quarantined %v", out)
			}
		})
	})
}

// TestRunTimeIsLearned guards against run times that are never reported by the ends of tasks.
func TestRunTimeIsLearned(t *testing.T) {
	inWorld(t, func(world *world) {
		world.writeJob(run.Job, true)
		if err := world.entry.loadJob(world.Context(), run.Job); err != nil {
			world.Fatal(err)
		}
		world.end(worker.Status{Task: run, Epoch: 1, State: worker.Finished, Ran: 60_000, Peak: 300})
		world.entry.control.Call(func() {
			if learned := world.entry.learned.sizes.RunTime(run.Job, "", 0); learned < 60_000 || learned > 80_000 {
				world.Errorf("run time %s after a task of 60 s", learned)
			}
		})
	})
}
