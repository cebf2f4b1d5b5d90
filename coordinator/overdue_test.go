package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// TestSilentAgentIsOverdue guards against new runs on the worker of an agent that has stopped reporting, and against a
// leader that takes its own pause or slowness for the silence of all agents and places nothing any more.
func TestSilentAgentIsOverdue(t *testing.T) {
	cases := map[string]struct {
		// leaderGaps are the times between events of the leader after the report.
		leaderGaps []clock.Millis
		want       bool
	}{
		"next report is due":                        {repeatGap(checkInterval, 6), false},
		"one report is late":                        {repeatGap(checkInterval, 12), false},
		"one report is missing":                     {repeatGap(checkInterval, 13), true},
		"leader was paused":                         {[]clock.Millis{checkInterval, 3 * clock.Second}, false},
		"leader was paused and agent is silent":     {append([]clock.Millis{3 * clock.Second}, repeatGap(checkInterval, 13)...), true},
		"leader was paused after the agent's pause": {append(repeatGap(checkInterval, 13), 2*clock.Second), false},
		"leader gets little processor time":         {repeatGap(maxLeaderGap+50, 10), false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var attention attention
			now := clock.Time(clock.Minute)
			reportedAt := now
			attention.observe(now)
			for _, gap := range test.leaderGaps {
				now = now.Add(gap)
				attention.observe(now)
			}
			if got := attention.isOverdue(reportedAt, now); got != test.want {
				t.Errorf("overdue %v after %s, want %v", got, now.Sub(reportedAt), test.want)
			}
		})
	}
}

func repeatGap(gap clock.Millis, count int) []clock.Millis {
	gaps := make([]clock.Millis, count)
	for index := range gaps {
		gaps[index] = gap
	}
	return gaps
}

// TestOverdueAgentGetsNoRuns guards against a run that is ordered from an agent that has been silent for two seconds: the
// order waited until the agent had come back, after its lease.
func TestOverdueAgentGetsNoRuns(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions[agent.node] = agent
	coordinator.attention.observe(source.Now())
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	coordinator.scheduler.Submit(workflow.Spec{
		ID: "0123456789abcdef", Service: "desk", Policy: workflow.Policy{MaxAttempts: 1, Slack: 2},
		Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second}},
	}, source.Now())
	place := func() int {
		coordinator.updateOverdue(source.Now())
		coordinator.scheduler.Plan(source.Now(), 0)
		_, orders := coordinator.scheduler.TakeChanges()
		return len(orders)
	}
	for range 2 * clock.Second / checkInterval {
		source.Advance(checkInterval)
		coordinator.attention.observe(source.Now())
	}
	if got := place(); got != 0 {
		t.Errorf("got %d starts on the worker of a silent agent, want none", got)
	}
	coordinator.handleReport(agent, &session.Report{Sequence: 2, Node: "side-1"})
	if got := place(); got != 1 {
		t.Errorf("got %d starts once the agent reports again, want 1", got)
	}
}
