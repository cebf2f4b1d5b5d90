package coordinator

import (
	"context"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/loop"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// endAsync reports the end of a worker and returns a channel with the result.
func endAsync(ctx context.Context, coordinator *Coordinator, incarnation string) <-chan error {
	result := make(chan error, 1)
	go func() {
		result <- coordinator.EndWorker(ctx, &session.WorkerEnd{Node: "side-1", Incarnation: incarnation})
	}()
	return result
}

// TestWorkerEndIsAcknowledgedOnceStored guards against a leader that acknowledges the end of a worker before it is
// stored, so that it is lost if the term ends.
func TestWorkerEndIsAcknowledgedOnceStored(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	coordinator.loop = loop.New()
	defer coordinator.loop.Close()
	coordinator.writing = true // A round is being stored.
	result := endAsync(t.Context(), coordinator, "i-1@1@side-1")
	for waits := false; !waits; {
		coordinator.loop.Call(func() { waits = len(coordinator.onceStored) == 1 })
	}
	select {
	case err := <-result:
		t.Fatalf("acknowledged before the round was stored, with %v", err)
	default:
	}
	coordinator.loop.Call(func() { coordinator.finishRound(nil, coordinator.takeOnceStored()) })
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestWorkerEndIsNotAcknowledgedAfterTerm guards against an acknowledgement by a leader whose term ended first.
func TestWorkerEndIsNotAcknowledgedAfterTerm(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	coordinator.loop = loop.New()
	defer coordinator.loop.Close()
	coordinator.writing = true
	ctx, cancel := context.WithCancel(t.Context())
	coordinator.ctx = ctx
	result := endAsync(t.Context(), coordinator, "i-1@1@side-1")
	cancel()
	if err := <-result; !session.IsErrNotLeading(err) {
		t.Errorf("got %v, want ErrNotLeading", err)
	}
}

// TestEndsReportedWithLapseCount guards against running a finished task again because the end of the run is reported
// together with the end of its worker, as in the first report of a session.
func TestEndsReportedWithLapseCount(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.scheduler.SetReachable("i-1@1@side-1", true)
	coordinator.scheduler.Submit(workflow.Spec{
		ID: "0123456789abcdef", Service: "desk", Policy: workflow.Policy{MaxAttempts: 2},
		Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}}},
	}, source.Now())
	coordinator.scheduler.Plan(source.Now(), 0)
	jobs, starts := coordinator.scheduler.TakeChanges()
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want 1", len(starts))
	}
	report := newWorkerReport()
	report.Worker.Responsive, report.Worker.Lapsed = false, true
	report.Ends = []session.End{{Number: 1, Task: starts[0].Name.String(), Run: starts[0].Run, Cause: workflow.Finished}}
	coordinator.handleReport(agent, report)
	if got := jobs[0].State; got != workflow.Completed {
		t.Errorf("got a job in state %s, want %s", got, workflow.Completed)
	}
}

// TestWorkerThatAnswersIsNotEnded guards against a delayed report of a worker's end that ends runs which were placed
// after the worker answered again.
func TestWorkerThatAnswersIsNotEnded(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions["side-1"] = agent
	coordinator.handleReport(agent, newWorkerReport())
	end := &session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1"}
	for _, test := range []struct {
		responsive bool
		want       int
	}{{true, 1}, {false, 0}} {
		agent.responsive = test.responsive
		coordinator.endWorker(end)
		if got := len(coordinator.scheduler.OtherIncarnations("side-1", scheduler.Incarnation("none"))); got != test.want {
			t.Errorf("responsive %v: got %d workers, want %d", test.responsive, got, test.want)
		}
	}
}

// TestAwaitedWorkerIsCountedOnce guards against a metric that shows more workers that did not return than there were.
func TestAwaitedWorkerIsCountedOnce(t *testing.T) {
	coordinator, source := newLapseLeader(t, nil)
	coordinator.restoreRun()
	before := coordinator.counters.workersAwaited.Get()
	coordinator.lapsesAfter(t, source)
	if got := coordinator.counters.workersAwaited.Get() - before; got != 1 {
		t.Errorf("got %d awaited workers, want 1", got)
	}
}

// TestLapsedWorkerDoesNotCountAsAnswering guards against starts on a worker whose process has ended: a later process
// answers its agent's listings, so that the first report of a session says both that it answers and that it has lapsed.
func TestLapsedWorkerDoesNotCountAsAnswering(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions["side-1"] = agent
	report := newWorkerReport()
	report.Worker.Lapsed = true
	coordinator.handleReport(agent, report)
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	coordinator.scheduler.Submit(workflow.Spec{
		ID: "0123456789abcdef", Service: "desk", Policy: workflow.Policy{MaxAttempts: 2},
		Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}}},
	}, source.Now())
	coordinator.scheduler.Plan(source.Now(), 0)
	if _, starts := coordinator.scheduler.TakeChanges(); len(starts) != 0 {
		t.Errorf("got %d starts on the lapsed worker, want none", len(starts))
	}
	coordinator.endWorker(&session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1"})
	if got := coordinator.scheduler.OtherIncarnations("side-1", "none"); len(got) != 0 {
		t.Errorf("got workers %v after the end of the worker, want none", got)
	}
}

// TestEndOfWorkerOfSilentAgentCounts guards against tasks that wait until a lease has lapsed although the end of their
// worker was reported: the worker's agent was cut off from the leader, whose session still said that the worker answers.
func TestEndOfWorkerOfSilentAgentCounts(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions["side-1"] = agent
	coordinator.handleReport(agent, newWorkerReport())
	for source.Advance(checkInterval); !coordinator.attention.isOverdue(agent.reportedAt, source.Now()); source.Advance(checkInterval) {
		coordinator.attention.observe(source.Now())
	}
	coordinator.endWorker(&session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1"})
	if got := coordinator.scheduler.OtherIncarnations("side-1", "none"); len(got) != 0 {
		t.Errorf("got workers %v, want none", got)
	}
}

// TestRepeatedWorkerEndIsCountedOnce guards against log lines and counted ends that grow with the number of entries that
// pass on the same report, and with its repetitions while the store is away.
func TestRepeatedWorkerEndIsCountedOnce(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	coordinator.restoreRun()
	before := coordinator.counters.faulted.Get()
	end := &session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1", Ends: []session.End{
		{Number: 1, Task: "0123456789abcdef.0.0.0", Run: 1, Cause: workflow.Faulted},
	}}
	for range 5 {
		coordinator.endWorker(end)
	}
	if got := coordinator.counters.faulted.Get() - before; got != 1 {
		t.Errorf("got %d counted ends, want 1", got)
	}
}

// TestRepeatedWorkerEndsDoNotPileUp guards against memory that grows for as long as the store is away: agents and entries
// repeat the report of a worker's end until it is stored.
func TestRepeatedWorkerEndsDoNotPileUp(t *testing.T) {
	coordinator, _ := newTestLeader(t)
	coordinator.loop = loop.New()
	defer coordinator.loop.Close()
	coordinator.writing = true
	agent := newTestSession("side-1")
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.takeOnceStored()
	end := &session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1"}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_ = coordinator.EndWorker(canceled, end)
	}
	var actions []func()
	coordinator.loop.Call(func() { actions = coordinator.takeOnceStored() })
	if len(actions) != 1 {
		t.Errorf("%d actions wait for the store, want 1", len(actions))
	}
	// The worker is reported once more and ends again while the first end is being stored.
	coordinator.loop.Call(func() { coordinator.handleReport(agent, newWorkerReport()) })
	coordinator.loop.Call(func() { agent.responsive = false; coordinator.takeOnceStored() })
	again := endAsync(t.Context(), coordinator, end.Incarnation)
	for waits := false; !waits; {
		coordinator.loop.Call(func() { waits = len(coordinator.onceStored) == 1 })
	}
	coordinator.loop.Call(func() { coordinator.finishRound(nil, actions) })
	select {
	case err := <-again:
		t.Errorf("the second end was acknowledged with the first, with %v", err)
	default:
	}
	coordinator.loop.Call(func() { coordinator.finishRound(nil, coordinator.takeOnceStored()) })
	if err := <-again; err != nil {
		t.Error(err)
	}
	if got := len(coordinator.endsToStore); got != 0 {
		t.Errorf("%d ends wait after all were stored, want none", got)
	}
}

// TestEndAfterLastProfileCounts guards against the end of a worker that is acknowledged but ignored, because its agent still
// seems to be attached to a worker that answers: the agent has stopped and its last reports are lost, or the node's next
// worker does not answer yet, so that the reports name none. It also guards against a late copy that ends a worker which
// has answered again since.
func TestEndAfterLastProfileCounts(t *testing.T) {
	const endedAt = 5000
	cases := map[string]struct {
		profileAt clock.Time
		reports   int
		want      int
	}{
		"the last profile is older":                           {endedAt - 100, 0, 0},
		"reports without a profile follow":                    {endedAt - 100, 5, 0},
		"the worker answered again after its end was noticed": {endedAt + 100, 0, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			coordinator, _ := newTestLeader(t)
			agent := newTestSession("side-1")
			coordinator.sessions["side-1"] = agent
			report := newWorkerReport()
			report.At = test.profileAt
			coordinator.handleReport(agent, report)
			for number := range test.reports {
				coordinator.handleReport(agent, &session.Report{Sequence: uint64(number + 2), Node: "side-1", At: endedAt + clock.Time(number)})
			}
			coordinator.endWorker(&session.WorkerEnd{Node: "side-1", Incarnation: "i-1@1@side-1", At: endedAt})
			if got := len(coordinator.scheduler.OtherIncarnations("side-1", "none")); got != test.want {
				t.Errorf("got %d workers, want %d", got, test.want)
			}
		})
	}
}
