package recorded

// pause stops the agent's process as a whole. The worker's runtime and the endpoint go on, and the
// clock too, so the lease lapses while its holder is paused.
func (agent *agent) pause() {
	agent.paused = true
	agent.deployment.checks.pausedTasks += len(agent.runtime.tasks)
	agent.deployment.log.write("%s Pause Tasks=%d", agent.name, len(agent.runtime.tasks))
}

// wake lets the process go on with everything that reached it while it was paused, in order.
func (agent *agent) wake() {
	agent.paused = false
	held := agent.held
	agent.held = nil
	agent.deployment.checks.held += len(held)
	agent.deployment.log.write("%s Wake Held=%d Leased=%t", agent.name, len(held), agent.holder.Valid(agent.deployment.now()))
	for _, take := range held {
		take()
	}
}

// receive takes what reached the process, after its pause if it is paused.
func (agent *agent) receive(take func()) {
	if agent.paused {
		agent.held = append(agent.held, take)
		return
	}
	take()
}
