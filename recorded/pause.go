package recorded

// pause stops the agent's whole process. The worker's runtime, the endpoint and the clock continue,
// so that the lease lapses while its holder is paused.
func (agent *agent) pause() {
	agent.paused = true
	agent.deployment.checks.pausedTasks += len(agent.runtime.tasks)
	agent.deployment.log.write("%s Pause Tasks=%d", agent.name, len(agent.runtime.tasks))
}

// wake resumes the process, which then handles all messages that arrived during the pause, in
// order.
func (agent *agent) wake() {
	agent.paused = false
	messages := agent.pendingMessages
	agent.pendingMessages = nil
	agent.deployment.checks.delayedMessages += len(messages)
	agent.deployment.log.write("%s Wake Held=%d Leased=%t", agent.name, len(messages), agent.holder.Valid(agent.deployment.now()))
	for _, deliver := range messages {
		deliver()
	}
}

// receive handles a message, or keeps it until the end of the pause.
func (agent *agent) receive(deliver func()) {
	if agent.paused {
		agent.pendingMessages = append(agent.pendingMessages, deliver)
		return
	}
	deliver()
}
