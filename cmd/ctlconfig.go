package cmd

import (
	"context"
	"fmt"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func configGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "config", short: "Configuration versions", commands: []commandSpec{
		{"history", "List configuration changes", "Lists configuration changes, newest first.", &configHistory{options: options}},
		{"diff", "Compare two versions", "Shows the documents that differ between two configuration versions.", &configDiff{options: options}},
		{
			"wait", "Wait until a version is in force",
			"Waits until a configuration version is in force everywhere. Exits with 5 if it is not within the patience.",
			&configWait{options: options, clock: clock.NewSystem()},
		},
	}}
}

type configHistory struct {
	Document string `long:"document" value-name:"NAME" description:"Only changes of this document"`
	Before   uint64 `long:"before" value-name:"VERSION" description:"Only changes before this version"`
	Limit    int    `long:"limit" value-name:"COUNT" default:"50" description:"Most changes to list, up to 1000"`

	options *ctlOptions
}

// Execute lists the changes.
func (command *configHistory) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.HistoryList, error) {
		return client.History(ctx, operator.HistoryFilter{
			Document: command.Document, Before: ident.Version(command.Before), Limit: command.Limit,
		})
	}, func(list operator.HistoryList) table {
		output := table{header: []string{"VERSION", "DOCUMENT", "OPERATOR", "WRITTEN", "SUMMARY"}}
		for _, change := range list.Changes {
			output.add(formatNumber(change.Version), change.Document, dashIfEmpty(change.Operator), dashIfEmpty(change.Written), dashIfEmpty(change.Summary))
		}
		if list.More {
			output.notes = []string{"There are older changes; see --before."}
		}
		return output
	})
}

type configDiff struct {
	Positional struct {
		From uint64 `positional-arg-name:"FROM"`
		To   uint64 `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute shows the difference.
func (command *configDiff) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.DiffList, error) {
		return client.Diff(ctx, ident.Version(command.Positional.From), ident.Version(command.Positional.To))
	}, func(list operator.DiffList) table {
		var output table
		for _, document := range list.Documents {
			output.notes = append(output.notes, document.Document)
			output.notes = append(output.notes, prefixLines("- ", document.Before)...)
			output.notes = append(output.notes, prefixLines("+ ", document.After)...)
		}
		return output
	})
}

// prefixLines returns the lines of text, each with the prefix.
func prefixLines(prefix, text string) []string {
	if text == "" {
		return nil
	}
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, prefix+strings.TrimSuffix(line, "\n"))
	}
	return lines
}

type configWait struct {
	Patience   durationOption `long:"patience" value-name:"DURATION" default:"30s" description:"How long to wait"`
	Positional struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
	clock   clock.Clock
}

// Execute waits for the version. Because an entry limits the patience of one call, this may take several
// calls.
func (command *configWait) Execute([]string) error {
	deadline := command.clock.Now().Add(command.Patience.millis())
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.VersionStatus, error) {
		for {
			remaining := max(deadline.Sub(command.clock.Now()), 0)
			// Half of an entry's share of the timeout is left for the call itself.
			maxPatience := min(command.options.Timeout.millis()/clock.Millis(2*len(command.options.Entries)), operator.Defaults().MaxWaitMillis)
			state, err := client.Wait(ctx, ident.Version(command.Positional.Version), min(remaining, maxPatience))
			if err != nil && !operator.IsErrRetryLater(err) {
				return state, err
			}
			if err == nil && state.Everywhere {
				return state, nil
			}
			if remaining == 0 {
				if err != nil {
					return state, err
				}
				return state, operator.ErrRetryLater{
					Reason:     fmt.Sprintf("version %d is not in force at %s", command.Positional.Version, strings.Join(state.Lagging, ", ")),
					RetryAfter: clock.Second,
				}
			}
			// The pause prevents a tight loop if an entry answers at once.
			<-command.clock.After(min(remaining, 200*clock.Millisecond))
		}
	}, func(state operator.VersionStatus) table {
		return table{rows: [][]string{{"Version", formatNumber(state.Version)}, {"In force", "everywhere"}}}
	})
}
