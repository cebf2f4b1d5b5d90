package coordinator

import (
	"cmp"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// runKey identifies a run of a task.
type runKey struct {
	name   workflow.Name
	number workflow.Run
}

// recordSentStart records the urgency that the start order of a filling run had. The level of a run is sent only after
// its start, because the agent ignores levels of runs that it does not have.
func (coordinator *Coordinator) recordSentStart(order scheduler.Order) {
	if !order.Job.Spec.Steps[order.Name.Step].Fills {
		return
	}
	if agent, ok := coordinator.sessions[order.Worker.Node()]; ok && agent.incarnation == order.Worker {
		agent.sentUrgencies[runKey{order.Name, order.Run}] = order.Urgency
	}
}

// updateUrgencies decides the levels of the runs on the agent's worker after its report of progress.
func (coordinator *Coordinator) updateUrgencies(agent *agentSession, now clock.Time) {
	for _, decision := range coordinator.scheduler.UpdateUrgencies(agent.incarnation, now) {
		coordinator.counters.urgencyDecisions.Inc()
		for level, count := range decision.Changed {
			coordinator.counters.urgencyChanges[level].Add(count)
		}
		klog.InfoS("Urgency", "Job", decision.Job, "Committed", decision.Committed, "AgeMillis", int64(decision.Age), "ObjectiveMillis", int64(decision.Objective),
			"RestMillis", int64(decision.Rest), "SlackMillis", int64(decision.Slack), "ReportAgeMillis", int64(decision.ReportAge), "Runs", decision.Runs,
			"ToCritical", decision.Changed[pacing.Critical], "ToElevated", decision.Changed[pacing.Elevated],
			"ToNormal", decision.Changed[pacing.Normal], "ToBackground", decision.Changed[pacing.Background])
	}
}

// addUrgencies adds the changed urgencies to a message to the agent.
func (coordinator *Coordinator) addUrgencies(agent *agentSession, orders *session.Orders) {
	orders.Urgencies = agent.changedUrgencies(coordinator.scheduler.Urgencies(agent.incarnation))
	if len(orders.Urgencies) == 0 {
		return
	}
	counts := map[int]int{}
	for _, item := range orders.Urgencies {
		counts[item.Level]++
	}
	coordinator.counters.urgenciesSent.Add(len(orders.Urgencies))
	klog.InfoS("Urgencies sent", "Node", agent.node, "Worker", agent.incarnation, "Report", agent.lastSequence,
		"Critical", counts[int(pacing.Critical)], "Elevated", counts[int(pacing.Elevated)], "Normal", counts[int(pacing.Normal)], "Background", counts[int(pacing.Background)])
}

// changedUrgencies returns the urgencies that differ from those sent last, at most session.MaxUrgencies, the most urgent
// first. It records them as sent, and removes what was sent of runs that are no longer listed.
func (agent *agentSession) changedUrgencies(list []scheduler.RunUrgency) []session.Urgency {
	var changed []scheduler.RunUrgency
	listed := 0
	for _, item := range list {
		sent, ok := agent.sentUrgencies[runKey{item.Name, item.Run}]
		if !ok {
			continue
		}
		listed++
		if sent != item.Urgency {
			changed = append(changed, item)
		}
	}
	if listed < len(agent.sentUrgencies) {
		agent.removeEndedUrgencies(list)
	}
	slices.SortFunc(changed, func(left, right scheduler.RunUrgency) int {
		return cmp.Or(cmp.Compare(right.Urgency, left.Urgency), strings.Compare(string(left.Name.Job), string(right.Name.Job)),
			cmp.Compare(left.Name.Occurrence, right.Name.Occurrence), cmp.Compare(left.Name.Step, right.Name.Step), cmp.Compare(left.Name.Index, right.Name.Index))
	})
	messages := make([]session.Urgency, 0, min(len(changed), session.MaxUrgencies))
	for _, item := range changed[:min(len(changed), session.MaxUrgencies)] {
		agent.sentUrgencies[runKey{item.Name, item.Run}] = item.Urgency
		messages = append(messages, session.Urgency{Task: item.Name.String(), Run: item.Run, Level: int(item.Urgency)})
	}
	return messages
}

// removeEndedUrgencies removes what was sent of runs that are not in the list.
func (agent *agentSession) removeEndedUrgencies(list []scheduler.RunUrgency) {
	active := make(map[runKey]pacing.Urgency, len(list))
	for _, item := range list {
		key := runKey{item.Name, item.Run}
		if sent, ok := agent.sentUrgencies[key]; ok {
			active[key] = sent
		}
	}
	agent.sentUrgencies = active
}
