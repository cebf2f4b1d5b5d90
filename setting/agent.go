package setting

// Agent holds the settings of an agent daemon.
type Agent struct {
	Identity Identity
	Listen   AgentListen
	Peers    Peers
	Worker   Worker
	Endpoint Endpoint
	Requests Slots
	Tasks    Tasks
	Shutdown Shutdown
	TLS      TLS
	Log      Log
	Metrics  Metrics
}

// check reports contradictions between the settings.
func (agent *Agent) check(reader *reader) {
	agent.Requests.check(reader)
	agent.Tasks.check(reader)
	agent.TLS.check(reader)
	agent.TLS.checkListen(reader, "Listen.Control", agent.Listen.Control, false)
	agent.TLS.checkListen(reader, "Metrics.Listen", agent.Metrics.Listen, true)
	reader.require(len(agent.Peers.Entries) > 0, []string{"Peers.Entries"}, "must name at least one entry")
	hasEndpoint := agent.Endpoint.Name != "" || agent.Endpoint.Service != "" || agent.Endpoint.URL != ""
	for key, value := range map[string]string{
		"Endpoint.Name":    string(agent.Endpoint.Name),
		"Endpoint.Service": string(agent.Endpoint.Service),
		"Endpoint.URL":     agent.Endpoint.URL,
	} {
		reader.require(!hasEndpoint || value != "", []string{key}, "is required when the worker has an endpoint")
	}
	checkDistinct(reader, map[string]string{
		"Listen.Control": agent.Listen.Control, "Metrics.Listen": agent.Metrics.Listen,
	})
}
