package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/logging"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
)

// standInTimeout limits the time of one call to a running stand-in.
const standInTimeout = 10 * time.Second

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		command, err := parser.AddCommand("standin", "Run or control the platform's stand-in",
			"Serves the stand-in of table, object store, worker runtimes and endpoints, sets its faults and prints its records.", &struct{}{})
		if err != nil {
			return err
		}
		_, serve := command.AddCommand("serve", "Serve the stand-in", "Serves the stand-in until it is interrupted.", &standInServe{std: std})
		_, fault := command.AddCommand("fault", "Show or set faults",
			"Sets faults of one part of a running stand-in and prints the faults in force. Options that are not given leave their fault as it is.", &standInFault{std: std})
		_, records := command.AddCommand("records", "Print the records", "Prints the counts of a running stand-in as JSON. Exits with 1 if there is a violation.", &standInRecords{std: std})
		return errors.Join(serve, fault, records)
	})
}

type standInServe struct {
	std    streams
	Config string `long:"config" required:"true" value-name:"FILE" description:"Settings of the stand-in"`
}

// Execute serves until SIGINT or SIGTERM.
func (command *standInServe) Execute([]string) error {
	settings, err := setting.Load[setting.StandIn](command.Config)
	if err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.Log.Level)); err != nil {
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	}
	logging.New(command.std.log, level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	standIn := standin.New(settings, clock.NewSystem())
	defer standIn.Close()
	listener, err := net.Listen("tcp", settings.Listen.Platform)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return standin.NewServer(standIn).Serve(ctx, listener) })
	group.Go(func() error { return standIn.ServeEndpoints(ctx) })
	return group.Wait()
}

// standInAddress is the option with the address of a running stand-in.
type standInAddress struct {
	URL string `long:"url" default:"http://127.0.0.1:7000" description:"Address of the stand-in"`
}

func (address standInAddress) client() *standin.Client {
	return standin.NewClient(address.URL, &http.Client{Timeout: standInTimeout})
}

type standInFault struct {
	std streams
	standInAddress
	Part             string   `long:"part" value-name:"PART" description:"table, objects, worker/NAME or endpoint/NAME; NAME can be *"`
	Clear            bool     `long:"clear" description:"Switch all other faults of the part off"`
	Outage           string   `long:"outage" choice:"on" choice:"off" description:"Refuse all calls"`
	Delay            *int64   `long:"delay" value-name:"MILLIS" description:"Delay calls, or responses of an endpoint"`
	AnswerDelay      *int64   `long:"answer-delay" value-name:"MILLIS" description:"Delay answers after the effect"`
	Lose             *int     `long:"lose" value-name:"COUNT" description:"Lose the answers to the next writes after their effect"`
	LoseRate         *float64 `long:"lose-rate" value-name:"RATE" description:"Share of answers that are lost, 0 to 1"`
	ErrorRate        *float64 `long:"error-rate" value-name:"RATE" description:"Share of calls that fail, 0 to 1"`
	UsageLag         *int64   `long:"usage-lag" value-name:"MILLIS" description:"Additional lag of reported usage"`
	StartFailures    *int     `long:"start-failures" value-name:"COUNT" description:"Fail the next starts of tasks"`
	StartFailureRate *float64 `long:"start-failure-rate" value-name:"RATE" description:"Share of starts that fail, 0 to 1"`
	FailEverything   string   `long:"fail-everything" choice:"on" choice:"off" description:"Fail every task"`
	Pause            string   `long:"pause" choice:"on" choice:"off" description:"Freeze the worker while its clock advances"`
	Silent           string   `long:"silent" choice:"on" choice:"off" description:"Execute requests without answering"`
	Slow             *int     `long:"slow" value-name:"PERCENT" description:"Scale service times"`
	CrossedRate      *float64 `long:"crossed-rate" value-name:"RATE" description:"Share of responses to another request, 0 to 1"`
	TruncatedRate    *float64 `long:"truncated-rate" value-name:"RATE" description:"Share of truncated responses, 0 to 1"`
	DoubledRate      *float64 `long:"doubled-rate" value-name:"RATE" description:"Share of responses sent twice, 0 to 1"`
	Restart          bool     `long:"restart" description:"Replace the worker by one without tasks"`
	SilenceOpen      bool     `long:"silence-connections" description:"Make the open connections of the endpoint silent for good"`
}

// Execute sets the faults, if any, and prints those in force.
func (command *standInFault) Execute([]string) error {
	change, err := command.change()
	if err != nil {
		return err
	}
	state, err := command.client().Change(context.Background(), change)
	switch {
	case standin.IsErrBadFault(err):
		return ErrExit{Code: ExitUsage, Reason: err.Error()}
	case err != nil:
		return ErrExit{Code: ExitRetry, Reason: err.Error()}
	}
	return printIndented(command.std.out, state)
}

// change returns the change of faults that the options describe. It is empty without options.
func (command *standInFault) change() (standin.FaultChange, error) {
	var change standin.FaultChange
	kind, name, _ := strings.Cut(command.Part, "/")
	fields, noFaults := command.faultFields(kind)
	if command.Part == "" && len(fields) == 0 && !command.Clear && !command.Restart && !command.SilenceOpen {
		return change, nil
	}
	if command.Clear {
		text, err := json.Marshal(noFaults)
		if err != nil {
			return change, err
		}
		merged := map[string]any{}
		if err := json.Unmarshal(text, &merged); err != nil {
			return change, err
		}
		for key, value := range fields {
			merged[key] = value
		}
		fields = merged
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return change, err
	}
	switch kind {
	case "table":
		change.Table = raw
	case "objects":
		change.Objects = raw
	case "worker":
		change.Workers = map[ident.Worker]json.RawMessage{ident.Worker(name): raw}
	case "endpoint":
		change.Endpoints = map[ident.Endpoint]json.RawMessage{ident.Endpoint(name): raw}
	default:
		return change, ErrExit{Code: ExitUsage, Reason: fmt.Sprintf("--part must be table, objects, worker/NAME or endpoint/NAME, is %q", command.Part)}
	}
	if command.Restart {
		change.RestartWorkers = []ident.Worker{ident.Worker(name)}
	}
	if command.SilenceOpen {
		change.SilenceConnections = []ident.Endpoint{ident.Endpoint(name)}
	}
	return change, nil
}

// faultFields returns the JSON fields that the options set, and the faults of the part's kind with none set.
// Options that do not apply to the kind become fields that the stand-in refuses.
func (command *standInFault) faultFields(kind string) (fields map[string]any, noFaults any) {
	fields = make(map[string]any)
	names := map[string]string{"Outage": "Outage", "Delay": "DelayMillis", "ErrorRate": "ErrorRate"}
	switch kind {
	case "worker":
		names["Outage"], noFaults = "Unavailable", standin.WorkerFaults{}
	case "endpoint":
		names["Outage"], names["Delay"], noFaults = "Refuse", "LateMillis", standin.EndpointFaults{}
		if command.Delay != nil {
			fields["LateRate"] = 1
		}
	default:
		noFaults = standin.StoreFaults{}
	}
	addSwitch(fields, names["Outage"], command.Outage)
	addSwitch(fields, "FailEverything", command.FailEverything)
	addSwitch(fields, "Paused", command.Pause)
	addSwitch(fields, "Silent", command.Silent)
	addNumber(fields, names["Delay"], command.Delay)
	addNumber(fields, "AnswerDelayMillis", command.AnswerDelay)
	addNumber(fields, "LoseNext", command.Lose)
	addNumber(fields, "LoseRate", command.LoseRate)
	addNumber(fields, names["ErrorRate"], command.ErrorRate)
	addNumber(fields, "UsageLagMillis", command.UsageLag)
	addNumber(fields, "StartFailNext", command.StartFailures)
	addNumber(fields, "StartFailRate", command.StartFailureRate)
	addNumber(fields, "SlowPercent", command.Slow)
	addNumber(fields, "CrossedRate", command.CrossedRate)
	addNumber(fields, "TruncatedRate", command.TruncatedRate)
	addNumber(fields, "DoubledRate", command.DoubledRate)
	return fields, noFaults
}

func addSwitch(fields map[string]any, name, text string) {
	if text != "" {
		fields[name] = text == "on"
	}
}

func addNumber[Number any](fields map[string]any, name string, number *Number) {
	if number != nil {
		fields[name] = *number
	}
}

type standInRecords struct {
	std streams
	standInAddress
	Runs       bool `long:"runs" description:"Include every run of a task"`
	Executions bool `long:"executions" description:"Include every request id that endpoints executed"`
}

// Execute prints the records.
func (command *standInRecords) Execute([]string) error {
	report, err := command.client().Records(context.Background(), command.Runs, command.Executions)
	if err != nil {
		return ErrExit{Code: ExitRetry, Reason: err.Error()}
	}
	if err := printIndented(command.std.out, report); err != nil {
		return err
	}
	if report.HasViolations() {
		return ErrExit{Code: ExitFailed, Reason: "the records show violations"}
	}
	return nil
}

func printIndented(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
