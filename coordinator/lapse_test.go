package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const testLease = 10 * clock.Second

// testWorker is the worker of newWorkerReport.
const testWorker scheduler.Incarnation = "i-1@1@side-1"

// newLapseLeader returns a test leader that grants leases of testLease and archives nothing.
func newLapseLeader(t *testing.T) (*Coordinator, *clock.Fake) {
	t.Helper()
	coordinator, source := newTestLeader(t)
	coordinator.workerLease = testLease
	coordinator.deps.Store = unreachedStore{}
	coordinator.startedAt = source.Now()
	return coordinator, source
}

// restoreRun adds a job with a task that runs on testWorker.
func (coordinator *Coordinator) restoreRun() {
	job := workflow.New(workflow.Spec{
		ID: "0123456789abcdef", Queue: "queue", Service: "desk",
		Steps: []workflow.Step{{Count: 1, Standing: true, Need: unit.Resources{CPU: 1000, Memory: 1000}}},
	})
	job.AddDueOccurrences(0)
	name := workflow.Name{Job: job.Spec.ID}
	job.Place(name, job.NextRun(name), string(testWorker))
	coordinator.scheduler.Restore(job, coordinator.startedAt)
}

// lapsesAfter runs the periodic checks until no run is active on testWorker, and returns how long that took.
func (coordinator *Coordinator) lapsesAfter(t *testing.T, source *clock.Fake) clock.Millis {
	t.Helper()
	start := source.Now()
	for source.Now().Sub(start) < clock.Minute {
		coordinator.runPeriodicChecks()
		if len(coordinator.scheduler.ExpectedOrders(testWorker)) == 0 && len(coordinator.scheduler.Orphans()) == 0 {
			return source.Now().Sub(start)
		}
		source.Advance(checkInterval)
	}
	t.Fatal("the run did not end within a minute")
	return 0
}

// keepLeading renews the test leader's lease, as a round that stores a heartbeat does.
func (coordinator *Coordinator) keepLeading(source *clock.Fake) {
	coordinator.validUntil.Store(int64(source.Now().Add(election.LeaderLease)))
}

// TestGrantWithoutWorkerDelaysLapse guards against two runs of one task: an agent that was restarted is granted a lease
// before it knows its worker, and extends the worker's lease with that grant.
func TestGrantWithoutWorkerDelaysLapse(t *testing.T) {
	for name, attached := range map[string]bool{"worker reported before": true, "worker of an earlier term": false} {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t)
			coordinator.restoreRun()
			if attached {
				coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			}
			source.Advance(8 * clock.Second)
			coordinator.keepLeading(source)
			coordinator.handleReport(newTestSession("side-1"), &session.Report{Sequence: 1, Node: "side-1"})
			if got, want := coordinator.lapsesAfter(t, source), election.WorkerStoppedAfter(testLease); got <= want {
				t.Errorf("the run ended %s after a grant to its node, want more than %s", got, want)
			}
		})
	}
}

// TestEarlierLeaderDelaysLapse guards against two runs of one task: an agent whose session with a new leader broke
// before the first grant arrived returns to the earlier leader, which grants leases until its extension ends.
func TestEarlierLeaderDelaysLapse(t *testing.T) {
	coordinator, source := newLapseLeader(t)
	coordinator.restoreRun()
	coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
	if got, want := coordinator.lapsesAfter(t, source), election.GrantExtension+election.WorkerStoppedAfter(testLease); got < want {
		t.Errorf("the run ended %s after the takeover, want at least %s", got, want)
	}
}
