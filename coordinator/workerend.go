package coordinator

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// EndWorker records that an incarnation of a worker has ended for good or that its lease has lapsed, and returns once that
// is stored. Errors: session.ErrNotLeading if the term ends first, or the error of ctx.
func (coordinator *Coordinator) EndWorker(ctx context.Context, end *session.WorkerEnd) error {
	var stored <-chan struct{}
	ok := coordinator.call(agentSource(end.Node), func() { stored = coordinator.storeWorkerEnd(end) }) &&
		coordinator.call(sourceUnknown, coordinator.startRound)
	if !ok {
		return session.ErrNotLeading{}
	}
	select {
	case <-stored:
		return nil
	case <-coordinator.ctx.Done():
		return session.ErrNotLeading{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// storeWorkerEnd applies a report and returns a channel that is closed once that is stored. Repetitions share the channel
// until the next round begins, so that they need no memory while the store is away. A round that is being stored does not
// do: the runs may have ended after it began, for instance because the session reported the lapse first.
func (coordinator *Coordinator) storeWorkerEnd(end *session.WorkerEnd) <-chan struct{} {
	if end.Lapsed {
		coordinator.recordLapsedRuns(end)
	} else {
		coordinator.endWorker(end)
	}
	key := end.Key()
	if stored, ok := coordinator.endsToStore[key]; ok {
		return stored
	}
	if coordinator.endsToStore == nil {
		coordinator.endsToStore = map[string]chan struct{}{}
	}
	stored := make(chan struct{})
	coordinator.endsToStore[key] = stored
	coordinator.onceStored = append(coordinator.onceStored, func() {
		klog.V(1).InfoS("End of the worker stored", "Worker", end.Incarnation, "Lapsed", end.Lapsed, "Term", coordinator.leadership.Term.Number)
		close(stored)
	})
	return stored
}

// recordLapsedRuns records the ends of the runs that a report of a lapse lists. It ends no other run: the report may be
// late, and the worker may have returned and got other runs since.
func (coordinator *Coordinator) recordLapsedRuns(end *session.WorkerEnd) {
	incarnation := scheduler.Incarnation(end.Incarnation)
	var active []session.End
	for _, item := range end.Ends {
		name, err := workflow.ParseName(item.Task)
		if err != nil || coordinator.scheduler.IsActive(incarnation, name, item.Run) {
			active = append(active, item)
		}
	}
	ended := coordinator.convertEnds(incarnation, active)
	for _, item := range ended {
		coordinator.scheduler.RecordEnd(incarnation, item, coordinator.deps.Clock.Now())
	}
	if len(ended) > 0 {
		coordinator.counters.workerLapses.Inc()
		klog.InfoS("Runs of a lapsed worker ended", "Node", end.Node, "Worker", incarnation, "EndedRuns", len(ended), "ReportedEnds", len(end.Ends), "Term", coordinator.leadership.Term.Number)
	}
}

// endWorker removes a worker's incarnation from the scheduler. An agent that has reported later than it noticed the end that
// the worker answers knows better than a report that was kept by another entry.
func (coordinator *Coordinator) endWorker(end *session.WorkerEnd) {
	now := coordinator.deps.Clock.Now()
	incarnation := scheduler.Incarnation(end.Incarnation)
	agent, ok := coordinator.sessions[end.Node]
	if ok && agent.incarnation == incarnation && agent.responsive && coordinator.answeredAfter(agent, end, now) {
		klog.InfoS("End of a worker ignored: it answers its agent", "Node", end.Node, "Worker", incarnation, "ReportAgeMillis", int64(now.Sub(agent.reportedAt)))
		return
	}
	if end.Crash != nil {
		coordinator.recordCrash(*end.Crash)
	}
	if coordinator.workers[end.Node].incarnation == incarnation {
		delete(coordinator.workers, end.Node)
	}
	if !coordinator.scheduler.HasWorker(incarnation) {
		return // The same report may arrive from several entries.
	}
	ended := coordinator.scheduler.EndWorker(incarnation, coordinator.convertEnds(incarnation, end.Ends), now)
	if ended > 0 {
		coordinator.counters.workerEnds.Inc()
		klog.InfoS("Worker ended", "Node", end.Node, "Worker", incarnation, "EndedRuns", ended, "ReportedEnds", len(end.Ends), "Term", coordinator.leadership.Term.Number)
	}
}

// answeredAfter reports whether the agent's last profile of the worker is later than the report of its end. Agents of an
// earlier version do not report the times. Then it counts whether the agent reports at present, although its worker may have
// ended since its last profile.
func (coordinator *Coordinator) answeredAfter(agent *agentSession, end *session.WorkerEnd, now clock.Time) bool {
	if end.At == 0 || agent.profileAt == 0 {
		return !coordinator.attention.isOverdue(agent.reportedAt, now)
	}
	return agent.profileAt > end.At
}
