package agent

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
)

// Shutdown ends the agent gracefully: no new work is admitted, requests in flight finish, tasks are
// checkpointed and stopped, and their ends are reported. It returns when all is done or after the
// bound in the settings, with the error of the context in the latter case.
func (agent *Agent) Shutdown(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, agent.settings.Shutdown.Duration())
	defer cancel()
	klog.InfoS("Agent is leaving", "Worker", agent.settings.Worker)
	agent.control.Call(func() {
		agent.leaving = true
		agent.ledger.Drain(true)
	})
	if agent.gate != nil {
		agent.gate.Leave()
	}
	agent.sendLeave(ctx, false)
	var err error
	if agent.gate != nil {
		err = agent.gate.Drain(ctx)
	}
	if waitErr := agent.waitReported(ctx); err == nil {
		err = waitErr
	}
	agent.sendLeave(ctx, true)
	agent.Close()
	klog.InfoS("Agent left", "Worker", agent.settings.Worker)
	return err
}

// sendLeave tells the home that the endpoint takes no new work. The announcement that follows at
// once says the same, so that one lost message does not matter.
func (agent *Agent) sendLeave(ctx context.Context, gone bool) {
	wake(agent.kick)
	var target, endpoint string
	var incarnation uint64
	agent.control.Call(func() {
		target = agent.finder.target()
		incarnation = uint64(agent.incarnation)
		if agent.gate != nil {
			endpoint = agent.gate.State().Endpoint
		}
	})
	client, err := agent.entries.Entry(target)
	if err != nil {
		klog.ErrorS(err, "Leave was not sent", "Entry", target)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, agent.settings.CallTimeout.Duration())
	defer cancel()
	_, err = client.Leave(bounded, &controlpb.LeaveRequest{
		Worker: string(agent.settings.Worker), Incarnation: incarnation, Endpoint: endpoint, AgentGone: gone,
	})
	if err != nil {
		klog.ErrorS(err, "Leave had no answer", "Entry", target)
	}
}

// waitReported stops all tasks and waits until every end is recorded in the table or ctx ends. Stops
// that the worker did not confirm are repeated.
func (agent *Agent) waitReported(ctx context.Context) error {
	for {
		empty := agent.stopAll("agent is leaving")
		pending := 0
		agent.control.Call(func() { pending = len(agent.ended) })
		if empty && pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-agent.time.After(agent.settings.Watch):
			wake(agent.reported)
		}
	}
}
