package cmd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/keys"
	"hyssopjunction/logging"
	"hyssopjunction/operator"
	"hyssopjunction/setting"
)

// startTimeout limits the start of a daemon. It is long, because a daemon that starts during an outage of
// the table waits for the table.
const startTimeout = 24 * time.Hour

// closeTimeout is added to the timeout of the graceful shutdown, for closing listeners and connections.
const closeTimeout = 5 * time.Second

// newPool returns a pool of connections to other daemons, which must have one of the roles.
func newPool(lifecycle fx.Lifecycle, ring *keys.Ring, roles ...keys.Role) *controlpb.Pool {
	pool := controlpb.NewPool(controlpb.DialOptions(clientCredentials(ring, roles...))...)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

// clientCredentials returns the credentials for connections to servers that must have one of the roles.
// Without a certificate the connections are not encrypted.
func clientCredentials(ring *keys.Ring, roles ...keys.Role) credentials.TransportCredentials {
	if ring == nil {
		return insecure.NewCredentials()
	}
	return ring.ClientCredentials(roles...)
}

// controlOptions returns the options of a gRPC server. The map callers holds the roles that may call each
// method. Without a certificate there are no roles, and the server listens on loopback or where
// AllowPlaintext permits it.
func controlOptions(ring *keys.Ring, callers map[string][]keys.Role) []grpc.ServerOption {
	if ring == nil {
		return nil
	}
	var roles []keys.Role
	for _, callerRoles := range callers {
		roles = append(roles, callerRoles...)
	}
	return append(keys.Authorize(callers, controlpb.StatedSender), grpc.Creds(ring.ServerCredentials(roles...)))
}

// newRing loads the certificate, or returns nil if the settings name none.
func newRing(settings setting.TLS, source clock.Clock) (*keys.Ring, error) {
	if settings.CertificateFile == "" {
		return nil, nil
	}
	return keys.New(keys.Settings{
		Certificate: settings.CertificateFile, Key: settings.KeyFile, Authority: settings.AuthorityFile,
	}, source)
}

// listen opens a listener. Without a certificate, an address other than loopback is refused unless
// AllowPlaintext permits it.
func listen(address string, ring *keys.Ring, settings setting.TLS) (net.Listener, error) {
	if err := keys.CheckListen(address, ring != nil, settings.AllowPlaintext); err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// newIncarnation returns a number above that of every earlier process on the same machine, unless the wall
// clock was set back. A fenced agent learns from its home entry which number to exceed.
func newIncarnation() ident.Incarnation {
	return ident.Incarnation(time.Now().UnixMilli())
}

// newRandom returns a random source with a random seed, so that processes do not retry at the same times.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// httpClient returns a client with a limit of connections per host. It has no timeout, so that calls are
// limited by their contexts only.
func httpClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute,
	}}
}

// configureLog directs the log of a daemon to std.log, from the level with this name on.
func configureLog(std streams, name string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	logging.New(std.log, level)
	return nil
}

// startError returns the cause of a failed start without the text that fx adds. Faults in the settings that
// only the start detects get ExitUsage.
func startError(err error) error {
	cause := dig.RootCause(err)
	if keys.IsErrPlaintext(cause) || keys.IsErrBadAddress(cause) || keys.IsErrBadFiles(cause) || operator.IsErrBadTokens(cause) {
		return ErrExit{Code: ExitUsage, Reason: cause.Error()}
	}
	return cause
}

// runDaemon runs a daemon until SIGINT or SIGTERM and then stops it within shutdownTimeout plus closeTimeout.
func runDaemon(shutdownTimeout clock.Millis, options ...fx.Option) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := fx.New(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(shutdownTimeout.Duration()+closeTimeout), fx.Options(options...))
	if err := app.Err(); err != nil {
		return startError(err)
	}
	if err := app.Start(ctx); err != nil {
		if ctx.Err() != nil {
			// A signal while the daemon waits for the table is a regular stop, because it serves nothing yet.
			klog.InfoS("Stopped before the start was complete", "Reason", err.Error())
			return nil
		}
		return startError(err)
	}
	<-ctx.Done()
	klog.InfoS("Stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration()+closeTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

// newClock returns the clock of an agent or an entry. It includes the time during which the machine is suspended, because other
// daemons wait for the ends of the leases that are counted on it.
func newClock() clock.Clock { return clock.NewBoot() }

// checkFiles loads the files that the settings name. It reports all files that cannot be used, in one error.
func checkFiles(settings setting.TLS, loaders ...func() error) error {
	_, err := newRing(settings, clock.NewSystem())
	errs := []error{err}
	for _, load := range loaders {
		errs = append(errs, load())
	}
	if err := errors.Join(errs...); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return nil
}

// daemonOptions are the options shared by the subcommands that run a daemon.
type daemonOptions struct {
	Config string `long:"config" value-name:"FILE" description:"Settings of the daemon; without it, the settings of a deployment named by HYSSOPJUNCTION_SETTINGS"`
	Check  bool   `long:"check" description:"Check the settings and exit"`
}

// loadDaemon reads the settings of a daemon and checks the files that they name. With the option --check it
// returns checked as true; otherwise it configures the log. Invalid settings end the program with ExitUsage.
func loadDaemon[Root setting.Entry | setting.Agent](std streams, options daemonOptions,
	check func(settings Root) error, level func(settings Root) string,
) (settings Root, checked bool, err error) {
	if options.Config == "" {
		return settings, false, ErrExit{Code: ExitUsage, Reason: "the required flag `--config' was not specified"}
	}
	if settings, err = setting.Load[Root](options.Config); err != nil {
		return settings, false, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	if err = check(settings); err != nil {
		return settings, false, err
	}
	if options.Check {
		_, err = fmt.Fprintf(std.out, "%s: settings are valid\n", options.Config)
		return settings, true, err
	}
	return settings, false, configureLog(std, level(settings))
}
