package cmd

import (
	"context"
	"errors"
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

	"hyssopjunction/clock"
	"hyssopjunction/cluster"
	"hyssopjunction/coordinator"
	"hyssopjunction/directive"
	"hyssopjunction/intake"
	"hyssopjunction/jobapi"
	"hyssopjunction/leadership"
	"hyssopjunction/platform"
	"hyssopjunction/probe"
	"hyssopjunction/relay"
	"hyssopjunction/session"
	"hyssopjunction/supervisor"
)

const (
	// settingsPoll is how often the settings file is looked at for changes that no signal tells.
	settingsPoll = 2 * clock.Second
	// drainMillis is how long an entry that stops goes on accepting connections after it reported that it
	// is not ready: two probes of the balancer, which come every second, and some more.
	drainMillis = 2500 * clock.Millisecond
	// graceMargin of the time before the kill is left unused.
	graceMargin = clock.Second
	// memoryPercent of the limit is where the runtime collects more eagerly.
	memoryPercent = 60
	// collectPercent lets the heap grow to this share beyond what is live. Small heaps are collected
	// often otherwise, which costs more than the memory.
	collectPercent = 200
)

// clusterSettings returns the path of a deployment's settings file, if the process has one.
func clusterSettings() (string, bool) {
	path := os.Getenv(platform.SettingsVariable)
	return path, path != ""
}

// loadCluster reads and checks the settings of a daemon of a deployment.
func loadCluster(std streams, path string, check func(cluster.Settings) error) (cluster.Settings, error) {
	settings, err := platform.Load(path)
	if err == nil {
		err = check(settings)
	}
	if err != nil {
		return settings, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	if err := setLog(std, "Info"); err != nil {
		return settings, err
	}
	debug.SetGCPercent(collectPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * memoryPercent / 100)
	}
	klog.InfoS("Starting", "Node", settings.Node, "DataCentre", settings.DataCentre, "Address", settings.Address, "Seeds", settings.Seeds)
	return settings, nil
}

// watchSettings passes changed settings to apply until the process ends. Settings that cannot be used
// are logged and the present ones stay.
func watchSettings(lifecycle fx.Lifecycle, path string, present cluster.Settings, check func(cluster.Settings) error, apply func(cluster.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	changed := func() time.Time {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}
		}
		return info.ModTime()
	}
	seen := changed()
	go func() {
		ticker := time.NewTicker(settingsPoll.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
			case <-ticker.C:
				if at := changed(); at.Equal(seen) || at.IsZero() {
					continue
				}
			case <-done:
				return
			}
			seen = changed()
			settings, err := platform.Load(path)
			if err == nil {
				err = check(settings)
			}
			if err != nil {
				klog.ErrorS(err, "Changed settings refused")
				continue
			}
			if reflect.DeepEqual(settings, present) {
				continue
			}
			present = settings
			klog.InfoS("Settings changed", "Seeds", settings.Seeds)
			apply(settings)
		}
	}()
	lifecycle.Append(fx.StopHook(func() { signal.Stop(hangups); close(done) }))
}

// servePage serves a small page until the application stops.
func servePage(lifecycle fx.Lifecycle, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	serveHTTP(lifecycle, listener, &http.Server{Handler: handler, ReadHeaderTimeout: (2 * clock.Second).Duration()})
	return nil
}

func serveHTTP(lifecycle fx.Lifecycle, listener net.Listener, server *http.Server) {
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Server ended", "Address", listener.Addr().String())
		}
	}()
	lifecycle.Append(fx.StopHook(func() error { return server.Close() }))
}

// runClusterEntry runs an entry of a deployment.
func runClusterEntry(std streams, path string) error {
	settings, err := loadCluster(std, path, cluster.Settings.CheckEntry)
	if err != nil {
		return err
	}
	return runDaemon(settings.Grace, fx.Supply(settings), fx.Invoke(func(lifecycle fx.Lifecycle) error {
		return startClusterEntry(lifecycle, settings, path)
	}))
}

func startClusterEntry(lifecycle fx.Lifecycle, settings cluster.Settings, path string) error {
	source := clock.NewBoot()
	own := platform.NewStore(settings.Store, source, settings.StoreWrites, settings.StoreReads)
	service := relay.New(own, source, settings.Session(settings.Address), sessionAddresses(settings))
	follower := directive.NewFollower(service, source, platform.Operators{})
	sessions, err := net.Listen("tcp", settings.Session(settings.Address))
	if err != nil {
		return err
	}
	keeper := leadership.New(coordinator.Dependencies{
		Retention: coordinator.DefaultRetention(),
		Store:     service, Clock: source, TimeOfDay: func() int64 { return time.Now().UnixMilli() }, Out: follower.Out,
	}, settings.Node, settings.Session(settings.Address), settings.Lease)
	callers, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return err
	}
	jobs := intake.New(service, source, keeper.Queries())
	server := session.NewServer(leadership.NewHandler(keeper, own))
	serveSessions(server, sessions)
	front := &http.Server{
		Handler:           platform.NewIngress(follower.Config, jobs),
		ReadHeaderTimeout: (3 * clock.Second).Duration(), IdleTimeout: (30 * clock.Second).Duration(),
	}
	go func() {
		if err := front.Serve(callers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Callers' server ended")
		}
	}()
	stopping := newFlag()
	ready := func() bool { return !stopping.isSet() && follower.Fresh() }
	pages := http.NewServeMux()
	pages.Handle("/v1/", jobapi.New(follower.Config, jobs))
	pages.Handle("/", probe.New(ready))
	if err := servePage(lifecycle, settings.Metrics, pages); err != nil {
		return err
	}
	if err := servePage(lifecycle, settings.Readiness, platform.NewReadiness(ready)); err != nil {
		return err
	}
	if err := servePage(lifecycle, settings.Workers, platform.NewReadiness(ready)); err != nil {
		return err
	}
	watchSettings(lifecycle, path, settings, cluster.Settings.CheckEntry, func(cluster.Settings) {})
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error {
		klog.InfoS("Draining")
		stopping.set()
		keeper.Close()
		front.SetKeepAlivesEnabled(false)
		<-source.After(min(drainMillis, settings.Grace/2))
		bounded, cancel := context.WithTimeout(ctx, (settings.Grace/2 - graceMargin).Duration())
		defer cancel()
		err := front.Shutdown(bounded)
		server.Stop()
		follower.Close()
		service.Close()
		own.Close()
		klog.InfoS("Stopped")
		return err
	}))
	return nil
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
	settings, err := loadCluster(std, path, cluster.Settings.CheckAgent)
	if err != nil {
		return err
	}
	return runDaemon(settings.Grace, fx.Supply(settings), fx.Invoke(func(lifecycle fx.Lifecycle) error {
		return startClusterAgent(lifecycle, settings, path)
	}))
}

func startClusterAgent(lifecycle fx.Lifecycle, settings cluster.Settings, path string) error {
	source := clock.NewBoot()
	service := platform.NewStore(settings.Store, source, settings.StoreWrites, settings.StoreReads)
	agent := supervisor.New(source, platform.NewRunner(settings.Runtime), settings.Node, settings.Lease, settings.Impact)
	if err := servePage(lifecycle, settings.Workers, platform.NewRegistry(settings, agent)); err != nil {
		return err
	}
	if err := servePage(lifecycle, settings.Metrics, probe.New(func() bool { return true })); err != nil {
		return err
	}
	directory := leadership.NewDirectory(service, sessionAddresses(settings))
	watchSettings(lifecycle, path, settings, cluster.Settings.CheckAgent, func(changed cluster.Settings) {
		directory.SetSeeds(sessionAddresses(changed))
	})
	agent.Follow(directory)
	lifecycle.Append(fx.StopHook(func() {
		agent.Close()
		service.Close()
		klog.InfoS("Stopped")
	}))
	return nil
}

func sessionAddresses(settings cluster.Settings) []string {
	addresses := make([]string, 0, len(settings.Seeds))
	for _, seed := range settings.Seeds {
		addresses = append(addresses, settings.Session(seed))
	}
	return addresses
}
