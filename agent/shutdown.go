package agent

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
)

// Shutdown shuts the agent down gracefully: it admits no new work, lets requests in flight finish,
// checkpoints and stops all tasks, and reports their ends. It returns nil when all of this is done,
// or the error of the context after the timeout in the settings.
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
	if waitErr := agent.stopAndReportAll(ctx); err == nil {
		err = waitErr
	}
	agent.sendLeave(ctx, true)
	agent.Close()
	klog.InfoS("Agent left", "Worker", agent.settings.Worker)
	return err
}

// sendLeave notifies the home that the endpoint accepts no new work, or with gone that the agent
// has ended. It also triggers an announcement with the same information, in case the message is
// lost.
func (agent *Agent) sendLeave(ctx context.Context, gone bool) {
	wake(agent.announceNow)
	var address, endpoint string
	var incarnation uint64
	agent.control.Call(func() {
		address = agent.finder.nextAddress()
		incarnation = uint64(agent.incarnation)
		if agent.gate != nil {
			endpoint = agent.gate.State().Endpoint
		}
	})
	client, err := agent.entries.Entry(address)
	if err != nil {
		klog.ErrorS(err, "Leave was not sent", "Entry", address)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, agent.settings.CallTimeout.Duration())
	defer cancel()
	_, err = client.Leave(callCtx, &controlpb.LeaveRequest{
		Worker: string(agent.settings.Worker), Incarnation: incarnation, Endpoint: endpoint, AgentGone: gone,
	})
	if err != nil {
		klog.ErrorS(err, "Leave had no answer", "Entry", address)
	}
}

// stopAndReportAll stops all tasks and waits until every end is recorded in the table or ctx ends.
// It repeats stops that the worker did not confirm.
func (agent *Agent) stopAndReportAll(ctx context.Context) error {
	for {
		empty := agent.stopAll("agent is leaving")
		pending := 0
		agent.control.Call(func() { pending = len(agent.unrecorded) })
		if empty && pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-agent.time.After(agent.settings.Watch):
			wake(agent.reportNow)
		}
	}
}
