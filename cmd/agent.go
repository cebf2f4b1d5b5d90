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

// workerConnections bounds the connections of an agent to its worker's runtime.
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
	if path, ok := clusterSettings(); ok && command.Config == "" {
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
			func() clock.Clock { return clock.NewSystem() },
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

// newGate returns the admission control of the endpoint, or nil if the worker has none.
func newGate(lifecycle fx.Lifecycle, settings setting.Agent, source clock.Clock, incarnation ident.Incarnation) (agent.Gate, error) {
	if settings.Endpoint.Name == "" {
		return nil, nil
	}
	address, err := url.Parse(settings.Endpoint.URL)
	if err != nil {
		return nil, err
	}
	limits := endpoint.ClientDefaults()
	limits.Address = address.Host
	limits.Connections = settings.Requests.Connections
	limits.ProgressDeadline = settings.Endpoint.ProgressMillis
	client := endpoint.NewClient(source, limits)
	admitted := endpoint.GateDefaults()
	admitted.Endpoint, admitted.Service = settings.Endpoint.Name, settings.Endpoint.Service
	admitted.Incarnation = incarnation
	admitted.Admission.Slots = settings.Requests.Slots
	admitted.Admission.Connections = settings.Requests.Connections
	admitted.Admission.Queue = settings.Requests.Queue
	gate := endpoint.NewGate(source, client, admitted)
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
	converted := agent.DefaultSettings()
	converted.Worker = settings.Worker.Name
	converted.Region, converted.DataCentre, converted.Rack = settings.Identity.Region, settings.Identity.DataCentre, settings.Identity.Rack
	converted.Address = advertised(settings.Listen.AdvertiseControl, settings.Listen.Control)
	converted.Balancer = settings.Peers.Entries
	converted.RuntimeAddress = settings.Worker.URL
	converted.Heartbeat = settings.Tasks.HeartbeatMillis
	converted.Watch = settings.Worker.PollMillis
	converted.WorkerTimeout = settings.Worker.TimeoutMillis
	converted.Shutdown = settings.Shutdown.BoundMillis
	var server *agent.Server
	var page *http.Server
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			daemon := agent.New(converted, source, runtime, gate, pool, publisher, incarnation, newRandom())
			server = agent.NewServer(daemon, listener, controlOptions(ring, controlpb.AgentCallers())...)
			page = serveMetrics(settings.Metrics.Listen, daemon.Ready)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			err := server.Shutdown(ctx)
			if page != nil {
				_ = page.Shutdown(ctx)
			}
			return err
		},
	})
	return nil
}

// serveMetrics serves /metrics, /healthz and /readyz on loopback or wherever address says.
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
