package coordinator

import (
	"fmt"
	"testing"

	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
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
