package cmd

import (
	"context"
	"strconv"

	"hyssopjunction/operator"
)

func statusGroup(ctl *ctl) group {
	return group{name: "status", short: "Show a summary of the system", commands: []leaf{
		{"", "", "Shows a summary of the system as one entry sees it.", &status{ctl: ctl}},
	}}
}

type status struct{ ctl *ctl }

// Execute shows the summary.
func (command *status) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Status, error) {
		return client.Status(ctx)
	}, func(status operator.Status) table {
		return table{
			rows: [][]string{
				{"Entry", string(status.Entry)},
				{"Region", string(status.Region)},
				{"Preset", string(status.Preset)},
				{"Configuration version", number(status.ConfigVersion)},
				{"Entries", number(status.Entries)},
				{"Workers", number(status.Workers)},
				{"Workers down", number(status.WorkersDown)},
				{"Workers quarantined", number(status.Quarantined)},
				{"Services", number(status.Services)},
				{"Teams", number(status.Teams)},
				{"Jobs waiting", number(status.JobsWaiting)},
				{"Tasks running", number(status.TasksRunning)},
				{"Table available", strconv.FormatBool(status.TableAvailable)},
				{"Used", quantity(status.Used)},
				{"Capacity", quantity(status.Capacity)},
			},
			notes: status.Notes,
		}
	})
}
