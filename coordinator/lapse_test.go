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

// newLapseLeader returns a test leader that grants leases of testLease and archives nothing. It has just taken over from
// a leader that was silent and whose heartbeat told the grants.
func newLapseLeader(t *testing.T, grants *election.Grants) (*Coordinator, *clock.Fake) {
	t.Helper()
	coordinator, source := newTestLeader(t)
	coordinator.workerLease = testLease
	coordinator.deps.Store = unreachedStore{}
	candidate := election.NewCandidate("edge-2", "edge-2")
	reading := election.Reading{Term: election.Term{Number: 1, Holder: "edge-1"}, TermVersion: 1, Heartbeat: election.Heartbeat{Term: 1, Grants: grants}, HeartbeatVersion: 1}
	for !candidate.Observe(reading, source.Now()) {
		source.Advance(1)
	}
	coordinator.startedAt = source.Now()
	coordinator.ledger = election.NewGrantLedger(candidate.InheritedGrants(), coordinator.startedAt)
	coordinator.keepLeading(source)
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

// TestNoLeaseWithoutWorker guards against two runs of one task: an agent that was restarted is granted a lease before it
// knows its worker, and extends the worker's lease with that grant after the leader has ended the worker's runs. It also
// guards against tasks that wait for ever: the worker ended while its agent was restarted, the agent never learns of it, and
// each grant to it delayed the lapse.
func TestNoLeaseWithoutWorker(t *testing.T) {
	for name, attached := range map[string]bool{"worker reported before": true, "worker of an earlier term": false} {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t, nil)
			coordinator.restoreRun()
			if attached {
				coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			}
			granted, _ := coordinator.ledger.LastGrant("side-1")
			restarted := newTestSession("side-1")
			for number := uint64(1); len(coordinator.scheduler.ExpectedOrders(testWorker))+len(coordinator.scheduler.Orphans()) > 0; number++ {
				coordinator.keepLeading(source)
				coordinator.handleReport(restarted, &session.Report{Sequence: number, Node: "side-1"})
				for _, message := range restarted.takeMessages() {
					if message.Lease != 0 {
						t.Fatalf("report %d: granted a lease of %s without a worker", number, message.Lease)
					}
				}
				coordinator.runPeriodicChecks()
				source.Advance(checkInterval)
				if source.Now().Sub(granted) > election.WorkerStoppedAfter(testLease)+clock.Second {
					t.Fatalf("the run has not ended %s after the last grant", source.Now().Sub(granted))
				}
			}
			if got, want := source.Now().Sub(granted), election.WorkerStoppedAfter(testLease); got <= want {
				t.Errorf("the run ended %s after the last grant, want more than %s", got, want)
			}
		})
	}
}

// TestGrantOnFirstReportDelaysLapse guards against two runs of one task: a restarted agent is granted a lease with its
// first report of the worker, and the leader counts from an earlier grant.
func TestGrantOnFirstReportDelaysLapse(t *testing.T) {
	for name, attached := range map[string]bool{"worker reported before": true, "worker of an earlier term": false} {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t, nil)
			coordinator.restoreRun()
			if attached {
				coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			}
			source.Advance(8 * clock.Second)
			coordinator.keepLeading(source)
			restarted := newTestSession("side-1")
			coordinator.handleReport(restarted, &session.Report{Sequence: 1, Node: "side-1"})
			source.Advance(10)
			report := newWorkerReport()
			report.Sequence = 2
			coordinator.handleReport(restarted, report)
			lease := clock.Millis(0)
			for _, message := range restarted.takeMessages() {
				lease = max(lease, message.Lease)
			}
			if lease != testLease {
				t.Errorf("got a lease of %s with the first report of the worker, want %s at once", lease, testLease)
			}
			if got, want := coordinator.lapsesAfter(t, source), election.WorkerStoppedAfter(testLease); got <= want {
				t.Errorf("the run ended %s after a grant to its node, want more than %s", got, want)
			}
		})
	}
}

// TestEarlierLeaderDelaysLapse guards against two runs of one task: an agent whose session with a new leader broke
// before the first grant arrived returns to the earlier leader, which grants leases until its extension ends.
func TestEarlierLeaderDelaysLapse(t *testing.T) {
	coordinator, source := newLapseLeader(t, nil)
	coordinator.restoreRun()
	coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
	if got, want := coordinator.lapsesAfter(t, source), election.GrantExtension+election.WorkerStoppedAfter(testLease); got < want {
		t.Errorf("the run ended %s after the takeover, want at least %s", got, want)
	}
}

// TestListedWorkerGetsNoLease guards against two runs of one task: a worker that the heartbeat lists as silent is granted
// a lease, and the next leader counts from the age in the heartbeat. It also guards against a task that waits for ever
// for a listed worker that attached and left again before it was granted a lease.
func TestListedWorkerGetsNoLease(t *testing.T) {
	coordinator, source := newLapseLeader(t, &election.Grants{Silent: map[string]clock.Millis{"side-1": 5 * clock.Second}})
	coordinator.restoreRun()
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	for _, message := range agent.takeMessages() {
		if message.Lease != 0 {
			t.Errorf("granted a lease of %s, want none", message.Lease)
		}
	}
	coordinator.scheduler.Submit(workflow.Spec{
		ID: "0123456789abcdee", Queue: "queue", Service: "desk", Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 100, Memory: 10}}},
	}, source.Now())
	coordinator.scheduler.Plan(source.Now(), 0)
	if _, orders := coordinator.scheduler.TakeChanges(); len(orders) > 0 {
		t.Errorf("placed %+v on a worker without a lease, want nothing", orders)
	}
	if !coordinator.ledger.NeedsRenewal(source.Now()) {
		t.Error("no heartbeat without the worker is due, want one at once")
	}
	if got, want := coordinator.lapsesAfter(t, source), election.WorkerStoppedAfter(testLease)-5*clock.Second; got > want {
		t.Errorf("the run ended %s after the takeover, want at most %s", got, want)
	}
}

// TestLeaseFollowsHeartbeat guards against a worker that came back and gets no lease although a heartbeat without it is
// stored, until its agent reports again.
func TestLeaseFollowsHeartbeat(t *testing.T) {
	coordinator, source := newLapseLeader(t, &election.Grants{Silent: map[string]clock.Millis{"side-1": 5 * clock.Second}})
	coordinator.restoreRun()
	agent := newTestSession("side-1")
	coordinator.sessions["side-1"] = agent
	coordinator.handleReport(agent, newWorkerReport())
	agent.takeMessages()
	if _, err := coordinator.prepareRound(nil, true); err != nil {
		t.Fatal(err)
	}
	source.Advance(20)
	coordinator.handleReport(agent, &session.Report{Sequence: 2, Node: "side-1"})
	if messages := agent.takeMessages(); len(messages) > 0 {
		t.Errorf("got %+v before the heartbeat is stored, want nothing", messages)
	}
	coordinator.recordStored(roundTx{renewsLease: true}, 2, source.Now())
	messages := agent.takeMessages()
	if len(messages) != 1 || messages[0].Lease != testLease || messages[0].Sequence != 2 {
		t.Errorf("got %+v, want a lease from the second report on", messages)
	}
}

// newLapseReport returns the report that the run of restoreRun ended when the lease of testWorker lapsed.
func newLapseReport() *session.WorkerEnd {
	return &session.WorkerEnd{Node: "side-1", Incarnation: string(testWorker), Lapsed: true, Ends: []session.End{
		{Number: 1, Task: "0123456789abcdef.0.0.0", Run: 1, Cause: workflow.Interrupted, Reason: "WorkerLapsed"},
	}}
}

// placements returns the run numbers and workers of the starts that the scheduler orders now.
func (coordinator *Coordinator) placements(now clock.Time) map[workflow.Run]scheduler.Incarnation {
	coordinator.scheduler.Plan(now, 0)
	_, orders := coordinator.scheduler.TakeChanges()
	placed := map[workflow.Run]scheduler.Incarnation{}
	for _, order := range orders {
		if !order.Stop {
			placed[order.Run] = order.Worker
		}
	}
	return placed
}

// TestLapseOutlivesLeader guards against tasks that wait for a lease which the last leader granted to a lapsed worker: the
// worker's agent has stopped, and only its report of the lapse is left. A run that the report does not name still waits.
func TestLapseOutlivesLeader(t *testing.T) {
	for name, attached := range map[string]bool{"worker of an earlier term": false, "worker reported in this term": true} {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t, nil)
			coordinator.restoreRun()
			if attached {
				coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			}
			late := newLapseReport()
			late.Ends[0].Run = 2
			coordinator.storeWorkerEnd(late)
			if !coordinator.scheduler.IsActive(testWorker, workflow.Name{Job: "0123456789abcdef"}, 1) {
				t.Fatal("run 1 was ended by a report of run 2")
			}
			coordinator.storeWorkerEnd(newLapseReport())
			if got := coordinator.lapsesAfter(t, source); got != 0 {
				t.Errorf("the run ended %s after the report, want at once", got)
			}
		})
	}
}

// TestLateLapseEndsNoLaterRun guards against two runs of one task: a copy of the report of a lapse that an entry has kept
// arrives when the worker has returned and has got another run of the task.
func TestLateLapseEndsNoLaterRun(t *testing.T) {
	coordinator, source := newLapseLeader(t, nil)
	coordinator.restoreRun()
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	coordinator.storeWorkerEnd(newLapseReport())
	if got := coordinator.placements(source.Now()); got[2] != testWorker {
		t.Fatalf("got starts %v, want run 2 on the worker that has returned", got)
	}
	for name, change := range map[string]func(){"worker answers": func() {}, "agent is gone": func() { coordinator.detach(agent) }} {
		change()
		coordinator.storeWorkerEnd(newLapseReport())
		if !coordinator.scheduler.IsActive(testWorker, workflow.Name{Job: "0123456789abcdef"}, 2) {
			t.Errorf("%s: a late copy ended the run that was placed after the lapse", name)
		}
	}
}

// TestLapseIsAcknowledgedWithItsRound guards against a lapse that is lost with the term: the session reported it first, so
// that the report itself changed nothing, and it was acknowledged with an earlier round that does not have the ends.
func TestLapseIsAcknowledgedWithItsRound(t *testing.T) {
	coordinator, _ := newLapseLeader(t, nil)
	coordinator.restoreRun()
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	empty := newLapseReport()
	empty.Ends = nil
	coordinator.storeWorkerEnd(empty)
	inFlight := coordinator.takeOnceStored()
	lapsed := newWorkerReport()
	lapsed.Sequence, lapsed.Worker.Responsive, lapsed.Worker.Lapsed = 2, false, true
	coordinator.handleReport(agent, lapsed)
	stored := coordinator.storeWorkerEnd(newLapseReport())
	coordinator.finishRound(nil, inFlight)
	select {
	case <-stored:
		t.Error("acknowledged with a round that began before the lapse was known")
	default:
	}
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	select {
	case <-stored:
	default:
		t.Error("not acknowledged with its own round")
	}
}
