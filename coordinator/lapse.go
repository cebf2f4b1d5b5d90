package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
)

// logInherited logs for how many workers of earlier terms the last grant is known.
func (coordinator *Coordinator) logInherited() {
	orphans, known := coordinator.scheduler.Orphans(), 0
	for _, incarnation := range orphans {
		if _, ok := coordinator.ledger.LastGrant(incarnation.Node()); ok {
			known++
		}
	}
	klog.InfoS("Workers inherited", "Term", coordinator.leadership.Term.Number, "Workers", len(orphans), "LastGrantKnown", known)
}

// detectLapses ends the runs of workers that have certainly stopped them, because their node was granted no lease.
func (coordinator *Coordinator) detectLapses(now clock.Time) {
	for node, worker := range coordinator.workers {
		lastGrant, _ := coordinator.ledger.LastGrant(node)
		silent := now.Sub(lastGrant)
		if worker.lapsed || silent <= election.WorkerStoppedAfter(coordinator.workerLease) {
			continue
		}
		klog.InfoS("Worker lapsed", "Node", node, "Worker", worker.incarnation, "SilentMillis", int64(silent))
		worker.lapsed = true
		coordinator.workers[node] = worker
		coordinator.scheduler.RecordLeaseLapse(worker.incarnation)
	}
	for _, incarnation := range coordinator.scheduler.Orphans() {
		lastGrant, known := coordinator.ledger.LastGrant(incarnation.Node())
		silent := now.Sub(lastGrant)
		if silent <= election.WorkerStoppedAfter(coordinator.workerLease) {
			continue
		}
		coordinator.counters.workersAwaited.Inc()
		klog.InfoS("Worker did not return", "Worker", incarnation, "Term", coordinator.leadership.Term.Number,
			"LastGrantKnown", known, "SilentMillis", int64(silent), "WaitMillis", int64(now.Sub(coordinator.startedAt)))
		coordinator.scheduler.RemoveWorker(incarnation)
	}
}

// updateReachable passes to the scheduler whether the agent's worker accepts new runs. While the heartbeat lists its
// node as silent it does not: it gets no lease for them.
func (coordinator *Coordinator) updateReachable(agent *agentSession) {
	coordinator.scheduler.SetReachable(agent.incarnation, agent.responsive && !coordinator.ledger.Listed(agent.node))
}

// recordRenewal records that the last heartbeat is stored, and grants leases to nodes that waited for it.
func (coordinator *Coordinator) recordRenewal() {
	for _, node := range coordinator.ledger.RecordStored() {
		agent, ok := coordinator.sessions[node]
		if !ok {
			continue
		}
		klog.InfoS("Node is no longer listed as silent", "Node", node, "Worker", agent.incarnation)
		agent.answeredAt = 0
		coordinator.grantLease(agent, coordinator.deps.Clock.Now())
		coordinator.updateReachable(agent)
	}
}
