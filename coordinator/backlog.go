package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
)

// Refusal returns which jobs the leader takes no more of.
func (coordinator *Coordinator) Refusal() backlog.Refusal {
	if refusal := coordinator.refusal.Load(); refusal != nil {
		return *refusal
	}
	return backlog.Refusal{}
}

// updateRefusal measures the backlog and logs when the decision changes about which jobs are taken.
func (coordinator *Coordinator) updateRefusal(now clock.Time) {
	before, refusal := coordinator.Refusal(), coordinator.backlog.Refusal(now)
	coordinator.refusal.Store(&refusal)
	if (before.Large > 0) != (refusal.Large > 0) || (before.All > 0) != (refusal.All > 0) {
		klog.InfoS("Backlog", "LargeJobsTaken", refusal.Large == 0, "JobsTaken", refusal.All == 0,
			"Bytes", int64(coordinator.backlog.Open()), "Limit", int64(coordinator.deps.MaxBacklog), "Jobs", len(coordinator.inboxVersions))
	}
}

// storedRefusal returns the refusal for the heartbeat, by which other entries learn of it, or nil if all jobs are taken.
func (coordinator *Coordinator) storedRefusal() *backlog.Refusal {
	if refusal := coordinator.Refusal(); refusal != (backlog.Refusal{}) {
		return &refusal
	}
	return nil
}
