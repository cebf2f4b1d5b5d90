package coordinator

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// runUrgencies returns the urgencies of tasks with the indices 0, 1, ....
func runUrgencies(levels ...pacing.Urgency) []scheduler.RunUrgency {
	var list []scheduler.RunUrgency
	for index, level := range levels {
		list = append(list, scheduler.RunUrgency{Name: workflow.Name{Job: "0123456789abcdef", Index: index}, Run: 1, Urgency: level})
	}
	return list
}

// TestOnlyChangedUrgenciesAreSent guards against messages with levels that the agent has, levels of runs whose start was
// not sent, and levels of the least urgent runs that come before those of the most urgent ones.
func TestOnlyChangedUrgenciesAreSent(t *testing.T) {
	agent := newTestSession("side-1")
	started := func(indices ...int) {
		for _, index := range indices {
			agent.sentUrgencies[runKey{runUrgencies(0, 0, 0, 0)[index].Name, 1}] = pacing.Normal
		}
	}
	started(0, 1, 2)
	cases := []struct {
		name   string
		levels []pacing.Urgency
		want   string
	}{
		{"the last run has no start yet", []pacing.Urgency{-1, 0, 2, 2}, "[2:2 0:-1]"},
		{"unchanged", []pacing.Urgency{-1, 0, 2, 2}, "[]"},
		{"changes of two", []pacing.Urgency{0, 1, 2, 2}, "[1:1 0:0]"},
		{"one run ends", []pacing.Urgency{0, 1}, "[]"},
	}
	for _, test := range cases {
		got := []string{}
		for _, item := range agent.changedUrgencies(runUrgencies(test.levels...)) {
			name, _ := workflow.ParseName(item.Task)
			got = append(got, fmt.Sprintf("%d:%d", name.Index, item.Level))
		}
		if fmt.Sprint(got) != test.want {
			t.Errorf("%s: sent %v, want %s", test.name, got, test.want)
		}
	}
	if len(agent.sentUrgencies) != 2 {
		t.Errorf("%d runs are kept, want 2", len(agent.sentUrgencies))
	}
}

// TestUrgenciesAreBounded guards against messages that grow with the number of runs, and levels that are never sent
// because others changed too.
func TestUrgenciesAreBounded(t *testing.T) {
	agent := newTestSession("side-1")
	levels := make([]pacing.Urgency, session.MaxUrgencies+20)
	for index := range levels {
		levels[index] = pacing.Background
		if index%7 == 0 {
			levels[index] = pacing.Critical
		}
	}
	list := runUrgencies(levels...)
	for _, item := range list {
		agent.sentUrgencies[runKey{item.Name, item.Run}] = pacing.Normal
	}
	first, second := agent.changedUrgencies(list), agent.changedUrgencies(list)
	if len(first) != session.MaxUrgencies || len(second) != 20 {
		t.Fatalf("sent %d and %d levels, want %d and 20", len(first), len(second), session.MaxUrgencies)
	}
	if first[0].Level != int(pacing.Critical) || second[0].Level != int(pacing.Background) {
		t.Errorf("the first levels of the messages are %d and %d, want the most urgent ones first", first[0].Level, second[0].Level)
	}
}

// TestLevelsGoWithTheAnswer guards against levels that are decided but not sent, against more messages than one for each
// report, and against starts without the level of their run.
func TestLevelsGoWithTheAnswer(t *testing.T) {
	coordinator, source := newTestLeader(t)
	agent := newTestSession("side-1")
	coordinator.sessions[agent.node] = agent
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.finishRound(nil, coordinator.takeOnceStored())
	submit := func(id workflow.ID, acceptedAt clock.Time) {
		coordinator.scheduler.Submit(workflow.Spec{
			ID: id, Service: "desk", Policy: workflow.Policy{MaxAttempts: 1, Slack: 2},
			Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1000, Memory: 1000}, Estimate: clock.Second, Fills: true}},
		}, acceptedAt)
	}
	submit("0123456789abcdef", source.Now())
	submit("fedcba9876543210", source.Now().Add(-5*clock.Second))
	coordinator.scheduler.Plan(source.Now(), 0)
	_, orders := coordinator.scheduler.TakeChanges()
	agent.takeMessages()
	coordinator.sendOrders(orders)
	levels := map[string]int{}
	for _, message := range agent.takeMessages() {
		for _, start := range message.Starts {
			levels[start.Task] = start.Urgency
		}
	}
	if got, want := fmt.Sprint(levels), "map[0123456789abcdef.0.0.0:0 fedcba9876543210.0.0.0:-1]"; got != want {
		t.Fatalf("the starts have the levels %s, want %s", got, want)
	}
	report := func(sequence uint64) []*session.Orders {
		source.Advance(600 * clock.Millisecond)
		coordinator.handleReport(agent, &session.Report{Sequence: sequence, Node: "side-1", Listed: true, Progress: []session.Progress{
			{Task: "0123456789abcdef.0.0.0", Run: 1, Percent: 10, ThrottlePercent: 90}, {Task: "fedcba9876543210.0.0.0", Run: 1, Percent: 10},
		}})
		return agent.takeMessages()
	}
	messages := report(2)
	if len(messages) != 1 || fmt.Sprint(messages[0].Urgencies) != "[{0123456789abcdef.0.0.0 1 2}]" {
		t.Errorf("got %+v, want one message with the level of the run that became critical", messages)
	}
	if messages := report(3); len(messages) != 1 || len(messages[0].Urgencies) != 0 {
		t.Errorf("got %+v, want one message without levels", messages)
	}
}
