package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
)

const (
	// maxReportGap is the age of an agent's last report from which its worker gets no new runs: one report is missing.
	maxReportGap = 2 * session.ReportInterval
	// maxLeaderGap is the time between two events of the control loop from which the leader itself stood still. There is
	// an event every checkInterval.
	maxLeaderGap = session.ReportInterval / 2
)

// attention tells the silence of an agent from that of the leader itself: reports that arrive while the leader is paused
// or has no processor time wait until it goes on.
type attention struct {
	// awakeAt is when the control loop last had an event, and resumedAt when it last went on after it had stood still.
	awakeAt   clock.Time
	resumedAt clock.Time
}

// observe records an event of the control loop.
func (attention *attention) observe(now clock.Time) {
	if gap := now.Sub(attention.awakeAt); attention.awakeAt != 0 && gap > maxLeaderGap {
		klog.InfoS("Leader stood still", "GapMillis", int64(gap))
		attention.resumedAt = now
	}
	attention.awakeAt = now
}

// isOverdue reports whether an agent that last reported at a time is silent although the leader was there to hear it.
func (attention *attention) isOverdue(reportedAt, now clock.Time) bool {
	return now.Sub(max(reportedAt, attention.resumedAt)) > maxReportGap
}

// updateOverdue passes to the scheduler which agents are overdue with their reports.
func (coordinator *Coordinator) updateOverdue(now clock.Time) {
	for _, agent := range coordinator.sessions {
		overdue := coordinator.attention.isOverdue(agent.reportedAt, now)
		if overdue != agent.overdue {
			agent.overdue = overdue
			klog.InfoS("Agent overdue", "Node", agent.node, "Worker", agent.incarnation, "Overdue", overdue, "SilentMillis", int64(now.Sub(agent.reportedAt)))
		}
		coordinator.scheduler.SetOverdue(agent.incarnation, overdue)
	}
}
