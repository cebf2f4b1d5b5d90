package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const testJob workflow.ID = "0123456789abcdef"

// newLeaderWithPlacedTask returns a leader with an attached agent, and the orders that start a task on its worker.
func newLeaderWithPlacedTask(t *testing.T) (*Coordinator, *clock.Fake, *agentSession, []scheduler.Order) {
	t.Helper()
	coordinator, source := newTestLeader(t)
	coordinator.deps.TimeOfDay = func() int64 { return 0 }
	coordinator.deps.Out = func() (set.Set[ident.DataCentre], bool) { return set.New[ident.DataCentre](), true }
	agent := newTestSession("side-1")
	coordinator.sessions[agent.node] = agent
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	coordinator.scheduler.Submit(workflow.Spec{
		ID: testJob, Queue: "q", Service: "desk", Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 500, Memory: 100}, Estimate: 1000}},
	}, source.Now())
	coordinator.scheduler.Plan(source.Now(), 0)
	_, orders := coordinator.scheduler.TakeChanges()
	if len(orders) != 1 {
		t.Fatalf("got %d orders, want the start of one task", len(orders))
	}
	agent.takeMessages()
	return coordinator, source, agent, orders
}

// takeStarts returns the starts among the messages that wait for the agent.
func (agent *agentSession) takeStarts() []session.Start {
	var starts []session.Start
	for _, message := range agent.takeMessages() {
		starts = append(starts, message.Starts...)
	}
	return starts
}

// renewLease does what the storing of a renewal does that was sent at the given time.
func (coordinator *Coordinator) renewLease(sent clock.Time) {
	coordinator.renewedAt = sent
	coordinator.validUntil.Store(int64(sent.Add(election.LeaderLease)))
}

// TestNoStartsAfterLeaseEnded guards against a leader that starts tasks while another one may lead, because it stood
// still or learned late that its round is stored: it knows nothing of cancellations and ends of the later term.
func TestNoStartsAfterLeaseEnded(t *testing.T) {
	coordinator, source, agent, orders := newLeaderWithPlacedTask(t)
	source.Advance(election.LeaderLease)
	coordinator.inboxAsOf = source.Now()
	coordinator.finishRound(orders, nil)
	if starts := agent.takeStarts(); len(starts) != 0 {
		t.Fatalf("sent %+v after the end of the leader's lease, want no start", starts)
	}
	coordinator.renewLease(source.Now())
	coordinator.startRound()
	if starts := agent.takeStarts(); len(starts) != 1 || starts[0].Run != 1 {
		t.Errorf("sent %+v once the lease is renewed, want the withheld start", starts)
	}
	coordinator.startRound()
	if starts := agent.takeStarts(); len(starts) != 0 {
		t.Errorf("sent %+v again, want no start", starts)
	}
}

// TestCancelledWhileStartsAreWithheld guards against a start that is sent after its job's cancellation, because it had
// waited for the leader's lease.
func TestCancelledWhileStartsAreWithheld(t *testing.T) {
	coordinator, source, agent, orders := newLeaderWithPlacedTask(t)
	source.Advance(election.LeaderLease)
	coordinator.inboxAsOf = source.Now()
	coordinator.finishRound(orders, nil)
	coordinator.scheduler.Cancel(testJob)
	coordinator.scheduler.TakeChanges()
	coordinator.renewLease(source.Now())
	coordinator.startRound()
	if starts := agent.takeStarts(); len(starts) != 0 {
		t.Errorf("sent %+v, want no start of a cancelled job", starts)
	}
}

// TestNoStartsWhileInboxIsUnknown guards against starts of cancelled jobs by a leader that hears nothing of the inbox.
func TestNoStartsWhileInboxIsUnknown(t *testing.T) {
	coordinator, source, agent, orders := newLeaderWithPlacedTask(t)
	source.Advance(maxInboxAge + 1)
	coordinator.renewLease(source.Now())
	coordinator.finishRound(orders, nil)
	if starts := agent.takeStarts(); len(starts) != 0 {
		t.Fatalf("sent %+v without news of the inbox, want no start", starts)
	}
	coordinator.inboxAsOf = source.Now()
	coordinator.startRound()
	if starts := agent.takeStarts(); len(starts) != 1 {
		t.Errorf("sent %+v once the inbox is known, want the withheld start", starts)
	}
}

// TestAgeOfChanges guards against an answer of the change feed that counts as newer than the rows that it includes.
func TestAgeOfChanges(t *testing.T) {
	const sent = clock.Time(clock.Minute)
	cases := map[string]struct {
		took    clock.Millis
		changes int
		want    clock.Time
	}{
		"changes at once":                    {5, 2, sent},
		"changes after a wait":               {changesWait - 1, 1, sent},
		"changes in an answer that was slow": {changesWait + 300, 1, sent},
		"none":                               {changesWait + 5, 0, sent.Add(changesWait)},
		"none, answered slowly":              {changesWait + 300, 0, sent.Add(changesWait)},
		"none, too early":                    {5, 0, sent},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if got := changesAsOf(sent, sent.Add(test.took), test.changes); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
