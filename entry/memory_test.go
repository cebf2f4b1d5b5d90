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

// reportOutOfMemory reports that testTask ran out of memory at the limit in the given epoch.
func (fixture *fixture) reportOutOfMemory(epoch ident.Epoch, limit int64) {
	fixture.Helper()
	memory := unit.Mebibytes(limit)
	fixture.reportEnd(worker.Status{Task: testTask, Epoch: epoch, State: worker.Failed, End: worker.OutOfMemory, Resources: unit.Resources{Memory: memory}, Peak: memory})
}

// reportEnd reports the end of a task on w1.
func (fixture *fixture) reportEnd(status worker.Status) {
	fixture.Helper()
	request := &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{controlpb.FromStatus(status)}}
	if _, err := fixture.entry.Report(fixture.Context(), request); err != nil {
		fixture.Fatal(err)
	}
}

// plannedMemory returns the memory in MiB with which the next task of the job is placed.
func (fixture *fixture) plannedMemory() int64 {
	fixture.Helper()
	reply, err := fixture.entry.Explain(fixture.Context(), &controlpb.ExplainRequest{Job: string(testTask.Job)})
	if err != nil || !reply.Known {
		fixture.Fatalf("job is not explained: %v, %v", reply, err)
	}
	return reply.GetSize().GetMemoryMib()
}

// TestOutOfMemoryRaisesSize guards against a task that is placed again with the memory at which it
// ran out, against a size above the largest worker before that was tried, and against an end for
// lack of memory that quarantines the worker or parks the job as faulty.
func TestOutOfMemoryRaisesSize(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		for index := range 3 {
			fixture.sequence++
			state := &controlpb.WorkerState{
				Worker: fmt.Sprintf("w%d", index), AgentAddress: "none", Incarnation: 1, Sequence: fixture.sequence, Region: "north",
				DataCentre: "dc1", Capacity: &controlpb.Resources{CpuMilli: 8000, MemoryMib: 4000},
			}
			if _, err := fixture.entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{State: state}); err != nil {
				fixture.Fatal(err)
			}
		}
		fixture.advance(2 * refreshInterval.Duration())
		row, err := job.New(job.Spec{Job: testTask.Job, Team: "team", Kind: worker.Batch, Count: 1, Declared: taskSize, Region: "north", Class: "layout"})
		fixture.writeRow(table.Condition{Key: job.Key(testTask.Job)}, table.Operation{Key: job.Key(testTask.Job), Value: row.Encode()}, err)
		if err := fixture.entry.loadJob(fixture.Context(), testTask.Job); err != nil {
			fixture.Fatal(err)
		}
		largest := int64(0)
		fixture.entry.control.Call(func() { largest = int64(fixture.entry.models.largestMemory) })
		limitMiB, steps := fixture.plannedMemory(), 0
		for epoch := ident.Epoch(1); limitMiB < largest; epoch++ {
			fixture.reportOutOfMemory(epoch, limitMiB)
			fixture.reportOutOfMemory(epoch, limitMiB) // Reports are repeated.
			next := fixture.plannedMemory()
			if next <= limitMiB || next > largest {
				fixture.Fatalf("%d MiB after running out at %d, largest worker %d", next, limitMiB, largest)
			}
			limitMiB = next
			steps++
		}
		if steps < 2 {
			fixture.Fatalf("largest worker after %d steps: a repeated report counts again", steps)
		}
		fixture.reportOutOfMemory(100, limitMiB)
		if next := fixture.plannedMemory(); next <= largest {
			fixture.Fatalf("%d MiB after running out on the largest worker with %d", next, largest)
		}
		reply, _ := fixture.entry.Explain(fixture.Context(), &controlpb.ExplainRequest{Job: string(testTask.Job)})
		if len(reply.Decisions) == 0 || !strings.Contains(reply.Decisions[0], "ran out of memory") {
			fixture.Errorf("explained by %q", reply.Decisions)
		}
		fixture.entry.control.Call(func() {
			if reason, parked := fixture.entry.models.health.Parked(testTask.Job, fixture.entry.time.Now()); parked {
				fixture.Errorf("parked as faulty: %s", reason)
			}
			if quarantined := fixture.entry.models.health.Quarantined(); len(quarantined) != 0 {
				fixture.Errorf("quarantined %v", quarantined)
			}
		})
	})
}

// TestRunTimeIsLearned guards against run times in reported ends that do not reach the model.
func TestRunTimeIsLearned(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.writeJob(testTask.Job, true)
		if err := fixture.entry.loadJob(fixture.Context(), testTask.Job); err != nil {
			fixture.Fatal(err)
		}
		fixture.reportEnd(worker.Status{Task: testTask, Epoch: 1, State: worker.Finished, Ran: 60_000, Peak: 300})
		fixture.entry.control.Call(func() {
			if learned := fixture.entry.models.sizes.RunTime(testTask.Job, "", 0); learned < 60_000 || learned > 80_000 {
				fixture.Errorf("run time %s after a task of 60 s", learned)
			}
		})
	})
}
