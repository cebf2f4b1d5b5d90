package cmd

import (
	"context"
	"fmt"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func configGroup(ctl *ctl) group {
	return group{name: "config", short: "Configuration versions", commands: []leaf{
		{"history", "List configuration changes", "Lists configuration changes, newest first.", &configHistory{ctl: ctl}},
		{"diff", "Compare two versions", "Shows the documents that differ between two configuration versions.", &configDiff{ctl: ctl}},
		{
			"wait", "Wait until a version is in force",
			"Waits until a configuration version is in force everywhere. Exits with 5 if it is not within the patience.",
			&configWait{ctl: ctl, now: clock.NewSystem()},
		},
	}}
}

type configHistory struct {
	Document string `long:"document" value-name:"NAME" description:"Only changes of this document"`
	Before   uint64 `long:"before" value-name:"VERSION" description:"Only changes before this version"`
	Limit    int    `long:"limit" value-name:"COUNT" default:"50" description:"Most changes to list, up to 1000"`

	ctl *ctl
}

// Execute lists the changes.
func (command *configHistory) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.HistoryList, error) {
		return client.History(ctx, operator.HistoryFilter{
			Document: command.Document, Before: ident.Version(command.Before), Limit: command.Limit,
		})
	}, func(list operator.HistoryList) table {
		shown := table{header: []string{"VERSION", "DOCUMENT", "OPERATOR", "WRITTEN", "SUMMARY"}}
		for _, change := range list.Changes {
			shown.add(number(change.Version), change.Document, dash(change.Operator), dash(change.Written), dash(change.Summary))
		}
		if list.More {
			shown.notes = []string{"There are older changes; see --before."}
		}
		return shown
	})
}

type configDiff struct {
	Positional struct {
		From uint64 `positional-arg-name:"FROM"`
		To   uint64 `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

// Execute shows the difference.
func (command *configDiff) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.DiffList, error) {
		return client.Diff(ctx, ident.Version(command.Positional.From), ident.Version(command.Positional.To))
	}, func(list operator.DiffList) table {
		var shown table
		for _, document := range list.Documents {
			shown.notes = append(shown.notes, document.Document)
			shown.notes = append(shown.notes, marked("- ", document.Before)...)
			shown.notes = append(shown.notes, marked("+ ", document.After)...)
		}
		return shown
	})
}

// marked returns the lines of a text with a mark before each.
func marked(mark, text string) []string {
	if text == "" {
		return nil
	}
	var lines []string
	for line := range strings.Lines(text) {
		lines = append(lines, mark+strings.TrimSuffix(line, "\n"))
	}
	return lines
}

type configWait struct {
	Patience   wait `long:"patience" value-name:"DURATION" default:"30s" description:"How long to wait"`
	Positional struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
	now clock.Clock
}

// Execute waits for the version. Several calls may be needed, as an entry bounds the patience of one.
func (command *configWait) Execute([]string) error {
	deadline := command.now.Now().Add(command.Patience.millis())
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.InForce, error) {
		for {
			left := max(deadline.Sub(command.now.Now()), 0)
			// Half of an entry's part of the timeout leaves time for the call itself.
			once := min(command.ctl.Timeout.millis()/clock.Millis(2*len(command.ctl.Entries)), operator.Defaults().MaxWaitMillis)
			state, err := client.Wait(ctx, ident.Version(command.Positional.Version), min(left, once))
			if err != nil && !operator.IsErrRetryLater(err) {
				return state, err
			}
			if err == nil && state.Everywhere {
				return state, nil
			}
			if left == 0 {
				if err != nil {
					return state, err
				}
				return state, operator.ErrRetryLater{
					Reason:     fmt.Sprintf("version %d is not in force at %s", command.Positional.Version, strings.Join(state.Lagging, ", ")),
					RetryAfter: clock.Second,
				}
			}
			// An entry that answers at once must not be called in a tight loop.
			<-command.now.After(min(left, 200*clock.Millisecond))
		}
	}, func(state operator.InForce) table {
		return table{rows: [][]string{{"Version", number(state.Version)}, {"In force", "everywhere"}}}
	})
}
