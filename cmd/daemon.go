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

// startTimeout bounds the start of a daemon. It is long, because a daemon that starts during a table
// outage waits for the table.
const startTimeout = 24 * time.Hour

// stopExtra is added to the bound of the graceful shutdown for closing listeners and connections.
const stopExtra = 5 * time.Second

// newPool returns the connections of a daemon to other daemons, which must have one of the roles.
func newPool(lifecycle fx.Lifecycle, ring *keys.Ring, roles ...keys.Role) *controlpb.Pool {
	pool := controlpb.NewPool(controlpb.DialOptions(transport(ring, roles...))...)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

// transport returns the credentials for dialling servers of the roles, without encryption if there is
// no certificate.
func transport(ring *keys.Ring, roles ...keys.Role) credentials.TransportCredentials {
	if ring == nil {
		return insecure.NewCredentials()
	}
	return ring.ClientCredentials(roles...)
}

// controlOptions returns the options of a gRPC server whose methods are open to the roles in callers.
// Without a certificate there are no roles, and the server listens on loopback or where
// AllowPlaintext permits it.
func controlOptions(ring *keys.Ring, callers map[string][]keys.Role) []grpc.ServerOption {
	if ring == nil {
		return nil
	}
	var roles []keys.Role
	for _, allowed := range callers {
		roles = append(roles, allowed...)
	}
	return append(keys.Authorize(callers, controlpb.Claimed), grpc.Creds(ring.ServerCredentials(roles...)))
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

// listen opens a listener. Without a certificate, addresses other than loopback are refused.
func listen(address string, ring *keys.Ring, settings setting.TLS) (net.Listener, error) {
	if err := keys.CheckListen(address, ring != nil, settings.AllowPlaintext); err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// newIncarnation returns a number above that of every earlier process on the same machine, as long
// as the wall clock does not go back. A fenced agent is told by its home which number to exceed.
func newIncarnation() ident.Incarnation {
	return ident.Incarnation(time.Now().UnixMilli())
}

// newRandom returns a source that differs between processes, so that their retries spread.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// httpClient returns a client whose calls are bounded by their contexts.
func httpClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute,
	}}
}

// setLog directs the log of a daemon.
func setLog(std streams, name string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	logging.New(std.log, level)
	return nil
}

// refusal gives faults of the settings that show only at the start their exit code, without the
// text that fx adds.
func refusal(err error) error {
	cause := dig.RootCause(err)
	if keys.IsErrPlaintext(cause) || keys.IsErrBadAddress(cause) || keys.IsErrBadFiles(cause) || operator.IsErrBadTokens(cause) {
		return ErrExit{Code: ExitUsage, Reason: cause.Error()}
	}
	return cause
}

// runDaemon runs a daemon until SIGINT or SIGTERM and then stops it within bound.
func runDaemon(bound clock.Millis, options ...fx.Option) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := fx.New(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(bound.Duration()+stopExtra), fx.Options(options...))
	if err := app.Err(); err != nil {
		return refusal(err)
	}
	if err := app.Start(ctx); err != nil {
		if ctx.Err() != nil {
			// Nothing was served yet, so a signal while the daemon waits for the table is a planned stop.
			klog.InfoS("Stopped before the start was complete", "Reason", err.Error())
			return nil
		}
		return refusal(err)
	}
	<-ctx.Done()
	klog.InfoS("Stopping")
	bounded, cancel := context.WithTimeout(context.Background(), bound.Duration()+stopExtra)
	defer cancel()
	return app.Stop(bounded)
}

// checkFiles loads the files that the settings name and reports all that cannot be used at once.
func checkFiles(settings setting.TLS, others ...func() error) error {
	_, err := newRing(settings, clock.NewSystem())
	faults := []error{err}
	for _, load := range others {
		faults = append(faults, load())
	}
	if err := errors.Join(faults...); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return nil
}

// daemonOptions are the options of the subcommands that run a daemon.
type daemonOptions struct {
	Config string `long:"config" value-name:"FILE" description:"Settings of the daemon; without it, the settings of a deployment named by HYSSOPJUNCTION_SETTINGS"`
	Check  bool   `long:"check" description:"Check the settings and exit"`
}

// loadDaemon reads the settings of a daemon and checks the files that they name. It returns true if
// only the check was asked for, and otherwise directs the log. Settings that cannot be used end the
// program with ExitUsage.
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
	return settings, false, setLog(std, level(settings))
}
