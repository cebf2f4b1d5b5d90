package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

// ctlHelp is the help text of ctl. It is not indented, because go-flags wraps it and drops indentation.
const ctlHelp = `Controls the system through the operators' API of the entries.

Each command prints a table, or one JSON object with --json. The entries are tried in the order given: the next one is tried if the call was certainly not accepted, or if a repeat is harmless because the call changes nothing or carries a request key.

Exit codes:
0: done
1: failed, or the outcome of a change is unknown; the message names the request key, and repeating the command with --request KEY is safe
2: wrong use
3: conflict; another change came first, and the message names its author
4: not found
5: not accepted now, retry later; the call had no effect
6: denied`

// ctlOptions are the options shared by all commands of ctl.
type ctlOptions struct {
	Entries   []string       `long:"entry" value-name:"ADDRESS" env:"HYSSOPJUNCTION_ENTRY" env-delim:"," required:"true" description:"Address of an entry as host:port or URL; repeat it for more entries"`
	Token     string         `long:"token" value-name:"TOKEN" description:"Bearer token; it is visible to other users of the machine, prefer --token-file"`
	TokenFile string         `long:"token-file" value-name:"FILE" env:"HYSSOPJUNCTION_TOKEN_FILE" description:"File that holds the bearer token"`
	CA        string         `long:"ca" value-name:"FILE" description:"PEM file of the authorities that sign the entries' certificates; uses TLS"`
	TLS       bool           `long:"tls" description:"Use TLS with the authorities that the machine trusts"`
	Timeout   durationOption `long:"timeout" value-name:"DURATION" default:"10s" description:"Bound on a call over all entries"`
	Request   string         `long:"request" value-name:"KEY" description:"Request key of a change, to repeat a change whose outcome is unknown"`
	JSON      bool           `long:"json" description:"Print one JSON object instead of a table"`

	std streams
}

// durationOption is the value of an option with a duration such as 90s or 5m.
type durationOption clock.Millis

// UnmarshalFlag parses a duration. It fails if the duration is negative or not in whole milliseconds.
func (option *durationOption) UnmarshalFlag(value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed%time.Millisecond != 0 {
		return &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%q is not a duration such as 250ms, 90s or 5m", value)}
	}
	*option = newDurationOption(clock.FromDuration(parsed))
	return nil
}

func newDurationOption(millis clock.Millis) durationOption { return durationOption(millis) }

func (option durationOption) millis() clock.Millis { return clock.Millis(option) }

// commandGroup is a set of commands on one subject. A group with a single command without a name is
// registered as a command itself.
type commandGroup struct {
	name     string
	short    string
	commands []commandSpec
}

// commandSpec describes a command: its name, its help texts and its implementation.
type commandSpec struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

func init() {
	registrars = append(registrars, registerCtl)
}

func registerCtl(parser *flags.Parser, std streams) error {
	options := &ctlOptions{std: std}
	top, err := parser.AddCommand("ctl", "Control the system", ctlHelp, options)
	if err != nil {
		return fmt.Errorf("register ctl: %w", err)
	}
	groups := []commandGroup{
		presetGroup(options), dataCentreGroup(options), jobGroup(options), workerGroup(options),
		serviceGroup(options), teamGroup(options), configGroup(options), statusGroup(options),
	}
	for _, group := range groups {
		if len(group.commands) == 1 && group.commands[0].name == "" {
			single := group.commands[0]
			if _, err := top.AddCommand(group.name, group.short, single.long, single.command); err != nil {
				return fmt.Errorf("register ctl %s: %w", group.name, err)
			}
			continue
		}
		parent, err := top.AddCommand(group.name, group.short, group.short+".", &struct{}{})
		if err != nil {
			return fmt.Errorf("register ctl %s: %w", group.name, err)
		}
		for _, spec := range group.commands {
			if _, err := parent.AddCommand(spec.name, spec.short, spec.long, spec.command); err != nil {
				return fmt.Errorf("register ctl %s %s: %w", group.name, spec.name, err)
			}
		}
	}
	return nil
}

// client returns a client that is configured by the options. Wrong options end the program with ExitUsage.
func (options *ctlOptions) client() (*operator.Client, error) {
	token := options.Token
	if options.TokenFile != "" {
		if token != "" {
			return nil, ErrExit{Code: ExitUsage, Reason: "give --token or --token-file, not both"}
		}
		content, err := os.ReadFile(options.TokenFile)
		if err != nil {
			return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
		}
		token = strings.TrimSpace(string(content))
	}
	if token == "" {
		return nil, ErrExit{Code: ExitUsage, Reason: "--token-file or --token is required"}
	}
	tlsConfig, err := options.tlsConfig()
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient(operator.ClientSettings{
		Entries: options.Entries, Token: token, TimeoutMillis: options.Timeout.millis(), TLS: tlsConfig,
		Request: ident.Request(options.Request),
	})
	if err != nil {
		return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return client, nil
}

// tlsConfig returns the TLS settings, or nil for plain HTTP.
func (options *ctlOptions) tlsConfig() (*tls.Config, error) {
	if options.CA == "" {
		if options.TLS {
			return &tls.Config{MinVersion: tls.VersionTLS12}, nil
		}
		return nil, nil
	}
	content, err := os.ReadFile(options.CA)
	if err != nil {
		return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, ErrExit{Code: ExitUsage, Reason: options.CA + " holds no certificate"}
	}
	return &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}, nil
}

// callAndPrint makes a call of the API and prints the result, as JSON or as the table that format returns.
func callAndPrint[Result any](options *ctlOptions, call func(ctx context.Context, client *operator.Client) (Result, error), format func(Result) table) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	result, err := call(context.Background(), client)
	if err != nil {
		return exitError(err)
	}
	if options.JSON {
		return printJSON(options.std.out, result)
	}
	return format(result).print(options.std.out)
}

// exitError converts an error of the API to an ErrExit with its exit code.
func exitError(err error) error {
	code := ExitFailed
	switch {
	case IsErrExit(err):
		return err
	case operator.IsErrBadRequest(err), operator.IsErrTLS(err):
		code = ExitUsage
	case operator.IsErrConflict(err), operator.IsErrTaken(err), operator.IsErrElsewhere(err):
		code = ExitConflict
	case operator.IsErrNotFound(err):
		code = ExitNotFound
	case operator.IsErrRetryLater(err):
		code = ExitRetry
	case operator.IsErrDenied(err):
		code = ExitDenied
	case errors.Is(err, context.Canceled):
		code = ExitFailed
	}
	return ErrExit{Code: code, Reason: err.Error()}
}
