package cmd

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"hyssopjunction/caller"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/entry"
	"hyssopjunction/ident"
	"hyssopjunction/keys"
	"hyssopjunction/lease"
	"hyssopjunction/objectstore"
	"hyssopjunction/operator"
	"hyssopjunction/setting"
	tables "hyssopjunction/table"
	"hyssopjunction/worker"
)

// permillePerPercent converts the retry budget.
const permillePerPercent = 10

// tableConnections bounds the connections of an entry to the table service.
const tableConnections = 16

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		_, err := parser.AddCommand("entry", "Run an entry daemon",
			"Serves callers and operators, schedules jobs and grants leases until it is interrupted.", &entryCommand{std: std})
		return err
	})
}

type entryCommand struct {
	daemonOptions
	std streams
}

// Execute runs the entry until SIGINT or SIGTERM.
func (command *entryCommand) Execute([]string) error {
	if path, ok := clusterSettings(); ok && command.Config == "" {
		return runClusterEntry(command.std, path)
	}
	settings, checked, err := loadDaemon(command.std, command.daemonOptions, func(settings setting.Entry) error {
		return checkFiles(settings.TLS, func() error { _, err := newTokens(settings, clock.NewSystem()); return err })
	},
		func(settings setting.Entry) string { return settings.Log.Level })
	if err != nil || checked {
		return err
	}
	return runDaemon(settings.Shutdown.BoundMillis,
		fx.Supply(settings),
		fx.Provide(
			func() clock.Clock { return clock.NewSystem() },
			newRandom,
			func(settings setting.Entry, source clock.Clock) (*keys.Ring, error) {
				return newRing(settings.TLS, source)
			},
			func(lifecycle fx.Lifecycle, ring *keys.Ring) *controlpb.Pool {
				return newPool(lifecycle, ring, keys.RoleEntry, keys.RoleAgent)
			},
			newAgentConnections, newEntryTable, newTokens,
		),
		fx.Invoke(keepHeapFloor, startEntry),
	)
}

// newEntryTable returns the client through which the entry uses the table.
func newEntryTable(lifecycle fx.Lifecycle, settings setting.Entry, source clock.Clock, random *rand.Rand) *tables.Client {
	limits := tables.DefaultSettings()
	limits.CallMillis = settings.Table.TimeoutMillis
	limits.GroupMillis = settings.Table.GroupMillis
	limits.BreakerFailures = settings.Table.BreakerFailures
	limits.ProbeMillis = settings.Table.BreakerMillis
	limits.SystemReads = int(settings.Table.ReadsPerSecond)
	limits.SystemWrites = int(settings.Table.WritesPerSecond)
	writer := fmt.Sprintf("%s-%d", settings.Identity.Name, newIncarnation())
	client := tables.NewClient(tables.NewHTTP(settings.Table.URL, httpClient(tableConnections)), source, writer, random, limits)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

// newTokens returns the operators' credentials: those of the tokens file or, without one, a token that
// needs no secret because the operators' API then listens on loopback only.
func newTokens(settings setting.Entry, source clock.Clock) (*operator.Tokens, error) {
	if settings.Operators.TokensFile == "" {
		if err := keys.CheckListen(settings.Listen.Operator, false, false); err != nil {
			return nil, err
		}
		return operator.FixedTokens([]operator.Credential{{Operator: "loopback", Token: operator.LoopbackToken}})
	}
	return operator.NewTokens(settings.Operators.TokensFile, source)
}

// newAgentConnections returns the connections that carry callers' requests to agents.
func newAgentConnections(lifecycle fx.Lifecycle, source clock.Clock, ring *keys.Ring) *dispatch.Connections {
	connections := dispatch.NewConnections(source, controlpb.DialOptions(transport(ring, keys.RoleAgent))...)
	lifecycle.Append(fx.StopHook(connections.Close))
	return connections
}

// startEntry starts the entry and its servers with the application and stops them gracefully.
func startEntry(lifecycle fx.Lifecycle, settings setting.Entry, source clock.Clock, store *tables.Client,
	agents *dispatch.Connections, pool *controlpb.Pool, ring *keys.Ring, tokens *operator.Tokens,
) error {
	listeners, err := entryListeners(settings, ring)
	if err != nil {
		return err
	}
	var secure *tls.Config
	if ring != nil {
		// Callers and operators have no certificates; operators are known by their tokens.
		secure = ring.OpenConfig()
	}
	server := entry.Listen(listeners, callerSettings(settings.Requests), secure, controlOptions(ring, controlpb.EntryCallers())...)
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			daemon, err := newEntry(ctx, settings, source, store, agents, pool)
			if err != nil {
				return err
			}
			operators, err := newOperators(daemon, tokens)
			if err != nil {
				return err
			}
			server.Serve(daemon, operators)
			return nil
		},
		OnStop: func(ctx context.Context) error { return server.Shutdown(ctx) },
	})
	return nil
}

func entryListeners(settings setting.Entry, ring *keys.Ring) (entry.Listeners, error) {
	listeners := entry.Listeners{}
	for address, listener := range map[string]*net.Listener{
		settings.Listen.Control: &listeners.Control, settings.Listen.Caller: &listeners.Caller,
		settings.Listen.Operator: &listeners.Operator, settings.Metrics.Listen: &listeners.Metrics,
	} {
		if address == "" {
			continue
		}
		certificate := ring
		if listener == &listeners.Metrics {
			certificate = nil // The metrics page is never encrypted.
		}
		opened, err := listen(address, certificate, settings.TLS)
		if err != nil {
			return listeners, err
		}
		*listener = opened
	}
	return listeners, nil
}

// newEntry starts the entry once its row can be read.
func newEntry(ctx context.Context, settings setting.Entry, source clock.Clock, store *tables.Client,
	agents *dispatch.Connections, pool *controlpb.Pool,
) (*entry.Entry, error) {
	converted := entry.DefaultSettings()
	converted.ID = ident.Entry(settings.Identity.Name)
	converted.Region, converted.DataCentre = settings.Identity.Region, settings.Identity.DataCentre
	converted.ControlAddress = advertised(settings.Listen.AdvertiseControl, settings.Listen.Control)
	converted.CallerAddress = advertised(settings.Listen.AdvertiseCaller, settings.Listen.Caller)
	converted.Regions = settings.Regions.Entries
	converted.Round = settings.Tasks.RoundMillis
	converted.Seed = rand.Uint64()
	converted.Lease = lease.Settings{Term: settings.Tasks.LeaseTermMillis, OutageGrace: settings.Tasks.OutageGraceMillis}
	converted.Placement.ReservationTerm = settings.Tasks.ReservationTermMillis
	converted.ConfigPoll = settings.Config.PollMillis
	converted.Retention = settings.Requests.RetentionMillis
	converted.ObjectTimeout = settings.Objects.TimeoutMillis
	converted.DefaultPatience = settings.Requests.DefaultPatienceMillis
	converted.Retry.RatioPermille = settings.Requests.RetryBudgetPercent * permillePerPercent
	converted.Dispatch.LogSampling = uint64(settings.Log.Sampling)
	client := httpClient(workerConnections)
	objects := objectstore.NewHTTP(settings.Objects.URL, client)
	runtimes := func(address string, name ident.Worker) worker.Runtime { return worker.NewHTTP(address, name, client) }
	for {
		daemon, err := entry.New(ctx, converted, entry.Dependencies{
			Clock: source, Table: store, Agents: agents, Control: pool, Runtimes: runtimes, Objects: objects,
		})
		if err == nil || !tables.IsErrUnavailable(err) {
			return daemon, err
		}
		klog.ErrorS(err, "Entry waits for the table", "Entry", converted.ID)
		select {
		case <-source.After(clock.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func newOperators(daemon *entry.Entry, tokens *operator.Tokens) (http.Handler, error) {
	settings := operator.Defaults()
	settings.Tokens = tokens
	return operator.New(settings, daemon.Operations(), metrics.GetDefaultSet())
}

func callerSettings(requests setting.Requests) caller.Settings {
	converted := caller.Defaults()
	converted.BodyBytes = requests.BodyBytes
	converted.MinPatience = requests.MinPatienceMillis
	converted.MaxPatience = requests.MaxPatienceMillis
	return converted
}

func advertised(address, listening string) string {
	if address != "" {
		return address
	}
	return listening
}
