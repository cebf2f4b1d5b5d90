package cmd

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"hyssopjunction/assignment"
	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/cluster"
	"hyssopjunction/coordinator"
	"hyssopjunction/directive"
	"hyssopjunction/httpserver"
	"hyssopjunction/intake"
	"hyssopjunction/jobapi"
	"hyssopjunction/leadership"
	"hyssopjunction/mechanism"
	"hyssopjunction/platform"
	"hyssopjunction/probe"
	"hyssopjunction/relay"
	"hyssopjunction/session"
	"hyssopjunction/set"
	"hyssopjunction/supervisor"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked for changes without a
	// signal.
	settingsPollInterval = 2 * clock.Second
	// drainDelay is how long an entry that stops continues to accept connections after it reports that it is
	// not ready. The load balancer probes every second, so this allows for two probes and a margin.
	drainDelay = 2500 * clock.Millisecond
	// stopMargin is the part of the grace period that stays unused, so that the shutdown is complete before the
	// platform kills the process.
	stopMargin = clock.Second
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the process's limit.
	// Close to it the garbage collector runs more often.
	memoryLimitPercent = 60
	// heapGrowthPercent is the GOGC value: the heap may grow by this percentage of the live heap between
	// collections. The default of 100 collects a small heap so often that it costs more than the memory.
	heapGrowthPercent = 200
)

// clusterSettingsPath returns the path of a deployment's settings file, if the environment names one.
func clusterSettingsPath() (string, bool) {
	path := os.Getenv(platform.SettingsVariable)
	return path, path != ""
}

// loadClusterSettings reads and checks the settings of a deployment's daemon, and configures the log and the
// memory limits of the process.
func loadClusterSettings(std streams, path string, check func(cluster.Settings) error) (cluster.Settings, error) {
	settings, err := platform.Load(path)
	if err == nil {
		err = check(settings)
	}
	if err != nil {
		return settings, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	if err := configureLog(std, "Info"); err != nil {
		return settings, err
	}
	debug.SetGCPercent(heapGrowthPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * memoryLimitPercent / 100)
	}
	klog.InfoS("Starting", "Node", settings.Node, "DataCentre", settings.DataCentre, "Address", settings.Address, "Seeds", settings.Seeds)
	return settings, nil
}

// watchSettings calls apply with changed settings until the application stops. It checks the file after
// SIGHUP and at each poll interval. Invalid settings are logged, and the current ones stay in force.
func watchSettings(lifecycle fx.Lifecycle, path string, current cluster.Settings, check func(cluster.Settings) error, apply func(cluster.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	modificationTime := func() time.Time {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}
		}
		return info.ModTime()
	}
	lastModified := modificationTime()
	go func() {
		ticker := time.NewTicker(settingsPollInterval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
			case <-ticker.C:
				if modified := modificationTime(); modified.Equal(lastModified) || modified.IsZero() {
					continue
				}
			case <-done:
				return
			}
			lastModified = modificationTime()
			settings, err := platform.Load(path)
			if err == nil {
				err = check(settings)
			}
			if err != nil {
				klog.ErrorS(err, "Changed settings refused")
				continue
			}
			if reflect.DeepEqual(settings, current) {
				continue
			}
			current = settings
			klog.InfoS("Settings changed", "Seeds", settings.Seeds)
			apply(settings)
		}
	}()
	lifecycle.Append(fx.StopHook(func() { signal.Stop(hangups); close(done) }))
}

// runClusterEntry runs an entry of a deployment.
func runClusterEntry(std streams, path string, disabled []string) error {
	names, err := mechanism.Parse(disabled)
	if err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	settings, err := loadClusterSettings(std, path, cluster.Settings.CheckEntry)
	if err != nil {
		return err
	}
	if names.Len() > 0 {
		klog.InfoS("Mechanisms disabled", "Names", set.Sorted(names))
	}
	return runDaemon(settings.Grace, fx.Supply(settings), fx.Invoke(func(lifecycle fx.Lifecycle) error {
		return startClusterEntry(lifecycle, settings, path, names)
	}))
}

// startClusterEntry starts an entry of a deployment. When the application stops, the entry first reports that
// it is not ready and gives up the leadership, and then drains its connections. Requests are answered until the margin at the
// end of the grace period, with 504 if their outcome is still open then.
func startClusterEntry(lifecycle fx.Lifecycle, settings cluster.Settings, path string, disabled set.Set[mechanism.Name]) error {
	source := clock.NewBoot()
	directStore := platform.NewStore(settings.Store, source, settings.StoreWrites, settings.StoreReads)
	relayStore := relay.New(directStore, source, settings.Session(settings.Address), relayAddresses(settings, disabled))
	follower := directive.NewFollower(relayStore, source, platform.Operators{})
	sessionListener, err := net.Listen("tcp", settings.Session(settings.Address))
	if err != nil {
		return err
	}
	elector := leadership.New(coordinator.Dependencies{
		Retention: coordinator.DefaultRetention(),
		Bounds:    assignment.Bounds{RemoteFactor: settings.RemoteFactor, Restore: settings.Restore, StopTimeout: settings.StopTimeout},
		Disabled:  disabled, MaxRowBytes: settings.StoreRowBytes, MaxBacklog: maxBacklog(settings),
		Store: relayStore, Clock: source, TimeOfDay: func() int64 { return time.Now().UnixMilli() }, Out: follower.Out,
	}, settings.Node, settings.Session(settings.Address), settings.Lease)
	jobIntake := intake.New(relayStore, source, elector.Queries())
	sessionServer := session.NewServer(leadership.NewHandler(elector, directStore))
	serveSessions(sessionServer, sessionListener)
	requests, servers := newRequestDrain(), newHTTPServers(lifecycle, settings)
	callerServer, err := servers.serveCallers(settings.Callers,
		platform.Detached(requests.wrap(platform.NewIngress(follower.Config, jobIntake, servers.bodies))),
		func() httpserver.Rules { return callerRules(follower.Config()) })
	if err != nil {
		return err
	}
	ready := func() bool { return !requests.stopping.isSet() && follower.Fresh() }
	pages := http.NewServeMux()
	pages.Handle("/v1/", requests.wrap(jobapi.New(follower.Config, jobIntake, servers.bodies)))
	pages.Handle("/", probe.New(ready))
	if err := servers.servePages("pages", settings.Metrics, pages, pageConnections); err != nil {
		return err
	}
	if err := servers.servePages("readiness", settings.Readiness, platform.NewReadiness(ready), probeConnections); err != nil {
		return err
	}
	if err := servers.servePages("workers", settings.Workers, platform.NewReadiness(ready), probeConnections); err != nil {
		return err
	}
	watchSettings(lifecycle, path, settings, cluster.Settings.CheckEntry, func(cluster.Settings) {})
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		klog.InfoS("Draining")
		begun, times := source.Now(), newShutdownTimes(settings.Grace)
		requests.stopping.set()
		timer := time.AfterFunc(times.answers.Duration(), requests.end)
		defer timer.Stop()
		shutdownCtx, cancel := context.WithTimeout(ctx, times.closes.Duration())
		defer cancel()
		elector.Release()
		<-source.After(max(0, begun.Add(times.accepts).Sub(source.Now())))
		err := callerServer.Shutdown(shutdownCtx)
		requests.end()
		sessionServer.Stop()
		elector.Close()
		follower.Close()
		jobIntake.Close()
		relayStore.Close()
		directStore.Close()
		klog.InfoS("Stopped")
		return err
	}))
	return nil
}

// backlogPercent is the part of an entry's memory that the open jobs may need while it leads, in percent.
const backlogPercent = 20

// maxBacklog returns the memory that the open jobs may need. It is not limited if the process is not.
func maxBacklog(settings cluster.Settings) backlog.Bytes {
	return backlog.Bytes(settings.MemoryBytes * backlogPercent / 100)
}

// relayAddresses returns the session addresses of the entries by way of which the store may be reached.
func relayAddresses(settings cluster.Settings, disabled set.Set[mechanism.Name]) []string {
	if disabled.Has(mechanism.Relays) {
		return nil
	}
	return sessionAddresses(settings)
}

func serveSessions(server *grpc.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); err != nil {
			klog.ErrorS(err, "Session server ended")
		}
	}()
}

// runClusterAgent runs an agent of a deployment.
func runClusterAgent(std streams, path string) error {
	settings, err := loadClusterSettings(std, path, cluster.Settings.CheckAgent)
	if err != nil {
		return err
	}
	return runDaemon(settings.Grace, fx.Supply(settings), fx.Invoke(func(lifecycle fx.Lifecycle) error {
		return startClusterAgent(lifecycle, settings, path)
	}))
}

// startClusterAgent starts an agent of a deployment.
func startClusterAgent(lifecycle fx.Lifecycle, settings cluster.Settings, path string) error {
	source := clock.NewBoot()
	clusterStore := platform.NewStore(settings.Store, source, settings.StoreWrites, settings.StoreReads)
	agent := supervisor.New(supervisor.Clocks{Boot: source, Steady: clock.NewSystem()}, platform.NewRunner(settings.Runtime), settings.Node,
		supervisor.Bounds{Lease: settings.Lease, StopTimeout: settings.StopTimeout, MaxOverTarget: settings.Impact})
	servers := newHTTPServers(lifecycle, settings)
	registry := platform.NewRegistry(settings, agent, servers.bodies)
	if err := servers.servePages("workers", settings.Workers, registry, probeConnections); err != nil {
		return err
	}
	if err := servers.servePages("pages", settings.Metrics, probe.New(func() bool { return true }), pageConnections); err != nil {
		return err
	}
	directory := leadership.NewDirectory(clusterStore, sessionAddresses(settings))
	watchSettings(lifecycle, path, settings, cluster.Settings.CheckAgent, func(changed cluster.Settings) {
		directory.SetSeeds(sessionAddresses(changed))
	})
	agent.Follow(directory)
	lifecycle.Append(fx.StopHook(func(ctx context.Context) {
		shutdownCtx, cancel := context.WithTimeout(ctx, (settings.Grace - stopMargin).Duration())
		defer cancel()
		agent.Shutdown(shutdownCtx)
		clusterStore.Close()
		klog.InfoS("Stopped")
	}))
	return nil
}

// sessionAddresses returns the session addresses of the deployment's seeds.
func sessionAddresses(settings cluster.Settings) []string {
	addresses := make([]string, 0, len(settings.Seeds))
	for _, seed := range settings.Seeds {
		addresses = append(addresses, settings.Session(seed))
	}
	return addresses
}
