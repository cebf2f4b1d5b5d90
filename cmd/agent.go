package cmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"hyssopjunction/agent"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/endpoint"
	"hyssopjunction/ident"
	"hyssopjunction/keys"
	"hyssopjunction/probe"
	"hyssopjunction/setting"
	"hyssopjunction/worker"
)

// workerConnections limits the connections of a daemon to a worker's runtime.
const workerConnections = 16

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		_, err := parser.AddCommand("agent", "Run an agent",
			"Owns a worker's capacity and announces its endpoint until it is interrupted.", &agentCommand{std: std})
		return err
	})
}

type agentCommand struct {
	daemonOptions
	std streams
}

// Execute runs the agent until SIGINT or SIGTERM.
func (command *agentCommand) Execute([]string) error {
	if path, ok := clusterSettingsPath(); ok && command.Config == "" {
		return runClusterAgent(command.std, path)
	}
	settings, checked, err := loadDaemon(command.std, command.daemonOptions, func(settings setting.Agent) error { return checkFiles(settings.TLS) },
		func(settings setting.Agent) string { return settings.Log.Level })
	if err != nil || checked {
		return err
	}
	return runDaemon(settings.Shutdown.BoundMillis,
		fx.Supply(settings),
		fx.Provide(
			newClock,
			func(settings setting.Agent, source clock.Clock) (*keys.Ring, error) {
				return newRing(settings.TLS, source)
			},
			func(lifecycle fx.Lifecycle, ring *keys.Ring) *controlpb.Pool {
				return newPool(lifecycle, ring, keys.RoleEntry)
			},
			newIncarnation, newRuntime, newGate, config.NewPublisher,
		),
		fx.Invoke(startAgent),
	)
}

func newRuntime(settings setting.Agent) worker.Runtime {
	return worker.NewHTTP(settings.Worker.URL, settings.Worker.Name, httpClient(workerConnections))
}

// newGate returns the admission control of the worker's endpoint, or nil if the worker has no endpoint.
func newGate(lifecycle fx.Lifecycle, settings setting.Agent, source clock.Clock, incarnation ident.Incarnation) (agent.Gate, error) {
	if settings.Endpoint.Name == "" {
		return nil, nil
	}
	address, err := url.Parse(settings.Endpoint.URL)
	if err != nil {
		return nil, err
	}
	clientSettings := endpoint.ClientDefaults()
	clientSettings.Address = address.Host
	clientSettings.Connections = settings.Requests.Connections
	clientSettings.ProgressDeadline = settings.Endpoint.ProgressMillis
	client := endpoint.NewClient(source, clientSettings)
	gateSettings := endpoint.GateDefaults()
	gateSettings.Endpoint, gateSettings.Service = settings.Endpoint.Name, settings.Endpoint.Service
	gateSettings.Incarnation = incarnation
	gateSettings.Admission.Slots = settings.Requests.Slots
	gateSettings.Admission.Connections = settings.Requests.Connections
	gateSettings.Admission.Queue = settings.Requests.Queue
	gate := endpoint.NewGate(source, client, gateSettings)
	gate.Register(metrics.GetDefaultSet())
	lifecycle.Append(fx.StopHook(client.Close))
	lifecycle.Append(fx.StopHook(gate.Close))
	return gate, nil
}

// startAgent starts the agent and its servers with the application and stops them gracefully.
func startAgent(lifecycle fx.Lifecycle, settings setting.Agent, source clock.Clock, runtime worker.Runtime,
	gate agent.Gate, pool *controlpb.Pool, ring *keys.Ring, publisher *config.Publisher, incarnation ident.Incarnation,
) error {
	listener, err := listen(settings.Listen.Control, ring, settings.TLS)
	if err != nil {
		return err
	}
	agentSettings := agent.DefaultSettings()
	agentSettings.Worker = settings.Worker.Name
	agentSettings.Region, agentSettings.DataCentre, agentSettings.Rack = settings.Identity.Region, settings.Identity.DataCentre, settings.Identity.Rack
	agentSettings.Address = advertisedAddress(settings.Listen.AdvertiseControl, settings.Listen.Control)
	agentSettings.Balancer = settings.Peers.Entries
	agentSettings.RuntimeAddress = settings.Worker.URL
	agentSettings.Heartbeat = settings.Tasks.HeartbeatMillis
	agentSettings.Watch = settings.Worker.PollMillis
	agentSettings.WorkerTimeout = settings.Worker.TimeoutMillis
	agentSettings.Shutdown = settings.Shutdown.BoundMillis
	var server *agent.Server
	var metricsServer *http.Server
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			daemon := agent.New(agentSettings, source, runtime, gate, pool, publisher, incarnation, newRandom())
			server = agent.NewServer(daemon, listener, controlOptions(ring, controlpb.AgentCallers())...)
			metricsServer = serveMetrics(settings.Metrics.Listen, daemon.Ready)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			err := server.Shutdown(ctx)
			if metricsServer != nil {
				_ = metricsServer.Shutdown(ctx)
			}
			return err
		},
	})
	return nil
}

// serveMetrics serves /metrics, /healthz and /readyz on address. It returns nil if address is empty.
func serveMetrics(address string, ready func() bool) *http.Server {
	if address == "" {
		return nil
	}
	server := &http.Server{Addr: address, Handler: probe.New(ready), ReadHeaderTimeout: (2 * clock.Second).Duration()}
	go func() {
		if err := server.ListenAndServe(); err != nil {
			klog.InfoS("Metrics page ended", "Reason", err.Error())
		}
	}()
	return server
}
