package coordinator

import (
	"context"
	"testing"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/loop"
	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// newTestLeader returns a coordinator without a control loop, whose events the test calls itself.
func newTestLeader(t *testing.T) (*Coordinator, *clock.Fake) {
	t.Helper()
	source := clock.NewFake(clock.Time(clock.Minute))
	coordinator := &Coordinator{
		backlog: backlog.New(0),
		deps:    Dependencies{Clock: source, Faults: NewFaults(source)}, lost: make(chan struct{}), cancel: func() {}, scheduler: scheduler.New(), sessions: map[string]*agentSession{}, workers: map[string]attachedWorker{}, ctx: t.Context(), counters: newCounters(), withheld: set.New[scheduler.Incarnation](),
	}
	coordinator.validUntil.Store(int64(source.Now().Add(election.LeaderLease)))
	coordinator.inboxAsOf = source.Now()
	return coordinator, source
}

func newTestSession(node string) *agentSession {
	return &agentSession{node: node, queue: make(chan *session.Orders, maxQueuedOrders), detached: make(chan struct{}), sentWeights: map[[2]pacing.Image]float64{}}
}

func newWorkerReport() *session.Report {
	return &session.Report{Sequence: 1, Node: "side-1", Listed: true, Worker: &session.Worker{
		Incarnation: "i-1@1@side-1", Service: "desk", DataCentre: "zone-a", Capacity: unit.Resources{CPU: 32000, Memory: 125000}, Responsive: true,
	}}
}

// takeMessages returns the messages that wait for the agent.
func (agent *agentSession) takeMessages() []*session.Orders {
	var messages []*session.Orders
	for len(agent.queue) > 0 {
		messages = append(messages, <-agent.queue)
	}
	return messages
}

// TestBurstOfEndsNeedsFewMessages guards against a leader that is busy with messages when many tasks end: each end was
// reported at once and answered twice, which took two thirds of the leader's processor time with 80 workers.
func TestBurstOfEndsNeedsFewMessages(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	if got := len(agent.takeMessages()); got != 1 {
		t.Fatalf("got %d messages for the first report, want the grant", got)
	}
	source.Advance(10)
	const ends = 20
	for number := range ends {
		coordinator.handleReport(agent, &session.Report{Sequence: uint64(number + 2), Node: "side-1", Ends: []session.End{{
			Number: int64(number + 1), Task: "0123456789abcdef.0.0.0", Run: 1, Cause: workflow.Finished,
		}}})
		source.Advance(5)
	}
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	if got := len(agent.takeMessages()); got > 1 {
		t.Errorf("got %d messages for %d ends within %s, want at most 1", got, ends, grantInterval)
	}
	source.Advance(grantInterval)
	coordinator.handleReport(agent, &session.Report{Sequence: ends + 2, Node: "side-1"})
	messages := agent.takeMessages()
	if len(messages) != 1 || messages[0].StoredEnds != ends || messages[0].Sequence != ends+2 {
		t.Errorf("got %+v, want one grant that acknowledges %d ends", messages, ends)
	}
}

// TestNewIncarnationIsGrantedAtOnce guards against a new worker that waits for its lease, because one was granted to
// the one before it a moment ago.
func TestNewIncarnationIsGrantedAtOnce(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	source.Advance(10)
	report := newWorkerReport()
	report.Sequence, report.Worker.Incarnation = 2, "i-1@2@side-1"
	agent.takeMessages()
	coordinator.handleReport(agent, report)
	if messages := agent.takeMessages(); len(messages) != 1 || messages[0].Incarnation != "i-1@2@side-1" || messages[0].Sequence != 2 {
		t.Errorf("got %+v, want a grant to the new incarnation", messages)
	}
}

// TestOnlyChangedWeightsAreSent guards against sending all weights every second: those of 80 workers took a sixth of a
// link of 20 Mbit/s.
func TestOnlyChangedWeightsAreSent(t *testing.T) {
	agent := newTestSession("side-1")
	weights := func(heavy, light float64) []scheduler.Weight {
		return []scheduler.Weight{{Serving: "s", Filling: "heavy", Increase: heavy}, {Serving: "s", Filling: "light", Increase: light}}
	}
	cases := []struct {
		name         string
		heavy, light float64
		want         int
	}{
		{"first", 0.1, 0, 2},
		{"unchanged", 0.1, 0, 0},
		{"small changes", 0.102, 0.003, 0},
		{"changes that add up", 0.105, 0.003, 1},
		{"back", 0.1, 0.003, 1},
	}
	for _, test := range cases {
		if got := len(agent.changedWeights(weights(test.heavy, test.light))); got != test.want {
			t.Errorf("%s: %d weights are sent, want %d", test.name, got, test.want)
		}
	}
}

// TestLeaderWithoutLeaseSaysSo guards against agents that learn of the next leader only when their session times out: a
// leader that may not extend leases any more sent them nothing, so they did not ask other entries.
func TestLeaderWithoutLeaseSaysSo(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	agent.takeMessages()
	source.Advance(election.LeaderLease + election.GrantExtension)
	coordinator.handleReport(agent, &session.Report{Sequence: 2, Node: "side-1"})
	messages := agent.takeMessages()
	if len(messages) != 1 || !messages[0].LeaderLeaseEnded || messages[0].Lease != 0 {
		t.Errorf("got %+v, want one message without a lease that says that the leader's lease has ended", messages)
	}
}

// reportStream is the stream of an agent that sends one report and then stays silent.
type reportStream struct {
	ctx     context.Context
	reports chan *session.Report
}

func newReportStream(ctx context.Context) reportStream {
	stream := reportStream{ctx: ctx, reports: make(chan *session.Report, 1)}
	stream.reports <- newWorkerReport()
	return stream
}

func (stream reportStream) Context() context.Context { return stream.ctx }

func (stream reportStream) Send(*session.Orders) error { return nil }

func (stream reportStream) Receive() (*session.Report, error) {
	select {
	case report := <-stream.reports:
		return report, nil
	case <-stream.ctx.Done():
		return nil, stream.ctx.Err()
	}
}

// TestNewerSessionSupersedes guards against an agent that is said not to read its orders because it opened a newer
// session.
func TestNewerSessionSupersedes(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	coordinator.loop = loop.New()
	defer coordinator.loop.Close()
	coordinator.deps.Out = func() (set.Set[ident.DataCentre], bool) { return nil, false }
	// No round starts, because one is being written.
	coordinator.writing = true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- coordinator.Attend(newReportStream(ctx)) }()
	for isAttached := false; !isAttached; {
		coordinator.loop.Call(func() { _, isAttached = coordinator.sessions["side-1"] })
	}
	go func() { _ = coordinator.Attend(newReportStream(ctx)) }()
	if err := <-ended; !IsErrSuperseded(err) {
		t.Errorf("got %v, want ErrSuperseded", err)
	}
}

// TestWorkerIsUsedAgainAfterLapse guards against a worker that gets no runs any more: its agent was paused for longer than
// a lease and then went on in the same session, where it reports the worker's profile only when that changes.
func TestWorkerIsUsedAgainAfterLapse(t *testing.T) {
	cases := map[string]struct {
		responsive bool
		want       int
	}{
		"worker answers its agent":    {true, 1},
		"worker does not answer then": {false, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newTestLeader(t)
			coordinator.workerLease = 3 * clock.Second
			agent := newTestSession("side-1")
			coordinator.sessions[agent.node] = agent
			report := newWorkerReport()
			report.Worker.Responsive = test.responsive
			coordinator.handleReport(agent, report)
			coordinator.finishRound(nil, coordinator.takeOnceStored())
			source.Advance(election.WorkerStoppedAfter(coordinator.workerLease) + 1)
			coordinator.validUntil.Store(int64(source.Now().Add(election.LeaderLease)))
			coordinator.detectLapses(source.Now())
			if !coordinator.workers[agent.node].lapsed {
				t.Fatal("the lease has not lapsed")
			}
			coordinator.handleReport(agent, &session.Report{Sequence: 2, Node: "side-1"})
			coordinator.scheduler.Submit(workflow.Spec{
				ID: "0123456789abcdef", Service: "desk", Policy: workflow.Policy{MaxAttempts: 1, Slack: 2},
				Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second}},
			}, source.Now())
			coordinator.scheduler.Plan(source.Now(), 0)
			if _, orders := coordinator.scheduler.TakeChanges(); len(orders) != test.want {
				t.Errorf("got %d starts after the lapse, want %d", len(orders), test.want)
			}
		})
	}
}

// TestStartsNameNewestReport guards against starts that an agent refuses, or carries out after a lapse, because they do not
// say which of its reports the leader had.
func TestStartsNameNewestReport(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions[agent.node] = agent
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	coordinator.handleReport(agent, &session.Report{Sequence: 2, Node: "side-1"})
	agent.takeMessages()
	coordinator.scheduler.Submit(workflow.Spec{
		ID: "0123456789abcdef", Service: "desk", Policy: workflow.Policy{MaxAttempts: 1, Slack: 2},
		Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second}},
	}, source.Now())
	coordinator.scheduler.Plan(source.Now(), 0)
	_, orders := coordinator.scheduler.TakeChanges()
	coordinator.sendOrders(orders)
	messages := agent.takeMessages()
	if len(messages) != 1 {
		t.Fatalf("got %d messages, want 1", len(messages))
	}
	if got := messages[0]; len(got.Starts) != 1 || got.Sequence != 2 {
		t.Errorf("got %d starts ordered after report %d, want 1 after report 2", len(got.Starts), got.Sequence)
	}
}
