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

// ctlHelp is wrapped by go-flags, which drops indentation.
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

// ctl holds the options that all commands of operators share.
type ctl struct {
	Entries   []string `long:"entry" value-name:"ADDRESS" env:"HYSSOPJUNCTION_ENTRY" env-delim:"," required:"true" description:"Address of an entry as host:port or URL; repeat it for more entries"`
	Token     string   `long:"token" value-name:"TOKEN" description:"Bearer token; it is visible to other users of the machine, prefer --token-file"`
	TokenFile string   `long:"token-file" value-name:"FILE" env:"HYSSOPJUNCTION_TOKEN_FILE" description:"File that holds the bearer token"`
	CA        string   `long:"ca" value-name:"FILE" description:"PEM file of the authorities that sign the entries' certificates; uses TLS"`
	TLS       bool     `long:"tls" description:"Use TLS with the authorities that the machine trusts"`
	Timeout   wait     `long:"timeout" value-name:"DURATION" default:"10s" description:"Bound on a call over all entries"`
	Request   string   `long:"request" value-name:"KEY" description:"Request key of a change, to repeat a change whose outcome is unknown"`
	JSON      bool     `long:"json" description:"Print one JSON object instead of a table"`

	std streams
}

// wait is an option with a duration such as 90s or 5m.
type wait clock.Millis

// UnmarshalFlag reads a duration. It fails if the duration is negative or not in whole milliseconds.
func (wait *wait) UnmarshalFlag(value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < 0 || parsed%time.Millisecond != 0 {
		return &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%q is not a duration such as 250ms, 90s or 5m", value)}
	}
	*wait = asWait(clock.FromDuration(parsed))
	return nil
}

func asWait(millis clock.Millis) wait { return wait(millis) }

func (wait wait) millis() clock.Millis { return clock.Millis(wait) }

// group is a set of commands on one subject; a group with one unnamed command is a command itself.
type group struct {
	name     string
	short    string
	commands []leaf
}

type leaf struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func init() {
	registrars = append(registrars, registerCtl)
}

func registerCtl(parser *flags.Parser, std streams) error {
	options := &ctl{std: std}
	top, err := parser.AddCommand("ctl", "Control the system", ctlHelp, options)
	if err != nil {
		return fmt.Errorf("register ctl: %w", err)
	}
	groups := []group{
		presetGroup(options), dataCentreGroup(options), jobGroup(options), workerGroup(options),
		serviceGroup(options), teamGroup(options), configGroup(options), statusGroup(options),
	}
	for _, group := range groups {
		if len(group.commands) == 1 && group.commands[0].name == "" {
			only := group.commands[0]
			if _, err := top.AddCommand(group.name, group.short, only.long, only.data); err != nil {
				return fmt.Errorf("register ctl %s: %w", group.name, err)
			}
			continue
		}
		parent, err := top.AddCommand(group.name, group.short, group.short+".", &struct{}{})
		if err != nil {
			return fmt.Errorf("register ctl %s: %w", group.name, err)
		}
		for _, leaf := range group.commands {
			if _, err := parent.AddCommand(leaf.name, leaf.short, leaf.long, leaf.data); err != nil {
				return fmt.Errorf("register ctl %s %s: %w", group.name, leaf.name, err)
			}
		}
	}
	return nil
}

// client returns the client for the options given.
func (ctl *ctl) client() (*operator.Client, error) {
	token := ctl.Token
	if ctl.TokenFile != "" {
		if token != "" {
			return nil, ErrExit{Code: ExitUsage, Reason: "give --token or --token-file, not both"}
		}
		content, err := os.ReadFile(ctl.TokenFile)
		if err != nil {
			return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
		}
		token = strings.TrimSpace(string(content))
	}
	if token == "" {
		return nil, ErrExit{Code: ExitUsage, Reason: "--token-file or --token is required"}
	}
	secure, err := ctl.secure()
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient(operator.ClientSettings{
		Entries: ctl.Entries, Token: token, TimeoutMillis: ctl.Timeout.millis(), TLS: secure,
		Request: ident.Request(ctl.Request),
	})
	if err != nil {
		return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	return client, nil
}

// secure returns the TLS settings, or nil for plain HTTP.
func (ctl *ctl) secure() (*tls.Config, error) {
	if ctl.CA == "" {
		if ctl.TLS {
			return &tls.Config{MinVersion: tls.VersionTLS12}, nil
		}
		return nil, nil
	}
	content, err := os.ReadFile(ctl.CA)
	if err != nil {
		return nil, ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, ErrExit{Code: ExitUsage, Reason: ctl.CA + " holds no certificate"}
	}
	return &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}, nil
}

// ask calls the API and prints the result as a table or as JSON.
func ask[Result any](ctl *ctl, call func(ctx context.Context, client *operator.Client) (Result, error), show func(Result) table) error {
	client, err := ctl.client()
	if err != nil {
		return err
	}
	result, err := call(context.Background(), client)
	if err != nil {
		return exit(err)
	}
	if ctl.JSON {
		return printJSON(ctl.std.out, result)
	}
	return show(result).print(ctl.std.out)
}

// exit gives an error of the API its exit code.
func exit(err error) error {
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
