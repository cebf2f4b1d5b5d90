package coordinator

import (
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// Explain returns the explanation of an open job's state, or false if the term has ended.
func (coordinator *Coordinator) Explain(id workflow.ID) (*session.ExplainReply, bool) {
	reply := &session.ExplainReply{Term: coordinator.leadership.Term.Number}
	ok := coordinator.call(jobSource(id), func() { reply.Job, reply.Known = coordinator.scheduler.Explain(id, coordinator.deps.Clock.Now()) })
	return reply, ok
}
