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

// permillePerPercent converts the retry budget from percent to permille.
const permillePerPercent = 10

// tableConnections limits the connections of an entry to the table service.
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
	Disable []string `long:"disable" value-name:"NAME" description:"Switch a mechanism of a deployment's scheduler off; may be repeated"`

	std streams
}

// Execute runs the entry until SIGINT or SIGTERM.
func (command *entryCommand) Execute([]string) error {
	if command.Config != "" && len(command.Disable) > 0 {
		return ErrExit{Code: ExitUsage, Reason: "--disable needs the settings of a deployment, not --config"}
	}
	if path, ok := clusterSettingsPath(); ok && command.Config == "" {
		return runClusterEntry(command.std, path, command.Disable)
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
			newClock,
			newRandom,
			func(settings setting.Entry, source clock.Clock) (*keys.Ring, error) {
				return newRing(settings.TLS, source)
			},
			func(lifecycle fx.Lifecycle, ring *keys.Ring) *controlpb.Pool {
				return newPool(lifecycle, ring, keys.RoleEntry, keys.RoleAgent)
			},
			newAgentConnections, newEntryTable, newTokens,
		),
		fx.Invoke(keepHeapBallast, startEntry),
	)
}

// newEntryTable returns the entry's client of the table service.
func newEntryTable(lifecycle fx.Lifecycle, settings setting.Entry, source clock.Clock, random *rand.Rand) *tables.Client {
	clientSettings := tables.DefaultSettings()
	clientSettings.CallMillis = settings.Table.TimeoutMillis
	clientSettings.GroupMillis = settings.Table.GroupMillis
	clientSettings.BreakerFailures = settings.Table.BreakerFailures
	clientSettings.ProbeMillis = settings.Table.BreakerMillis
	clientSettings.SystemReads = int(settings.Table.ReadsPerSecond)
	clientSettings.SystemWrites = int(settings.Table.WritesPerSecond)
	writer := fmt.Sprintf("%s-%d", settings.Identity.Name, newIncarnation())
	client := tables.NewClient(tables.NewHTTP(settings.Table.URL, httpClient(tableConnections)), source, writer, random, clientSettings)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

// newTokens returns the operators' credentials from the tokens file. Without a tokens file, the operators'
// API must listen on loopback and accepts operator.LoopbackToken, which is not secret.
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
	connections := dispatch.NewConnections(source, controlpb.DialOptions(clientCredentials(ring, keys.RoleAgent))...)
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
	var tlsConfig *tls.Config
	if ring != nil {
		// Callers and operators have no certificates; operators are authenticated by their tokens.
		tlsConfig = ring.OptionalCertificateConfig()
	}
	server := entry.Listen(listeners, newCallerSettings(settings.Requests), tlsConfig, controlOptions(ring, controlpb.EntryCallers())...)
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
	for _, item := range []struct {
		address  string
		listener *net.Listener
		ring     *keys.Ring
	}{
		{settings.Listen.Control, &listeners.Control, ring},
		{settings.Listen.Caller, &listeners.Caller, ring},
		{settings.Listen.Operator, &listeners.Operator, ring},
		{settings.Metrics.Listen, &listeners.Metrics, nil}, // The metrics page is never encrypted.
	} {
		if item.address == "" {
			continue
		}
		listener, err := listen(item.address, item.ring, settings.TLS)
		if err != nil {
			return listeners, err
		}
		*item.listener = listener
	}
	return listeners, nil
}

// newEntry starts the entry. While the table is unavailable, it retries every second.
func newEntry(ctx context.Context, settings setting.Entry, source clock.Clock, store *tables.Client,
	agents *dispatch.Connections, pool *controlpb.Pool,
) (*entry.Entry, error) {
	entrySettings := entry.DefaultSettings()
	entrySettings.ID = ident.Entry(settings.Identity.Name)
	entrySettings.Region, entrySettings.DataCentre = settings.Identity.Region, settings.Identity.DataCentre
	entrySettings.ControlAddress = advertisedAddress(settings.Listen.AdvertiseControl, settings.Listen.Control)
	entrySettings.CallerAddress = advertisedAddress(settings.Listen.AdvertiseCaller, settings.Listen.Caller)
	entrySettings.Regions = settings.Regions.Entries
	entrySettings.Round = settings.Tasks.RoundMillis
	entrySettings.Seed = rand.Uint64()
	entrySettings.Lease = lease.Settings{Term: settings.Tasks.LeaseTermMillis, OutageGrace: settings.Tasks.OutageGraceMillis}
	entrySettings.Placement.ReservationTerm = settings.Tasks.ReservationTermMillis
	entrySettings.ConfigPoll = settings.Config.PollMillis
	entrySettings.Retention = settings.Requests.RetentionMillis
	entrySettings.ObjectTimeout = settings.Objects.TimeoutMillis
	entrySettings.DefaultPatience = settings.Requests.DefaultPatienceMillis
	entrySettings.Retry.RatioPermille = settings.Requests.RetryBudgetPercent * permillePerPercent
	entrySettings.Dispatch.LogSampling = uint64(settings.Log.Sampling)
	client := httpClient(workerConnections)
	objects := objectstore.NewHTTP(settings.Objects.URL, client)
	runtimes := func(address string, name ident.Worker) worker.Runtime { return worker.NewHTTP(address, name, client) }
	for {
		daemon, err := entry.New(ctx, entrySettings, entry.Dependencies{
			Clock: source, Table: store, Agents: agents, Control: pool, Runtimes: runtimes, Objects: objects,
		})
		if err == nil || !tables.IsErrUnavailable(err) {
			return daemon, err
		}
		klog.ErrorS(err, "Entry waits for the table", "Entry", entrySettings.ID)
		select {
		case <-source.After(clock.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// newOperators returns the handler of the operators' API.
func newOperators(daemon *entry.Entry, tokens *operator.Tokens) (http.Handler, error) {
	settings := operator.Defaults()
	settings.Tokens = tokens
	return operator.New(settings, daemon.Operations(), metrics.GetDefaultSet())
}

func newCallerSettings(requests setting.Requests) caller.Settings {
	callerSettings := caller.Defaults()
	callerSettings.BodyBytes = requests.BodyBytes
	callerSettings.MinPatience = requests.MinPatienceMillis
	callerSettings.MaxPatience = requests.MaxPatienceMillis
	return callerSettings
}

// advertisedAddress returns the address at which others reach a listener: address, or listenAddress if
// address is empty.
func advertisedAddress(address, listenAddress string) string {
	if address != "" {
		return address
	}
	return listenAddress
}
