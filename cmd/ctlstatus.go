package cmd

import (
	"context"
	"strconv"

	"hyssopjunction/operator"
)

func statusGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "status", short: "Show a summary of the system", commands: []commandSpec{
		{"", "", "Shows a summary of the system as one entry sees it.", &status{options: options}},
	}}
}

type status struct{ options *ctlOptions }

// Execute shows the summary.
func (command *status) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Status, error) {
		return client.Status(ctx)
	}, func(status operator.Status) table {
		return table{
			rows: [][]string{
				{"Entry", string(status.Entry)},
				{"Region", string(status.Region)},
				{"Preset", string(status.Preset)},
				{"Configuration version", formatNumber(status.ConfigVersion)},
				{"Entries", formatNumber(status.Entries)},
				{"Workers", formatNumber(status.Workers)},
				{"Workers down", formatNumber(status.WorkersDown)},
				{"Workers quarantined", formatNumber(status.Quarantined)},
				{"Services", formatNumber(status.Services)},
				{"Teams", formatNumber(status.Teams)},
				{"Jobs waiting", formatNumber(status.JobsWaiting)},
				{"Tasks running", formatNumber(status.TasksRunning)},
				{"Table available", strconv.FormatBool(status.TableAvailable)},
				{"Used", formatResources(status.Used)},
				{"Capacity", formatResources(status.Capacity)},
			},
			notes: status.Notes,
		}
	})
}
