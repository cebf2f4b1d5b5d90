package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"hyssopjunction/logging"
	"hyssopjunction/standalone"
)

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		_, err := parser.AddCommand("standalone", "Run a sample system in one process",
			"Runs entries, agents and the platform's stand-in in one process: requests, jobs, one data centre out and back. Ends by itself. Exits with 0 only if nothing was lost or duplicated.",
			&standaloneCommand{std: std})
		return err
	})
}

type standaloneCommand struct {
	std  streams
	JSON bool   `long:"json" description:"Print the outcome as one JSON object on the last line"`
	Log  string `long:"log" value-name:"FILE" description:"Write the daemons' log to FILE instead of dropping it"`
}

// Execute runs the sample system and prints the outcome.
func (command *standaloneCommand) Execute([]string) error {
	log := io.Discard
	if command.Log != "" {
		file, err := os.Create(command.Log)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		log = file
	}
	logging.New(log, slog.LevelInfo)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	outcome, err := standalone.Run(ctx, command.std.out)
	if err != nil {
		return err
	}
	if command.JSON {
		text, err := json.Marshal(outcome)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(command.std.out, string(text)); err != nil {
			return err
		}
	} else if err := outcome.Print(command.std.out); err != nil {
		return err
	}
	if !outcome.Clean() {
		return ErrExit{Code: ExitFailed, Reason: "something was lost, duplicated or above a limit"}
	}
	return nil
}
