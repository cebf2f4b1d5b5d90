package cmd

import (
	"net/http"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/cluster"
	"hyssopjunction/directive"
	"hyssopjunction/httpserver"
)

// Connections of the servers that are not for callers.
const (
	// pageConnections is for the metrics and the job API.
	pageConnections = 64
	// probeConnections is for the load balancer's probe, and for the worker beside an agent.
	probeConnections = 16
)

// idleMargin is how much longer than the configuration says a connection may be idle, so that a request is not cut whose client
// keeps to the limit.
const idleMargin = clock.Second

// httpServers starts the HTTP servers of a daemon, which share its memory.
type httpServers struct {
	lifecycle fx.Lifecycle
	clock     clock.Clock
	budget    httpserver.Budget
	memory    *httpserver.Memory
	bodies    *httpserver.Bodies
}

// newHTTPServers divides what the settings allow. Its times need not include suspensions, so they are read from the clock that
// takes no system call.
func newHTTPServers(lifecycle fx.Lifecycle, settings cluster.Settings) *httpServers {
	source := clock.NewSystem()
	budget := httpserver.NewBudget(settings.MemoryBytes, settings.Descriptors)
	memory := httpserver.NewMemory(budget.BodyBytes, source)
	klog.InfoS("Limits of clients", "Connections", budget.Connections, "BodyBytes", budget.BodyBytes)
	return &httpServers{lifecycle: lifecycle, clock: source, budget: budget, memory: memory, bodies: httpserver.NewBodies(memory)}
}

// serveCallers serves handler on address. The caller must close the server. rules returns the rules in force.
func (servers *httpServers) serveCallers(address string, handler http.Handler, rules func() httpserver.Rules) (*httpserver.Server, error) {
	return servers.serve("callers", address, handler, servers.budget.Connections, rules)
}

// servePages serves handler on address until the application stops. It does nothing if address is empty.
func (servers *httpServers) servePages(name, address string, handler http.Handler, connections int) error {
	if address == "" {
		return nil
	}
	server, err := servers.serve(name, address, handler, connections, httpserver.DefaultRules)
	if err != nil {
		return err
	}
	servers.lifecycle.Append(fx.StopHook(server.Close))
	return nil
}

func (servers *httpServers) serve(name, address string, handler http.Handler, connections int, rules func() httpserver.Rules) (*httpserver.Server, error) {
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	server := httpserver.New(name, handler, connections, servers.memory, rules, servers.clock)
	go func() {
		if err := server.Serve(listener); err != nil {
			klog.ErrorS(err, "Server ended", "Server", name, "Address", address)
		}
	}()
	return server, nil
}

// callerRules returns the rules of a configuration, which may be nil.
func callerRules(config *directive.Config) httpserver.Rules {
	rules := httpserver.DefaultRules()
	if config == nil {
		return rules
	}
	if config.Limits.HeaderBytes > 0 {
		rules.HeaderBytes = config.Limits.HeaderBytes
	}
	if config.Limits.HeaderTimeout > 0 {
		rules.HeaderTimeout = config.Limits.HeaderTimeout
	}
	if config.Limits.IdleTimeout > 0 {
		rules.IdleTimeout = config.Limits.IdleTimeout + idleMargin
	}
	return rules
}
