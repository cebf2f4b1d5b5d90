package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// assertTermEnded fails unless the leader has stepped down.
func assertTermEnded(t *testing.T, coordinator *Coordinator) {
	t.Helper()
	select {
	case <-coordinator.Lost():
	default:
		t.Error("the leader goes on, want the end of its term")
	}
}

// assertIgnored fails unless events of the source are ignored, or not.
func assertIgnored(t *testing.T, faults *Faults, name source, want bool) {
	t.Helper()
	if got := faults.isIgnored(name); got != want {
		t.Errorf("%s: got ignored %t, want %t", name, got, want)
	}
}

// TestReportThatFailsLeader guards against a report that takes down each entry in turn as it becomes the leader, and against a
// leader that goes on with the state that a failed event left behind.
func TestReportThatFailsLeader(t *testing.T) {
	coordinator, source := newTestLeader(t)
	coordinator.contain(agentSource("side-1"), func() { panic("malformed report") })
	assertTermEnded(t, coordinator)
	coordinator.contain(sourceUnknown, func() { t.Error("an event ran after one had failed") })
	faults := coordinator.deps.Faults
	assertIgnored(t, faults, agentSource("side-1"), true)
	assertIgnored(t, faults, agentSource("side-2"), false)
	source.Advance(firstFaultDelay)
	assertIgnored(t, faults, agentSource("side-1"), false)
	for range 20 {
		faults.record(agentSource("side-1"))
	}
	source.Advance(maxFaultDelay)
	assertIgnored(t, faults, agentSource("side-1"), false)
}

// TestJobThatFailsLeader guards against a job that ends the terms of all leaders: the next term of the process leaves it out.
func TestJobThatFailsLeader(t *testing.T) {
	coordinator, _, _, orders := newLeaderWithPlacedTask(t)
	orders[0].Job.Spec.Steps = nil
	coordinator.inboxAsOf = coordinator.deps.Clock.Now().Add(clock.Minute)
	coordinator.contain(sourceUnknown, func() { coordinator.scheduler.Plan(coordinator.deps.Clock.Now().Add(clock.Second), 0) })
	assertTermEnded(t, coordinator)
	assertIgnored(t, coordinator.deps.Faults, jobSource(testJob), true)
	assertIgnored(t, coordinator.deps.Faults, jobSource(workflow.ID("0123456789abcde0")), false)
}
