package coordinator

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/scheduler"
	"hyssopjunction/session"
)

// EndWorker records that an incarnation of a worker has ended for good, and returns once that is stored. Errors:
// session.ErrNotLeading if the term ends first, or the error of ctx.
func (coordinator *Coordinator) EndWorker(ctx context.Context, end *session.WorkerEnd) error {
	var stored <-chan struct{}
	ok := coordinator.loop.Call(func() {
		stored = coordinator.storeWorkerEnd(end)
		coordinator.startRound()
	})
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

// storeWorkerEnd applies a report and returns a channel that is closed once that is stored. Repetitions share the channel,
// so that they need no memory while the store is away.
func (coordinator *Coordinator) storeWorkerEnd(end *session.WorkerEnd) <-chan struct{} {
	changed := coordinator.endWorker(end)
	if stored, ok := coordinator.endsToStore[end.Incarnation]; ok && !changed {
		return stored
	}
	if coordinator.endsToStore == nil {
		coordinator.endsToStore = map[string]chan struct{}{}
	}
	stored := make(chan struct{})
	coordinator.endsToStore[end.Incarnation] = stored
	coordinator.onceStored = append(coordinator.onceStored, func() {
		klog.V(1).InfoS("End of the worker stored", "Worker", end.Incarnation, "Term", coordinator.leadership.Term.Number)
		if coordinator.endsToStore[end.Incarnation] == stored {
			delete(coordinator.endsToStore, end.Incarnation)
		}
		close(stored)
	})
	return stored
}

// endWorker removes a worker's incarnation from the scheduler. An agent that is attached, reports and reaches the worker
// knows better than a report that was kept by another entry. It reports whether the scheduler had the worker.
func (coordinator *Coordinator) endWorker(end *session.WorkerEnd) bool {
	now := coordinator.deps.Clock.Now()
	incarnation := scheduler.Incarnation(end.Incarnation)
	agent, ok := coordinator.sessions[end.Node]
	if ok && agent.incarnation == incarnation && agent.responsive && !coordinator.attention.isOverdue(agent.reportedAt, now) {
		klog.InfoS("End of a worker ignored: it answers its agent", "Node", end.Node, "Worker", incarnation, "ReportAgeMillis", int64(now.Sub(agent.reportedAt)))
		return false
	}
	if coordinator.workers[end.Node].incarnation == incarnation {
		delete(coordinator.workers, end.Node)
	}
	if !coordinator.scheduler.HasWorker(incarnation) {
		return false // The same report may arrive from several entries.
	}
	ended := coordinator.scheduler.EndWorker(incarnation, coordinator.convertEnds(incarnation, end.Ends), now)
	if ended > 0 {
		coordinator.counters.workerEnds.Inc()
		klog.InfoS("Worker ended", "Node", end.Node, "Worker", incarnation, "EndedRuns", ended, "ReportedEnds", len(end.Ends), "Term", coordinator.leadership.Term.Number)
	}
	return true
}
